"""Records of maintenance in the replicated state: requests, and a job for each of their machines."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from .budget import Budget
from .commands import RequestMaintenance


class JobState(StrEnum):
    """States of a job; each change is made by a log entry. The values are stored."""

    QUEUED = "queued"
    GRANTED = "granted"
    DRAINING = "draining"
    SAFE = "safe"
    OUT = "out"
    RETURNING = "returning"
    RECALLED = "recalled"
    OVERDUE = "overdue"
    DONE = "done"
    WITHDRAWN = "withdrawn"
    FAILED = "failed"


WAITING_STATES = (JobState.QUEUED,)
GRANT_STATES = (JobState.GRANTED, JobState.DRAINING, JobState.SAFE)  # the machine acts under its grant
OUT_STATES = (*GRANT_STATES, JobState.OUT, JobState.RETURNING, JobState.RECALLED, JobState.OVERDUE)
FINAL_STATES = (JobState.DONE, JobState.WITHDRAWN, JobState.FAILED)

FORCED = "forced"  # a stored outcome, and the start of the reason in the job's history


class HistoryEntry(msgspec.Struct, array_like=True, frozen=True):
    """A change of a job's state or of its outcome."""

    at: float  # ms of the log's time
    state: str
    reason: str = ""
    author: str = ""


class MachineJob(msgspec.Struct, array_like=True, frozen=True):
    """The maintenance of one machine of a request. Times in ms of the log's time."""

    machine: str
    request_id: str
    state: str = JobState.QUEUED
    fencing_token: int = 0
    state_since: float = 0.0
    expires_at: float = 0.0  # when the grant ends
    outcome: str = ""  # state after the undo: withdrawn or failed; if empty it is queued again; or `FORCED`
    history: tuple[HistoryEntry, ...] = ()


class MaintenanceRequest(msgspec.Struct, array_like=True, frozen=True):
    """An accepted request."""

    details: RequestMaintenance
    submitted_at: float  # ms of the log's time


class MaintenanceSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """The stored form of `MaintenanceJobs`."""

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
