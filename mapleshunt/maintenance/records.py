"""What the replicated state holds about maintenance: requests, and one job for each of their machines."""

from __future__ import annotations

import msgspec

from .budget import Budget
from .commands import RequestMaintenance

# States of a machine within a request, each entered by an entry of the log.
WAITING_STATES = ("queued",)


OUT_STATES = ("granted", "draining", "safe", "out", "returning", "recalled", "overdue")  # counts as out


FINAL_STATES = ("done", "withdrawn", "failed")


class HistoryEntry(msgspec.Struct, array_like=True, frozen=True):
    """A line of a machine's story."""

    at: float  # ms of the log's time
    state: str
    why: str = ""
    who: str = ""


class MachineJob(msgspec.Struct, array_like=True, frozen=True):
    """A machine within a request."""

    machine: str
    request: str
    state: str = "queued"
    fence: int = 0
    since: float = 0.0  # ms of the log's time
    until: float = 0.0  # when the grant ends
    ends: str = ""  # how it ends once it is undone: withdrawn or failed; else it is queued again
    story: tuple[HistoryEntry, ...] = ()


class MaintenanceRequest(msgspec.Struct, array_like=True, frozen=True):
    ask: RequestMaintenance
    at: float  # ms of the log's time


class MaintenanceSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """A snapshot's form."""

    budget: Budget
    held: str
    fence: int
    failures: int
    returned: float
    strained: bool
    requests: tuple[MaintenanceRequest, ...]
    places: tuple[MachineJob, ...]
    blocked: str
    chosen: bool
