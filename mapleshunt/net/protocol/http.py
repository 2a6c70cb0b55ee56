"""The subset of HTTP/1.1 that discovery and the admin endpoint need: parsers and encoders without I/O.

A parser returns None until the message is complete. Every part of a message is bounded.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_HEAD_BYTES = 8192
# The largest list has 3,200 endpoints and as many draining ones, at about 600 bytes of indented JSON each.
MAX_BODY_BYTES = 4 << 20
MAX_MESSAGE_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES
HEAD_END = b"\r\n\r\n"


class ProtocolError(Exception):
    """The bytes are not a message that these parsers support."""


@dataclass(slots=True, frozen=True)
class Response:
    """A complete response."""

    status: int
    body: bytes | memoryview
    keep_alive: bool  # the connection may carry another request


def _parse_head(head: bytes) -> tuple[int, dict[str, str]]:
    lines = head.decode("latin-1").split("\r\n")
    version, _, code_and_phrase = lines[0].partition(" ")
    code = code_and_phrase[:3]
    if not version.startswith("HTTP/1.") or not (len(code) == 3 and code.isdigit()):
        raise ProtocolError("malformed status line: expected HTTP/1.x and a 3-digit code")
    fields: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon or not name or name != name.strip():
            raise ProtocolError("malformed header: expected NAME: VALUE")
        fields[name.lower()] = value.strip()
    return int(code), fields


def _parse_chunked_body(data: bytearray, position: int, end: int) -> tuple[bytes, int] | None:
    parts: list[bytes] = []
    total = 0
    while True:
        line_end = data.find(b"\r\n", position, min(end, position + 64))
        if line_end < 0:
            if end - position >= 64:
                raise ProtocolError("malformed chunk size: no line end within 64 bytes")
            return None
        digits = bytes(data[position:line_end]).partition(b";")[0].strip()
        if not digits or len(digits) > 8 or digits.strip(b"0123456789abcdefABCDEF"):
            raise ProtocolError("malformed chunk size: expected 1 to 8 hex digits")
        size, position = int(digits, 16), line_end + 2
        if (total := total + size) > MAX_BODY_BYTES:
            raise ProtocolError(f"chunked body exceeds {MAX_BODY_BYTES} bytes")
        if position + size + 2 > end:
            return None
        if data[position + size : position + size + 2] != b"\r\n":
            raise ProtocolError("malformed chunk: no CRLF after its data")
        if size == 0:
            return b"".join(parts), position + 2
        parts.append(bytes(data[position : position + size]))
        position += size + 2


def _find_head_end(data: bytearray, start: int, end: int) -> int | None:
    """Return where the head's last line ends, or None until it is complete."""
    position = data.find(HEAD_END, start, min(end, start + MAX_HEAD_BYTES))
    if position < 0 and end - start >= MAX_HEAD_BYTES:
        raise ProtocolError("a head is too long")
    return position if position >= 0 else None


def parse_response(
    data: bytearray, start: int, end: int, has_ended: bool = False
) -> tuple[Response, int] | None:
    """Parse a response.

    A body without a length and not in chunks ends with its connection (RFC 9112, 6.3): it is complete once
    `has_ended`, which says that the connection has ended behind these bytes in an orderly way, by no reset.

    Returns:
        The response and where it ends, or None until it is complete.

    Raises:
        ProtocolError: the bytes do not begin a response.
    """
    if (position := _find_head_end(data, start, end)) is None:
        return None
    status, fields = _parse_head(bytes(data[start:position]))
    keep_alive, position = fields.get("connection", "").lower() != "close", position + len(HEAD_END)
    if fields.get("transfer-encoding", "").lower() == "chunked":
        chunked_body = _parse_chunked_body(data, position, end)
        return chunked_body and (Response(status, chunked_body[0], keep_alive), chunked_body[1])
    if "content-length" not in fields and "transfer-encoding" not in fields:
        if end - position > MAX_BODY_BYTES:
            raise ProtocolError(f"a body without a length exceeds {MAX_BODY_BYTES} bytes")
        return (Response(status, memoryview(data)[position:end], False), end) if has_ended else None
    size = fields.get("content-length", "")
    if not (size.isascii() and size.isdigit()) or int(size) > MAX_BODY_BYTES:
        raise ProtocolError(f"Content-Length is missing, malformed or above {MAX_BODY_BYTES}")
    if position + int(size) > end:
        return None
    return Response(status, memoryview(data)[position : position + int(size)], keep_alive), position + int(
        size
    )


def encode_get(path: str, host: str) -> bytes:
    """Encode a GET request."""
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode("ascii")


@dataclass(slots=True, frozen=True)
class Request:
    """A request line."""

    method: str
    path: str


def parse_request(data: bytearray, start: int, end: int) -> Request | None:
    """Parse the head of a request and ignore any body.

    Returns:
        The request line, or None until the head is complete.

    Raises:
        ProtocolError: the bytes do not begin a request.
    """
    if (position := _find_head_end(data, start, end)) is None:
        return None
    words = bytes(data[start:position]).split(b"\r\n", 1)[0].decode("latin-1").split(" ")
    is_method_valid = words[0].isascii() and words[0].isalpha()
    if len(words) != 3 or not is_method_valid or not words[1] or not words[2].startswith("HTTP/1."):
        raise ProtocolError("a request line is malformed")
    return Request(words[0], words[1])


REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


def encode_response(status: int, body: bytes) -> bytes:
    """Encode a plain-text response that announces the close of its connection."""
    head = (
        f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\nContent-Type: text/plain; charset=utf-8\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode("ascii") + body
