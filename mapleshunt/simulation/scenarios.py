"""The built-in scenarios, with faults drawn from the ranges that operators recorded."""

from __future__ import annotations

from ..fleet import faults
from ..fleet.faults import Fault
from ..fleet.random_streams import Rng
from .day import Scenario


class UnknownScenarioError(ValueError):
    """There is no scenario of the given name; the message is for the operator."""


def _draw_begin(rng: Rng, scenario: Scenario, duration: float) -> float:
    """Draw a time in the first half of the run, early enough for a fault of this duration."""
    length = 1000 * scenario.seconds
    return float(rng.uniform(0.15, max(0.16, min(0.5, 1 - duration / length)))) * length


def _scaled_duration(scenario: Scenario, ms: float) -> float:
    """Return a fault's duration, reduced for runs shorter than the recorded ones (40 s)."""
    return ms * min(1.0, scenario.seconds / 40)


def _burst_faults(rng: Rng, scenario: Scenario) -> list[Fault]:
    duration = _scaled_duration(scenario, float(rng.uniform(5000, 20000)))
    plan = ("basic", "standard", "enterprise")[int(rng.integers(3))]
    return [
        Fault(
            _draw_begin(rng, scenario, duration),
            "burst",
            duration,
            magnitude=float(rng.uniform(2.3, 5.5)),
            plan=plan,
        )
    ]


def _crash_faults(rng: Rng, scenario: Scenario) -> list[Fault]:
    duration = _scaled_duration(scenario, float(rng.uniform(5400, 23000)))
    targets = faults.sample_machines(rng, scenario.backends, float(rng.uniform(0.11, 0.23)))
    return [Fault(_draw_begin(rng, scenario, duration), "crash", duration, targets)]


def _roll_faults(rng: Rng, scenario: Scenario) -> list[Fault]:
    within = _scaled_duration(scenario, float(rng.uniform(11000, 28000)))
    part, batch = float(rng.uniform(0.52, 0.87)), float(rng.uniform(0.085, 0.26))
    down = float(rng.uniform(310, 1100))
    return faults.rolling_restart(
        rng, scenario.gateways, _draw_begin(rng, scenario, within), within, part, batch, down
    )


def _counter_faults(rng: Rng, scenario: Scenario) -> list[Fault]:
    duration = _scaled_duration(scenario, float(rng.uniform(3500, 15000)))
    slow = _scaled_duration(scenario, float(rng.uniform(5100, 20000)))
    begin = _draw_begin(rng, scenario, duration)
    return [
        Fault(begin, "counter_down", duration, magnitude=1.0),
        Fault(begin + duration, "counter_slow", slow, magnitude=float(rng.uniform(2.3, 6.8))),
    ]


def _cold_faults(rng: Rng, scenario: Scenario) -> list[Fault]:
    """Draw the start of a third more backends while a few drain."""
    drained = faults.sample_machines(rng, scenario.backends, 0.15)
    begin = 0.2 * 1000 * scenario.seconds
    return [
        Fault(begin, "add", magnitude=max(1, round(scenario.backends / 3))),
        Fault(begin + 2000, "drain", 3000, drained),
    ]


def _worst_faults(rng: Rng, scenario: Scenario) -> list[Fault]:
    return [
        *_burst_faults(rng, scenario),
        *_crash_faults(rng, scenario),
        *_roll_faults(rng, scenario),
        *_counter_faults(rng, scenario),
    ]


def _silent_faults(rng: Rng, scenario: Scenario) -> list[Fault]:
    duration = _scaled_duration(scenario, float(rng.uniform(5400, 15000)))
    return [
        Fault(
            _draw_begin(rng, scenario, duration),
            "silent",
            duration,
            faults.sample_machines(rng, scenario.backends, 0.12),
        )
    ]


def _herd_faults(rng: Rng, scenario: Scenario) -> list[Fault]:
    """Draw a release of backends in four groups, during which most gateways are killed at once."""
    within = _scaled_duration(scenario, 9000)
    begin = _draw_begin(rng, scenario, within)
    order = [int(number) for number in rng.permutation(scenario.backends)]
    releases = []
    for index in range(4):
        group, at = tuple(sorted(order[index::8])), begin + index * within / 4
        releases += [Fault(at, "drain", 2000, group), Fault(at + 1000, "add", magnitude=max(1, len(group)))]
    killed = faults.sample_machines(rng, scenario.gateways, 0.7)
    return [*releases, Fault(begin + within / 3, "restart", float(rng.uniform(310, 1100)), killed)]


def _zone_faults(rng: Rng, scenario: Scenario) -> list[Fault]:
    """Draw an unannounced outage of a third of the backends, as of a zone; they restart together."""
    duration = _scaled_duration(scenario, float(rng.uniform(5400, 10000)))
    return [
        Fault(
            _draw_begin(rng, scenario, duration),
            "silent",
            duration,
            faults.sample_machines(rng, scenario.backends, 0.33),
        )
    ]


def _join_faults(rng: Rng, scenario: Scenario) -> list[Fault]:
    """Draw the replacement of 60% of the backends within 7 s, half of them at a time."""
    begin, within = _draw_begin(rng, scenario, 7000), _scaled_duration(scenario, 7000)
    order = [int(number) for number in rng.permutation(scenario.backends)]
    size = max(1, round(0.3 * scenario.backends))
    steps = []
    for index in range(2):
        group, at = tuple(sorted(order[index * size : (index + 1) * size])), begin + index * within / 2
        steps += [Fault(at, "drain", within / 2, group), Fault(at + within / 4, "add", magnitude=len(group))]
    return steps


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("quiet", "light load, 39 to 51% of capacity", (0.39, 0.51)),
        Scenario("busy", "usual load, 55 to 67% of capacity", (0.55, 0.67)),
        Scenario("overload", "usage inside quotas alone is 80 to 97% of capacity", (0.8, 0.97)),
        Scenario(
            "payday",
            "all customers of one plan send several times as many requests",
            (0.43, 0.64),
            _burst_faults,
        ),
        Scenario("crash", "backends crash and restart warming up", (0.43, 0.64), _crash_faults),
        Scenario("silent", "backends' machines become unresponsive", (0.43, 0.64), _silent_faults),
        Scenario("roll", "gateways are restarted in turn", (0.43, 0.64), _roll_faults),
        Scenario(
            "counter",
            "the counter refuses calls, restarts empty, then is slow",
            (0.43, 0.64),
            _counter_faults,
        ),
        Scenario(
            "cold",
            "a third more backends start warming up while some drain, at high load",
            (0.8, 0.97),
            _cold_faults,
        ),
        Scenario("herd", "most gateways are killed at once during a release", (0.43, 0.64), _herd_faults),
        Scenario(
            "zone",
            "a third of the backends become unresponsive and restart warming up",
            (0.43, 0.64),
            _zone_faults,
        ),
        Scenario("join", "60% of the backends are replaced within 7 s", (0.43, 0.64), _join_faults),
        Scenario(
            "worst", "burst, crash, restarts and a counter outage in one run", (0.55, 0.67), _worst_faults
        ),
    )
}


def get_scenario(name: str) -> Scenario:
    """Return the scenario of this name. Raises `UnknownScenarioError`."""
    if name not in SCENARIOS:
        raise UnknownScenarioError(f"no scenario {name!r}; there are {', '.join(SCENARIOS)}")
    return SCENARIOS[name]
