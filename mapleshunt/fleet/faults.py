"""What goes wrong, as a schedule of dated entries that a host reads in the order of their times."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal

from .random_streams import Rng

FaultKind = Literal[
    "crash",  # till servers `who` die, and come back cold after `lasts`
    "silent",  # their machines say nothing for `lasts`, and come back cold
    "drain",  # they are drained, end what they hold, and are gone after `lasts`
    "add",  # new till servers, `size` of them, start cold
    "restart",  # gateways `who` are killed, and are back with their last list after `lasts`
    "leave",  # gateways `who` are told to end (SIGTERM) and are back after `lasts`
    "burst",  # plan `plan` asks `size` times as much for `lasts`
    "counter_down",  # the counter refuses for `lasts`; `size` over 0.5: it returns empty
    "counter_silent",
    "counter_slow",  # `size` times slower
    "counter_split",  # gateways `who` see a half of their own for `lasts`
    "cut",  # gateways `who` and the others hear nothing of each other for `lasts`
    "loss",  # messages between gateways are lost at the rate `size`
]


@dataclass(slots=True, frozen=True)
class Fault:
    """One dated entry. Times in ms from the start; `who` are numbers of machines of the kind it is about."""

    at: float
    kind: FaultKind
    duration: float = 0.0
    targets: tuple[int, ...] = ()
    magnitude: float = 1.0
    plan: str = ""

    @property
    def end(self) -> float:
        return self.at + self.duration


def sorted_by_time(faults: Iterable[Fault]) -> tuple[Fault, ...]:
    return tuple(sorted(faults, key=lambda one: (one.at, one.kind, one.targets)))


def sample_machines(rng: Rng, count: int, part: float) -> tuple[int, ...]:
    """A drawn part of `count` machines, one at least."""
    size = max(1, min(count, round(part * count)))
    return tuple(sorted(int(n) for n in rng.choice(count, size, replace=False)))


def rolling_restart(
    rng: Rng, gateways: int, begin: float, within: float, part: float, batch: float, down: float
) -> list[Fault]:
    """A rolling restart of a part of the gateways, some at a time, spread over `within` ms."""
    who = list(sample_machines(rng, gateways, part))
    rng.shuffle(who)
    size = max(1, round(batch * gateways))
    groups = [who[n : n + size] for n in range(0, len(who), size)]
    gap = within / len(groups)
    return [Fault(begin + n * gap, "restart", down, tuple(sorted(group))) for n, group in enumerate(groups)]
