"""RESP2: a pure parser for commands and replies, and the encoder. It does no I/O and keeps no state.

A parser is given the buffer and its bounds. It returns None until the message is complete, then the message
and where it ends. Values are slices of the buffer. Every part of a message is bounded.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MAX_VALUE_BYTES = 65536  # of a bulk string
MAX_ITEMS = 16  # of an array
MAX_LINE_BYTES = 1024
MAX_MESSAGE_BYTES = MAX_VALUE_BYTES + 8192  # that a connection needs to hold for one message
MAX_DIGITS = 18  # of a number: what fits in 64 bits whatever its sign
MAX_ARRAY_DEPTH = 2  # arrays in an array in a reply
MAX_ERROR_TEXT_BYTES = MAX_LINE_BYTES - 8  # an error has to fit in a line with its framing
CRLF = b"\r\n"
ARRAY_MARK, BULK_MARK = ord("*"), ord("$")
REPLY_MARKS = (b"+", b"-", b":", b"$", b"*")
NULL_LENGTH = -1


class ProtocolError(Exception):
    """The bytes are no message; nothing after them can be read. The text goes to the client."""


@dataclass(slots=True, frozen=True)
class ErrorReply:
    """A reply that reports an error."""

    text: str


@dataclass(slots=True, frozen=True)
class SimpleReply:
    """A reply of one line of text."""

    text: str


Reply = ErrorReply | SimpleReply | int | memoryview | None | list["Reply"]


def _line(data: bytearray, start: int, end: int) -> int:
    """Return where the line that begins at `start` ends, -1 if it is not complete."""
    at = data.find(CRLF, start, min(end, start + MAX_LINE_BYTES))
    if at < 0 and end - start >= MAX_LINE_BYTES:
        raise ProtocolError("a line is too long")
    return at


def _number(data: bytearray, start: int, end: int) -> int:
    digits = bytes(data[start:end])
    unsigned = digits[1:] if digits.startswith(b"-") else digits
    if not unsigned.isdigit() or len(digits) > MAX_DIGITS:
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


def _word(data: bytearray, start: int, end: int) -> tuple[memoryview, int] | None:
    """Parse one word of a command."""
    if start >= end:
        return None
    if data[start] != BULK_MARK:
        raise ProtocolError("a word begins with $")
    line_end = _line(data, start + 1, end)
    if line_end < 0:
        return None
    size = _number(data, start + 1, line_end)
    if size < 0:
        raise ProtocolError("a word has a length of 0 or more")
    return _bulk(data, line_end + 2, end, size)


def parse_command(data: bytearray, start: int, end: int) -> tuple[list[memoryview], int] | None:
    """Parse a command, which is an array of bulk strings.

    Returns:
        Its words and where it ends, or None until it is complete.

    Raises:
        ProtocolError: the bytes do not begin a command.
    """
    if start >= end:
        return None
    if data[start] != ARRAY_MARK:
        raise ProtocolError("a command begins with *")
    line_end = _line(data, start + 1, end)
    if line_end < 0:
        return None
    count = _number(data, start + 1, line_end)
    if not 1 <= count <= MAX_ITEMS:
        raise ProtocolError(f"a command has 1 to {MAX_ITEMS} words")
    words: list[memoryview] = []
    at = line_end + 2
    for _ in range(count):
        found = _word(data, at, end)
        if found is None:
            return None
        words.append(found[0])
        at = found[1]
    return words, at


def parse_reply(
    data: bytearray, start: int, end: int, depth: int = MAX_ARRAY_DEPTH
) -> tuple[Reply, int] | None:
    """Parse a reply, with arrays nested to `depth`.

    Returns:
        The reply and where it ends, or None until it is complete.

    Raises:
        ProtocolError: the bytes do not begin a reply.
    """
    if start >= end:
        return None
    mark = bytes(data[start : start + 1])
    if mark not in REPLY_MARKS:
        raise ProtocolError("a reply begins with one of + - : $ *")
    line_end = _line(data, start + 1, end)
    if line_end < 0:
        return None
    if mark in (b"-", b"+"):
        text = bytes(data[start + 1 : line_end]).decode("latin-1")
        return (ErrorReply(text) if mark == b"-" else SimpleReply(text)), line_end + 2
    number = _number(data, start + 1, line_end)
    if mark == b":":
        return number, line_end + 2
    return _sized(data, line_end + 2, end, mark, number, depth)


def _sized(
    data: bytearray, start: int, end: int, mark: bytes, size: int, depth: int
) -> tuple[Reply, int] | None:
    """Parse what follows the length of a bulk string or an array."""
    if size < 0:
        if size != NULL_LENGTH:
            raise ProtocolError("a length is below -1")
        return None, start
    if mark == b"$":
        return _bulk(data, start, end, size)
    if size > MAX_ITEMS or depth == 0:
        raise ProtocolError("an array is too long or too deep")
    items: list[Reply] = []
    at = start
    for _ in range(size):
        found = parse_reply(data, at, end, depth - 1)
        if found is None:
            return None
        items.append(found[0])
        at = found[1]
    return items, at


def encode_command(words: Sequence[bytes | memoryview]) -> bytes:
    """Encode a command of these words."""
    parts: list[bytes | memoryview] = [b"*%d\r\n" % len(words)]
    for word in words:
        parts += (b"$%d\r\n" % len(word), word, CRLF)
    return b"".join(parts)


def encode_bulk(value: bytes | memoryview) -> bytes:
    """Encode a bulk string."""
    return b"".join((b"$%d\r\n" % len(value), value, CRLF))


def encode_error(text: str) -> bytes:
    """Encode an error in one line; what does not fit is cut off."""
    clean = text.replace("\r", " ").replace("\n", " ")[:MAX_ERROR_TEXT_BYTES]
    return b"-" + clean.encode("latin-1", "replace") + CRLF
