"""What a soak came to."""

from __future__ import annotations

import msgspec


class SoakReport(msgspec.Struct):
    """What a soak came to; the names that are encoded are those of `mapleshunt rig soak --json`."""

    seed: int
    gateways: int
    seconds: float = 0.0
    faults: list[str] = msgspec.field(default_factory=list, name="troubles")
    violations: list[str] = msgspec.field(default_factory=list, name="broken")
    requests: int = 0
    answers: dict[str, int] = msgspec.field(default_factory=dict)  # by result
    habits: dict[str, int] = msgspec.field(default_factory=dict)  # of clients, by habit
    left: int = 0  # clients that left before their answer
    resent: int = 0  # requests that crossed a close
    starts: int = 0
    slow_starts: int = 0
    replica_calls: int = 0  # of clients of the replicas
    rolls: int = 0  # requests to take machines out one after another
    upgrades: int = 0  # by a second process beside the first
    unjudged: int = 0  # attempts that came while this process was too late to judge their times
    calm_share: float = 1.0  # of the requests in the calm at the end, that were served
    injected: dict[str, int] = msgspec.field(default_factory=dict)  # failed system calls, by kind
    lag_ms: float = 0.0  # by which this process was late at worst
    memory_mb: float = 0.0  # of all gateways, at most
