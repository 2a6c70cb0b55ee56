"""When a connection to an endpoint is reused: no bytes that follow a reply may reach another attempt."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace

import pytest
from tornado.iostream import IOStream

from mapleshunt.net.messages import AttemptResult
from mapleshunt.net.upstream import connection as upstream_connection
from mapleshunt.net.upstream import endpoint_group as upstream
from mapleshunt.net.upstream.connection import MAX_REUSE_DELAY_S, REUSE_DELAY_S
from mapleshunt.net.upstream.endpoint_group import EndpointGroup

from .endpoints import (
    VALID_REPLY,
    accept,
    accept_while,
    read_ahead,
    receive_command,
    run_steps,
    start_attempt,
)

SECOND_ANSWER_S = 0.012  # after the first, at most, in `review/2`


async def answer_attempt(
    group: EndpointGroup, number: int, server: socket.socket, data: bytes = VALID_REPLY
) -> tuple[AttemptResult, socket.socket]:
    """Start an attempt, and answer it on a connection, or on the next one that a listener accepts.

    Returns the result and the connection, which stays open.
    """
    _, task = start_attempt(group, number)
    if server.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        server = await accept(server)
    await receive_command(server)
    server.send(data)
    return await task, server


@pytest.mark.parametrize(
    ("delay_s", "idle_s", "reads_ahead", "seen_extra_s", "is_at_most_once", "is_reused"),
    [
        (0.0, 0.0, False, None, False, True),
        (3600.0, 0.0, False, None, False, False),  # bytes may still come that follow its reply
        (0.0, 3600.0, False, None, False, False),  # the endpoint may have closed it
        (0.0, 0.0, True, None, False, False),  # the stream has read bytes that its task has not seen
        (0.0, 0.0, False, 0.5, False, False),  # the endpoint has shown that they come as late as that
        (0.0, 1.1, False, 0.5, False, True),
        (0.0, 0.0, False, 0.0, False, True),
        (0.0, 0.0, False, 0.0, True, False),  # they might come later than any that were seen
        (0.0, 0.0, False, None, True, True),
    ],
)
def test_idle_connection_is_reused_unless_bytes_may_follow_its_reply(
    monkeypatch: pytest.MonkeyPatch,
    delay_s: float,
    idle_s: float,
    reads_ahead: bool,
    seen_extra_s: float | None,
    is_at_most_once: bool,
    is_reused: bool,
) -> None:
    monkeypatch.setattr(upstream_connection, "REUSE_DELAY_S", delay_s)

    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        connection = group.new_connection(number)
        with await accept_while(connection.connect(), listener) as server:
            group.release(connection)
            connection.idle_since -= idle_s
            if reads_ahead:
                await asyncio.sleep(0)
                server.send(VALID_REPLY)
                read_ahead(connection)
            if seen_extra_s is not None:
                group.pools[number].extra_bytes_seen(seen_extra_s)
            assert group.take_idle(number, is_at_most_once) is (connection if is_reused else None)
        return []

    assert run_steps(steps) == []


def test_second_answer_some_milliseconds_late_never_reaches_next_attempt() -> None:
    # Reused 10 ms after a reply, a connection had the copy behind it taken for the next attempt's reply.
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        pool, connection = group.pools[number], group.new_connection(number)
        with await accept_while(connection.connect(), listener) as server:
            group.release(connection)
            asyncio.get_running_loop().call_later(SECOND_ANSWER_S, server.send, VALID_REPLY)
            while (reused := group.take_idle(number)) is None and connection in group.connections:
                await asyncio.sleep(0)
        assert reused is None and pool.longest_extra_s is not None
        pool.extra_bytes_seen(0.05)
        assert 0.1 <= pool.reuse_delay_s() <= MAX_REUSE_DELAY_S
        pool.extra_bytes_seen(3600.0)
        assert pool.reuse_delay_s() == MAX_REUSE_DELAY_S
        group.apply_endpoint_list("complete", [replace(pool.endpoint, started_at_ms=1.0)])
        assert group.pools[number].reuse_delay_s() == REUSE_DELAY_S  # of another process
        return []

    assert run_steps(steps) == []


def test_connection_is_reused_unless_endpoint_closed_it() -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        connection = group.new_connection(number)
        server = await accept_while(connection.connect(), listener)
        group.release(connection)
        results = []
        for _ in range(2):
            await asyncio.sleep(2 * REUSE_DELAY_S)
            results.append((await answer_attempt(group, number, server))[0])  # on the same connection
        # The close is not read yet: an attempt written now would count as one that may have run.
        server.close()
        return [*results, (await answer_attempt(group, number, listener))[0]]

    assert [result.status for result in run_steps(steps)] == ["ok", "ok", "ok"]


@pytest.mark.parametrize("extra", [b"*3\r\n$5\r\nval", b"\r\n", b"+", VALID_REPLY])
def test_bytes_behind_reply_never_reach_next_attempt(extra: bytes) -> None:
    # Part of a reply stayed in the buffer, and the next reply was read as its continuation.
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        first, _first_server = await answer_attempt(group, number, listener, VALID_REPLY + extra)
        assert group.pools[number].longest_extra_s == 0.0
        second, _second_server = await answer_attempt(group, number, listener)
        return [first, second]

    assert [result.status for result in run_steps(steps)] == ["ok", "ok"]


def test_max_idle_time_is_reduced_after_stale_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    # Each attempt on a stale connection ended as reset: it may have run, and its endpoint counted as dead.
    monkeypatch.setattr(upstream_connection, "STALE_RESET_WITHIN_S", 10.0)

    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        _, task = start_attempt(group, number)
        with await accept(listener) as server:
            await receive_command(server)
            server.send(VALID_REPLY)
            results = [await task]
            await asyncio.sleep(2 * REUSE_DELAY_S)
            _, task = start_attempt(group, number)
            await receive_command(server)
        results.append(await task)
        now = asyncio.get_running_loop().time()
        # The connection had been idle for less than a second.
        assert REUSE_DELAY_S <= group.max_idle_s(now) < 1.0
        assert group.max_idle_s(now + 100 * upstream.MAX_IDLE_DOUBLING_S) == group.idle_timeout_ms / 1000
        connection = group.new_connection(number)
        with await accept_while(connection.connect(), listener):
            group.release(connection)
            connection.idle_since -= 5.0
            assert group.take_idle(number) is None
        return results

    assert [result.status for result in run_steps(steps)] == ["ok", "reset"]


def test_idle_connections_are_closed_when_stale_or_endpoint_removed() -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        for close in (group.close_stale_idle, lambda: group.apply_endpoint_list("complete", [])):
            connection = group.new_connection(number)
            with await accept_while(connection.connect(), listener):
                group.release(connection)
                group.idle_timeout_ms = -1000.0  # already past
                close()
                assert isinstance(connection.stream, IOStream) and connection.stream.closed()
        return []

    assert run_steps(steps) == []
