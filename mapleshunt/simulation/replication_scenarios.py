"""Scenarios of a large fleet whose quotas are leased from replicas, with faults of gateways."""

from __future__ import annotations

from collections.abc import Callable

from ..fleet.faults import Fault, sample_machines
from ..fleet.random_streams import Rng
from .day import Scenario


def replication_faults(kind: str, part: float = 0.1) -> Callable[[Rng, Scenario], list[Fault]]:
    """Return the fault plan of a scenario: a payday burst, and during it a fault of some gateways.

    Args:
        kind: none, restart, lost (permanently), or cut and its length in seconds, as in cut6.
        part: the fraction of the gateways with that fault (at least one gateway).
    """

    def draw_faults(rng: Rng, scenario: Scenario) -> list[Fault]:
        length_ms = 1000 * scenario.seconds
        gateways = sample_machines(rng, scenario.gateways, part)
        begin = 0.3 * length_ms
        burst = Fault(0.2 * length_ms, "burst", 0.6 * length_ms, magnitude=3.0, plan="standard")
        match kind:
            case "none":
                return [burst]
            case "restart":
                return [burst, Fault(begin, "restart", 600.0, gateways)]
            case "lost":
                return [burst, Fault(begin, "restart", 1e9, gateways)]
        return [burst, Fault(begin, "cut", 1000 * float(kind.removeprefix("cut")), gateways)]

    return draw_faults


def replication_scenario(kind: str, gateways: int, seconds: float = 24.0) -> Scenario:
    """Return a scenario with little traffic per gateway and ample backends, where only quotas reject."""
    rate = min(10.0 * gateways, 300.0)
    return Scenario(
        f"copies-{kind}",
        "quotas with and without replicas",
        (0.5, 0.5),
        replication_faults(kind),
        gateways=gateways,
        backends=max(8, round(rate / 8)),
        seconds=seconds,
        rate=rate,
    )
