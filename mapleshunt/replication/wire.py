"""Frames between gateways, and between a gateway and its clients: their records and their codec. Pure.

A frame is its length in four bytes and that many bytes of msgpack. The first frame on a connection is a
`Handshake`. A frame that cannot be decoded, is too long or is from another fleet ends the connection. Frames
hold positions and tags only: names may change; tags, the order of fields and their defaults may not.
"""

from __future__ import annotations

import struct

import msgspec

from .boots import MAX_KNOWN_INCARNATIONS
from .generations import MAX_GROUPS
from .messages import Message

MIN_VERSION, MAX_VERSION = 1, 1  # of this protocol that are supported
MAX_FRAME_BYTES = 1 << 20
MAX_REPLY_DATA_BYTES = MAX_FRAME_BYTES - 4096  # leaves room for a frame's other fields
MAX_PROPOSAL_BYTES = 64 * 1024  # of one command
FRAME_HEADER = struct.Struct(">I")


class Handshake(msgspec.Struct, array_like=True, tag=0, frozen=True):
    """The sender on a connection, and what it knows of the fleet. A client has no incarnation."""

    fleet: str
    min_version: int
    max_version: int
    gateway: str
    incarnation: str
    boot: int
    known_boots: dict[str, int]  # the newest boot seen of each incarnation
    formed_groups: int  # bit mask of the groups that have been formed
    generations: dict[int, int] = {}  # the latest, of groups that an operator recovered; others have 0


class MessageBatch(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Messages of several groups between two gateways, in order; each with its channel."""

    messages: tuple[tuple[int, Message], ...]


class ClientRequest(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """A client's command or query to a group."""

    number: int
    group: int
    command: bytes = b""  # a command of the replicated state, encoded
    query: str = ""  # "store CUSTOMER", "record KEY"


class ClientResponse(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """The response to a request of either kind.

    `status` is "done", "refused" (nothing was or will be done) or "unknown". It is no enum: a later version
    may send other values.
    """

    number: int
    status: str
    leader_hint: str = ""  # the leader's gateway, if known
    data: bytes = b""


class AdminRequest(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """An operator's query, or an operation on a group: "status", "transfer" or "recover"."""

    number: int
    operation: str
    group: int = -1
    replica: str = ""


Frame = Handshake | MessageBatch | ClientRequest | ClientResponse | AdminRequest

_ENCODE = msgspec.msgpack.Encoder().encode
_DECODE: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


class ProtocolError(Exception):
    """Bytes that no gateway of this fleet sends; its text is logged as the reason."""


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame. Raises ValueError if it is too long."""
    data = _ENCODE(frame)
    if len(data) > MAX_FRAME_BYTES:
        raise ValueError(f"a frame must have at most {MAX_FRAME_BYTES} bytes, got {len(data)}")
    return FRAME_HEADER.pack(len(data)) + data


def decode_frame(data: bytearray | memoryview, start: int, end: int) -> tuple[Frame, int] | None:
    """Return a frame and where it ends, or None if it is incomplete. Raises `ProtocolError`."""
    if end - start < FRAME_HEADER.size:
        return None
    (size,) = FRAME_HEADER.unpack_from(data, start)
    if size > MAX_FRAME_BYTES:
        raise ProtocolError(f"a frame is too long: {size} bytes of at most {MAX_FRAME_BYTES}")
    if end - start < FRAME_HEADER.size + size:
        return None
    body = start + FRAME_HEADER.size
    try:
        return _DECODE.decode(memoryview(data)[body : body + size]), body + size
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise ProtocolError("a frame is not valid msgpack of a known record") from None


def check_handshake(handshake: Handshake, fleet: str) -> None:
    """Raise `ProtocolError` if the sender cannot take part."""
    if handshake.fleet != fleet:
        raise ProtocolError(f"is of another fleet: {handshake.fleet[:64]!r}, not {fleet!r}")
    if handshake.min_version > MAX_VERSION or handshake.max_version < MIN_VERSION:
        raise ProtocolError(
            f"speaks versions {handshake.min_version} to {handshake.max_version},"
            f" not {MIN_VERSION} to {MAX_VERSION}"
        )
    too_many_known = len(handshake.known_boots) > MAX_KNOWN_INCARNATIONS
    if too_many_known or len(handshake.generations) > MAX_GROUPS:
        raise ProtocolError(
            f"knows too many incarnations ({len(handshake.known_boots)} of at most {MAX_KNOWN_INCARNATIONS})"
            f" or generations ({len(handshake.generations)} of at most {MAX_GROUPS})"
        )
