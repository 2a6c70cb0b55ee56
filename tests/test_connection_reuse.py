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
from .in_process import wait_until

COMMAND = b"*1\r\n$9\r\nSVC.QUERY\r\n"
SECOND_ANSWER_S = 0.012  # after the first, at most, in `review/2`


def test_second_answer_some_milliseconds_late_never_reaches_next_attempt() -> None:
    # Reused 10 ms after a reply, a connection had the copy behind it taken for the next attempt's reply.
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        connection = group.new_connection(number)
        with await accept_while(connection.connect(), listener) as server:
            exchange = asyncio.create_task(connection.exchange(COMMAND))
            await receive_command(server)
            server.send(VALID_REPLY)
            asyncio.get_running_loop().call_later(SECOND_ANSWER_S, server.send, VALID_REPLY)
            results = [await exchange]
            group.release(connection)
            while (reused := group.take_idle(number)) is None and connection in group.connections:
                await asyncio.sleep(0)
            assert reused is None
        return results

    assert [result.status for result in run_steps(steps)] == ["ok"]


def test_attempt_that_may_run_once_takes_no_used_connection_of_a_process_that_sent_extra_bytes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(upstream_connection, "REUSE_DELAY_S", 0.0)

    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        connection = group.new_connection(number)
        with await accept_while(connection.connect(), listener):
            group.release(connection)
            assert group.take_idle(number, may_run_once=True) is connection
            group.release(connection)
            group.pools[number].extra_bytes_seen(0.0)
            assert group.take_idle(number, may_run_once=True) is None
            assert group.take_idle(number) is connection
        return []

    assert run_steps(steps) == []


def test_reuse_waits_for_twice_the_longest_time_to_bytes_behind_a_reply() -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        pool = group.pools[number]
        connection = group.new_connection(number)
        with await accept_while(connection.connect(), listener) as server:
            group.release(connection)
            await asyncio.sleep(0.05)
            server.send(VALID_REPLY)
            await wait_until(lambda: connection not in group.connections)
        assert 0.1 <= pool.reuse_delay_s() <= upstream_connection.MAX_REUSE_DELAY_S
        pool.extra_bytes_seen(3600.0)
        assert pool.reuse_delay_s() == upstream_connection.MAX_REUSE_DELAY_S
        restarted = replace(pool.endpoint, started_at_ms=1.0)
        group.apply_endpoint_list("complete", [restarted])
        assert group.pools[number].reuse_delay_s() == upstream_connection.REUSE_DELAY_S
        return []

    assert run_steps(steps) == []


def test_connection_is_reused_unless_endpoint_closed_it() -> None:
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        _, task = start_attempt(group, number)
        server = await accept(listener)
        await receive_command(server)
        server.send(VALID_REPLY)
        results = [await task]
        await asyncio.sleep(2 * upstream_connection.REUSE_DELAY_S)
        _, task = start_attempt(group, number)
        await receive_command(server)  # on the same connection
        server.send(VALID_REPLY)
        results.append(await task)
        # The close is not read yet: an attempt written now would count as one that may have run.
        server.close()
        _, task = start_attempt(group, number)
        with await accept(listener) as server:
            await receive_command(server)
            server.send(VALID_REPLY)
            results.append(await task)
        return results

    assert [result.status for result in run_steps(steps)] == ["ok", "ok", "ok"]


@pytest.mark.parametrize("extra", [b"*3\r\n$5\r\nval", b"\r\n", b"+", VALID_REPLY])
def test_bytes_behind_reply_never_reach_next_attempt(extra: bytes) -> None:
    # Part of a reply stayed in the buffer, and the next reply was read as its continuation.
    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        _, first = start_attempt(group, number)
        with await accept(listener) as server:
            await receive_command(server)
            server.send(VALID_REPLY + extra)
            results = [await first]
            assert group.pools[number].longest_extra_s == 0.0
            _, second = start_attempt(group, number)
            with await accept(listener) as second_server:
                await receive_command(second_server)
                second_server.send(VALID_REPLY)
                return [*results, await second]

    assert [result.status for result in run_steps(steps)] == ["ok", "ok"]


def test_connection_is_not_reused_before_reuse_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    # Bytes that arrived a moment after a reply would have been taken for the next attempt's reply.
    monkeypatch.setattr(upstream_connection, "REUSE_DELAY_S", 3600.0)

    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        connection = group.new_connection(number)
        with await accept_while(connection.connect(), listener):
            group.release(connection)
            assert group.take_idle(number) is None
            upstream_connection.REUSE_DELAY_S = 0.0
            assert group.take_idle(number) is connection
        return []

    assert run_steps(steps) == []


def test_connection_whose_stream_has_read_ahead_is_not_reused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream_connection, "REUSE_DELAY_S", 0.0)

    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        connection = group.new_connection(number)
        with await accept_while(connection.connect(), listener) as server:
            group.release(connection)
            await asyncio.sleep(0)
            server.send(VALID_REPLY)
            read_ahead(connection)
            assert group.take_idle(number) is None
        return []

    assert run_steps(steps) == []


def test_max_idle_time_is_reduced_after_stale_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Each attempt on a stale connection ended as reset: it may have run, and its endpoint counted as dead.
    monkeypatch.setattr(upstream_connection, "STALE_RESET_WITHIN_S", 10.0)

    async def steps(group: EndpointGroup, number: int, listener: socket.socket) -> list[AttemptResult]:
        _, task = start_attempt(group, number)
        with await accept(listener) as server:
            await receive_command(server)
            server.send(VALID_REPLY)
            results = [await task]
            await asyncio.sleep(2 * upstream_connection.REUSE_DELAY_S)
            _, task = start_attempt(group, number)
            await receive_command(server)
        results.append(await task)
        now = asyncio.get_running_loop().time()
        # The connection had been idle for less than a second.
        assert upstream_connection.REUSE_DELAY_S <= group.max_idle_s(now) < 1.0
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
