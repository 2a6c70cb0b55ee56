"""Races that need a process of its own: what lists, clients and signals do to it between two of its steps."""

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

from .processes import EXAMPLE, LONG, ONE, PING, PONG, ROOT, free_port, query, replies, run


@contextlib.contextmanager
def descriptors(limit: int) -> Iterator[None]:
    """Let what is started meanwhile hold so many, whatever its configuration says."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def logged(process: subprocess.Popen[str], *events: str) -> None:
    """Wait until each was logged, in any order."""
    assert process.stderr is not None
    awaited = set(events)
    while awaited:
        line = process.stderr.readline()
        assert line, process.wait()
        awaited -= {event for event in awaited if f"event={event} " in line}


def started(discovery: int, *events: str, **env: str) -> tuple[subprocess.Popen[str], int]:
    """A gateway, once it takes clients and has logged the events."""
    port = free_port()
    names = {
        "PROXY_CONFIG": str(EXAMPLE), "PROXY_DISCOVERY": f"127.0.0.1:{discovery}",
        "PROXY_LISTEN": f"127.0.0.1:{port}", **env,
    }  # fmt: skip
    process = run("-m", "mapleshunt", **names)
    logged(process, "started", *events)
    return process, port


def test_discovery_resumes_while_idle_clients_fill_descriptors() -> None:
    """The configuration names more descriptors than there are: what the system allows is the limit."""
    discovery = free_port()
    with descriptors(96):
        process, port = started(discovery)
    idle = list[socket.socket]()
    try:
        for _ in range(150):  # some wait in the kernel's queue
            idle.append(socket.create_connection(("127.0.0.1", port), timeout=20))
            idle[-1].sendall(PING)  # they send one command and are idle
        logged(process, "discovery_ended")  # it goes on calling
        toy = run("-m", "examples.toy_server", str(discovery))
        try:
            logged(process, "members")
            with socket.create_connection(("127.0.0.1", port), timeout=20) as client:
                client.sendall(PING + query(1))
                pong, value = replies(client, 2)
                assert pong == PONG and isinstance(value, memoryview)
            process.send_signal(signal.SIGTERM)
            _, log = process.communicate(timeout=30)
            assert process.returncode == 0 and "exceptions=" not in log
        finally:
            toy.kill()
            toy.communicate()
    finally:
        process.kill()
        process.communicate()
        for one in idle:
            one.close()


@pytest.mark.parametrize("first", [signal.SIGHUP, signal.SIGTERM])
def test_signals_at_once_leave_no_request_unanswered(first: signal.Signals) -> None:
    """A request is in flight when SIGHUP and SIGTERM come, in either order, before it is read."""
    toy = run("-m", "examples.toy_server", "0")
    assert toy.stdout is not None
    discovery = int(toy.stdout.readline().rsplit(":", 1)[1])
    process, port = started(discovery, "members")
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=20) as client:
            client.sendall(PING)
            assert replies(client, 1) == [PONG]
            process.send_signal(signal.SIGSTOP)  # all that follows is there when it goes on
            client.sendall(query(1) + query(2)[:30])
            process.send_signal(first)
            process.send_signal(signal.SIGTERM if first == signal.SIGHUP else signal.SIGHUP)
            process.send_signal(signal.SIGCONT)
            client.sendall(query(2)[30:])
            assert all(isinstance(one, memoryview) for one in replies(client, 2))
            assert client.recv(1) == b""  # it ends in good order, not by a reset
        _, log = process.communicate(timeout=30)
        assert process.returncode == 0 and "exceptions=" not in log and "event=reloaded" in log
    finally:
        for one in (process, toy):
            one.kill()
            one.communicate()


def attempt_pairs(listener: socket.socket, number: int, held: list[socket.socket]) -> dict[bytes, bytes]:
    """Return the pairs of the attempt at that request, at an endpoint that reads commands and never replies.

    Its connections stay open for as long as they are `held`.
    """
    while True:
        data, one = bytearray(), listener.accept()[0]
        held.append(one)
        while not (read := resp.parse_command(data, 0, len(data))):
            data = data + one.recv(65536)
        if bytes(read[0][2]) == b"%016x" % number:
            return dict(pair.split(b"=") for pair in bytes(read[0][3]).split(b","))


def test_late_request_is_answered_before_sigkill_may_come(tmp_path: Path) -> None:
    """SIGKILL may come 0.7 s past the longest deadline, 2 s here, after SIGTERM.

    What came more than 0.7 s after that and hung at its endpoint had its response too late.
    """
    with socket.create_server(("127.0.0.1", 0)) as endpoint:
        endpoint.settimeout(20)
        held = list[socket.socket]()
        member = {"id": "hangs", "host_port": f"127.0.0.1:{endpoint.getsockname()[1]}", "phase": "Ready"}
        known = {"revision": 1, "complete": True, "members": [member]}
        (tmp_path / "config.json").write_text(json.dumps({**json.loads(EXAMPLE.read_text()), "known": known}))
        process, port = started(1, PROXY_CONFIG=str(tmp_path / "config.json"))
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=20) as client:
                client.sendall(query(1, ONE.replace(b"d=5000", b"d=2000")))
                attempt_pairs(endpoint, 1, held)  # it hangs
                process.send_signal(signal.SIGTERM)
                logged(process, "stopping")
                time.sleep(0.9)  # the connection stays open, for an answer is owed on it
                client.sendall(query(2, ONE.replace(b"d=5000", b"d=2000")))
                # Its timeout ends 0.2 s before that, however late this machine is.
                assert float(attempt_pairs(endpoint, 2, held)[b"d"]) <= 2500 - 900
                assert len(replies(client, 2)) == 2
            process.communicate(timeout=30)
            assert process.returncode == 0
        finally:
            process.kill()
            process.communicate()
            for one in held:
                one.close()


def test_sighup_at_any_step_of_start_is_applied(tmp_path: Path) -> None:
    """Until the loop handled the signal, it ended the program. The start is that of the deploy file."""
    config, text = tmp_path / "config", EXAMPLE.read_text()
    os.mkfifo(config)  # a reader waits for what is written: each step waits until the test goes on
    words = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    env = {**os.environ, "PROXY_CONFIG": str(config), "PROXY_LISTEN": f"127.0.0.1:{free_port()}"}
    process = subprocess.Popen(
        ["sh", "-c", words.replace(".venv-run/bin/python", sys.executable)], cwd=ROOT, env=env, text=True,
        stdout=subprocess.PIPE, stderr=subprocess.PIPE,
    )  # fmt: skip

    @contextlib.contextmanager
    def read() -> Iterator[TextIO]:
        """Wait until the process reads its configuration."""
        end = time.monotonic() + LONG
        while True:
            assert process.poll() is None and time.monotonic() < end
            with contextlib.suppress(OSError):
                descriptor = os.open(config, os.O_WRONLY | os.O_NONBLOCK)
                break
        with os.fdopen(descriptor, "w") as file:
            yield file
            config.unlink()
            os.mkfifo(config)  # for the next time: it has not read this one to its end yet

    try:
        begun = sys.executable.encode() + b"\0"
        while not Path(f"/proc/{process.pid}/cmdline").read_bytes().startswith(begun):
            assert process.poll() is None
        process.send_signal(signal.SIGHUP)  # nothing of it has run yet
        with read() as file:
            process.send_signal(signal.SIGHUP)
            file.write(text.replace("127.0.0.1:8500", "127.0.0.1:1"))
        with read() as file:
            file.write(text.replace("127.0.0.1:8500", "127.0.0.1:2"))
        logged(process, "reloaded discovery=127.0.0.1:2", "started")
    finally:
        process.kill()
        process.communicate()
