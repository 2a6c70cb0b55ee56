"""HTTP/1.1 as discovery and the admin endpoint need it: pure parsers and encoders, without I/O.

A parser returns None until the message is complete. Every part of a message is bounded.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_HEAD_BYTES = 8192
# The largest list is of 3,200 servers and as many that drain, at some 600 bytes of indented JSON each.
MAX_BODY_BYTES = 4 << 20
MAX_MESSAGE_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES
HEAD_END = b"\r\n\r\n"


class ProtocolError(Exception):
    """The bytes are no message that this program can read."""


@dataclass(slots=True, frozen=True)
class Response:
    """A complete response."""

    status: int
    body: bytes | memoryview
    keep_alive: bool  # the connection may carry a further request


def _headers(head: bytes) -> tuple[int, dict[str, str]]:
    lines = head.decode("latin-1").split("\r\n")
    version, _, rest = lines[0].partition(" ")
    code = rest[:3]
    if not version.startswith("HTTP/1.") or not (len(code) == 3 and code.isdigit()):
        raise ProtocolError("a status line is malformed")
    fields: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon or not name or name != name.strip():
            raise ProtocolError("a header is malformed")
        fields[name.lower()] = value.strip()
    return int(code), fields


def _chunked(data: bytearray, at: int, end: int) -> tuple[bytes, int] | None:
    parts: list[bytes] = []
    total = 0
    while True:
        eol = data.find(b"\r\n", at, min(end, at + 64))
        if eol < 0:
            if end - at >= 64:
                raise ProtocolError("a chunk's size is malformed")
            return None
        digits = bytes(data[at:eol]).partition(b";")[0].strip()
        if not digits or len(digits) > 8 or digits.strip(b"0123456789abcdefABCDEF"):
            raise ProtocolError("a chunk's size is malformed")
        size, at = int(digits, 16), eol + 2
        if (total := total + size) > MAX_BODY_BYTES:
            raise ProtocolError("a body is too long")
        if at + size + 2 > end:
            return None
        if data[at + size : at + size + 2] != b"\r\n":
            raise ProtocolError("a chunk does not end where it should")
        if size == 0:
            return b"".join(parts), at + 2
        parts.append(bytes(data[at : at + size]))
        at += size + 2


def _head_end(data: bytearray, start: int, end: int) -> int | None:
    """Return where a head's last line ends, or None until it is complete."""
    at = data.find(HEAD_END, start, min(end, start + MAX_HEAD_BYTES))
    if at < 0 and end - start >= MAX_HEAD_BYTES:
        raise ProtocolError("a head is too long")
    return at if at >= 0 else None


def parse_response(data: bytearray, start: int, end: int) -> tuple[Response, int] | None:
    """Parse a response.

    Returns:
        The response and where it ends, or None until it is complete.

    Raises:
        ProtocolError: the bytes do not begin a response.
    """
    if (at := _head_end(data, start, end)) is None:
        return None
    status, fields = _headers(bytes(data[start:at]))
    keep, at = fields.get("connection", "").lower() != "close", at + len(HEAD_END)
    if fields.get("transfer-encoding", "").lower() == "chunked":
        found = _chunked(data, at, end)
        return found and (Response(status, found[0], keep), found[1])
    size = fields.get("content-length", "")
    if not (size.isascii() and size.isdigit()) or int(size) > MAX_BODY_BYTES:
        raise ProtocolError("a body's length is missing or too large")
    if at + int(size) > end:
        return None
    return Response(status, memoryview(data)[at : at + int(size)], keep), at + int(size)


def encode_get(path: str, host: str) -> bytes:
    """Encode a GET."""
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode("ascii")


@dataclass(slots=True, frozen=True)
class Request:
    """The request line of a call."""

    method: str
    path: str


def parse_request(data: bytearray, start: int, end: int) -> Request | None:
    """Parse the head of a call; what may follow it is not looked at.

    Returns:
        The request line, or None until the head is complete.

    Raises:
        ProtocolError: the bytes do not begin a call.
    """
    if (at := _head_end(data, start, end)) is None:
        return None
    words = bytes(data[start:at]).split(b"\r\n", 1)[0].decode("latin-1").split(" ")
    method = words[0].isascii() and words[0].isalpha()
    if len(words) != 3 or not method or not words[1] or not words[2].startswith("HTTP/1."):
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
    """Encode a response in plain text, the last on its connection."""
    head = (
        f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\nContent-Type: text/plain; charset=utf-8\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode("ascii") + body
