"""Gateways as separate processes, for tests: start them, call their endpoints, read their logs, end them."""

from __future__ import annotations

import contextlib
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

from mapleshunt.net.protocol import http, resp
from mapleshunt.testbed import ports

ROOT = Path(__file__).parent.parent
EXAMPLE_CONFIG = ROOT / "examples" / "config.json"
PING = resp.encode_command([b"PING"])
PONG, NOT_READY = resp.SimpleReply("PONG"), resp.ErrorReply("ERR not ready")
WAIT_TIMEOUT_S = 60.0  # for an event that a test expects


def run(*args: str, **env: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, *args], cwd=ROOT, env={**os.environ, **env}, text=True,
        stdout=subprocess.PIPE, stderr=subprocess.PIPE,
    )  # fmt: skip


def free_port() -> int:
    """Return a port that no outgoing connection and no other test takes before it is bound."""
    return ports.free_port(socket.SOCK_STREAM)


def read_replies(client: socket.socket, count: int) -> list[resp.Reply]:
    """Read that many replies; a connection that ends before raises ConnectionResetError."""
    data, received, offset = bytearray(), list[resp.Reply](), 0
    while len(received) < count:
        if not (chunk := client.recv(65536)):
            raise ConnectionResetError(f"connection closed after {len(received)} of {count} replies")
        data = data + chunk  # a new buffer: earlier replies are views of the old one
        while parsed := resp.parse_reply(data, offset, len(data)):
            received.append(parsed[0])
            offset = parsed[1]
    return received


REQUEST_PAIRS = b"c=lookup,t=small,d=5000,units=1,spread=1,first=0"


def query(number: int, pairs: bytes = REQUEST_PAIRS, customer: bytes = b"00000000b4d65521") -> bytes:
    return resp.encode_command([b"SVC.QUERY", customer, b"%016x" % number, pairs])


@contextlib.contextmanager
def toy_servers() -> Iterator[str]:
    """Run the example's discovery and two backends; yield discovery's address."""
    process = run("-m", "examples.toy_server", "0")
    assert process.stdout is not None
    try:
        yield process.stdout.readline().split()[-1]
    finally:
        process.kill()
        process.communicate()


class Gateway:
    """A gateway process with an admin endpoint. `shared` is a listening socket that it inherits."""

    def __init__(self, discovery: str, shared: socket.socket | None = None, **env: str) -> None:
        self.client_address = shared.getsockname() if shared else ("127.0.0.1", free_port())
        self.admin_address = ("127.0.0.1", free_port())
        self.log = tempfile.TemporaryFile("w+")  # noqa: SIM115 - it lives as long as the process
        variables = {
            "PROXY_CONFIG": str(EXAMPLE_CONFIG), "PROXY_DISCOVERY": discovery,
            "PROXY_LISTEN": f"127.0.0.1:{self.client_address[1]}",
            "PROXY_MANAGEMENT": f"127.0.0.1:{self.admin_address[1]}", **env,
        }  # fmt: skip
        if shared is not None:
            variables["PROXY_ACCEPT_FD"] = str(shared.fileno())
        self.process = subprocess.Popen(
            [sys.executable, "-m", "mapleshunt"], cwd=ROOT, env={**os.environ, **variables}, stderr=self.log,
            pass_fds=[shared.fileno()] if shared is not None else [],
        )  # fmt: skip

    def call_admin(self, method: str, path: str) -> tuple[int, str]:
        """Call the admin endpoint; return the status and the body."""
        with socket.create_connection(self.admin_address, timeout=20) as connection:
            connection.sendall(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
            data = bytearray()
            while chunk := connection.recv(65536):
                data += chunk
        parsed = http.parse_response(data, 0, len(data))
        assert parsed is not None and not parsed[0].keep_alive
        return parsed[0].status, bytes(parsed[0].body).decode()

    def wait_for_readiness(self, status: int) -> None:
        """Wait until `/_ready` returns that status."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < deadline:
            assert self.process.poll() is None, self.log_text()
            with contextlib.suppress(OSError):
                if self.call_admin("GET", "/_ready")[0] == status:
                    return
            time.sleep(0.01)
        raise AssertionError(f"/_ready did not return {status} within {WAIT_TIMEOUT_S:g} s")

    def log_text(self) -> str:
        self.log.seek(0)
        return self.log.read()

    def wait_for_event(self, event: str) -> str:
        """Wait for an event in the log and return its first line."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < deadline:
            for line in self.log_text().splitlines(keepends=True):
                if f"event={event} " in line and line.endswith("\n"):
                    return line
            time.sleep(0.01)
        raise AssertionError(f"no event={event} in {self.log_text()}")

    def read_metrics(self) -> dict[str, tuple[str, str]]:
        """Return the value and type of each metric in `/_vars`."""
        status, text = self.call_admin("GET", "/_vars")
        assert status == 200
        pairs = [line.partition(":") for line in text.splitlines()]
        return {name: (value.split("|")[0], value.split("|")[1]) for name, _, value in pairs}

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()
        self.log.close()
