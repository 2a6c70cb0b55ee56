"""RESP2: stateless parsers for commands and replies, and encoders. They do no I/O.

A parser is given the buffer and its bounds. It returns None until the message is complete, then the message
and where it ends. Values are slices of the buffer. Every part of a message is bounded.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MAX_VALUE_BYTES = 65536  # per bulk string
MAX_ITEMS = 16  # per array
# A command's word at this index, if it is the last one, may be a value of any length: its body.
BODY_INDEX = 4
MAX_HEAD_BYTES = 1536  # of a command's other words together, framing included
MAX_LINE_BYTES = 1024
MAX_MESSAGE_BYTES = MAX_VALUE_BYTES + 8192  # buffer that one message needs
MAX_DIGITS = 18  # of an integer, sign included; always fits in 64 bits
MAX_ARRAY_DEPTH = 2  # levels of arrays in a reply
MAX_ERROR_TEXT_BYTES = MAX_LINE_BYTES - 8  # an error and its framing must fit in one line
CRLF = b"\r\n"
ARRAY_TYPE, BULK_TYPE = ord("*"), ord("$")
REPLY_TYPES = (b"+", b"-", b":", b"$", b"*")
NULL_LENGTH = -1


class ProtocolError(Exception):
    """The bytes are not a message, so none after them can be parsed. The text may be sent to the client."""


@dataclass(slots=True, frozen=True)
class ErrorReply:
    """A reply that reports an error."""

    text: str


@dataclass(slots=True, frozen=True)
class SimpleReply:
    """A simple string reply."""

    text: str


Reply = ErrorReply | SimpleReply | int | memoryview | None | list["Reply"]


def _find_line_end(data: bytearray, start: int, end: int) -> int:
    """Return where the line that begins at `start` ends, or -1 if it is incomplete."""
    position = data.find(CRLF, start, min(end, start + MAX_LINE_BYTES))
    if position < 0 and end - start >= MAX_LINE_BYTES:
        raise ProtocolError("a line is too long")
    return position


def _parse_integer(data: bytearray, start: int, end: int) -> int:
    digits = bytes(data[start:end])
    unsigned = digits[1:] if digits.startswith(b"-") else digits
    if not unsigned.isdigit() or len(digits) > MAX_DIGITS:
        raise ProtocolError("a number is malformed")
    return int(digits)


def _parse_bulk_body(data: bytearray, start: int, end: int, size: int) -> tuple[memoryview, int] | None:
    if size > MAX_VALUE_BYTES:
        raise ProtocolError(f"a value is longer than {MAX_VALUE_BYTES} bytes")
    if end < start + size + 2:
        return None
    if data[start + size : start + size + 2] != CRLF:
        raise ProtocolError("a value does not end where it should")
    return memoryview(data)[start : start + size], start + size + 2


def _parse_word_length(data: bytearray, start: int, end: int, max_bytes: int) -> tuple[int, int] | None:
    """Parse the length of a command's word, of at most `max_bytes`; return it and where the word begins."""
    if start >= end:
        return None
    if data[start] != BULK_TYPE:
        raise ProtocolError("a word begins with $")
    line_end = _find_line_end(data, start + 1, end)
    if line_end < 0:
        return None
    size = _parse_integer(data, start + 1, line_end)
    if size < 0:
        raise ProtocolError("a word has a length of 0 or more")
    if size > max_bytes:
        raise ProtocolError(f"a value is longer than {max_bytes} bytes")
    return size, line_end + 2


class CommandParse:
    """What a buffer holds of a command.

    Attributes:
        words: Its complete words.
        count: How many it has.
        end: Where it ends; at least, as far as its lengths are known, if it is not complete.
        is_complete: Whether all of it is there.
    """

    __slots__ = ("count", "end", "is_complete", "words")

    def __init__(self, words: list[memoryview], count: int, end: int, is_complete: bool) -> None:
        """Store what was found."""
        self.words, self.count, self.end, self.is_complete = words, count, end, is_complete

    def lacks_only_body(self) -> bool:
        """Return whether it is complete but for its body, whose length is known."""
        return not self.is_complete and len(self.words) == BODY_INDEX and self.count == BODY_INDEX + 1


def scan_command(data: bytearray, start: int, end: int) -> CommandParse | None:
    """Parse as much as there is of a command, which is an array of bulk strings.

    Returns:
        None as long as its number of words is not known.

    Raises:
        ProtocolError: the bytes do not begin a command.
    """
    if start >= end:
        return None
    if data[start] != ARRAY_TYPE:
        raise ProtocolError("a command begins with *")
    line_end = _find_line_end(data, start + 1, end)
    if line_end < 0:
        return None
    count = _parse_integer(data, start + 1, line_end)
    if not 1 <= count <= MAX_ITEMS:
        raise ProtocolError(f"a command has 1 to {MAX_ITEMS} words")
    words: list[memoryview] = []
    position, head_bytes = line_end + 2, 0
    for index in range(count):
        is_body = index == BODY_INDEX and index == count - 1
        max_bytes = MAX_VALUE_BYTES if is_body else MAX_HEAD_BYTES - head_bytes
        length = _parse_word_length(data, position, end, max_bytes)
        if length is None:
            return CommandParse(words, count, max(end, position) + 1, False)
        size, word_start = length
        parsed = _parse_bulk_body(data, word_start, end, size)
        if parsed is None:
            return CommandParse(words, count, word_start + size + 2, False)
        words.append(parsed[0])
        if not is_body:
            head_bytes += parsed[1] - position
        position = parsed[1]
    return CommandParse(words, count, position, True)


def parse_command(data: bytearray, start: int, end: int) -> tuple[list[memoryview], int] | None:
    """Parse a command.

    Returns:
        Its words and where it ends, or None until it is complete.

    Raises:
        ProtocolError: the bytes do not begin a command.
    """
    command = scan_command(data, start, end)
    return (command.words, command.end) if command is not None and command.is_complete else None


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
    type_byte = bytes(data[start : start + 1])
    if type_byte not in REPLY_TYPES:
        raise ProtocolError(f"expected a reply that begins with one of + - : $ *, got {type_byte!r}")
    line_end = _find_line_end(data, start + 1, end)
    if line_end < 0:
        return None
    if type_byte in (b"-", b"+"):
        text = bytes(data[start + 1 : line_end]).decode("latin-1")
        return (ErrorReply(text) if type_byte == b"-" else SimpleReply(text)), line_end + 2
    number = _parse_integer(data, start + 1, line_end)
    if type_byte == b":":
        return number, line_end + 2
    return _parse_sized(data, line_end + 2, end, type_byte, number, depth)


def value_end(data: bytearray, start: int, end: int) -> int | None:
    """Return where the value of an incomplete reply ends, which it may have alone or as its first item.

    Returns:
        None as long as its length is not known, or if it has no value.

    Raises:
        ProtocolError: its length is malformed.
    """
    for _ in range(MAX_ARRAY_DEPTH):
        line_end = _find_line_end(data, start + 1, end) if start < end else -1
        if line_end < 0:
            return None
        if data[start] == BULK_TYPE:
            return line_end + 2 + max(0, _parse_integer(data, start + 1, line_end)) + 2
        if data[start] != ARRAY_TYPE:
            return None
        start = line_end + 2
    return None


def _parse_sized(
    data: bytearray, start: int, end: int, type_byte: bytes, size: int, depth: int
) -> tuple[Reply, int] | None:
    """Parse what follows the length of a bulk string or an array."""
    if size < 0:
        if size != NULL_LENGTH:
            raise ProtocolError(f"a length must be -1 or more, got {size}")
        return None, start
    if type_byte == b"$":
        return _parse_bulk_body(data, start, end, size)
    if size > MAX_ITEMS or depth == 0:
        raise ProtocolError(f"an array has more than {MAX_ITEMS} items or more than {MAX_ARRAY_DEPTH} levels")
    items: list[Reply] = []
    position = start
    for _ in range(size):
        parsed = parse_reply(data, position, end, depth - 1)
        if parsed is None:
            return None
        items.append(parsed[0])
        position = parsed[1]
    return items, position


def encode_command(words: Sequence[bytes | memoryview]) -> bytes:
    """Encode a command as an array of bulk strings."""
    parts: list[bytes | memoryview] = [b"*%d\r\n" % len(words)]
    for word in words:
        parts += (b"$%d\r\n" % len(word), word, CRLF)
    return b"".join(parts)


def encode_bulk(value: bytes | memoryview) -> bytes:
    """Encode a bulk string."""
    return b"".join((b"$%d\r\n" % len(value), value, CRLF))


def encode_error(text: str) -> bytes:
    """Encode an error as one line, truncated to the maximum length."""
    clean = text.replace("\r", " ").replace("\n", " ")[:MAX_ERROR_TEXT_BYTES]
    return b"-" + clean.encode("latin-1", "replace") + CRLF
