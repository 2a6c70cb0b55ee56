"""The faults of a soak: drawn by seed, as episodes of two or three that overlap in time."""

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
EPISODE_S = 2.0  # from one episode to the next, on average
EPISODE_SPREAD = (0.6, 1.4)  # of that time, by which it differs
FIRST_EPISODE_S = 1.0  # after the begin of the soak
OVERLAP_S = 0.6  # within which an episode's faults begin
DURATION_RANGE_S = (0.5, 3.0)
FAULTS_OF_EPISODE = (2, 2, 3)  # one of these is drawn
GATEWAY_SHARE = 0.25  # of the gateways that a fault hits, on average
ENDED_GATEWAY_SHARE = 0.15  # the same of faults that end gateways
BACKEND_SHARE = 0.15
MAX_SYNC_DELAY_S = 1.0  # that a sync to a slow disk takes longer
CLOCK_STEPS_S = (3600.0, -3600.0, 5.0, -5.0)


@dataclass(frozen=True)
class ScheduledFault:
    """A fault of a schedule; its targets are gateways or backends, by its kind."""

    begins_at_s: float
    kind: FaultKind
    duration_s: float
    targets: tuple[int, ...]
    magnitude: float = 0.0  # from 0 to 1; of a clock step in s

    def __str__(self) -> str:
        targets = ",".join(map(str, self.targets))
        return f"{self.begins_at_s:.1f} s {self.kind} {targets} for {self.duration_s:.1f} s"


def draw_schedule(
    seed: int, seconds: float, gateways: int, backends: int, replicas: int, only: Sequence[FaultKind] = ()
) -> list[ScheduledFault]:
    """Return the faults in the order of their begin; the last episode is over before `seconds`.

    `only` are the kinds that are drawn; by default all, those of replication if there are `replicas`.
    """
    rng = random.Random(f"soak {seed}")
    kinds = list(only or [kind for kind in FAULT_WEIGHTS if replicas or kind not in REPLICATION_KINDS])
    faults: list[ScheduledFault] = []
    begin = FIRST_EPISODE_S
    while begin + OVERLAP_S + EPISODE_S < seconds:
        for kind in _draw_kinds(rng, kinds):
            available_gateways = replicas if kind in REPLICATION_KINDS else gateways
            faults.append(_draw_fault(rng, kind, begin, available_gateways, backends))
        begin += rng.uniform(*EPISODE_SPREAD) * EPISODE_S
    return sorted(faults, key=lambda fault: fault.begins_at_s)


def _draw_kinds(rng: random.Random, kinds: Sequence[FaultKind]) -> list[FaultKind]:
    """Return two or three different ones."""
    count, drawn = min(len(kinds), rng.choice(FAULTS_OF_EPISODE)), list[FaultKind]()
    while len(drawn) < count:
        kind = rng.choices(kinds, [FAULT_WEIGHTS[one] for one in kinds])[0]
        if kind not in drawn:
            drawn.append(kind)
    return drawn


def _draw_fault(
    rng: random.Random, kind: FaultKind, begin: float, gateways: int, backends: int
) -> ScheduledFault:
    available, share = (gateways, GATEWAY_SHARE) if kind in GATEWAY_KINDS else (backends, BACKEND_SHARE)
    if kind in ("kill", "term"):
        share = ENDED_GATEWAY_SHARE
    count = max(1, round(available * rng.uniform(0.0, 2 * share)))
    targets = tuple(sorted(rng.sample(range(available), min(count, available))))
    begins_at, duration = begin + rng.uniform(0.0, OVERLAP_S), rng.uniform(*DURATION_RANGE_S)
    fault = ScheduledFault(begins_at, kind, duration, targets, rng.random())
    if kind == "clock_step":
        return replace(fault, magnitude=rng.choice(CLOCK_STEPS_S))
    return fault


def syscall_fault_rates(fault: ScheduledFault, before: SyscallFaultRates) -> SyscallFaultRates:
    """Return the rates of failing calls while a fault lasts, on top of those before."""
    rates = before
    match fault.kind:
        case "calls_fail":
            rates = replace(before, accept=0.2, connect=0.1, socket=0.05, broken_as=0.5)
        case "short_io":
            rates = replace(before, short_io=0.3, interrupt=0.05)
        case "hold":
            rates = replace(before, hold=0.02)
        case "disk_fails":
            rates = replace(before, disk=0.5, disk_read=0.1)
        case "disk_slow":
            rates = replace(before, disk_slow=MAX_SYNC_DELAY_S * fault.magnitude)
        case "clock_step":
            rates = replace(before, clock_step=fault.magnitude)
    return rates
