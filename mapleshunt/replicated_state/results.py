"""What comes of an operation on the replicated state: the reply that goes back to its session."""

from __future__ import annotations

from collections.abc import Callable

import msgspec


class Applied(msgspec.Struct, array_like=True, tag=10, frozen=True):
    value: float = 0.0  # by operation: what a store holds, or use so far, or a record's new version


class LeaseGranted(msgspec.Struct, array_like=True, tag=11, frozen=True):
    lease_id: int
    units: float


class Denied(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """Nothing was done: `why` is store, lease, name, version, full, session, order, or what forbids work."""

    reason: str
    value: float = 0.0


Result = Applied | LeaseGranted | Denied


decode_result: Callable[[bytes], Result] = msgspec.msgpack.Decoder(Result).decode
