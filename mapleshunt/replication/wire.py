"""Frames between gateways, and between a gateway and its clients: their records and their codec. Pure.

A frame is its length in four bytes and that many bytes of msgpack. The first frame on a connection is a
`Handshake`; one that cannot be decoded, is too long or is of another fleet ends the connection. Frames hold
positions and tags only: names may change, tags, the order of fields and their defaults may not.
"""

from __future__ import annotations

import struct

import msgspec

from .boots import MAX_KNOWN_INCARNATIONS
from .generations import MAX_GROUPS
from .messages import Message

MIN_VERSION, MAX_VERSION = 1, 1  # of these frames that this program speaks
MAX_FRAME_BYTES = 1 << 20
MAX_REPLY_DATA_BYTES = MAX_FRAME_BYTES - 4096  # what a frame's other fields need is left
MAX_PROPOSAL_BYTES = 64 * 1024  # of one command
FRAME_HEADER = struct.Struct(">I")


class Handshake(msgspec.Struct, array_like=True, tag=0, frozen=True):
    """Who speaks on a connection, and what it knows of the fleet. A client has no incarnation."""

    fleet: str
    min_version: int
    max_version: int
    gateway: str
    incarnation: str
    boot: int
    known_boots: dict[str, int]  # the newest boot met of each incarnation
    formed_groups: int  # groups that have been formed, by bit
    generations: dict[int, int] = {}  # the latest, of groups that were recovered by hand; others have 0


class MessageBatch(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Messages of several groups between two gateways, in their order; each with its channel."""

    messages: tuple[tuple[int, Message], ...]


class ClientRequest(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """A client's command to a group, or its query."""

    number: int
    group: int
    command: bytes = b""  # a command of the replicated state, encoded
    query: str = ""  # "store CUSTOMER", "record KEY"


class ClientResponse(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """The answer to a request of either kind.

    `status` is "done", "refused" (nothing was or will be done) or "unknown". It is no enum: a later version
    may send others.
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
    """Bytes that no gateway of this fleet sends; its text is the reason in the log."""


def encode_frame(frame: Frame) -> bytes:
    """The bytes of a frame. Raises ValueError if it is too long."""
    data = _ENCODE(frame)
    if len(data) > MAX_FRAME_BYTES:
        raise ValueError(f"a frame of {len(data)} bytes")
    return FRAME_HEADER.pack(len(data)) + data


def decode_frame(data: bytearray | memoryview, start: int, end: int) -> tuple[Frame, int] | None:
    """A whole frame and where it ends, or None until it is whole. Raises `ProtocolError`."""
    if end - start < FRAME_HEADER.size:
        return None
    (size,) = FRAME_HEADER.unpack_from(data, start)
    if size > MAX_FRAME_BYTES:
        raise ProtocolError("a frame is too long")
    if end - start < FRAME_HEADER.size + size:
        return None
    body = start + FRAME_HEADER.size
    try:
        return _DECODE.decode(memoryview(data)[body : body + size]), body + size
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise ProtocolError("a frame makes no sense") from None


def check_handshake(handshake: Handshake, fleet: str) -> None:
    """Raise `ProtocolError` if the sender cannot take part."""
    if handshake.fleet != fleet:
        raise ProtocolError("of another fleet")
    if handshake.min_version > MAX_VERSION or handshake.max_version < MIN_VERSION:
        raise ProtocolError(f"speaks versions {handshake.min_version} to {handshake.max_version} only")
    too_many_known = len(handshake.known_boots) > MAX_KNOWN_INCARNATIONS
    if too_many_known or len(handshake.generations) > MAX_GROUPS:
        raise ProtocolError("knows too many")
