"""Commands: operations on the replicated state, as they go through the log.

Each operation is applied once, however often it is sent: a session (a gateway's incarnation) numbers its
operations, and tells with each below which number it has received all results.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..maintenance import commands as maintenance


class OpenSession(msgspec.Struct, array_like=True, tag=0, frozen=True):
    """Begin the session; if it is open already, it stays as it is."""


class AcquireLease(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Lease units of a customer's token bucket: what there is up to `units`, and at least `min_units`.

    Before that the leases in `returned` end, each with the units that were used of it, as by `ReturnLease`.
    """

    customer: str
    rate: float  # of the bucket, units a second
    burst: float  # the most that the bucket holds, leases included
    units: float
    min_units: float
    term_ms: float  # of the log's time
    returned: tuple[tuple[int, float], ...] = ()  # lease id and used units


class ReturnLease(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """End a lease: what was not used goes back to the bucket, unless the lease has expired.

    More than its units were used where true costs were above the estimate: that comes off the bucket.
    """

    customer: str
    lease_id: int
    used_units: float


class SettleUsage(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Take units off for costs above the estimate; a bucket may go below 0 by its burst at most."""

    customer: str
    units: float


class CountUsage(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Add usage that is owed to billing to what is counted for that customer."""

    customer: str
    units: float


class ReserveUnits(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Set units of a bucket aside under a name, until they are released or the term ends."""

    customer: str
    name: str
    units: float
    term_ms: float  # of the log's time


class ReleaseReservation(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """Give reserved units back to the bucket."""

    customer: str
    name: str


class SetRecord(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """Set a record if it is at the expected version; 0 stands for a record that does not exist."""

    key: str
    value: str
    expected_version: int


Operation = (
    OpenSession
    | AcquireLease
    | ReturnLease
    | SettleUsage
    | CountUsage
    | ReserveUnits
    | ReleaseReservation
    | SetRecord
    | maintenance.Operation
)


class Command(msgspec.Struct, array_like=True, frozen=True):
    """An operation with its place in its session."""

    session: str
    sequence_number: int
    acknowledged_below: int  # the session has the results of all operations below this number
    operation: Operation


encode: Callable[[object], bytes] = msgspec.msgpack.Encoder().encode
decode_command: Callable[[bytes], Command] = msgspec.msgpack.Decoder(Command).decode
