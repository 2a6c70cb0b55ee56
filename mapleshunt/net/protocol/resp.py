"""RESP2: a pure parser for commands and replies, and the encoder. It does no I/O and keeps no state.

A parser is given the buffer and its bounds. It answers None until the message is whole, then the message
and where it ends. Values are slices of the buffer. Every part of a message is bounded.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MAX_VALUE_BYTES = 65536  # bytes of a bulk string
MAX_ITEMS = 16  # of an array
MAX_LINE_BYTES = 1024  # bytes of a line
MAX_MESSAGE_BYTES = MAX_VALUE_BYTES + 8192  # bytes that a connection needs to hold for one message
CRLF = b"\r\n"


class ProtocolError(Exception):
    """Bytes that are no message; nothing after them can be read."""


@dataclass(slots=True, frozen=True)
class ErrorReply:
    text: str


@dataclass(slots=True, frozen=True)
class SimpleReply:
    text: str


Reply = ErrorReply | SimpleReply | int | memoryview | None | list["Reply"]


def _line(data: bytearray, start: int, end: int) -> int:
    """Where the line that begins at `start` ends, -1 if it is not whole."""
    at = data.find(CRLF, start, min(end, start + MAX_LINE_BYTES))
    if at < 0 and end - start >= MAX_LINE_BYTES:
        raise ProtocolError("a line is too long")
    return at


def _number(data: bytearray, start: int, end: int) -> int:
    digits = bytes(data[start:end])
    negative = digits.startswith(b"-")
    if not digits[negative:].isdigit() or len(digits) > 18:
        raise ProtocolError("a number is malformed")
    return int(digits)


def _bulk(data: bytearray, start: int, end: int, size: int) -> tuple[memoryview, int] | None:
    if size > MAX_VALUE_BYTES:
        raise ProtocolError(f"a value is longer than {MAX_VALUE_BYTES} bytes")
    if end < start + size + 2:
        return None
    if data[start + size : start + size + 2] != CRLF:
        raise ProtocolError("a value does not end where it should")
    return memoryview(data)[start : start + size], start + size + 2


def parse_command(data: bytearray, start: int, end: int) -> tuple[list[memoryview], int] | None:
    """An array of bulk strings."""
    if start >= end:
        return None
    if data[start] != 0x2A:  # *
        raise ProtocolError("a command begins with *")
    if (at := _line(data, start + 1, end)) < 0:
        return None
    count = _number(data, start + 1, at)
    if not 1 <= count <= MAX_ITEMS:
        raise ProtocolError(f"a command has 1 to {MAX_ITEMS} words")
    words: list[memoryview] = []
    at += 2
    for _ in range(count):
        if at >= end:
            return None
        if data[at] != 0x24:  # $
            raise ProtocolError("a word begins with $")
        if (eol := _line(data, at + 1, end)) < 0:
            return None
        if (size := _number(data, at + 1, eol)) < 0:
            raise ProtocolError("a word has a length of 0 or more")
        if (found := _bulk(data, eol + 2, end, size)) is None:
            return None
        words.append(found[0])
        at = found[1]
    return words, at


def parse_reply(data: bytearray, start: int, end: int, depth: int = 2) -> tuple[Reply, int] | None:
    if start >= end:
        return None
    kind = bytes(data[start : start + 1])
    if kind not in (b"+", b"-", b":", b"$", b"*"):
        raise ProtocolError("a reply begins with one of + - : $ *")
    if (eol := _line(data, start + 1, end)) < 0:
        return None
    if kind == b"-" or kind == b"+":
        text = bytes(data[start + 1 : eol]).decode("latin-1")
        return (ErrorReply(text) if kind == b"-" else SimpleReply(text)), eol + 2
    number, at = _number(data, start + 1, eol), eol + 2
    if kind == b":":
        return number, at
    if number < 0:
        if number != -1:
            raise ProtocolError("a length is below -1")
        return None, at
    if kind == b"$":
        return _bulk(data, at, end, number)
    if number > MAX_ITEMS or depth == 0:
        raise ProtocolError("an array is too long or too deep")
    items: list[Reply] = []
    for _ in range(number):
        if (found := parse_reply(data, at, end, depth - 1)) is None:
            return None
        items.append(found[0])
        at = found[1]
    return items, at


def encode_command(words: Sequence[bytes | memoryview]) -> bytes:
    parts: list[bytes | memoryview] = [b"*%d\r\n" % len(words)]
    for word in words:
        parts += (b"$%d\r\n" % len(word), word, CRLF)
    return b"".join(parts)


def encode_bulk(value: bytes | memoryview) -> bytes:
    return b"".join((b"$%d\r\n" % len(value), value, CRLF))


def encode_error(text: str) -> bytes:
    clean = text.replace("\r", " ").replace("\n", " ")[: MAX_LINE_BYTES - 8]
    return b"-" + clean.encode("latin-1", "replace") + CRLF
