"""How the result of an attempt is classified. Each endpoint here plays one case on a socket."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest
from tornado.iostream import IOStream, StreamClosedError

from mapleshunt import RequestReceived
from mapleshunt.net.counters import Counters
from mapleshunt.net.messages import AttemptResult, ResponseSink
from mapleshunt.net.protocol import resp
from mapleshunt.net.protocol.command_protocol import CommandMessage
from mapleshunt.net.reasons import AttemptStatus, UpstreamCloseReason
from mapleshunt.net.request.context import Attempt, RequestContext
from mapleshunt.net.request.dispatch import dispatch
from mapleshunt.net.upstream import connection as upstream_connection
from mapleshunt.net.upstream import endpoint_group as upstream
from mapleshunt.net.upstream.connection import UpstreamConnection
from mapleshunt.net.upstream.endpoint import Endpoint
from mapleshunt.net.upstream.endpoint_group import EndpointGroup

GOOD = b"*3\r\n$5\r\nvalue\r\n$14\r\nused=37,cost=4\r\n$-1\r\n"
Steps = Callable[[EndpointGroup, int, socket.socket], Awaitable[list[AttemptResult]]]
WORDS = [memoryview(b"SVC.QUERY"), memoryview(b"c" * 16), memoryview(b"i" * 16), memoryview(b"c=look")]


class Silent:
    def serve(self, value: memoryview) -> None: ...
    def reject(self, wait: float) -> None: ...
    def fail(self) -> None: ...


def play(steps: Steps) -> list[AttemptResult]:
    """Run steps against a group of one endpoint, whose listening socket the steps get."""

    async def run() -> list[AttemptResult]:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.settimeout(10)
            group = EndpointGroup(Counters(), 5000, 10000, 2)
            member = Endpoint("s-1", listener.getsockname(), "", 0, "ready", 0.0)
            group.apply_endpoint_list("complete", [member])
            try:
                return await steps(group, member.number, listener)
            finally:
                group.close()

    return asyncio.run(run())


def request_at(number: int) -> tuple[RequestContext, Attempt]:
    answer: ResponseSink = Silent()
    message = CommandMessage(WORDS, {"c": "look", "d": "480", "r": "1"})
    context = RequestContext(1, RequestReceived(1, "look", "wide", "c", 480), message, answer, 0.0)
    return context, Attempt(0, number, 0.0, 480.0)


def attempt_at(group: EndpointGroup, number: int) -> tuple[Attempt, asyncio.Task[AttemptResult]]:
    context, attempt = request_at(number)
    return attempt, asyncio.create_task(dispatch(context, attempt, group, lambda: 179.3))


async def taken(server: socket.socket) -> bytes:
    server.settimeout(10)
    data = b""
    while not resp.parse_command(bytearray(data), 0, len(data)):
        if not (more := await asyncio.to_thread(server.recv, 65536)):
            raise ConnectionResetError
        data += more
    return data


async def accept(listener: socket.socket) -> socket.socket:
    return (await asyncio.to_thread(listener.accept))[0]


@pytest.mark.parametrize(
    ("data", "result"),
    [
        (GOOD, AttemptResult(AttemptStatus.OK, memoryview(b"value"), 4.0)),
        (b"*3\r\n$1\r\nv\r\n$-1\r\n$5\r\nqps=1\r\n", AttemptResult(AttemptStatus.OK, memoryview(b"v"))),
        (b"-ERR failed\r\n", AttemptResult(AttemptStatus.ERROR)),
        (b"-BUSY\r\n", AttemptResult(AttemptStatus.FULL)),
        (b"-ERR failed used=1,cost=2 inflight=7\r\n", AttemptResult(AttemptStatus.ERROR)),
        (b"", AttemptResult(AttemptStatus.RESET)),
        (b"*3\r\n$1\r\n", AttemptResult(AttemptStatus.RESET)),
        (b"*1\r\n$1\r\nv\r\n", AttemptResult(AttemptStatus.OK, memoryview(b"v"))),
        (b"*3\r\n$1\r\nv\r\n$4\r\n\x00=\xff,\r\n:5\r\n", AttemptResult(AttemptStatus.OK, memoryview(b"v"))),
        (GOOD + GOOD, AttemptResult(AttemptStatus.OK, memoryview(b"value"), 4.0)),
        # Malformed: it may have run, and the endpoint lives.
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
        _, task = attempt_at(group, number)
        with await accept(listener) as server:
            assert b"c=look,d=300,r=1" in await taken(server)  # all as it came, but for the wait
            server.send(data)
            server.shutdown(socket.SHUT_WR)
            return [await task]

    assert play(steps) == [result]


def test_refused_connection_is_unreachable() -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        listener.close()
        return [await attempt_at(group, number)[1]]

    assert play(steps) == [AttemptResult(AttemptStatus.UNREACHABLE)]


def test_dial_timeout_is_unreachable() -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        group.dial_timeout_ms = 0.0
        return [await attempt_at(group, number)[1]]

    assert play(steps) == [AttemptResult(AttemptStatus.UNREACHABLE)]


def test_unknown_endpoint_and_lack_of_descriptors_leave_attempt_unsent() -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        group.max_connections = 0
        return [await attempt_at(group, number + 1)[1], await attempt_at(group, number)[1]]

    assert play(steps) == [AttemptResult(AttemptStatus.UNSENT), AttemptResult(AttemptStatus.UNSENT)]


def test_cancelled_attempt_is_unsent_before_write_and_cancelled_after() -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        early, task = attempt_at(group, number)
        await asyncio.sleep(0)  # it dials
        early.cancel(AttemptStatus.CANCELLED)
        results = [await task]
        statuses = (AttemptStatus.CANCELLED, AttemptStatus.TIMEOUT)
        for status in statuses:
            late, task = attempt_at(group, number)
            server = await accept(listener)
            with contextlib.suppress(ConnectionResetError):
                await taken(server)  # unless it is the first one, which may have come up for a moment
                late.cancel(status)
            if not late.cancel_status:
                server = await accept(listener)
                await taken(server)
                late.cancel(status)
            results.append(await task)
            assert await asyncio.to_thread(server.recv, 1) == b""  # the connection ends with it
            server.close()
        return results

    assert play(steps) == [
        AttemptResult(AttemptStatus.UNSENT),
        AttemptResult(AttemptStatus.CANCELLED),
        AttemptResult(AttemptStatus.TIMEOUT),
    ]


def test_connection_is_reused_unless_endpoint_closed_it() -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        _, task = attempt_at(group, number)
        server = await accept(listener)
        await taken(server)
        server.send(GOOD)
        results = [await task]
        await asyncio.sleep(2 * upstream.REUSE_DELAY_S)
        _, task = attempt_at(group, number)
        await taken(server)  # on the same connection
        server.send(GOOD)
        results.append(await task)
        server.close()  # unread on our side: a try written now would end as one that may have run
        _, task = attempt_at(group, number)
        with await accept(listener) as server:
            await taken(server)
            server.send(GOOD)
            results.append(await task)
        return results

    assert [one.status for one in play(steps)] == ["ok", "ok", "ok"]


@pytest.mark.parametrize("more", [b"*3\r\n$5\r\nval", b"\r\n", b"+", GOOD])
def test_bytes_behind_reply_never_reach_next_attempt(more: bytes) -> None:
    # A part of a reply stayed in the buffer, and the next answer was read as its end.
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        _, first = attempt_at(group, number)
        with await accept(listener) as server:
            await taken(server)
            server.send(GOOD + more)
            results = [await first]
            _, second = attempt_at(group, number)
            with await accept(listener) as other:
                await taken(other)
                other.send(GOOD)
                return [*results, await second]

    assert [one.status for one in play(steps)] == ["ok", "ok"]


def test_connection_is_not_reused_before_reuse_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    # Noise that came a moment behind an answer would have been taken for the next one's.
    monkeypatch.setattr(upstream, "REUSE_DELAY_S", 3600.0)

    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        connection = group.new_connection(number)
        with await accept_while(connection.connect(), listener):
            group.release(connection)
            assert group.take_idle(number) is None
            upstream.REUSE_DELAY_S = 0.0
            assert group.take_idle(number) is connection
        return []

    assert play(steps) == []


def test_stalled_reply_is_malformed_after_stall_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream_connection, "REPLY_STALL_TIMEOUT_S", 0.01)

    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        _, task = attempt_at(group, number)
        with await accept(listener) as server:
            await taken(server)
            server.send(b"*3\r\n$50\r\nshort\r\n")
            return [await task]

    assert play(steps) == [AttemptResult(AttemptStatus.ERROR)]


def test_max_idle_time_is_reduced_after_stale_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Each attempt on one of them ended as reset: it may have run, and its endpoint was taken for dead.
    monkeypatch.setattr(upstream_connection, "STALE_RESET_WITHIN_S", 10.0)

    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        _, task = attempt_at(group, number)
        with await accept(listener) as server:
            await taken(server)
            server.send(GOOD)
            results = [await task]
            await asyncio.sleep(2 * upstream.REUSE_DELAY_S)
            _, task = attempt_at(group, number)
            await taken(server)
        results.append(await task)
        now = asyncio.get_running_loop().time()
        assert (
            upstream.REUSE_DELAY_S <= group.max_idle_s(now) < 1.0
        )  # it had been idle for less than a second
        assert group.max_idle_s(now + 100 * upstream.MAX_IDLE_DOUBLING_S) == group.idle_timeout_ms / 1000
        connection = group.new_connection(number)
        with await accept_while(connection.connect(), listener):
            group.release(connection)
            connection.idle_since -= 5.0
            assert group.take_idle(number) is None
        return results

    assert [one.status for one in play(steps)] == ["ok", "reset"]


def test_removed_endpoints_are_forgotten_and_their_connections_closed() -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        connection = group.new_connection(number)
        with await accept_while(connection.connect(), listener):
            address = listener.getsockname()
            group.apply_endpoint_list("partial", [Endpoint("s-1", address, "", 0, "gone", 0.0)])
            group.apply_endpoint_list(
                "partial", [Endpoint("s-2", address, "", 0, "ready", 0.0)]
            )  # at the same address
            assert number not in group.pools and len(group.pools) == 1
            group.release(connection)  # its try had still been out
            assert connection.close_reason == "server_moved" and not group.connections
        return []

    assert play(steps) == []


def test_unsolicited_reply_closes_connection() -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        connection = group.new_connection(number)
        with await accept_while(connection.connect(), listener) as server:
            group.release(connection)
            server.send(GOOD)
            while not connection.stream.closed():
                await asyncio.sleep(0)
        assert connection.close_reason == "malformed_reply" and group.take_idle(number) is None
        return []

    assert play(steps) == []


async def accept_while(step: Awaitable[None], listener: socket.socket) -> socket.socket:
    _, server = await asyncio.gather(step, accept(listener))
    return server


def test_idle_connections_are_closed_when_stale_or_endpoint_removed() -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        for close in (group.close_stale_idle, lambda: group.apply_endpoint_list("complete", [])):
            connection = group.new_connection(number)
            with await accept_while(connection.connect(), listener):
                group.release(connection)
                group.idle_timeout_ms = -1000.0  # ms ago
                close()
                assert isinstance(connection.stream, IOStream) and connection.stream.closed()
        return []

    assert play(steps) == []


def listed_as(**changes: Any) -> Callable[[EndpointGroup, int], None]:
    """The list changes under a try."""

    def change(group: EndpointGroup, number: int) -> None:
        group.apply_endpoint_list("partial", [replace(group.pools[number].endpoint, **changes)])

    return change


CROSSINGS: dict[str, Callable[[EndpointGroup, int, RequestContext, Attempt, list[float]], Any]] = {
    "drained": lambda group, number, *_: listed_as(state="draining")(group, number),
    "gone": lambda group, number, *_: listed_as(state="gone")(group, number),
    "restarted": lambda group, number, *_: listed_as(started_at_ms=5.0)(group, number),
    "moved": lambda group, number, *_: listed_as(address=("127.0.0.1", 1))(group, number),
    "left": lambda _group, _number, context, *_: context.claim_response(),
    "cancelled": lambda _group, _number, _context, attempt, _clock: attempt.cancel(AttemptStatus.CANCELLED),
    "window over": lambda _group, _number, _context, attempt, _clock: setattr(attempt, "send_before", 179.0),
    "deadline passed": lambda _group, _number, _context, _attempt, clock: clock.append(479.5),
}


# With a kept connection, one that restarted or moved is dialled anew and gets its request there.
@pytest.mark.parametrize(
    ("crossing", "kept"),
    [(one, False) for one in CROSSINGS]
    + [(one, True) for one in CROSSINGS if one not in ("restarted", "moved")],
)
def test_nothing_is_written_for_attempt_that_is_no_longer_wanted(crossing: str, kept: bool) -> None:
    """Between the decision and the bytes lie a turn of the loop and, without a kept connection, a dial.

    Only the time was checked again: a server that began to drain meanwhile got the request, and so did one
    whose client had left, or whose window for repeats had ended.
    """

    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        connection = group.new_connection(number)
        server = await accept_while(connection.connect(), listener)
        if kept:
            group.release(connection)
            await asyncio.sleep(2 * upstream.REUSE_DELAY_S)
        else:  # the next one's dial is the turn of the loop in which all changes
            connection.close(UpstreamCloseReason.SHUTDOWN)
        (context, attempt), clock = request_at(number), [179.3]
        task = asyncio.create_task(dispatch(context, attempt, group, lambda: clock[-1]))
        if not kept:
            await asyncio.sleep(0)  # it dials
            assert attempt.connection is not None
        CROSSINGS[crossing](group, number, context, attempt, clock)
        result = await task
        group.close()
        if not kept:
            server.close()
            listener.settimeout(0.0)
            try:
                server = listener.accept()[0]
            except BlockingIOError:  # cancelled, it ended before it came up
                return [result]
            server.settimeout(10)
        with contextlib.suppress(ConnectionResetError):
            assert await asyncio.to_thread(server.recv, 100) == b""
        server.close()
        return [result]

    assert play(steps) == [AttemptResult(AttemptStatus.UNSENT)]


def test_slow_long_reply_is_accepted_while_it_progresses() -> None:
    # It counted as malformed 0.1 s after its first part, however it went on.
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        attempt, task = attempt_at(group, number)
        with await accept(listener) as server:
            await taken(server)
            connection, ends = attempt.connection, list[float]()
            assert isinstance(connection, UpstreamConnection)
            for at in range(0, len(GOOD) - 1, 4):
                server.send(GOOD[at : min(at + 4, len(GOOD) - 1)])
                while connection.buffer.end < min(at + 4, len(GOOD) - 1):
                    await asyncio.sleep(0)
                assert connection.stall_timer is not None
                ends.append(connection.stall_timer.when())
            assert ends == sorted(set(ends))  # each part moves the moment at which it counts as malformed
            assert ends[-1] <= connection.reply_deadline  # which half of what is left of the try bounds
            server.send(GOOD[-1:])
            return [await task]

    assert [one.status for one in play(steps)] == ["ok"]


def test_endless_reply_is_malformed_before_deadline() -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        connection = group.new_connection(number)
        with await accept_while(connection.connect(), listener) as server:
            task = asyncio.create_task(connection.exchange(b"x", max_reply_s=0.0))
            await asyncio.to_thread(server.recv, 1)
            server.send(GOOD[:1])
            return [await task]

    assert play(steps) == [AttemptResult(AttemptStatus.ERROR)]


@pytest.mark.parametrize(
    "crossing", ["drained", "gone", "left", "cancelled", "window over", "deadline passed"]
)
def test_attempt_that_is_no_longer_wanted_is_not_dialled(crossing: str) -> None:
    # An attempt cancelled before its task began dialled all the same: work for the endpoint, and for nobody.
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        (context, attempt), clock = request_at(number), [179.3]
        task = asyncio.create_task(dispatch(context, attempt, group, lambda: clock[-1]))
        CROSSINGS[crossing](group, number, context, attempt, clock)
        result = await task
        assert not group.counters.counts["dials"]
        return [result]

    assert play(steps) == [AttemptResult(AttemptStatus.UNSENT)]


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
    # Two such failures in a row ejected a sound server, and every peer learned that it was silent.
    def connect(stream: IOStream, address: object) -> asyncio.Future[IOStream]:
        stream.close(exc_info=OSError(error, os.strerror(error)))
        raise StreamClosedError(real_error=OSError(error, os.strerror(error)))

    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        monkeypatch.setattr(IOStream, "connect", connect)
        _, task = attempt_at(group, number)
        return [await task]

    assert [result.status for result in play(steps)] == [status]


@pytest.mark.parametrize(("data", "status"), [(GOOD, "ok"), (b"", "timeout")])
def test_attempt_cancelled_in_turn_of_its_reply_keeps_reply(
    data: bytes, status: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An answer that was read counts; what a reset ended may have run, whatever cancelled it meanwhile."""

    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        attempt, task = attempt_at(group, number)
        with await accept(listener) as server:
            await taken(server)
            connection = attempt.connection
            assert isinstance(connection, UpstreamConnection)
            ended = "_process_reply" if data else "close"
            reads = getattr(connection, ended)

            def read_and_given_up(*args: str) -> None:
                reads(*args)
                attempt.cancel(AttemptStatus.TIMEOUT)  # before the task that waits for the end has its turn

            monkeypatch.setattr(connection, ended, read_and_given_up)
            server.send(data)
        result = await task
        assert attempt.cancel_status == "timeout" and not group.connections
        return [result]

    assert [one.status for one in play(steps)] == [status]
