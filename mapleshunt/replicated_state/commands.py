"""Operations on the holdings, and what comes of them: records that go through the log.

Each operation is applied once however often it is sent: a session (a gateway's incarnation) numbers its own,
and tells with each below which number it has all its answers.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..maintenance import commands as works

# Operations


class OpenSession(msgspec.Struct, array_like=True, tag=0, frozen=True):
    """Begin the session; done again it changes nothing."""


class AcquireLease(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Units of a customer's store for `term` ms of the log's time: what there is, `least` at least. Before
    that the leases in `back` end, each with what was used of it, as by `Return`.
    """

    customer: str
    rate: float  # of the store, units a second
    burst: float  # the most that it holds, leases included
    units: float
    min_units: float
    term_ms: float
    returned: tuple[tuple[int, float], ...] = ()


class ReturnLease(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """A lease ends: `used` of its units are spent, the rest goes back, unless it has run out. More than its
    units were used where true costs were above the guess: that comes off the store.
    """

    customer: str
    lease_id: int
    used_units: float


class SettleUsage(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """The true cost of what was used differs by so much; a store may go below 0 by its burst at most."""

    customer: str
    units: float


class CountUsage(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Use that is owed to billing, added to what is counted for that customer."""

    customer: str
    units: float


class ReserveUnits(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Set units of a store aside under a name until they are released, or `term` ms have passed."""

    customer: str
    name: str
    units: float
    term_ms: float


class ReleaseReservation(msgspec.Struct, array_like=True, tag=6, frozen=True):
    customer: str
    name: str


class SetRecord(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """A record that an operator sets, if it is at this version (0: there is none)."""

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
    | works.Operation
)


class Command(msgspec.Struct, array_like=True, frozen=True):
    session: str
    sequence_number: int
    acknowledged_below: int  # the session has the answers to all below this number
    operation: Operation


# What comes of one


encode = msgspec.msgpack.Encoder().encode
decode_command: Callable[[bytes], Command] = msgspec.msgpack.Decoder(Command).decode
