"""The HTTP parser, and what is made of discovery's lists."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mapleshunt.net.counters import Counters
from mapleshunt.net.discovery.endpoint_list import parse_endpoint_list
from mapleshunt.net.protocol import http
from mapleshunt.net.upstream.endpoint_group import EndpointGroup

PLAIN = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX: y\r\n\r\nbody"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2;x\r\ndy\r\n0\r\n\r\n"
LAST = b"HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize(
    ("data", "status", "body", "keep"),
    [(PLAIN, 200, b"body", True), (CHUNKED, 200, b"body", True), (LAST, 503, b"", False)],
)
def test_response_is_parsed_once_complete(data: bytes, status: int, body: bytes, keep: bool) -> None:
    room = bytearray(data + b"HTTP")
    found = http.parse_response(room, 0, len(room))
    assert found is not None and found[1] == len(data)
    assert (found[0].status, bytes(found[0].body), found[0].keep_alive) == (status, body, keep)
    assert all(http.parse_response(room, 0, end) is None for end in range(len(data)))


@pytest.mark.parametrize(
    "data",
    [
        b"NONSENSE\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\n name: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        b"x" * http.MAX_HEAD_BYTES,
    ],
)
def test_malformed_response_raises_protocol_error(data: bytes) -> None:
    with pytest.raises(http.ProtocolError):
        http.parse_response(bytearray(data), 0, len(data))


@given(st.binary(max_size=60))
def test_parser_survives_arbitrary_bytes(tail: bytes) -> None:
    data = bytearray(b"HTTP/1.1 200 OK\r\n" + tail + b"\r\n\r\n")
    try:
        found = http.parse_response(data, 0, len(data))
    except http.ProtocolError:
        return
    assert found is None or found[1] <= len(data)


def row(name: str, **changes: object) -> dict[str, object]:
    return {
        "id": name,
        "host_port": "127.0.0.1:1",
        "locality": "a",
        "cell": 3,
        "phase": "Ready",
        "up_since_ms": 0,
        **changes,
    }


def test_list_becomes_endpoint_update_with_numbers_from_ids() -> None:
    found = parse_endpoint_list(
        {
            "revision": 4,
            "complete": False,
            "members": [row("s-1"), row("s-2", phase="Terminating", up_since_ms=1764000000000)],
        }
    )
    event = EndpointGroup(Counters(), 250, 1000, 10).apply_endpoint_list("partial", found.endpoints)
    assert [(e.cell, e.zone, e.state, e.started) for e in event.endpoints] == [
        (3, "a", "ready", 0.0),
        (3, "a", "draining", 1764000000000.0),
    ]
    again = EndpointGroup(Counters(), 250, 1000, 10).apply_endpoint_list("complete", found.endpoints[::-1])
    # Gateways gossip about endpoints by number, so it must not rest on order or on the process.
    assert [e.endpoint for e in again.endpoints] == [e.endpoint for e in event.endpoints][::-1]
    assert event.endpoints[0].endpoint == 3624031694


@pytest.mark.parametrize("chunked", [False, True])
def test_largest_list_fits_while_half_of_it_is_replaced(chunked: bool) -> None:
    """3,200 servers, and 1,600 that drain beside those that take their places."""
    rows = [
        row(f"s-{n:08x}", host_port=f"10.11.{n // 250}.{n % 250}:6379", locality="zone-a", flavor="std-3core",
            phase="Terminating", size=1.0, up_since_ms=1796208000000 + n)
        for n in range(4800)
    ]  # fmt: skip
    body = json.dumps({"revision": 4100, "complete": True, "members": rows}, indent=4).encode()
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    if chunked:
        parts = [body[at : at + 65536] for at in range(0, len(body), 65536)]
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
    data = bytearray(head + body)
    found = http.parse_response(data, 0, len(data))
    assert found is not None and len(parse_endpoint_list(json.loads(bytes(found[0].body))).endpoints) == len(
        rows
    )
    assert len(data) <= http.MAX_MESSAGE_BYTES


@pytest.mark.parametrize(
    "bad",
    [
        {"members": []},
        {"revision": 1, "complete": True, "members": [{}]},
        {"revision": 1, "complete": True, "members": [row("s", phase="Odd")]},
        {"revision": 1, "complete": True, "members": [row("s", host_port="x")]},
    ],
)
def test_malformed_list_raises_value_error(bad: dict[str, object]) -> None:
    with pytest.raises(ValueError, match="malformed"):
        parse_endpoint_list(bad)
