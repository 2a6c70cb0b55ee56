"""The report of a soak."""

from __future__ import annotations

import msgspec


class SoakReport(msgspec.Struct):
    """The report of a soak; its encoded names are those that `mapleshunt rig soak --json` prints."""

    seed: int
    gateways: int
    seconds: float = 0.0
    faults: list[str] = msgspec.field(default_factory=list, name="troubles")
    violations: list[str] = msgspec.field(default_factory=list, name="broken")
    requests: int = 0
    answers: dict[str, int] = msgspec.field(default_factory=dict)  # client attempts, by result
    habits: dict[str, int] = msgspec.field(default_factory=dict)  # client attempts, by the client's habit
    left: int = 0  # clients that disconnected before their answer
    resent: int = 0  # requests that the end of their connection crossed
    resent_late: int = 0  # of these, those within the limit only by this process's own lateness
    # Requests that gateways discarded on connections that they had ended, by the reason of the end.
    crossed: dict[str, int] = msgspec.field(default_factory=dict)
    starts: int = 0  # of gateways after they ended
    slow_starts: int = 0  # that took over 10 s
    replica_calls: int = 0  # of the replicas' clients
    rolls: int = 0  # maintenance requests for some machines
    upgrades: int = 0  # by a second process that takes over from the first
    unjudged: int = 0  # attempts not judged because this process was late when they arrived
    calm_share: float = 1.0  # fraction of requests served in the fault-free time at the end
    injected: dict[str, int] = msgspec.field(default_factory=dict)  # failed system calls, by kind
    lag_ms: float = 0.0  # largest lateness of this process
    memory_mb: float = 0.0  # sum of the gateways' peaks
