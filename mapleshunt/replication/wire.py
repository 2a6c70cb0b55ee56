"""What goes between gateways, and from the command line to one: frames of bounded size. Pure.

A frame is its length in four bytes and that many bytes of msgpack. The first on a connection is a
`Handshake`; what is strange, too long or of another fleet ends the connection with a reason.
"""

from __future__ import annotations

import struct

import msgspec

from .messages import Message

MIN_VERSION, MAX_VERSION = 1, 1  # versions of these frames that this program speaks
MAX_FRAME_BYTES = 1 << 20
MAX_REPLY_DATA_BYTES = MAX_FRAME_BYTES - 4096  # bytes of what a reply holds
MAX_PROPOSAL_BYTES = 64 * 1024  # bytes of one proposal
MAX_KNOWN_INCARNATIONS = 1024
FRAME_HEADER = struct.Struct(">I")


class Handshake(msgspec.Struct, array_like=True, tag=0, frozen=True):
    """Who speaks. `known`: the highest boot that it met of each incarnation; `formed`: groups there are, by
    bit. A client has no incarnation.
    """

    fleet: str
    lowest: int
    highest: int
    name: str
    incarnation: str
    boot: int
    known: dict[str, int]
    formed: int
    generations: dict[int, int] = {}  # of groups that were recovered by hand, the latest; others have 0


class MessageBatch(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Messages of several groups from one copy of each to another, in their order; each with its channel."""

    messages: tuple[tuple[int, Message], ...]


class ClientRequest(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """A client's call to a group: an operation (a `words.Command`), or what to read."""

    number: int
    group: int
    command: bytes = b""
    read: str = ""  # "store CUSTOMER", "record KEY"


class ClientResponse(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """`how`: done, refused (nothing was or will be done) or unknown; `hint`: who leads, if known."""

    number: int
    how: str
    hint: str = ""
    data: bytes = b""


class AdminRequest(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """What operators want to know or do: status, or a change that is worded by `what`."""

    number: int
    what: str
    group: int = -1
    copy: str = ""


Frame = Handshake | MessageBatch | ClientRequest | ClientResponse | AdminRequest

_ENCODE = msgspec.msgpack.Encoder().encode
_DECODE: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


class ProtocolError(Exception):
    """Bytes that no gateway of this fleet sends; its text is the reason in the log."""


def encode_frame(frame: Frame) -> bytes:
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
    at = start + FRAME_HEADER.size
    try:
        return _DECODE.decode(memoryview(data)[at : at + size]), at + size
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise ProtocolError("a frame makes no sense") from None


MAX_GROUPS = 64


def channel_of(group: int, generation: int) -> int:
    """What the messages of a group go by: those of a group before it was recovered by hand go by another."""
    return group + MAX_GROUPS * generation


def group_and_generation(channel: int) -> tuple[int, int]:
    return channel % MAX_GROUPS, channel // MAX_GROUPS


def next_generation(generation: int, chance: int) -> int:
    """A count, and 16 bits of chance: of a group that was recovered twice apart, one is the later for all."""
    return ((generation >> 16) + 1) << 16 | chance & 0xFFFF


def newer_boot(boot: int, known: int) -> int:
    """The higher boot. Of two with the same count the known one stays: the other is of a disk that was put
    back.
    """
    return boot if boot >> 32 > known >> 32 else known


def merge_known_boots(known: dict[str, int], told: dict[str, int]) -> dict[str, int]:
    """The highest boot of each incarnation, with what another gateway told, as far as there is room."""
    both = dict(known)
    for incarnation, boot in told.items():
        if incarnation in both:
            both[incarnation] = newer_boot(boot, both[incarnation])
        elif len(both) < MAX_KNOWN_INCARNATIONS:
            both[incarnation] = boot
    return both


def remember_boot(known: dict[str, int], incarnation: str, boot: int) -> dict[str, int]:
    """The same with one that was met itself, as the last. It takes the place of the one that was met longest
    ago, where there is no room: incarnations that are gone for good would fill it up.
    """
    rest = {one: highest for one, highest in known.items() if one != incarnation}
    while len(rest) >= MAX_KNOWN_INCARNATIONS:
        del rest[next(iter(rest))]
    return {**rest, incarnation: newer_boot(boot, known.get(incarnation, boot))}


def is_store_outdated(boot: int, known: int) -> bool:
    """Does somebody know of a life of this incarnation that its disk, in its life `boot`, does not?"""
    return known != boot and known >> 32 >= boot >> 32


def check_handshake(hello: Handshake, fleet: str) -> None:
    """Raises `ProtocolError` for whoever cannot take part."""
    if hello.fleet != fleet:
        raise ProtocolError("of another fleet")
    if hello.lowest > MAX_VERSION or hello.highest < MIN_VERSION:
        raise ProtocolError(f"speaks versions {hello.lowest} to {hello.highest} only")
    if len(hello.known) > MAX_KNOWN_INCARNATIONS or len(hello.generations) > MAX_GROUPS:
        raise ProtocolError("knows too many")
