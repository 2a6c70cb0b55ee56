"""What a soak came to."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class SoakReport:
    """What a soak came to."""

    seed: int
    gateways: int
    seconds: float = 0.0
    troubles: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    requests: int = 0
    answers: dict[str, int] = field(default_factory=dict)
    habits: dict[str, int] = field(default_factory=dict)
    left: int = 0
    resent: int = 0
    starts: int = 0
    slow_starts: int = 0
    replica_calls: int = 0  # of clients of the replicas
    rolls: int = 0  # of machines that were asked for to be worked on
    upgrades: int = 0  # by a second process beside the first
    unjudged: int = 0  # attempts that came while this process was too late to judge their times
    calm_share: float = 1.0
    injected: dict[str, int] = field(default_factory=dict)
    lag_ms: float = 0.0  # by which this process was late at worst
    memory_mb: float = 0.0  # of all gateways, at most
