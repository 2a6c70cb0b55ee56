"""Faults of a run, as a schedule of dated entries that a host injects in the order of their times."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal

from .random_streams import Rng

FaultKind = Literal[
    "crash",  # the target backends die, and restart warming up after `duration`
    "silent",  # the target backends' machines become unresponsive, and restart warming up after `duration`
    "drain",  # the target backends drain, and are removed after `duration`
    "add",  # `magnitude` new backends start, warming up
    "restart",  # the target gateways are killed, and restart with their last endpoint list after `duration`
    "leave",  # the target gateways get SIGTERM, and restart after `duration`
    "burst",  # customers of `plan` send `magnitude` times as many requests for `duration`
    "counter_down",  # the counter refuses calls for `duration`; it returns empty if `magnitude` is over 0.5
    "counter_silent",  # the same, but it does not reply
    "counter_slow",  # the counter is `magnitude` times slower
    "counter_split",  # the target gateways see a partition of the counter of their own for `duration`
    "cut",  # the target gateways and the others are partitioned for `duration`
    "loss",  # messages between gateways are lost at the rate `magnitude`
]


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault. Times are in ms from the start; `targets` are numbers of machines of the kind's sort."""

    at: float
    kind: FaultKind
    duration: float = 0.0
    targets: tuple[int, ...] = ()
    magnitude: float = 1.0
    plan: str = ""

    @property
    def end(self) -> float:
        """When the fault ends (ms)."""
        return self.at + self.duration


def sorted_by_time(faults: Iterable[Fault]) -> tuple[Fault, ...]:
    """Return the faults by time; ties by kind and targets."""
    return tuple(sorted(faults, key=lambda fault: (fault.at, fault.kind, fault.targets)))


def sample_machines(rng: Rng, count: int, share: float) -> tuple[int, ...]:
    """Draw a share of `count` machines, one at least; return their numbers in order."""
    size = max(1, min(count, round(share * count)))
    return tuple(sorted(int(n) for n in rng.choice(count, size, replace=False)))


def rolling_restart(
    rng: Rng, gateways: int, begin: float, within: float, share: float, batch: float, down: float
) -> list[Fault]:
    """Draw a rolling restart of a share of the gateways.

    Args:
        rng: Draws which gateways restart, and in which order.
        gateways: How many there are.
        begin: When the first batch restarts (ms).
        within: Over how long the batches are spread (ms).
        share: The share of the gateways that restarts.
        batch: The share of the gateways that is down at a time.
        down: For how long each is down (ms).
    """
    targets = list(sample_machines(rng, gateways, share))
    rng.shuffle(targets)
    size = max(1, round(batch * gateways))
    groups = [targets[n : n + size] for n in range(0, len(targets), size)]
    gap = within / len(groups)
    return [Fault(begin + n * gap, "restart", down, tuple(sorted(group))) for n, group in enumerate(groups)]
