"""The result of a run of a fault schedule."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class FaultReport:
    """The result of a run. The fields' names are the keys of `mapleshunt rig faults --json`."""

    seed: int
    gateways: int
    faults: list[str] = field(default_factory=list)  # injected, in order
    broken: list[str] = field(default_factory=list)  # guarantees that did not hold, a line each
    calls: dict[str, int] = field(default_factory=dict)  # by kind of operation
    repeats: int = 0  # of calls that were not answered
    leaderless_s: list[float] = field(default_factory=list)  # from a leader's kill until another leads
    seconds: float = 0.0
