"""How the result of an attempt is classified, against endpoints on real sockets with one behaviour each."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import socket
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from tornado.iostream import IOStream, StreamClosedError

from mapleshunt.net.counters import Counters
from mapleshunt.net.messages import AttemptResult
from mapleshunt.net.reasons import AttemptStatus, UpstreamCloseReason
from mapleshunt.net.request.context import Attempt, RequestContext
from mapleshunt.net.request.dispatch import dispatch
from mapleshunt.net.upstream import connection as upstream_connection
from mapleshunt.net.upstream.connection import UpstreamConnection
from mapleshunt.net.upstream.endpoint import Endpoint
from mapleshunt.net.upstream.endpoint_group import EndpointGroup

from .endpoints import (
    VALID_REPLY,
    accept,
    accept_while,
    new_request,
    read_ahead,
    receive_command,
    run_steps,
    start_attempt,
)


@pytest.mark.parametrize(
    ("data", "result"),
    [
        (VALID_REPLY, AttemptResult(AttemptStatus.OK, memoryview(b"value"), 4.0)),
        (b"*3\r\n$1\r\nv\r\n$-1\r\n$5\r\nqps=1\r\n", AttemptResult(AttemptStatus.OK, memoryview(b"v"))),
        (b"-ERR failed\r\n", AttemptResult(AttemptStatus.ERROR)),
        (b"-BUSY\r\n", AttemptResult(AttemptStatus.FULL)),
        (b"-ERR failed used=1,cost=2 inflight=7\r\n", AttemptResult(AttemptStatus.ERROR)),
        (b"", AttemptResult(AttemptStatus.RESET)),
        (b"*3\r\n$1\r\n", AttemptResult(AttemptStatus.RESET)),
        (b"*1\r\n$1\r\nv\r\n", AttemptResult(AttemptStatus.OK, memoryview(b"v"))),
        (b"*3\r\n$1\r\nv\r\n$4\r\n\x00=\xff,\r\n:5\r\n", AttemptResult(AttemptStatus.OK, memoryview(b"v"))),
        (VALID_REPLY + VALID_REPLY, AttemptResult(AttemptStatus.OK, memoryview(b"value"), 4.0)),
        # Malformed: the attempt may have run, and the endpoint is alive.
        (b"nonsense\r\n", AttemptResult(AttemptStatus.ERROR)),
        (b"*1\r\n$70000\r\n", AttemptResult(AttemptStatus.ERROR)),
        (b"*3\r\n$3000000000\r\nvvvv", AttemptResult(AttemptStatus.ERROR)),
        (b"+" + 2000 * b"x", AttemptResult(AttemptStatus.ERROR)),
        (b"*3\r\n$-1\r\n$-1\r\n$-1\r\n", AttemptResult(AttemptStatus.ERROR)),
        (b":1\r\n", AttemptResult(AttemptStatus.ERROR)),
    ],
)
def test_attempt_result_by_reply_after_last_byte(data: bytes, result: AttemptResult) -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        _, task = start_attempt(group, number)
        with await accept(listener) as server:
            # As the client sent it, except for the timeout.
            assert b"c=look,d=300,r=1" in await receive_command(server)
            server.send(data)
            server.shutdown(socket.SHUT_WR)
            return [await task]

    assert run_steps(steps) == [result]


def test_refused_connection_is_unreachable() -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        listener.close()
        return [await start_attempt(group, number)[1]]

    assert run_steps(steps) == [AttemptResult(AttemptStatus.UNREACHABLE)]


def test_dial_timeout_is_unreachable() -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        group.dial_timeout_ms = 0.0
        return [await start_attempt(group, number)[1]]

    assert run_steps(steps) == [AttemptResult(AttemptStatus.UNREACHABLE)]


def test_unknown_endpoint_and_lack_of_descriptors_leave_attempt_unsent() -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        group.max_connections = 0
        return [await start_attempt(group, number + 1)[1], await start_attempt(group, number)[1]]

    assert run_steps(steps) == [AttemptResult(AttemptStatus.UNSENT), AttemptResult(AttemptStatus.UNSENT)]


def test_cancelled_attempt_is_unsent_before_write_and_cancelled_after() -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        early, task = start_attempt(group, number)
        await asyncio.sleep(0)  # the attempt starts to dial
        early.cancel(AttemptStatus.CANCELLED)
        results = [await task]
        statuses = (AttemptStatus.CANCELLED, AttemptStatus.TIMEOUT)
        for status in statuses:
            late, task = start_attempt(group, number)
            server = await accept(listener)
            with contextlib.suppress(ConnectionResetError):
                # Unless this is the first connection, which may have been established briefly.
                await receive_command(server)
                late.cancel(status)
            if not late.cancel_status:
                server = await accept(listener)
                await receive_command(server)
                late.cancel(status)
            results.append(await task)
            assert await asyncio.to_thread(server.recv, 1) == b""  # the connection is closed with the attempt
            server.close()
        return results

    assert run_steps(steps) == [
        AttemptResult(AttemptStatus.UNSENT),
        AttemptResult(AttemptStatus.CANCELLED),
        AttemptResult(AttemptStatus.TIMEOUT),
    ]


def test_reply_whose_rest_the_stream_has_read_ahead_is_not_stalled() -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        _, task = start_attempt(group, number)
        with await accept(listener) as server:
            await receive_command(server)
            server.send(VALID_REPLY[:9])
            (connection,) = group.connections
            while connection.stall_timer is None:
                await asyncio.sleep(0)
            server.send(VALID_REPLY[9:])
            await asyncio.sleep(0)  # the reader waits for the rest by now
            if not connection.buffer.has_completed_read():
                read_ahead(connection)
            connection.stall_timer._run()
            return [await task]

    assert [result.status for result in run_steps(steps)] == ["ok"]


def test_stalled_reply_is_malformed_after_stall_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream_connection, "REPLY_STALL_TIMEOUT_S", 0.01)

    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        _, task = start_attempt(group, number)
        with await accept(listener) as server:
            await receive_command(server)
            server.send(b"*3\r\n$50\r\nshort\r\n")
            return [await task]

    assert run_steps(steps) == [AttemptResult(AttemptStatus.ERROR)]


def test_removed_endpoints_are_forgotten_and_their_connections_closed() -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        connection = group.new_connection(number)
        with await accept_while(connection.connect(), listener):
            address = listener.getsockname()
            group.apply_endpoint_list("partial", [Endpoint("s-1", address, "", 0, "gone", 0.0)])
            # At the same address:
            group.apply_endpoint_list("partial", [Endpoint("s-2", address, "", 0, "ready", 0.0)])
            assert number not in group.pools and len(group.pools) == 1
            group.release(connection)  # its attempt was still in flight
            assert connection.close_reason == "server_moved" and not group.connections
        return []

    assert run_steps(steps) == []


def test_unsolicited_reply_closes_connection() -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        connection = group.new_connection(number)
        with await accept_while(connection.connect(), listener) as server:
            group.release(connection)
            server.send(VALID_REPLY)
            while not connection.stream.closed():
                await asyncio.sleep(0)
        assert connection.close_reason == "malformed_reply" and group.take_idle(number) is None
        return []

    assert run_steps(steps) == []


def endpoint_changed_to(**changes: Any) -> Callable[[EndpointGroup, int], None]:
    """Return a change of the endpoint in the list while an attempt is in flight."""

    def apply(group: EndpointGroup, number: int) -> None:
        group.apply_endpoint_list("partial", [replace(group.pools[number].endpoint, **changes)])

    return apply


CHANGES: dict[str, Callable[[EndpointGroup, int, RequestContext, Attempt, list[float]], Any]] = {
    "drained": lambda group, number, *_: endpoint_changed_to(state="draining")(group, number),
    "gone": lambda group, number, *_: endpoint_changed_to(state="gone")(group, number),
    "restarted": lambda group, number, *_: endpoint_changed_to(started_at_ms=5.0)(group, number),
    "moved": lambda group, number, *_: endpoint_changed_to(address=("127.0.0.1", 1))(group, number),
    "client disconnected": lambda _group, _number, context, *_: context.claim_response(),
    "cancelled": lambda _group, _number, _context, attempt, _clock: attempt.cancel(AttemptStatus.CANCELLED),
    "idempotency window over": lambda _group, _number, _context, attempt, _clock: setattr(
        attempt, "send_before", 179.0
    ),
    "deadline passed": lambda _group, _number, _context, _attempt, clock: clock.append(479.5),
}


# With a cached connection, an endpoint that restarted or moved is dialled again and gets the request there.
@pytest.mark.parametrize(
    ("change", "cached"),
    [(name, False) for name in CHANGES]
    + [(name, True) for name in CHANGES if name not in ("restarted", "moved")],
)
def test_nothing_is_written_for_attempt_that_is_no_longer_wanted(change: str, cached: bool) -> None:
    """Guards the check before the write: a turn of the loop and often a dial come after the decision.

    Only the time was checked again: endpoints got requests although they had begun to drain, the client had
    disconnected or the idempotency window had ended.
    """

    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        connection = group.new_connection(number)
        server = await accept_while(connection.connect(), listener)
        if cached:
            group.release(connection)
            await asyncio.sleep(2 * upstream_connection.REUSE_DELAY_S)
        else:  # the change comes while the next connection is dialled
            connection.close(UpstreamCloseReason.SHUTDOWN)
        (context, attempt), clock = new_request(number), [179.3]
        task = asyncio.create_task(dispatch(context, attempt, group, lambda: clock[-1]))
        if not cached:
            await asyncio.sleep(0)  # the attempt starts to dial
            assert attempt.connection is not None
        CHANGES[change](group, number, context, attempt, clock)
        result = await task
        group.close()
        if not cached:
            server.close()
            listener.settimeout(0.0)
            try:
                server = listener.accept()[0]
            except BlockingIOError:  # cancelled before the connection was established
                return [result]
            server.settimeout(10)
        with contextlib.suppress(ConnectionResetError):
            assert await asyncio.to_thread(server.recv, 100) == b""
        server.close()
        return [result]

    assert run_steps(steps) == [AttemptResult(AttemptStatus.UNSENT)]


def test_slow_long_reply_is_accepted_while_it_progresses() -> None:
    # A reply counted as malformed 0.1 s after its first bytes, even while more arrived.
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        attempt, task = start_attempt(group, number)
        with await accept(listener) as server:
            await receive_command(server)
            connection, timeouts_at = attempt.connection, list[float]()
            assert isinstance(connection, UpstreamConnection)
            for at in range(0, len(VALID_REPLY) - 1, 4):
                server.send(VALID_REPLY[at : min(at + 4, len(VALID_REPLY) - 1)])
                while connection.buffer.end < min(at + 4, len(VALID_REPLY) - 1):
                    await asyncio.sleep(0)
                assert connection.stall_timer is not None
                timeouts_at.append(connection.stall_timer.when())
            assert timeouts_at == sorted(set(timeouts_at))  # each part postpones the stall timeout
            assert timeouts_at[-1] <= connection.reply_deadline  # half of the attempt's remaining time
            server.send(VALID_REPLY[-1:])
            return [await task]

    assert [result.status for result in run_steps(steps)] == ["ok"]


def test_endless_reply_is_malformed_before_deadline() -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        connection = group.new_connection(number)
        with await accept_while(connection.connect(), listener) as server:
            task = asyncio.create_task(connection.exchange(b"x", max_reply_s=0.0))
            await asyncio.to_thread(server.recv, 1)
            server.send(VALID_REPLY[:1])
            return [await task]

    assert run_steps(steps) == [AttemptResult(AttemptStatus.ERROR)]


@pytest.mark.parametrize(
    "change",
    ["drained", "gone", "client disconnected", "cancelled", "idempotency window over", "deadline passed"],
)
def test_attempt_that_is_no_longer_wanted_is_not_dialled(change: str) -> None:
    # An attempt cancelled before its task started was dialled all the same: useless work for the endpoint.
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        (context, attempt), clock = new_request(number), [179.3]
        task = asyncio.create_task(dispatch(context, attempt, group, lambda: clock[-1]))
        CHANGES[change](group, number, context, attempt, clock)
        result = await task
        assert not group.counters.counts["dials"]
        return [result]

    assert run_steps(steps) == [AttemptResult(AttemptStatus.UNSENT)]


@pytest.mark.parametrize(
    ("error", "status"),
    [
        (errno.EADDRNOTAVAIL, "unsent"),
        (errno.ENOBUFS, "unsent"),
        (errno.ETIMEDOUT, "unreachable"),
        (errno.EHOSTUNREACH, "unreachable"),
        (errno.ENETUNREACH, "unreachable"),
        (errno.ECONNREFUSED, "unreachable"),
    ],
)
def test_local_connect_error_leaves_attempt_unsent(
    error: int, status: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Two such failures in a row ejected a healthy endpoint, and gossip reported it as silent to every peer.
    def connect(stream: IOStream, address: object) -> asyncio.Future[IOStream]:
        stream.close(exc_info=OSError(error, os.strerror(error)))
        raise StreamClosedError(real_error=OSError(error, os.strerror(error)))

    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        monkeypatch.setattr(IOStream, "connect", connect)
        _, task = start_attempt(group, number)
        return [await task]

    assert [result.status for result in run_steps(steps)] == [status]


@pytest.mark.parametrize(("data", "status"), [(VALID_REPLY, "ok"), (b"", "timeout")])
def test_attempt_cancelled_right_after_its_reply_keeps_reply(
    data: bytes, status: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A reply that was read counts; an attempt ended by a reset may have run, even if cancelled meanwhile."""

    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        attempt, task = start_attempt(group, number)
        with await accept(listener) as server:
            await receive_command(server)
            connection = attempt.connection
            assert isinstance(connection, UpstreamConnection)
            method = "_process_reply" if data else "close"
            original = getattr(connection, method)

            def run_and_cancel(*args: str) -> None:
                original(*args)
                attempt.cancel(AttemptStatus.TIMEOUT)  # before the task that awaits the result runs

            monkeypatch.setattr(connection, method, run_and_cancel)
            server.send(data)
        result = await task
        assert attempt.cancel_status == "timeout" and not group.connections
        return [result]

    assert [attempt_result.status for attempt_result in run_steps(steps)] == [status]


def endpoint_at(name: str, port: int, started_at_ms: float = 0.0, state: Any = "ready") -> Endpoint:
    return Endpoint(name, ("127.0.0.1", port), "", 0, state, started_at_ms)


@pytest.mark.parametrize("started_at_ms", [0.0, 5000.0])
@pytest.mark.parametrize("kind", ["partial", "complete"])
def test_process_at_the_address_of_one_that_is_still_listed_is_not_taken_for_it(
    kind: Any, started_at_ms: float
) -> None:
    async def run() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            older, newer = endpoint_at("s-old", port), endpoint_at("s-new", port, started_at_ms)
            group = EndpointGroup(Counters(), 250, 1000, 10)
            group.apply_endpoint_list("complete", [older])
            connection = group.new_connection(older.number)
            await connection.connect()
            group.release(connection)
            update = group.apply_endpoint_list(kind, [newer] if kind == "partial" else [newer, older])
            states = {info.endpoint: info.state for info in update.endpoints}
            assert states == {older.number: "gone", newer.number: "ready"}
            assert group.may_send(newer.number) and not group.may_send(older.number)
            assert connection not in group.connections
            moved = endpoint_at("s-old", port + 1)
            update = group.apply_endpoint_list("partial", [moved])
            assert group.may_send(moved.number) and {info.state for info in update.endpoints} == {"ready"}
            group.close()

    asyncio.run(run())


def test_dial_begun_before_its_address_was_reused_carries_no_attempt() -> None:
    async def run() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            older, newer = endpoint_at("s-old", port), endpoint_at("s-new", port, 5000.0)
            group = EndpointGroup(Counters(), 250, 1000, 10)
            group.apply_endpoint_list("complete", [older])
            connection = group.new_connection(older.number)
            await connection.connect()
            group.apply_endpoint_list("partial", [newer])
            assert not group.is_current(connection)
            group.release(connection)
            assert connection not in group.connections
            group.close()

    asyncio.run(run())
