"""Faults of a run: a schedule that a host injects in order of time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal

from .random_streams import Rng

FaultKind = Literal[
    "crash",  # the target backends' processes end, and restart warming up after `duration`
    "silent",  # the target backends' machines become unresponsive, and restart warming up after `duration`
    "drain",  # the target backends drain, and are removed after `duration`
    "add",  # `magnitude` new backends start, warming up
    "restart",  # the target gateways are killed, and restart with their last endpoint list after `duration`
    "leave",  # the target gateways get SIGTERM, and restart after `duration`
    "burst",  # customers of `plan` send `magnitude` times as many requests for `duration`
    "counter_down",  # the counter refuses calls for `duration`; it restarts empty if `magnitude` is above 0.5
    "counter_silent",  # as above, but it does not reply
    "counter_slow",  # the counter is `magnitude` times slower
    "counter_split",  # the target gateways see a partition of the counter of their own for `duration`
    "cut",  # the target gateways and the others are partitioned for `duration`
    "loss",  # messages between gateways are lost at the rate `magnitude`
]


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault. Times are in ms from the start; `targets` are numbers of backends or gateways."""

    at: float
    kind: FaultKind
    duration: float = 0.0
    targets: tuple[int, ...] = ()
    magnitude: float = 1.0
    plan: str = ""

    @property
    def end(self) -> float:
        """Return when the fault ends (ms)."""
        return self.at + self.duration


def sorted_by_time(faults: Iterable[Fault]) -> tuple[Fault, ...]:
    """Return the faults by time; ties by kind and targets."""
    return tuple(sorted(faults, key=lambda fault: (fault.at, fault.kind, fault.targets)))


def sample_machines(rng: Rng, count: int, share: float) -> tuple[int, ...]:
    """Draw a share of `count` machines, at least one; return their numbers in order."""
    size = max(1, min(count, round(share * count)))
    return tuple(sorted(int(number) for number in rng.choice(count, size, replace=False)))


def rolling_restart(
    rng: Rng, gateways: int, begin: float, within: float, share: float, batch: float, down: float
) -> list[Fault]:
    """Draw a rolling restart of a share of the gateways.

    Args:
        rng: Draws which gateways restart, and in which order.
        gateways: The number of gateways.
        begin: When the first batch restarts (ms).
        within: The time over which the batches are spread (ms).
        share: The share of the gateways that restarts.
        batch: The share of the gateways that is down at a time.
        down: The time for which each is down (ms).
    """
    targets = list(sample_machines(rng, gateways, share))
    rng.shuffle(targets)
    size = max(1, round(batch * gateways))
    groups = [targets[first : first + size] for first in range(0, len(targets), size)]
    gap = within / len(groups)
    return [
        Fault(begin + index * gap, "restart", down, tuple(sorted(group)))
        for index, group in enumerate(groups)
    ]
