"""Taking connections when no descriptor is left, and what the kernel holds when a gateway leaves."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import resource
import socket
import subprocess
import sys
from typing import cast

import pytest

from mapleshunt.net import config
from mapleshunt.net.client import listener as listening
from mapleshunt.net.counters import Counters
from mapleshunt.net.request.context import RequestContext
from mapleshunt.server.gateway_server import GatewayServer

from .processes import EXAMPLE, PING, query


class FailingListener:
    """A listener whose next calls of accept fail with the given errors."""

    def __init__(self, listener: socket.socket, errors: list[int]) -> None:
        self.listener, self.errors = listener, errors

    def accept(self) -> object:
        if self.errors:
            number = self.errors.pop(0)
            raise OSError(number, os.strerror(number))
        return self.listener.accept()

    def __getattr__(self, name: str) -> object:
        return getattr(self.listener, name)


async def until(holds: object) -> None:
    async with asyncio.timeout(30):
        while not holds():  # type: ignore[operator]
            await asyncio.sleep(0)


def test_listener_pauses_without_descriptors_and_accepts_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The listener stayed ready: the loop did nothing but try again, with a line in the log each time.
    monkeypatch.setattr(listening, "MIN_ACCEPT_RETRY_DELAY_S", 3600.0)

    async def run() -> None:
        counters, spent, timeouts = Counters(), list[bool](), list[socket.socket]()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            acceptor = listening.Acceptor(
                listener, timeouts.append, counters, on_descriptors_exhausted=lambda: spent.append(True)
            )
            acceptor.start()
            soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            with socket.create_connection(listener.getsockname()):
                resource.setrlimit(resource.RLIMIT_NOFILE, (3, hard))  # those that are open stay
                try:
                    await until(lambda: spent)
                    for _ in range(100):
                        await asyncio.sleep(0)
                finally:
                    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
                assert counters.counts["accepts_failed"] == len(spent) == 1 and not timeouts
                assert acceptor.retry_timer is not None
                acceptor.retry_timer.cancel()
                acceptor._resume()
                await until(lambda: timeouts)
                timeouts[0].close()
            acceptor.stop()

    asyncio.run(run())


@pytest.mark.parametrize("where", ["take", "descriptors"])
def test_exception_in_one_connection_does_not_stop_shutdown(where: str) -> None:
    # The last accepts before the listener closes are made on the way to the process's end: what they raised
    # ended it at once, with all requests that were open.
    async def run() -> list[bool]:
        timeouts: list[bool] = []

        def take(connection: socket.socket) -> None:
            connection.close()
            timeouts.append(True)
            raise AttributeError

        counters = Counters()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            errors = [errno.EMFILE] if where == "descriptors" else []
            failing = cast(socket.socket, FailingListener(listener, list(errors)))
            acceptor = listening.Acceptor(failing, take, counters, on_descriptors_exhausted=lambda: 1 / 0)
            clients = [socket.create_connection(listener.getsockname()) for _ in range(3)]
            await acceptor.accept_backlog(lambda: True)
            for one in clients:
                one.close()
        assert counters.counts["exceptions"] == 3 + len(errors)
        return timeouts

    assert asyncio.run(run()) == [True] * 3


def test_accept_retry_delay_grows_with_failures() -> None:
    # Each failure paused the listener for 0.1 s. A fifth of all calls failing, some connections a second got
    # through, and the requests of the others waited in the backlog until their clients disconnected.
    async def run() -> list[float]:
        loop, timeouts, delays = asyncio.get_running_loop(), list[socket.socket](), list[float]()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            acceptor = listening.Acceptor(listener, timeouts.append, Counters())
            failing = FailingListener(listener, [errno.ENFILE] * 12)
            acceptor.listener = cast(socket.socket, failing)
            acceptor.start()
            with socket.create_connection(listener.getsockname()):
                while not timeouts:
                    await until(lambda: acceptor.retry_timer is not None)
                    assert acceptor.retry_timer is not None
                    delays.append(acceptor.retry_timer.when() - loop.time())
                    acceptor.retry_timer.cancel()
                    acceptor._resume()
                    await until(lambda: timeouts or acceptor.retry_timer is not None)
                timeouts.pop().close()
                failing.errors.append(errno.ENFILE)
                with socket.create_connection(listener.getsockname()):
                    await until(lambda: acceptor.retry_timer is not None)
                    assert acceptor.retry_timer is not None
                    delays.append(acceptor.retry_timer.when() - loop.time())
            acceptor.stop()
        return delays

    delays = asyncio.run(run())
    assert len(delays) == 13
    assert delays[0] < 0.01 and delays[-1] < 0.01, delays
    assert 0.05 < delays[11] < 0.2, delays


def gateway_server(**limits: int) -> GatewayServer:
    text = {**json.loads(EXAMPLE.read_text()), "limits": limits}
    env = {"PROXY_LISTEN": "127.0.0.1:0", "PROXY_DISCOVERY": "127.0.0.1:1"}
    return GatewayServer(config.parse(json.dumps(text), env))


def test_time_in_backlog_is_taken_off_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # While no descriptor was left requests waited to be accepted, and their timeout was counted from then:
    # endpoints got deadlines up to 0.4 s too long, and responses came after their clients had disconnected.
    async def run() -> float:
        one = gateway_server()
        task = asyncio.create_task(one.run())
        await until(lambda: one.clients.accepting)
        (acceptor,) = one.clients.acceptors
        acceptor.stop()
        with socket.create_connection(one.clients.listeners[0].getsockname()) as late:
            late.sendall(query(7, b"c=lookup,t=small,d=5000,units=1,spread=1,first=0"))
            await asyncio.sleep(0.5)
            timeouts: list[float] = []

            def submit(context: RequestContext) -> None:
                timeouts.append(context.request.remaining_time)

            monkeypatch.setattr(one.driver, "submit", submit)
            acceptor.start()
            await until(lambda: timeouts)
        one.stop_requested.set()
        await task
        return timeouts[0]

    assert 4000 < asyncio.run(run()) <= 4600


@pytest.mark.parametrize("full", [False, True])
def test_request_in_backlog_is_answered_before_listener_closes(
    monkeypatch: pytest.MonkeyPatch, full: bool
) -> None:
    # It was in the kernel's queue, and the listener's close reset it; also where an idle one had its
    # place.
    async def run() -> bytes:
        one = gateway_server()
        task = asyncio.create_task(one.run())
        await until(lambda: one.clients.accepting)
        if full:
            one.clients.budget.max_clients = 1
            resting = socket.create_connection(one.clients.listeners[0].getsockname())
            resting.sendall(PING)
            await until(lambda: any(c.last_write_at for c in one.connections.connections))
            one.clients.stop_accepting()
        late = socket.create_connection(one.clients.listeners[0].getsockname())
        late.setblocking(False)
        late.send(PING)
        for acceptor in one.clients.acceptors:  # the loop does not get to it
            acceptor.stop()
        monkeypatch.setattr(one.lifecycle, "accepts_connections", lambda now: False)
        monkeypatch.setattr(one.lifecycle, "closes_idle_connections", lambda now: True)
        one.stop_requested.set()
        data = await asyncio.get_running_loop().sock_recv(late, 100)
        late.close()
        if full:
            resting.close()
        await task
        return data

    assert asyncio.run(run()) == b"-ERR not ready\r\n"


CONNECTION_ERRORS = [errno.ECONNABORTED, errno.EPERM]
RESOURCE_ERRORS = [errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EMFILE]


@pytest.mark.parametrize("errors", [CONNECTION_ERRORS, RESOURCE_ERRORS], ids=["connection", "resources"])
def test_request_in_backlog_is_answered_when_accept_fails_during_shutdown(errors: list[int]) -> None:
    # The last calls of accept before the listener closes stopped at the first error that means a lack of
    # resources: the close reset the connections that were still in the backlog, requests and all.
    async def run() -> bytes:
        one = gateway_server()
        task = asyncio.create_task(one.run())
        await until(lambda: one.clients.accepting)
        with socket.create_connection(one.clients.listeners[0].getsockname()) as late:
            late.setblocking(False)
            late.send(PING)
            (acceptor,) = one.clients.acceptors
            acceptor.stop()  # the loop does not get to it before shutdown
            failing = FailingListener(acceptor.listener, list(errors))
            acceptor.listener = cast(socket.socket, failing)
            one.lifecycle.accepts_connections = lambda now: False  # type: ignore[method-assign]
            one.lifecycle.closes_idle_connections = lambda now: True  # type: ignore[method-assign]
            one.stop_requested.set()
            data = await asyncio.get_running_loop().sock_recv(late, 100)
        await task
        assert not failing.errors
        return data

    assert asyncio.run(run()) == b"-ERR not ready\r\n"


def test_system_descriptor_limit_overrides_configuration() -> None:
    async def run() -> tuple[int, int]:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (200, hard))
        try:
            one = gateway_server(sockets=4096)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        return one.clients.budget.max_clients, one.upstreams.max_connections

    clients, servers = asyncio.run(run())
    assert clients + servers <= 200 - 32


def test_line_is_logged_without_descriptors() -> None:
    # The codec that quotes values was imported at its first use: the line about the lack was lost.
    code = """
import resource
from mapleshunt.net import log
log.configure()
resource.setrlimit(resource.RLIMIT_NOFILE, (3, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
log.log_event("accept_failed", why="Too many open files")
"""
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert 'why="Too many open files"' in done.stderr and "Error" not in done.stderr, done.stderr
