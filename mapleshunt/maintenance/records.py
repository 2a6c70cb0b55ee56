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
    reason: str = ""
    author: str = ""


class MachineJob(msgspec.Struct, array_like=True, frozen=True):
    """A machine within a request."""

    machine: str
    request_id: str
    state: str = "queued"
    fencing_token: int = 0
    state_since: float = 0.0  # ms of the log's time
    expires_at: float = 0.0  # when the grant ends
    outcome: str = ""  # how it ends once it is undone: withdrawn or failed; else it is queued again
    history: tuple[HistoryEntry, ...] = ()


class MaintenanceRequest(msgspec.Struct, array_like=True, frozen=True):
    details: RequestMaintenance
    submitted_at: float  # ms of the log's time


class MaintenanceSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """A snapshot's form."""

    budget: Budget
    hold_reason: str
    last_fencing_token: int
    failures: int
    last_return_at: float
    overloaded: bool
    requests: tuple[MaintenanceRequest, ...]
    jobs: tuple[MachineJob, ...]
    blocked_reason: str
    budget_was_set: bool
