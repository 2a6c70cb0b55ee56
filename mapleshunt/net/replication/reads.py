"""Reads of a group's replicated state, by queries of the form "KIND NAME"."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ...maintenance.summary import summarize
from ...replicated_state.state_machine import ReplicatedState
from ...replication import wire

MAX_SUMMARY_BYTES = wire.MAX_REPLY_DATA_BYTES // 2


def read_state(state: ReplicatedState, query: str, last_stamp: float, stamp: Callable[[], float]) -> bytes:
    """Return the encoded result of a query; nil for an unknown kind.

    Args:
        state: the replica's state machine.
        query: the kind, and the name if the kind takes one.
        last_stamp: the timestamp of the last entry.
        stamp: returns the timestamp that an entry would get now.
    """
    kind, _, name = query.partition(" ")
    if kind == "store":
        return msgspec.msgpack.encode(state.bucket_at(last_stamp, name))
    if kind == "place":
        job, now = state.maintenance.job_of(name), stamp()
        move_replicas = job is not None and state.maintenance.requests[job.request_id].details.move_replicas
        return msgspec.msgpack.encode((now, job, move_replicas, bool(state.maintenance.open_jobs())))
    if kind == "works":
        return msgspec.msgpack.encode((stamp(), summarize(state.maintenance.snapshot(), MAX_SUMMARY_BYTES)))
    if kind == "record":
        return msgspec.msgpack.encode(state.records.get(name))
    return msgspec.msgpack.encode(None)
