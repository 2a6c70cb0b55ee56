"""Scenarios of a large fleet whose quotas are leased from replicas, with faults of its gateways."""

from __future__ import annotations

from collections.abc import Callable

from ..fleet.faults import Fault, sample_machines
from ..fleet.random_streams import Rng
from .day import Scenario


def replication_faults(what: str, part: float = 0.1) -> Callable[[Rng, Scenario], list[Fault]]:
    """Return the faults of a day: a payday burst, and during it a fault of some gateways.

    Args:
        what: none, restart, lost (for good), or cut and its length in seconds, as in cut6.
        part: the share of the gateways with that fault (one at least).
    """

    def draw_faults(rng: Rng, scenario: Scenario) -> list[Fault]:
        length_ms = 1000 * scenario.seconds
        gateways = sample_machines(rng, scenario.gateways, part)
        begin = 0.3 * length_ms
        burst = Fault(0.2 * length_ms, "burst", 0.6 * length_ms, magnitude=3.0, plan="standard")
        match what:
            case "none":
                return [burst]
            case "restart":
                return [burst, Fault(begin, "restart", 600.0, gateways)]
            case "lost":
                return [burst, Fault(begin, "restart", 1e9, gateways)]
        return [burst, Fault(begin, "cut", 1000 * float(what.removeprefix("cut")), gateways)]

    return draw_faults


def replication_scenario(what: str, gateways: int, seconds: float = 24.0) -> Scenario:
    """Return a scenario with little traffic for each gateway and ample backends: only quotas reject."""
    rate = min(10.0 * gateways, 300.0)
    return Scenario(
        f"copies-{what}",
        "quotas with and without copies",
        (0.5, 0.5),
        replication_faults(what),
        gateways=gateways,
        backends=max(8, round(rate / 8)),
        seconds=seconds,
        rate=rate,
    )
