"""The admin endpoint of a gateway process, while other clients keep connections to it open."""

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

from .processes import EXAMPLE_CONFIG, NOT_READY, PING, PONG, ROOT, Gateway, query, read_replies, toy_servers


@pytest.fixture
def gateway() -> Iterator[Gateway]:
    with toy_servers() as discovery:
        process = Gateway(discovery)
        process.wait_for_readiness(200)
        yield process
        process.kill()


def send_request(client: socket.socket, number: int, request_class: bytes = b"lookup") -> None:
    client.sendall(query(number, b"c=%b,t=small,d=5000,units=1,spread=1,first=0" % request_class))


def test_statistics_count_every_result_and_every_attempt(gateway: Gateway) -> None:
    assert gateway.read_metrics()["gateway.completed.lookup"] == ("0", "c")
    with socket.create_connection(gateway.client_address, timeout=20) as client:
        for number in range(9):
            send_request(client, number)
        send_request(client, 99, b"odd")  # of an unknown class: not counted
        received = read_replies(client, 10)
    served = sum(isinstance(reply, memoryview) for reply in received)
    figures = gateway.read_metrics()
    assert served >= 5 and figures["gateway.completed.lookup"] == (str(served), "c")
    assert figures["gateway.rejected.lookup"] == (str(9 - served), "c")
    assert figures["gateway.upstream_requests.lookup"] == (str(served), "c")
    assert figures["gateway.failed.lookup"] == ("0", "c")
    assert figures["gateway.pending"] == ("0", "g") and figures["gateway.members"] == ("2", "g")
    assert figures["gateway.members_unavailable"] == ("0", "g")


def test_call_is_answered_while_other_clients_keep_connections_open(gateway: Gateway) -> None:
    connections = []
    for number in range(3 * MAX_CONNECTIONS):
        connections.append(socket.create_connection(gateway.admin_address, timeout=20))
        connections[-1].sendall(b"GET /_va"[: number % 9])
    assert gateway.call_admin("GET", "/_ready")[0] == 200
    # The oldest connections were closed for newer ones.
    assert sum(oldest.recv(1) == b"" for oldest in connections[: 2 * MAX_CONNECTIONS]) == 2 * MAX_CONNECTIONS
    # The newest connection may still call.
    connections[-1].sendall(b"GET /_ready HTTP/1.1\r\n\r\n"[len(connections) % 9 - 1 :])
    for connection in connections:
        connection.close()


MALFORMED_CALLS = b"\r\n\r\n", b"GET /_vars\r\n\r\n", b"\xff\xfe / HTTP/1.1\r\n\r\n", b"x" * 9000


@pytest.mark.parametrize("call", MALFORMED_CALLS)
def test_malformed_call_closes_its_connection_only(gateway: Gateway, call: bytes) -> None:
    with socket.create_connection(gateway.admin_address, timeout=20) as client:
        client.sendall(call)
        data = b""
        with contextlib.suppress(ConnectionResetError):
            while received := client.recv(4096):
                data += received
        assert data.startswith(b"HTTP/1.1 400 ")
    assert gateway.call_admin("GET", "/_nothing")[0] == 404 and gateway.call_admin("PUT", "/_vars")[0] == 404


def test_address_in_use_is_one_line_and_exit_2() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        process = subprocess.run(
            [sys.executable, "-m", "mapleshunt"], cwd=ROOT, capture_output=True, text=True, timeout=60,
            env={**os.environ, "PROXY_CONFIG": str(EXAMPLE_CONFIG), "PROXY_LISTEN": "127.0.0.1:0",
                 "PROXY_MANAGEMENT": f"127.0.0.1:{listener.getsockname()[1]}"},
        )  # fmt: skip
    assert process.returncode == 2 and process.stderr.count("\n") == 1
    assert process.stderr.startswith("mapleshunt: cannot start: ")


def test_admin_endpoint_is_not_imported_without_an_address_for_it() -> None:
    code = """
import asyncio, sys
from mapleshunt.server.gateway_server import GatewayServer
from mapleshunt.net import config

async def start():
    text = open(sys.argv[1]).read()
    await GatewayServer(config.parse(text, {"PROXY_LISTEN": "127.0.0.1:0"})).prepare()
    names = (".admin", ".admin.endpoint", ".admin_calls", ".statistics")
    print([name for name in sys.modules if name.endswith(names)])

asyncio.run(start())
"""
    args = [sys.executable, "-c", code, str(EXAMPLE_CONFIG)]
    process = subprocess.run(args, cwd=ROOT, capture_output=True, text=True)
    assert process.stdout == "[]\n", process.stderr


@given(st.binary(max_size=200), st.integers(0, 200))
def test_prefix_of_a_head_parses_like_the_whole_head_or_not_at_all(data: bytes, cut: int) -> None:
    text = bytearray(b"GET /" + data + b" HTTP/1.1\r\nA: b\r\n\r\n")
    parsed_whole: object
    try:
        parsed_whole = http.parse_request(text, 0, len(text))
    except http.ProtocolError:
        parsed_whole = None
    try:
        parsed_prefix = http.parse_request(text, 0, min(cut, len(text)))
    except http.ProtocolError:
        parsed_prefix = None
    assert parsed_prefix is None or parsed_prefix == parsed_whole


def test_draining_gateway_empties_and_serves_again_when_resumed(gateway: Gateway) -> None:
    """No request of a busy client is lost, and the drain closes its connection and that of an idle one."""
    with (
        socket.create_connection(gateway.client_address, timeout=20) as idle,
        socket.create_connection(gateway.client_address, timeout=20) as busy,
    ):
        idle.sendall(PING)
        assert read_replies(idle, 1) == [PONG]
        assert gateway.call_admin("POST", "/_lameduck/on") == (200, "drained\n")
        assert gateway.call_admin("GET", "/_ready")[0] == 503
        number = 0
        with contextlib.suppress(OSError):
            while True:  # until the gateway closes the connection: each request before that is answered
                send_request(busy, number)
                if not (data := busy.recv(65536)):
                    break
                assert data[:1] in (b"$", b"-") and data.endswith(b"\r\n")
                number += 1
                time.sleep(0.02)
        assert number > 1 and idle.recv(1) == b""
    with socket.create_connection(gateway.client_address, timeout=20) as client:
        # The gateway answers that it is not ready and closes the connection.
        client.sendall(PING)
        assert read_replies(client, 1) == [NOT_READY]
        assert client.recv(1) == b""
    assert gateway.call_admin("POST", "/_lameduck/on")[0] == 200 and gateway.process.poll() is None
    assert gateway.call_admin("POST", "/_lameduck/off") == (200, "working\n")
    with socket.create_connection(gateway.client_address, timeout=20) as client:
        client.sendall(PING)
        assert read_replies(client, 1) == [PONG]
    gateway.process.send_signal(signal.SIGTERM)
    assert gateway.process.wait(timeout=30) == 0


def test_client_that_never_stops_sending_requests_cannot_delay_a_drain(gateway: Gateway) -> None:
    with socket.create_connection(gateway.client_address, timeout=20) as client:
        gateway.call_admin("POST", "/_lameduck/on")
        deadline, number = time.monotonic() + 60, 0
        with contextlib.suppress(OSError):
            while time.monotonic() < deadline:  # a response is always pending: the connection is never idle
                send_request(client, number)
                send_request(client, number + 1)
                number += 2
                if not client.recv(100):
                    break
        assert time.monotonic() < deadline
    assert gateway.read_metrics()["gateway.pending"] == ("0", "g")
