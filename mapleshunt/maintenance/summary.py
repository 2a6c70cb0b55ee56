"""A summary of the state of maintenance, within the size of one reply."""

from __future__ import annotations

import msgspec

from .records import FINAL_STATES, MaintenanceSnapshot

MIN_HISTORY_ENTRIES = 4  # of each job, kept even where the open requests alone are too large


def summarize(snapshot: MaintenanceSnapshot, max_bytes: int) -> MaintenanceSnapshot:
    """All open requests, and the latest of the others, in at most `max_bytes` as far as that is possible.

    Finished requests are left out first, the oldest first; then the older history of each job.
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
    """Requests without an open job, the oldest first."""
    open_requests = {job.request_id for job in snapshot.jobs if job.state not in FINAL_STATES}
    request_ids = [request.details.request_id for request in snapshot.requests]
    return [request_id for request_id in request_ids if request_id not in open_requests]


def _without(snapshot: MaintenanceSnapshot, request_ids: set[str]) -> MaintenanceSnapshot:
    requests = tuple(one for one in snapshot.requests if one.details.request_id not in request_ids)
    jobs = tuple(job for job in snapshot.jobs if job.request_id not in request_ids)
    return msgspec.structs.replace(snapshot, requests=requests, jobs=jobs)


def _with_short_history(snapshot: MaintenanceSnapshot) -> MaintenanceSnapshot:
    jobs = tuple(
        msgspec.structs.replace(job, history=job.history[-MIN_HISTORY_ENTRIES:]) for job in snapshot.jobs
    )
    return msgspec.structs.replace(snapshot, jobs=jobs)
