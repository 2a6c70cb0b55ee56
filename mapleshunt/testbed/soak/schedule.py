"""Troubles of the soak test: drawn by seed as episodes of two or three that overlap in time."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Literal

from ..syscall_faults import SyscallFaultRates

FaultKind = Literal[
    "term", "kill", "upgrade", "reload", "reload_twice", "pause", "clock_step", "calls_fail", "short_io",
    "hold", "backend_crash", "backend_hang", "backend_drain", "backend_add", "backend_resets",
    "backend_spoils", "backend_closes_idle", "backend_forgets", "backend_unreachable", "discovery_down",
    "discovery_resets", "discovery_slow", "discovery_refuses", "peers_cut", "peers_lose", "bad_clients",
    "floods", "resting_clients", "disk_fails", "disk_slow", "links_cut", "links_reset", "roll",
]  # fmt: skip
# Chances relative to each other: what ends or moves processes comes most often.
FAULT_WEIGHTS: dict[FaultKind, int] = {
    "term": 6, "kill": 3, "upgrade": 5, "reload": 3, "reload_twice": 2, "pause": 3, "clock_step": 3,
    "calls_fail": 5, "short_io": 3, "hold": 3, "backend_crash": 3, "backend_hang": 4, "backend_drain": 5,
    "backend_add": 3, "backend_resets": 3, "backend_spoils": 3, "backend_closes_idle": 2,
    "backend_forgets": 2, "backend_unreachable": 2, "discovery_down": 4, "discovery_resets": 3,
    "discovery_slow": 2, "discovery_refuses": 2, "peers_cut": 2, "peers_lose": 2, "bad_clients": 3,
    "floods": 2, "resting_clients": 2, "disk_fails": 6, "disk_slow": 4, "links_cut": 3, "links_reset": 3,
    "roll": 4,
}  # fmt: skip
REPLICATION_KINDS: tuple[FaultKind, ...] = ("disk_fails", "disk_slow", "links_cut", "links_reset", "roll")
GATEWAY_KINDS = {
    "term", "kill", "upgrade", "reload", "reload_twice", "pause", "clock_step", "calls_fail", "short_io",
    "hold", "bad_clients", "floods", "resting_clients", "peers_cut", "discovery_down", "discovery_resets",
    "discovery_slow", "discovery_refuses", *REPLICATION_KINDS,
}  # fmt: skip
EPISODE_S = 2.0  # from one episode to the next
OVERLAP_S = 0.6  # within which an episode's troubles begin
MAX_SYNC_S = 1.0  # that a sync to a slow disk takes longer
CLOCK_STEPS_S = (3600.0, -3600.0, 5.0, -5.0)


@dataclass(frozen=True)
class ScheduledFault:
    """One trouble: `at` and `lasts` in s; `who` are gateways or backends, by kind."""

    at: float
    kind: FaultKind
    lasts: float
    who: tuple[int, ...]
    size: float = 0.0

    def __str__(self) -> str:
        return f"{self.at:.1f} s {self.kind} {','.join(map(str, self.who))} for {self.lasts:.1f} s"


def draw_schedule(
    seed: int, seconds: float, gateways: int, backends: int, replicas: int, only: Sequence[FaultKind] = ()
) -> list[ScheduledFault]:
    """Episodes from the first second on; the last of them is over before `seconds`."""
    chance = random.Random(f"soak {seed}")
    kinds = list(only or [kind for kind in FAULT_WEIGHTS if replicas or kind not in REPLICATION_KINDS])
    found: list[ScheduledFault] = []
    begin = 1.0
    while begin + OVERLAP_S + EPISODE_S < seconds:
        for kind in _kinds(chance, kinds):
            most = replicas if kind in REPLICATION_KINDS else gateways
            found.append(_trouble(chance, kind, begin, most, backends))
        begin += chance.uniform(0.6, 1.4) * EPISODE_S
    return sorted(found, key=lambda one: one.at)


def _kinds(chance: random.Random, kinds: Sequence[FaultKind]) -> list[FaultKind]:
    """Two or three different ones."""
    count, drawn = min(len(kinds), chance.choice([2, 2, 3])), list[FaultKind]()
    while len(drawn) < count:
        kind = chance.choices(kinds, [FAULT_WEIGHTS[one] for one in kinds])[0]
        if kind not in drawn:
            drawn.append(kind)
    return drawn


def _trouble(
    chance: random.Random, kind: FaultKind, begin: float, gateways: int, backends: int
) -> ScheduledFault:
    most, part = (gateways, 0.25) if kind in GATEWAY_KINDS else (backends, 0.15)
    if kind in ("kill", "term"):
        part = 0.15
    size = max(1, round(most * chance.uniform(0.0, 2 * part)))
    who = tuple(sorted(chance.sample(range(most), min(size, most))))
    at, lasts = begin + chance.uniform(0.0, OVERLAP_S), chance.uniform(0.5, 3.0)
    trouble = ScheduledFault(at, kind, lasts, who, chance.random())
    return replace(trouble, size=chance.choice(CLOCK_STEPS_S)) if kind == "clock_step" else trouble


def syscall_fault_rates(trouble: ScheduledFault, before: SyscallFaultRates) -> SyscallFaultRates:
    """The rates of failing calls while a trouble lasts."""
    match trouble.kind:
        case "calls_fail":
            more = replace(before, accept=0.2, connect=0.1, socket=0.05, broken_as=0.5)
        case "short_io":
            more = replace(before, short_io=0.3, interrupt=0.05)
        case "hold":
            more = replace(before, hold=0.02)
        case "disk_fails":
            more = replace(before, disk=0.5, disk_read=0.1)
        case "disk_slow":
            more = replace(before, disk_slow=MAX_SYNC_S * trouble.size)
        case "clock_step":
            more = replace(before, clock_step=trouble.size)
        case _:
            more = before
    return more
