"""Results of operations on the replicated state: the replies that go back to the session."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

import msgspec


class DenialReason(StrEnum):
    """Why nothing was done. The values are stored and sent."""

    STORE = "store"  # the token bucket has too little, or there is none
    LEASE = "lease"  # no such lease: it has expired, or was returned
    NAME = "name"  # no such reservation, or its name is taken
    VERSION = "version"  # the record is at another version
    FULL = "full"  # a limit is reached
    SESSION = "session"  # no such session: open another
    ORDER = "order"  # the command makes no sense, or comes too late


class Applied(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """It was done. `value`: the bucket's level, the usage counted so far, or the record's new version."""

    value: float = 0.0


class LeaseGranted(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """A lease of so many units, which may be fewer than were asked for."""

    lease_id: int
    units: float


class Denied(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """Nothing was done. `reason` is a `DenialReason`, or the text of a `MaintenanceError`."""

    reason: str
    value: float = 0.0  # of the same kind as that of `Applied`


Result = Applied | LeaseGranted | Denied

decode_result: Callable[[bytes], Result] = msgspec.msgpack.Decoder(Result).decode
