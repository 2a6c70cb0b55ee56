"""What a run of a fault schedule came to."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class FaultReport:
    """What a run came to. The fields' names are the keys of `mapleshunt rig faults --json`."""

    seed: int
    gateways: int
    faults: list[str] = field(default_factory=list)  # that were injected, in their order
    broken: list[str] = field(default_factory=list)  # guarantees that did not hold, each a line
    calls: dict[str, int] = field(default_factory=dict)  # by kind of operation
    repeats: int = 0  # of calls that had no answer
    leaderless_s: list[float] = field(default_factory=list)  # from a leader's kill until another answers
    seconds: float = 0.0
