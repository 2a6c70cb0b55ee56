"""Moments that take a whole process: what a list, clients and signals do to it between two of its steps."""

from __future__ import annotations

import contextlib
import resource
import signal
import socket
import subprocess
from collections.abc import Iterator

import pytest

from .processes import EXAMPLE, PING, PONG, free_port, query, replies, run


@contextlib.contextmanager
def descriptors(most: int) -> Iterator[None]:
    """What is started meanwhile may hold so many, and is not told of it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
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
    process = run(
        "-m", "mapleshunt", PROXY_CONFIG=str(EXAMPLE), PROXY_DISCOVERY=f"127.0.0.1:{discovery}",
        PROXY_LISTEN=f"127.0.0.1:{port}", **env,
    )  # fmt: skip
    logged(process, "started", *events)
    return process, port


def test_idle_clients_fill_the_descriptors_while_discovery_is_down_and_it_is_found_again() -> None:
    """The configuration tells of more descriptors than there are: only what the system allows binds."""
    discovery = free_port()
    with descriptors(96):
        process, port = started(discovery)
    idle = list[socket.socket]()
    try:
        for _ in range(150):  # some wait in the kernel's queue
            idle.append(socket.create_connection(("127.0.0.1", port), timeout=20))
            idle[-1].sendall(PING)  # they ask once and rest
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
def test_signals_in_one_instant_leave_nothing_unanswered(first: signal.Signals) -> None:
    """A request is out when a new configuration and the end are told, in either order, before it is read."""
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
