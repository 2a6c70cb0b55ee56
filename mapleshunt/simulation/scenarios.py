"""The built-in scenarios: kinds of day, with troubles drawn from the ranges that operators recorded."""

from __future__ import annotations

from ..fleet import faults
from ..fleet.faults import Fault
from ..fleet.random_streams import Rng
from .day import Scenario


class UnknownScenarioError(ValueError):
    """No scenario of that name; its text is for the operator."""


def _when(rng: Rng, scenario: Scenario, lasts: float) -> float:
    """A time in the first half, with room for what lasts so long."""
    length = 1000 * scenario.seconds
    return float(rng.uniform(0.15, max(0.16, min(0.5, 1 - lasts / length)))) * length


def _scaled(scenario: Scenario, ms: float) -> float:
    """A trouble's length, less on runs that are shorter than a recorded day."""
    return ms * min(1.0, scenario.seconds / 40)


def _burst(rng: Rng, scenario: Scenario) -> list[Fault]:
    lasts = _scaled(scenario, float(rng.uniform(5000, 20000)))
    plan = ("basic", "standard", "enterprise")[int(rng.integers(3))]
    return [
        Fault(_when(rng, scenario, lasts), "burst", lasts, magnitude=float(rng.uniform(2.3, 5.5)), plan=plan)
    ]


def _crash(rng: Rng, scenario: Scenario) -> list[Fault]:
    lasts = _scaled(scenario, float(rng.uniform(5400, 23000)))
    who = faults.sample_machines(rng, scenario.backends, float(rng.uniform(0.11, 0.23)))
    return [Fault(_when(rng, scenario, lasts), "crash", lasts, who)]


def _roll(rng: Rng, scenario: Scenario) -> list[Fault]:
    within = _scaled(scenario, float(rng.uniform(11000, 28000)))
    part, batch = float(rng.uniform(0.52, 0.87)), float(rng.uniform(0.085, 0.26))
    down = float(rng.uniform(310, 1100))
    return faults.rolling_restart(
        rng, scenario.gateways, _when(rng, scenario, within), within, part, batch, down
    )


def _counter(rng: Rng, scenario: Scenario) -> list[Fault]:
    lasts = _scaled(scenario, float(rng.uniform(3500, 15000)))
    slow = _scaled(scenario, float(rng.uniform(5100, 20000)))
    begin = _when(rng, scenario, lasts)
    return [
        Fault(begin, "counter_down", lasts, magnitude=1.0),
        Fault(begin + lasts, "counter_slow", slow, magnitude=float(rng.uniform(2.3, 6.8))),
    ]


def _cold(rng: Rng, scenario: Scenario) -> list[Fault]:
    """A third more servers are switched on while a few drain."""
    drained = faults.sample_machines(rng, scenario.backends, 0.15)
    begin = 0.2 * 1000 * scenario.seconds
    return [
        Fault(begin, "add", magnitude=max(1, round(scenario.backends / 3))),
        Fault(begin + 2000, "drain", 3000, drained),
    ]


def _worst(rng: Rng, scenario: Scenario) -> list[Fault]:
    return [*_burst(rng, scenario), *_crash(rng, scenario), *_roll(rng, scenario), *_counter(rng, scenario)]


def _silent(rng: Rng, scenario: Scenario) -> list[Fault]:
    lasts = _scaled(scenario, float(rng.uniform(5400, 15000)))
    return [
        Fault(
            _when(rng, scenario, lasts), "silent", lasts, faults.sample_machines(rng, scenario.backends, 0.12)
        )
    ]


def _herd(rng: Rng, scenario: Scenario) -> list[Fault]:
    """Till servers are released in four groups; in the middle most gateways are killed at once."""
    within = _scaled(scenario, 9000)
    begin = _when(rng, scenario, within)
    who = [int(n) for n in rng.permutation(scenario.backends)]
    releases = []
    for n in range(4):
        group, at = tuple(sorted(who[n::8])), begin + n * within / 4
        releases += [Fault(at, "drain", 2000, group), Fault(at + 1000, "add", magnitude=max(1, len(group)))]
    killed = faults.sample_machines(rng, scenario.gateways, 0.7)
    return [*releases, Fault(begin + within / 3, "restart", float(rng.uniform(310, 1100)), killed)]


def _zone(rng: Rng, scenario: Scenario) -> list[Fault]:
    """A third of the till servers, as a zone holds, vanish at once and come back cold together."""
    lasts = _scaled(scenario, float(rng.uniform(5400, 10000)))
    return [
        Fault(
            _when(rng, scenario, lasts), "silent", lasts, faults.sample_machines(rng, scenario.backends, 0.33)
        )
    ]


def _join(rng: Rng, scenario: Scenario) -> list[Fault]:
    """Six in ten till servers are replaced by cold ones within 7 s, half of them at a time."""
    begin, within = _when(rng, scenario, 7000), _scaled(scenario, 7000)
    who = [int(n) for n in rng.permutation(scenario.backends)]
    size = max(1, round(0.3 * scenario.backends))
    steps = []
    for n in range(2):
        group, at = tuple(sorted(who[n * size : (n + 1) * size])), begin + n * within / 2
        steps += [Fault(at, "drain", within / 2, group), Fault(at + within / 4, "add", magnitude=len(group))]
    return steps


SCENARIOS = {
    one.name: one
    for one in (
        Scenario("quiet", "a calm day, 39 to 51% busy", (0.39, 0.51)),
        Scenario("busy", "a usual day, 43 to 67% busy", (0.55, 0.67)),
        Scenario("overload", "use inside quotas alone comes to 80 to 97%", (0.8, 0.97)),
        Scenario("payday", "all retailers of one plan ask for several times as much", (0.43, 0.64), _burst),
        Scenario("crash", "till servers die and come back cold", (0.43, 0.64), _crash),
        Scenario("silent", "till servers' machines vanish without a word", (0.43, 0.64), _silent),
        Scenario("roll", "gateways are restarted in turn", (0.43, 0.64), _roll),
        Scenario("counter", "the counter refuses, returns empty, then is slow", (0.43, 0.64), _counter),
        Scenario(
            "cold", "a third more till servers start cold while some drain, at high load", (0.8, 0.97), _cold
        ),
        Scenario("herd", "most gateways are killed at once during a release", (0.43, 0.64), _herd),
        Scenario("zone", "a third of the till servers vanish and return cold", (0.43, 0.64), _zone),
        Scenario("join", "six in ten till servers are replaced within 7 s", (0.43, 0.64), _join),
        Scenario("worst", "burst, crash, restarts and a lost counter in one day", (0.55, 0.67), _worst),
    )
}


def get_scenario(name: str) -> Scenario:
    """Raises `UnknownScenario`."""
    if name not in SCENARIOS:
        raise UnknownScenarioError(f"no scenario {name!r}; there are {', '.join(SCENARIOS)}")
    return SCENARIOS[name]
