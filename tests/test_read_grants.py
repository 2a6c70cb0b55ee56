"""Grants of memory to connections that read long commands: order, rejection, and holders that give way."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import cast

from tornado.iostream import IOStream

from mapleshunt.net.client import limits
from mapleshunt.net.client.connections import ClientConnections
from mapleshunt.net.memory import FREE_FRACTION, KEPT_FRACTION, MemoryBudget
from mapleshunt.net.policy_driver import PolicyDriver
from mapleshunt.net.protocol import resp
from mapleshunt.net.reasons import ClientCloseReason

from .test_client_connection import CUSTOMER, FakeDriver, query, wait_until

BODY_BYTES = 60_000
TIMEOUT_S = 20.0
# Enough for one long command at a time, and not for two.
LIMIT_BYTES = int((BODY_BYTES / FREE_FRACTION + BODY_BYTES / 2) / (1 - KEPT_FRACTION))


def long_command(number: int) -> bytes:
    words = [b"SVC.SUBMIT", CUSTOMER, b"%016x" % number, b"c=bind,t=wide,d=4000", b"x" * BODY_BYTES]
    return resp.encode_command(words)


Steps = Callable[[ClientConnections, list[socket.socket]], Awaitable[None]]


def run_with_clients(count: int, limit_bytes: int, steps: Steps) -> FakeDriver:
    """Run steps on the connections of `count` clients, which share so much memory."""
    driver = FakeDriver()

    async def run() -> None:
        service = ClientConnections(
            cast(PolicyDriver, driver), driver.counters, 1, 1000, MemoryBudget(limit_bytes)
        )
        clients = []
        for _ in range(count):
            ours, client = socket.socketpair()
            client.setblocking(False)
            service.add(IOStream(ours))
            clients.append(client)
        async with asyncio.timeout(TIMEOUT_S):
            await steps(service, clients)
        for connection in list(service.connections):
            connection.close(ClientCloseReason.PROCESS_STOPPED)
        assert service.memory.held_bytes == 0 and not len(service.read_grants)
        for client in clients:
            client.close()

    asyncio.run(run())
    return driver


async def receive(client: socket.socket) -> bytes:
    return await asyncio.get_running_loop().sock_recv(client, 4096)


def test_long_command_without_memory_is_rejected_in_its_order_and_the_connection_goes_on() -> None:
    async def steps(service: ClientConnections, clients: list[socket.socket]) -> None:
        driver, loop = cast(FakeDriver, service.driver), asyncio.get_running_loop()
        sending = loop.create_task(loop.sock_sendall(clients[0], long_command(1) + query()))
        assert (await receive(clients[0])).startswith(b"-BUSY")
        await wait_until(lambda: len(driver.open_requests) == 1)
        assert service.memory.peak_bytes < BODY_BYTES
        await sending

    driver = run_with_clients(1, 2 * BODY_BYTES, steps)
    assert driver.counters.counts["commands_skipped"] == driver.counters.counts["rejected_memory"] == 1


def test_command_that_stops_gives_way_to_one_that_waits_for_its_memory() -> None:
    async def steps(service: ClientConnections, clients: list[socket.socket]) -> None:
        driver, loop = cast(FakeDriver, service.driver), asyncio.get_running_loop()
        await loop.sock_sendall(clients[0], long_command(1)[: BODY_BYTES // 2])
        await wait_until(lambda: service.memory.held_bytes > BODY_BYTES // 2)
        sending = loop.create_task(loop.sock_sendall(clients[1], long_command(2)))
        assert await receive(clients[0]) == b""
        await sending
        await wait_until(lambda: len(driver.open_requests) == 1)
        assert service.memory.peak_bytes < 2 * BODY_BYTES

    driver = run_with_clients(2, LIMIT_BYTES, steps)
    assert driver.counters.counts["grants_reclaimed"] == 1


def test_grants_are_given_in_the_order_of_the_requests() -> None:
    async def steps(service: ClientConnections, clients: list[socket.socket]) -> None:
        driver, loop = cast(FakeDriver, service.driver), asyncio.get_running_loop()
        sending = []
        for number, client in enumerate(clients):
            sending.append(loop.create_task(loop.sock_sendall(client, long_command(number))))
            await wait_until(lambda number=number: len(service.read_grants) >= number)  # type: ignore[misc]
        for number in range(len(clients)):
            await wait_until(lambda: bool(driver.open_requests))
            (context,) = driver.open_requests.values()
            assert context.client_request_id == f"{number:016x}"
            driver.open_requests.clear()
            context.response_sink.fail()
        await asyncio.gather(*sending)

    run_with_clients(3, LIMIT_BYTES, steps)


def test_unfinished_command_gives_way_when_a_place_among_the_connections_is_needed() -> None:
    async def steps(service: ClientConnections, clients: list[socket.socket]) -> None:
        loop = asyncio.get_running_loop()
        for client in clients:
            await loop.sock_sendall(client, query()[:20])
        await wait_until(lambda: all(each.has_partial_command() for each in service.connections))
        assert not service.end_unfinished(1) and len(service.connections) == 2
        await asyncio.sleep(limits.STALL_TIMEOUT_S)
        await loop.sock_sendall(clients[0], b"x")
        assert service.end_unfinished(2) == 1
        assert await receive(clients[1]) == b""

    run_with_clients(2, 1 << 30, steps)
