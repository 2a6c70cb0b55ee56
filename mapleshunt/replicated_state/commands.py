"""Commands: operations on the replicated state, as the log carries them.

Each operation is applied once, however often it is sent: a session (a gateway's incarnation) numbers its
operations, and sends with each the number below which it has received all results.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..maintenance import commands as maintenance


class OpenSession(msgspec.Struct, array_like=True, tag=0, frozen=True):
    """Open the session; if it is open already, only the time of its last activity changes."""


class AcquireLease(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Lease units of a customer's token bucket: as many as it has up to `units`, and at least `min_units`.

    First the leases in `returned` end, each with the units that were used of it, as by `ReturnLease`.
    """

    customer: str
    rate: float  # of the bucket, units per second
    burst: float  # the most that the bucket holds, leases included
    units: float
    min_units: float
    term_ms: float  # of the log's time
    returned: tuple[tuple[int, float], ...] = ()  # lease id and used units


class ReturnLease(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """End a lease: unused units go back to the bucket, unless the lease has expired.

    More than its units are used where actual costs exceed the estimate: the excess comes off the bucket.
    """

    customer: str
    lease_id: int
    used_units: float


class SettleUsage(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Take units off for costs above the estimate; the level may fall to minus the burst at most."""

    customer: str
    units: float


class CountUsage(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Add usage that is to be billed to the customer's counted usage."""

    customer: str
    units: float


class ReserveUnits(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Reserve units of a bucket under a name, until they are released or the term ends."""

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
