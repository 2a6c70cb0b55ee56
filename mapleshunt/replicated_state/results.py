"""Results of operations on the replicated state, which are returned to the session."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

import msgspec


class DenialReason(StrEnum):
    """Why an operation was denied. The values are stored and sent."""

    STORE = "store"  # the token bucket has too few units, or does not exist
    LEASE = "lease"  # no such lease: it has expired, or was returned
    NAME = "name"  # no such reservation, or its name is taken
    VERSION = "version"  # the record has another version
    FULL = "full"  # a limit is reached
    SESSION = "session"  # no such session: open another
    ORDER = "order"  # the command is invalid, or its number is acknowledged already


class Applied(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """A success. `value`: the bucket's level, the usage counted so far, or the record's new version."""

    value: float = 0.0


class LeaseGranted(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """A lease of `units`, which may be fewer than requested."""

    lease_id: int
    units: float


class Denied(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """The operation was denied. `reason` is a `DenialReason`, or the text of a `MaintenanceError`."""

    reason: str
    value: float = 0.0  # of the same kind as that of `Applied`


Result = Applied | LeaseGranted | Denied

decode_result: Callable[[bytes], Result] = msgspec.msgpack.Decoder(Result).decode
