"""Reads of a group's replicated state, as requests name them: "KIND NAME"."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ...maintenance.summary import summarize
from ...replicated_state.state_machine import ReplicatedState
from ...replication import wire

MAX_SUMMARY_BYTES = wire.MAX_REPLY_DATA_BYTES // 2


def read_state(state: ReplicatedState, query: str, last_stamp: float, stamp: Callable[[], float]) -> bytes:
    """Return what the query asks for, encoded; nil for an unknown kind.

    Args:
        state: the replica's state machine.
        query: the kind, and a name if the kind has one.
        last_stamp: the time stamp of the last entry.
        stamp: returns the time stamp that an entry would get now.
    """
    kind, _, name = query.partition(" ")
    if kind == "store":
        return msgspec.msgpack.encode(state.store(last_stamp, name))
    if kind == "place":
        place, now = state.works.place_of(name), stamp()
        is_long = place is not None and state.works.requests[place.request].ask.long
        return msgspec.msgpack.encode((now, place, is_long, bool(state.works.open())))
    if kind == "works":
        return msgspec.msgpack.encode((stamp(), summarize(state.works.freeze(), MAX_SUMMARY_BYTES)))
    if kind == "record":
        return msgspec.msgpack.encode(state.records.get(name))
    return msgspec.msgpack.encode(None)
