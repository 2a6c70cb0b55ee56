"""What goes between gateways, and from the command line to one: frames of bounded size. Pure.

A frame is its length in four bytes and that many bytes of msgpack. The first on a connection is a `Hello`;
what is strange, too long or of another fleet ends the connection with a reason.
"""

from __future__ import annotations

import struct

import msgspec

from .messages import Message

LOWEST, HIGHEST = 1, 1  # versions of these frames that this program speaks
MOST_FRAME = 1 << 20
MOST_REPLY_DATA = MOST_FRAME - 4096  # bytes of what a reply holds
MOST_DATA = 64 * 1024  # bytes of one proposal
MOST_KNOWN = 1024
HEAD = struct.Struct(">I")


class Hello(msgspec.Struct, array_like=True, tag=0, frozen=True):
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


class Packet(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Messages of several groups from one copy of each to another, in their order; each with its channel."""

    messages: tuple[tuple[int, Message], ...]


class Call(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """A client's call to a group: an operation (a `words.Command`), or what to read."""

    number: int
    group: int
    command: bytes = b""
    read: str = ""  # "store CUSTOMER", "record KEY"


class Reply(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """`how`: done, refused (nothing was or will be done) or unknown; `hint`: who leads, if known."""

    number: int
    how: str
    hint: str = ""
    data: bytes = b""


class Ask(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """What operators want to know or do: status, or a change that is worded by `what`."""

    number: int
    what: str
    group: int = -1
    copy: str = ""


Frame = Hello | Packet | Call | Reply | Ask

_ENCODE = msgspec.msgpack.Encoder().encode
_DECODE: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


class Strange(Exception):
    """Bytes that no gateway of this fleet sends; its text is the reason in the log."""


def encode(frame: Frame) -> bytes:
    data = _ENCODE(frame)
    if len(data) > MOST_FRAME:
        raise ValueError(f"a frame of {len(data)} bytes")
    return HEAD.pack(len(data)) + data


def parse(data: bytearray | memoryview, start: int, end: int) -> tuple[Frame, int] | None:
    """A whole frame and where it ends, or None until it is whole. Raises `Strange`."""
    if end - start < HEAD.size:
        return None
    (size,) = HEAD.unpack_from(data, start)
    if size > MOST_FRAME:
        raise Strange("a frame is too long")
    if end - start < HEAD.size + size:
        return None
    at = start + HEAD.size
    try:
        return _DECODE.decode(memoryview(data)[at : at + size]), at + size
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise Strange("a frame makes no sense") from None


MOST_GROUPS = 64


def channel(group: int, generation: int) -> int:
    """What the messages of a group go by: those of a group before it was recovered by hand go by another."""
    return group + MOST_GROUPS * generation


def group_and_generation(channel: int) -> tuple[int, int]:
    return channel % MOST_GROUPS, channel // MOST_GROUPS


def next_generation(generation: int, chance: int) -> int:
    """A count, and 16 bits of chance: of a group that was recovered twice apart, one is the later for all."""
    return ((generation >> 16) + 1) << 16 | chance & 0xFFFF


def later(boot: int, known: int) -> int:
    """The higher boot. Of two with the same count the known one stays: the other is of a disk that was put
    back.
    """
    return boot if boot >> 32 > known >> 32 else known


def merged(known: dict[str, int], told: dict[str, int]) -> dict[str, int]:
    """The highest boot of each incarnation, with what another gateway told, as far as there is room."""
    both = dict(known)
    for incarnation, boot in told.items():
        if incarnation in both:
            both[incarnation] = later(boot, both[incarnation])
        elif len(both) < MOST_KNOWN:
            both[incarnation] = boot
    return both


def met(known: dict[str, int], incarnation: str, boot: int) -> dict[str, int]:
    """The same with one that was met itself, as the last. It takes the place of the one that was met longest
    ago, where there is no room: incarnations that are gone for good would fill it up.
    """
    rest = {one: highest for one, highest in known.items() if one != incarnation}
    while len(rest) >= MOST_KNOWN:
        del rest[next(iter(rest))]
    return {**rest, incarnation: later(boot, known.get(incarnation, boot))}


def is_older(boot: int, known: int) -> bool:
    """Does somebody know of a life of this incarnation that its disk, in its life `boot`, does not?"""
    return known != boot and known >> 32 >= boot >> 32


def greeted(hello: Hello, fleet: str) -> None:
    """Raises `Strange` for whoever cannot take part."""
    if hello.fleet != fleet:
        raise Strange("of another fleet")
    if hello.lowest > HIGHEST or hello.highest < LOWEST:
        raise Strange(f"speaks versions {hello.lowest} to {hello.highest} only")
    if len(hello.known) > MOST_KNOWN or len(hello.generations) > MOST_GROUPS:
        raise Strange("knows too many")
