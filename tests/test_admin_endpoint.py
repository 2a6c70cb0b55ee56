"""The admin endpoint: a gateway as a process, with clients that hold connections beside it."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mapleshunt.net.admin.endpoint import MAX_CONNECTIONS
from mapleshunt.net.protocol import http

from .processes import EXAMPLE, NOT_READY, PING, PONG, ROOT, Gateway, query, replies, toy


@pytest.fixture
def gateway() -> Iterator[Gateway]:
    with toy() as discovery:
        one = Gateway(discovery)
        one.until(200)
        yield one
        one.kill()


def ask(to: socket.socket, number: int, cls: bytes = b"lookup") -> None:
    to.sendall(query(number, b"c=%b,t=small,d=5000,units=1,spread=1,first=0" % cls))


def test_statistics_count_every_result_and_every_attempt(gateway: Gateway) -> None:
    assert gateway.figures()["gateway.completed.lookup"] == ("0", "c")
    with socket.create_connection(gateway.client, timeout=20) as client:
        for number in range(9):
            ask(client, number)
        ask(client, 99, b"odd")  # no request of any class: under no count
        got = replies(client, 10)
    served = sum(isinstance(one, memoryview) for one in got)
    figures = gateway.figures()
    assert served >= 5 and figures["gateway.completed.lookup"] == (str(served), "c")
    assert figures["gateway.rejected.lookup"] == (str(9 - served), "c")
    assert figures["gateway.upstream_requests.lookup"] == (str(served), "c")
    assert figures["gateway.failed.lookup"] == ("0", "c")
    assert figures["gateway.pending"] == ("0", "g") and figures["gateway.members"] == ("2", "g")
    assert figures["gateway.members_unavailable"] == ("0", "g")


def test_call_is_answered_beside_clients_that_hold_connections(gateway: Gateway) -> None:
    held = []
    for number in range(3 * MAX_CONNECTIONS):
        held.append(socket.create_connection(gateway.door, timeout=20))
        held[-1].sendall(b"GET /_va"[: number % 9])
    assert gateway.call("GET", "/_ready")[0] == 200
    assert sum(one.recv(1) == b"" for one in held[: 2 * MAX_CONNECTIONS]) == 2 * MAX_CONNECTIONS  # made room
    held[-1].sendall(b"GET /_ready HTTP/1.1\r\n\r\n"[len(held) % 9 - 1 :])  # the newest may still call
    for one in held:
        one.close()


BAD = b"\r\n\r\n", b"GET /_vars\r\n\r\n", b"\xff\xfe / HTTP/1.1\r\n\r\n", b"x" * 9000


@pytest.mark.parametrize("bad", BAD)
def test_bad_bytes_close_their_connection_only(gateway: Gateway, bad: bytes) -> None:
    with socket.create_connection(gateway.door, timeout=20) as one:
        one.sendall(bad)
        data = b""
        with contextlib.suppress(ConnectionResetError):
            while got := one.recv(4096):
                data += got
        assert data.startswith(b"HTTP/1.1 400 ")
    assert gateway.call("GET", "/_nothing")[0] == 404 and gateway.call("PUT", "/_vars")[0] == 404


def test_address_in_use_is_one_line_and_exit_2() -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        process = subprocess.run(
            [sys.executable, "-m", "mapleshunt"], cwd=ROOT, capture_output=True, text=True, timeout=60,
            env={**os.environ, "PROXY_CONFIG": str(EXAMPLE), "PROXY_LISTEN": "127.0.0.1:0",
                 "PROXY_MANAGEMENT": f"127.0.0.1:{taken.getsockname()[1]}"},
        )  # fmt: skip
    assert process.returncode == 2 and process.stderr.count("\n") == 1
    assert process.stderr.startswith("mapleshunt: cannot start: ")


def test_endpoint_is_not_imported_without_an_address_for_it() -> None:
    code = """
import asyncio, sys
from mapleshunt.server.gateway_server import GatewayServer
from mapleshunt.net import config

async def start():
    text = open(sys.argv[1]).read()
    await GatewayServer(config.parse(text, {"PROXY_LISTEN": "127.0.0.1:0"})).prepare()
    names = (".admin", ".admin.endpoint", ".admin_calls", ".statistics")
    print([one for one in sys.modules if one.endswith(names)])

asyncio.run(start())
"""
    args = [sys.executable, "-c", code, str(EXAMPLE)]
    done = subprocess.run(args, cwd=ROOT, capture_output=True, text=True)
    assert done.stdout == "[]\n", done.stderr


@given(st.binary(max_size=200), st.integers(0, 200))
def test_head_is_parsed_alike_in_whatever_pieces_it_comes(data: bytes, cut: int) -> None:
    text = bytearray(b"GET /" + data + b" HTTP/1.1\r\nA: b\r\n\r\n")
    whole: object
    try:
        whole = http.parse_request(text, 0, len(text))
    except http.ProtocolError:
        whole = None
    try:
        part = http.parse_request(text, 0, min(cut, len(text)))
    except http.ProtocolError:
        part = None
    assert part is None or part == whole


def test_draining_gateway_empties_and_serves_again_when_resumed(gateway: Gateway) -> None:
    """Clients ask throughout: none of their requests is lost, and their connections are closed between."""
    with (
        socket.create_connection(gateway.client, timeout=20) as idle,
        socket.create_connection(gateway.client, timeout=20) as asks,
    ):
        idle.sendall(PING)
        assert replies(idle, 1) == [PONG]
        assert gateway.call("POST", "/_lameduck/on") == (200, "drained\n")
        assert gateway.call("GET", "/_ready")[0] == 503
        number = 0
        with contextlib.suppress(OSError):
            while True:  # until the gateway closes it: every request before that has its answer
                ask(asks, number)
                if not (data := asks.recv(65536)):
                    break
                assert data[:1] in (b"$", b"-") and data.endswith(b"\r\n")
                number += 1
                time.sleep(0.02)
        assert number > 1 and idle.recv(1) == b""
    with socket.create_connection(gateway.client, timeout=20) as front:  # a "no" is heard, and it ends
        front.sendall(PING)
        assert replies(front, 1) == [NOT_READY]
        assert front.recv(1) == b""
    assert gateway.call("POST", "/_lameduck/on")[0] == 200 and gateway.process.poll() is None
    assert gateway.call("POST", "/_lameduck/off") == (200, "working\n")
    with socket.create_connection(gateway.client, timeout=20) as front:
        front.sendall(PING)
        assert replies(front, 1) == [PONG]
    gateway.process.send_signal(signal.SIGTERM)
    assert gateway.process.wait(timeout=30) == 0


def test_client_that_never_stops_asking_cannot_hold_up_a_drain(gateway: Gateway) -> None:
    with socket.create_connection(gateway.client, timeout=20) as client:
        gateway.call("POST", "/_lameduck/on")
        ended, number = time.monotonic() + 60, 0
        with contextlib.suppress(OSError):
            while time.monotonic() < ended:  # two are always owed: nothing is ever done on it
                ask(client, number)
                ask(client, number + 1)
                number += 2
                if not client.recv(100):
                    break
        assert time.monotonic() < ended
    assert gateway.figures()["gateway.pending"] == ("0", "g")
