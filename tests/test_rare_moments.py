"""Races of endpoint lists, clients and signals with a gateway that runs as a process of its own."""

from __future__ import annotations

import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import TextIO

import pytest

from mapleshunt.net.protocol import resp

from .processes import (
    EXAMPLE_CONFIG,
    PING,
    PONG,
    REQUEST_PAIRS,
    ROOT,
    WAIT_TIMEOUT_S,
    free_port,
    query,
    read_replies,
    run,
)


@contextlib.contextmanager
def descriptor_limit(limit: int) -> Iterator[None]:
    """Limit the descriptors of processes started within the context, whatever their configuration says."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def wait_for_events(process: subprocess.Popen[str], *events: str) -> None:
    """Wait until each event was logged, in any order."""
    assert process.stderr is not None
    awaited, log = set(events), ""
    while awaited:
        line = process.stderr.readline()
        log += line
        assert line, (process.wait(), log)
        awaited -= {event for event in awaited if f"event={event} " in line}


def start_gateway(discovery: int, *events: str, **env: str) -> tuple[subprocess.Popen[str], int]:
    """Start a gateway, and wait until it accepts clients and has logged the events."""
    port = free_port()
    environment = {
        "PROXY_CONFIG": str(EXAMPLE_CONFIG), "PROXY_DISCOVERY": f"127.0.0.1:{discovery}",
        "PROXY_LISTEN": f"127.0.0.1:{port}", **env,
    }  # fmt: skip
    process = run("-m", "mapleshunt", **environment)
    wait_for_events(process, "started", *events)
    return process, port


def test_discovery_resumes_while_idle_clients_fill_descriptors() -> None:
    """The configuration allows more descriptors than the system: the system's limit applies."""
    discovery = free_port()
    with descriptor_limit(96):
        process, port = start_gateway(discovery)
    idle_clients = list[socket.socket]()
    try:
        for _ in range(150):  # some wait in the backlog
            idle_clients.append(socket.create_connection(("127.0.0.1", port), timeout=20))
            idle_clients[-1].sendall(PING)  # then the client is idle
        wait_for_events(process, "discovery_ended")  # it keeps polling
        toy_server = run("-m", "examples.toy_server", str(discovery))
        try:
            wait_for_events(process, "members")
            with socket.create_connection(("127.0.0.1", port), timeout=20) as client:
                client.sendall(PING + query(1))
                pong, value = read_replies(client, 2)
                assert pong == PONG and isinstance(value, memoryview)
            process.send_signal(signal.SIGTERM)
            _, log = process.communicate(timeout=30)
            assert process.returncode == 0 and "exceptions=" not in log
        finally:
            toy_server.kill()
            toy_server.communicate()
    finally:
        process.kill()
        process.communicate()
        for client_socket in idle_clients:
            client_socket.close()


@pytest.mark.parametrize("first", [signal.SIGHUP, signal.SIGTERM])
def test_signals_at_once_leave_no_request_unanswered(first: signal.Signals) -> None:
    """A request is in flight when SIGHUP and SIGTERM come, in either order, before it is read."""
    toy_server = run("-m", "examples.toy_server", "0")
    assert toy_server.stdout is not None
    discovery = int(toy_server.stdout.readline().rsplit(":", 1)[1])
    process, port = start_gateway(discovery, "members")
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=20) as client:
            client.sendall(PING)
            assert read_replies(client, 1) == [PONG]
            process.send_signal(signal.SIGSTOP)  # all that follows has arrived when it continues
            client.sendall(query(1) + query(2)[:30])
            process.send_signal(first)
            process.send_signal(signal.SIGTERM if first == signal.SIGHUP else signal.SIGHUP)
            process.send_signal(signal.SIGCONT)
            client.sendall(query(2)[30:])
            assert all(isinstance(reply, memoryview) for reply in read_replies(client, 2))
            assert client.recv(1) == b""  # a graceful close, not a reset
        _, log = process.communicate(timeout=30)
        assert process.returncode == 0 and "exceptions=" not in log and "event=reloaded" in log
    finally:
        for started in (process, toy_server):
            started.kill()
            started.communicate()


def attempt_pairs(
    listener: socket.socket, number: int, open_connections: list[socket.socket]
) -> dict[bytes, bytes]:
    """Return the pairs of that request's attempt, at an endpoint that reads commands and never replies.

    Its connections stay open in `open_connections`.
    """
    while True:
        data, connection = bytearray(), listener.accept()[0]
        open_connections.append(connection)
        while not (command := resp.parse_command(data, 0, len(data))):
            data = data + connection.recv(65536)
        if bytes(command[0][2]) == b"%016x" % number:
            return dict(pair.split(b"=") for pair in bytes(command[0][3]).split(b","))


def test_late_request_is_answered_before_sigkill_may_come(tmp_path: Path) -> None:
    """SIGKILL may come 0.7 s past the longest deadline, 2 s here, after SIGTERM.

    A request that came more than 0.7 s after SIGTERM and hung at its endpoint got its response too late.
    """
    with socket.create_server(("127.0.0.1", 0)) as endpoint:
        endpoint.settimeout(20)
        open_connections = list[socket.socket]()
        member = {"id": "hangs", "host_port": f"127.0.0.1:{endpoint.getsockname()[1]}", "phase": "Ready"}
        endpoint_list = {"revision": 1, "complete": True, "members": [member]}
        (tmp_path / "config.json").write_text(
            json.dumps({**json.loads(EXAMPLE_CONFIG.read_text()), "known": endpoint_list})
        )
        process, port = start_gateway(1, PROXY_CONFIG=str(tmp_path / "config.json"))
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=20) as client:
                client.sendall(query(1, REQUEST_PAIRS.replace(b"d=5000", b"d=2000")))
                attempt_pairs(endpoint, 1, open_connections)  # it gets no reply
                process.send_signal(signal.SIGTERM)
                wait_for_events(process, "stopping")
                time.sleep(0.9)  # the connection stays open for its pending response
                client.sendall(query(2, REQUEST_PAIRS.replace(b"d=5000", b"d=2000")))
                # Its timeout ends 0.2 s before SIGKILL may come, however slow this machine is.
                assert float(attempt_pairs(endpoint, 2, open_connections)[b"d"]) <= 2500 - 900
                assert len(read_replies(client, 2)) == 2
            process.communicate(timeout=30)
            assert process.returncode == 0
        finally:
            process.kill()
            process.communicate()
            for connection in open_connections:
                connection.close()


def test_sighup_at_any_step_of_start_is_applied(tmp_path: Path) -> None:
    """A SIGHUP before the loop handled signals ended the process. The start is the deploy file's command."""
    config, configuration = tmp_path / "config", EXAMPLE_CONFIG.read_text()
    os.mkfifo(config)  # a reader blocks until the test writes, which pauses the start there
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    env = {**os.environ, "PROXY_CONFIG": str(config), "PROXY_LISTEN": f"127.0.0.1:{free_port()}"}
    process = subprocess.Popen(
        ["sh", "-c", command.replace(".venv-run/bin/python", sys.executable)], cwd=ROOT, env=env, text=True,
        stdout=subprocess.PIPE, stderr=subprocess.PIPE,
    )  # fmt: skip

    @contextlib.contextmanager
    def read() -> Iterator[TextIO]:
        """Wait until the process reads its configuration, and yield the file to write it."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while True:
            assert process.poll() is None and time.monotonic() < deadline
            with contextlib.suppress(OSError):
                descriptor = os.open(config, os.O_WRONLY | os.O_NONBLOCK)
                break
        with os.fdopen(descriptor, "w") as file:
            yield file
            config.unlink()
            os.mkfifo(config)  # for the next read; the process has not finished this one yet

    try:
        interpreter = sys.executable.encode() + b"\0"
        while not Path(f"/proc/{process.pid}/cmdline").read_bytes().startswith(interpreter):
            assert process.poll() is None
        process.send_signal(signal.SIGHUP)  # none of its code has run yet
        with read() as file:
            process.send_signal(signal.SIGHUP)
            file.write(configuration.replace("127.0.0.1:8500", "127.0.0.1:1"))
        with read() as file:
            file.write(configuration.replace("127.0.0.1:8500", "127.0.0.1:2"))
        wait_for_events(process, "reloaded discovery=127.0.0.1:2", "started")
    finally:
        process.kill()
        process.communicate()
