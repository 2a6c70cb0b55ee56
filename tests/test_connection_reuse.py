"""When a connection to an endpoint is reused: no bytes that follow a reply may reach another attempt."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace

from mapleshunt.net.messages import AttemptResult
from mapleshunt.net.upstream import connection as upstream_connection
from mapleshunt.net.upstream.endpoint_group import EndpointGroup

from .in_process import wait_until
from .test_upstream import VALID_REPLY, accept_while, receive_command, run_steps

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
