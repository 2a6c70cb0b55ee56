"""The schedule of a soak, drawn from its seed: episodes of two or three faults that overlap in time."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Literal

from ..syscall_faults import HOLD_KINDS, SyscallFaultRates

FaultKind = Literal[
    "term", "kill", "upgrade", "reload", "reload_twice", "pause", "clock_step", "calls_fail", "short_io",
    "hold", "hold_peek", "hold_read", "hold_write", "hold_shutdown", "hold_close", "hold_accept",
    "hold_clock", "backend_crash", "backend_hang", "backend_drain", "backend_add", "backend_resets",
    "backend_spoils", "backend_closes_idle", "backend_forgets", "backend_unreachable", "discovery_down",
    "discovery_resets", "discovery_slow", "discovery_refuses", "peers_cut", "peers_lose", "bad_clients",
    "floods", "resting_clients", "disk_fails", "disk_slow", "links_cut", "links_reset", "roll",
    "reload_then_term", "term_twice", "term_in_start", "upgrade_then_term", "unfinished_clients",
    "discovery_late", "discovery_answers",
]  # fmt: skip
# Relative weights: faults that end or replace processes are among the most frequent.
FAULT_WEIGHTS: dict[FaultKind, int] = {
    "term": 6, "kill": 3, "upgrade": 5, "reload": 3, "reload_twice": 2, "pause": 3, "clock_step": 3,
    "calls_fail": 5, "short_io": 3, "hold": 3, "hold_peek": 1, "hold_read": 1, "hold_write": 1,
    "hold_shutdown": 1, "hold_close": 1, "hold_accept": 1, "hold_clock": 1,
    "backend_crash": 3, "backend_hang": 4, "backend_drain": 5,
    "backend_add": 3, "backend_resets": 3, "backend_spoils": 3, "backend_closes_idle": 2,
    "backend_forgets": 2, "backend_unreachable": 2, "discovery_down": 4, "discovery_resets": 3,
    "discovery_slow": 2, "discovery_refuses": 2, "peers_cut": 2, "peers_lose": 2, "bad_clients": 3,
    "floods": 2, "resting_clients": 2, "disk_fails": 6, "disk_slow": 4, "links_cut": 3, "links_reset": 3,
    "roll": 4, "reload_then_term": 2, "term_twice": 2, "term_in_start": 2, "upgrade_then_term": 2,
}  # fmt: skip
# Drawn only by name: they need gateways with a memory limit and many descriptors.
CROWD_WEIGHTS: dict[FaultKind, int] = {"unfinished_clients": 6}
# Drawn only by name too: the schedules of earlier seeds stay as they are.
ANSWER_MODE_WEIGHTS: dict[FaultKind, int] = {"discovery_late": 4, "discovery_answers": 4}
ALL_WEIGHTS: dict[FaultKind, int] = {**FAULT_WEIGHTS, **CROWD_WEIGHTS, **ANSWER_MODE_WEIGHTS}
REPLICATION_KINDS: tuple[FaultKind, ...] = ("disk_fails", "disk_slow", "links_cut", "links_reset", "roll")
# These end gateways; fewer are their targets.
ENDING_KINDS = ("kill", "term", "reload_then_term", "term_twice", "term_in_start", "upgrade_then_term")
GATEWAY_KINDS: set[str] = {
    *ENDING_KINDS, "upgrade", "reload", "reload_twice", "pause", "clock_step", "calls_fail", "short_io",
    "hold", *HOLD_KINDS, "bad_clients", "floods", "resting_clients", "peers_cut", "discovery_down",
    "discovery_resets", "discovery_slow", "discovery_refuses", *REPLICATION_KINDS, *CROWD_WEIGHTS,
    *ANSWER_MODE_WEIGHTS,
}  # fmt: skip
EPISODE_INTERVAL_S = 2.0  # mean, from the start of one episode to the next
EPISODE_INTERVAL_FACTORS = (0.6, 1.4)  # an interval is the mean times a factor between these
FIRST_EPISODE_S = 1.0  # after the start of the soak
OVERLAP_WINDOW_S = 0.6  # the faults of an episode begin within this time
DURATION_RANGE_S = (0.5, 3.0)
EPISODE_FAULT_COUNTS = (2, 2, 3)  # drawn uniformly
GATEWAY_FRACTION = 0.25  # of the gateways; the mean that a fault targets
ENDED_GATEWAY_FRACTION = 0.15  # the same for `kill` and `term`, which end gateways
BACKEND_FRACTION = 0.15
MAX_SYNC_DELAY_S = 1.0  # added to a sync of a slow disk, at most
SHORT_DEADLINE_FACTOR = 0.2  # deadlines of 0.6 and 0.8 s
CROWD_INTERVAL_S = 1.5  # from one crowd to the next
MAX_HOLD_S = 0.15  # the protocol allows a gateway to be held up this long
HOLD_SPACING_S = 2.0  # between two holds of a process, which would add up to a longer one
# Chance of a hold at one call: rare calls have a larger one.
HOLD_RATES: dict[str, float] = {
    "hold_peek": 0.1, "hold_read": 0.01, "hold_write": 0.02, "hold_shutdown": 0.2, "hold_close": 0.1,
    "hold_accept": 0.1, "hold_clock": 0.0005,
}  # fmt: skip
CLOCK_STEPS_S = (3600.0, -3600.0, 5.0, -5.0)


@dataclass(frozen=True)
class SoakVariant:
    """What sets a soak apart from others beside its faults."""

    deadline_factor: float  # scales the deadlines of all request classes
    has_crowd: bool  # idle clients fill the descriptors of some gateway all the time


@dataclass(frozen=True)
class ScheduledFault:
    """A fault of a schedule; its kind says whether its targets are gateways or backends."""

    begins_at_s: float
    kind: FaultKind
    duration_s: float
    targets: tuple[int, ...]
    magnitude: float = 0.0  # 0 to 1; the step in s for `clock_step`

    def __str__(self) -> str:
        targets = ",".join(map(str, self.targets))
        return f"{self.begins_at_s:.1f} s {self.kind} {targets} for {self.duration_s:.1f} s"


def draw_schedule(
    seed: int, seconds: float, gateways: int, backends: int, replicas: int, only: Sequence[FaultKind] = ()
) -> list[ScheduledFault]:
    """Return the faults sorted by start; all begin before `seconds` less an episode interval.

    `only` are the kinds that are drawn; by default all, those of replication only if there are `replicas`.
    """
    rng = random.Random(f"soak {seed}")
    kinds = list(only or [kind for kind in FAULT_WEIGHTS if replicas or kind not in REPLICATION_KINDS])
    faults: list[ScheduledFault] = []
    episode_start_s = FIRST_EPISODE_S
    while episode_start_s + OVERLAP_WINDOW_S + EPISODE_INTERVAL_S < seconds:
        for kind in _draw_kinds(rng, kinds):
            available_gateways = replicas if kind in REPLICATION_KINDS else gateways
            faults.append(_draw_fault(rng, kind, episode_start_s, available_gateways, backends))
        episode_start_s += rng.uniform(*EPISODE_INTERVAL_FACTORS) * EPISODE_INTERVAL_S
    return sorted(faults, key=lambda fault: fault.begins_at_s)


def _draw_kinds(rng: random.Random, kinds: Sequence[FaultKind]) -> list[FaultKind]:
    """Return two or three different kinds, fewer if `kinds` has fewer."""
    count, drawn = min(len(kinds), rng.choice(EPISODE_FAULT_COUNTS)), list[FaultKind]()
    while len(drawn) < count:
        kind = rng.choices(kinds, [ALL_WEIGHTS[candidate] for candidate in kinds])[0]
        if kind not in drawn:
            drawn.append(kind)
    return drawn


def _draw_fault(
    rng: random.Random, kind: FaultKind, episode_start_s: float, gateways: int, backends: int
) -> ScheduledFault:
    available, fraction = (
        (gateways, GATEWAY_FRACTION) if kind in GATEWAY_KINDS else (backends, BACKEND_FRACTION)
    )
    if kind in ENDING_KINDS:
        fraction = ENDED_GATEWAY_FRACTION
    count = max(1, round(available * rng.uniform(0.0, 2 * fraction)))
    targets = tuple(sorted(rng.sample(range(available), min(count, available))))
    begins_at, duration = episode_start_s + rng.uniform(0.0, OVERLAP_WINDOW_S), rng.uniform(*DURATION_RANGE_S)
    fault = ScheduledFault(begins_at, kind, duration, targets, rng.random())
    if kind == "clock_step":
        return replace(fault, magnitude=rng.choice(CLOCK_STEPS_S))
    return fault


def draw_variant(seed: int) -> SoakVariant:
    """Return the variant of a seed: a third of the soaks have short deadlines, a third a crowd."""
    rng = random.Random(f"variant {seed}")
    deadline_factor = rng.choice([1.0, 1.0, SHORT_DEADLINE_FACTOR])
    return SoakVariant(deadline_factor, rng.choice([True, False, False]))


def with_crowd(
    faults: Sequence[ScheduledFault], seed: int, seconds: float, gateways: int
) -> list[ScheduledFault]:
    """Return the faults with crowds of idle clients added, at one gateway after another all the time."""
    rng, begins_at, crowds = random.Random(f"crowd {seed}"), FIRST_EPISODE_S, list[ScheduledFault]()
    while begins_at < seconds:
        targets = (rng.randrange(gateways),)
        crowds.append(ScheduledFault(begins_at, "resting_clients", DURATION_RANGE_S[1], targets))
        begins_at += CROWD_INTERVAL_S
    return sorted([*faults, *crowds], key=lambda fault: fault.begins_at_s)


def syscall_fault_rates(fault: ScheduledFault, before: SyscallFaultRates) -> SyscallFaultRates:
    """Return the rates of failing system calls during a fault, on top of those `before` it."""
    rates = before
    match fault.kind:
        case "calls_fail":
            rates = replace(before, accept=0.2, connect=0.1, socket=0.05, broken_as=0.5)
        case "short_io":
            rates = replace(before, short_io=0.3, interrupt=0.05)
        case "hold":
            rates = _hold_rates(fault, before, HOLD_KINDS)
        case kind if kind in HOLD_KINDS:
            rates = _hold_rates(fault, before, [kind])
        case "disk_fails":
            rates = replace(before, disk=0.5, disk_read=0.1)
        case "disk_slow":
            rates = replace(before, disk_slow=MAX_SYNC_DELAY_S * fault.magnitude)
        case "clock_step":
            rates = replace(before, clock_step=fault.magnitude)
    return rates


def _hold_rates(fault: ScheduledFault, before: SyscallFaultRates, calls: Sequence[str]) -> SyscallFaultRates:
    """Return rates by which a process is held up at these calls, one at a time."""
    rates = {call: HOLD_RATES[call] for call in calls}
    return replace(before, hold_s=MAX_HOLD_S * fault.magnitude, hold_spacing_s=HOLD_SPACING_S, **rates)
