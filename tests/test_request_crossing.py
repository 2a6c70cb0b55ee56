"""Requests that come while a gateway ends their connection; gateways are processes that are held up."""

from __future__ import annotations

import contextlib
import select
import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from mapleshunt.net.admin.endpoint import MAX_CONNECTIONS
from mapleshunt.testbed.syscall_faults import SyscallFaultControl, SyscallFaultRates, build_library

from .processes import PING, Gateway, query, read_replies, toy_servers

# These tests time real gateways, so they run one after another in one worker.
pytestmark = pytest.mark.xdist_group("gateways")

HOLD_S = 0.15  # the protocol allows a gateway to be held up this long
REQUEST_INTERVAL_S = 0.02
SILENT_CLOSE_S = 2.0  # a connection without a command for so long is closed


class HeldGateway:
    """A gateway that can be held up at its system calls."""

    def __init__(self, discovery: str, folder: Path) -> None:
        self.control = SyscallFaultControl(build_library(folder), folder / "control", seed=1)
        self.gateway = Gateway(discovery, None, **self.control.environment())
        self.gateway.wait_for_event("members")

    def hold_at(self, call: str) -> None:
        """Hold the process up once, at its next call of this kind."""
        self.control.set(SyscallFaultRates(**{call: 1.0, "hold_s": HOLD_S, "hold_spacing_s": 3600.0}))

    def wait_until_held(self, call: str) -> None:
        deadline = time.monotonic() + 20.0
        while not self.control.counts().get(call):
            assert time.monotonic() < deadline, f"never held up at {call}"
            time.sleep(0.001)

    def connect(self) -> socket.socket:
        """Return a connection on which one command was answered."""
        client = socket.create_connection(self.gateway.client_address, timeout=20)
        client.sendall(PING)
        read_replies(client, 1)
        return client


@pytest.fixture
def held_gateway(tmp_path: Path) -> Iterator[HeldGateway]:
    with toy_servers() as discovery:
        held = HeldGateway(discovery, tmp_path)
        yield held
        held.gateway.kill()
        held.control.close()


def has_ended(client: socket.socket) -> bool:
    """Return whether the gateway has ended a connection on which no response is pending."""
    return bool(select.select([client], [], [], 0.0)[0])


def test_request_that_was_read_is_answered_although_its_connection_is_due_to_close(
    held_gateway: HeldGateway,
) -> None:
    # Read by the stream, but not yet by its task, it was invisible to the sweep that ends connections.
    silent = socket.create_connection(held_gateway.gateway.client_address, timeout=20)
    with held_gateway.connect() as other, held_gateway.connect() as used, silent:
        time.sleep(SILENT_CLOSE_S - HOLD_S / 2)
        assert not has_ended(used) and not has_ended(silent)
        held_gateway.hold_at("hold_write")
        other.sendall(PING)
        held_gateway.wait_until_held("hold_write")
        used.sendall(query(1))
        silent.sendall(query(2))
        for client in (used, silent):
            assert isinstance(read_replies(client, 1)[0], memoryview), held_gateway.gateway.log_text()


def test_client_that_keeps_sending_loses_no_request_when_gateway_is_held_up_at_the_end(
    held_gateway: HeldGateway,
) -> None:
    # The end came between two requests, some time after the look for unread bytes.
    with held_gateway.connect() as client:
        held_gateway.hold_at("hold_shutdown")
        held_gateway.gateway.process.send_signal(signal.SIGTERM)
        number = 0
        while not has_ended(client):
            number += 1
            client.sendall(query(number))
            with contextlib.suppress(ConnectionResetError):
                read_replies(client, 1)
                number = -number
            assert number < 0, f"request {number} was lost: {held_gateway.gateway.log_text()}"
            number = -number
            time.sleep(REQUEST_INTERVAL_S)
        assert held_gateway.control.counts()["hold_shutdown"] == 1


def test_admin_call_that_was_read_is_answered_although_newer_connections_come(
    held_gateway: HeldGateway,
) -> None:
    gateway = held_gateway.gateway
    with held_gateway.connect() as other, contextlib.ExitStack() as stack:
        callers = [
            stack.enter_context(socket.create_connection(gateway.admin_address, timeout=20))
            for _ in range(MAX_CONNECTIONS)
        ]
        time.sleep(HOLD_S)  # until all are accepted
        held_gateway.hold_at("hold_write")
        other.sendall(PING)
        held_gateway.wait_until_held("hold_write")
        callers[0].sendall(b"GET /_ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
        stack.enter_context(socket.create_connection(gateway.admin_address, timeout=20))
        assert callers[0].recv(65536).startswith(b"HTTP/1.1 200 "), gateway.log_text()
