"""A summary of the maintenance state, limited to the size of a response."""

from __future__ import annotations

import msgspec

from .records import FINAL_STATES, MaintenanceSnapshot

MIN_HISTORY_ENTRIES = 4  # of each job, included even if the open requests alone exceed the limit


def summarize(snapshot: MaintenanceSnapshot, max_bytes: int) -> MaintenanceSnapshot:
    """Return all open and the latest finished requests, in at most `max_bytes` if possible.

    The oldest finished requests are left out first, then the older history of each job.
    """
    while _size(snapshot) > max_bytes:
        finished = _finished_requests(snapshot)
        if not finished:
            return _with_short_history(snapshot)
        snapshot = _without(snapshot, set(finished[: (len(finished) + 1) // 2]))
    return snapshot


def _size(snapshot: MaintenanceSnapshot) -> int:
    return len(msgspec.msgpack.encode(snapshot))


def _finished_requests(snapshot: MaintenanceSnapshot) -> list[str]:
    """Return the ids of requests without an open job, the oldest first."""
    open_requests = {job.request_id for job in snapshot.jobs if job.state not in FINAL_STATES}
    request_ids = [request.details.request_id for request in snapshot.requests]
    return [request_id for request_id in request_ids if request_id not in open_requests]


def _without(snapshot: MaintenanceSnapshot, request_ids: set[str]) -> MaintenanceSnapshot:
    requests = tuple(
        request for request in snapshot.requests if request.details.request_id not in request_ids
    )
    jobs = tuple(job for job in snapshot.jobs if job.request_id not in request_ids)
    return msgspec.structs.replace(snapshot, requests=requests, jobs=jobs)


def _with_short_history(snapshot: MaintenanceSnapshot) -> MaintenanceSnapshot:
    jobs = tuple(
        msgspec.structs.replace(job, history=job.history[-MIN_HISTORY_ENTRIES:]) for job in snapshot.jobs
    )
    return msgspec.structs.replace(snapshot, jobs=jobs)
