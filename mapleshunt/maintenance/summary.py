"""The state of maintenance as it is told to those who read it: within the size of one reply. Pure."""

from __future__ import annotations

import msgspec

from .records import FINAL_STATES, MaintenanceSnapshot

MIN_HISTORY_ENTRIES = 4  # of each machine's story that are told where even what is not over is too much


def summarize(frozen: MaintenanceSnapshot, most: int) -> MaintenanceSnapshot:
    """All that is not over, and of what is over the latest, in at most `most` bytes as far as that can be.

    Requests that are over go first, the oldest first; then the older steps of each machine's story.
    """
    while _size(frozen) > most:
        over = _over(frozen)
        if not over:
            return _with_few_steps(frozen)
        frozen = _without(frozen, set(over[: (len(over) + 1) // 2]))
    return frozen


def _size(frozen: MaintenanceSnapshot) -> int:
    return len(msgspec.msgpack.encode(frozen))


def _over(frozen: MaintenanceSnapshot) -> list[str]:
    """Requests of which no place is open, the oldest first."""
    open_requests = {one.request_id for one in frozen.jobs if one.state not in FINAL_STATES}
    return [one.details.request_id for one in frozen.requests if one.details.request_id not in open_requests]


def _without(frozen: MaintenanceSnapshot, ids: set[str]) -> MaintenanceSnapshot:
    requests = tuple(one for one in frozen.requests if one.details.request_id not in ids)
    places = tuple(one for one in frozen.jobs if one.request_id not in ids)
    return msgspec.structs.replace(frozen, requests=requests, jobs=places)


def _with_few_steps(frozen: MaintenanceSnapshot) -> MaintenanceSnapshot:
    places = tuple(
        msgspec.structs.replace(one, history=one.history[-MIN_HISTORY_ENTRIES:]) for one in frozen.jobs
    )
    return msgspec.structs.replace(frozen, jobs=places)
