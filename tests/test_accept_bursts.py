"""Bursts of connections where a new connection ends another one."""

from __future__ import annotations

import asyncio
import socket

import pytest

from mapleshunt.net.admin import endpoint as admin_endpoint
from mapleshunt.net.admin.connection import AdminResponse
from mapleshunt.net.counters import Counters
from mapleshunt.net.replication import connections as replication
from mapleshunt.replication import wire
from mapleshunt.server.client_admission import MAX_EVICTIONS_PER_TURN

from .in_process import gateway_server, peer_connections, wait_until
from .processes import PING

CALL = b"GET /_ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
WAIT_TIMEOUT_S = 20.0


def connect(address: tuple[str, int], count: int, data: bytes) -> list[socket.socket]:
    """Return so many connections that wait in the backlog, each with `data` to be read."""
    clients = [socket.create_connection(address) for _ in range(count)]
    for client in clients:
        client.sendall(data)
        client.setblocking(False)
    return clients


def test_every_admin_call_of_a_burst_is_answered_although_newer_connections_come() -> None:
    # More connections than are kept were accepted in one turn: the oldest were reset, their calls unread.
    async def run() -> list[bytes]:
        endpoint = admin_endpoint.AdminEndpoint(
            ("127.0.0.1", 0), lambda *_call: AdminResponse(200), Counters()
        )
        endpoint.open()
        clients = connect(endpoint._listener.getsockname(), 3 * admin_endpoint.MAX_CONNECTIONS, CALL)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                reads = (loop.sock_recv(client, 1000) for client in clients)
                return await asyncio.gather(*reads)
        finally:
            endpoint.close()
            for client in clients:
                client.close()

    answers = asyncio.run(run())
    assert all(answer.startswith(b"HTTP/1.1 200 ") for answer in answers)


def test_every_gateway_of_a_burst_is_identified_although_newer_connections_come(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # As many connections were accepted in one turn as are kept, and ended with their handshakes unread.
    monkeypatch.setattr(replication, "MAX_UNIDENTIFIED", 8)
    peers = [f"a{number}" for number in range(40)]  # names before ours: they dial

    async def run() -> list[str]:
        connections = peer_connections(peers)
        connections.open()
        clients = []
        for peer in peers:
            handshake = wire.Handshake("f", 1, 1, peer, f"of-{peer}", 3, {}, 0)
            clients += connect(connections._listener.getsockname(), 1, wire.encode_frame(handshake))
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(WAIT_TIMEOUT_S):  # each gets our handshake, or the end of its connection
            reads = (loop.sock_recv(client, 1000) for client in clients)
            await asyncio.gather(*reads, return_exceptions=True)
        for _ in range(10):
            await asyncio.sleep(0)
        identified = connections.connected_peers()
        connections.close()
        for client in clients:
            client.close()
        return identified

    assert sorted(asyncio.run(run())) == sorted(peers)


def test_burst_at_the_connection_limit_evicts_few_resting_clients_a_turn() -> None:
    # A connection was evicted for each of 64 in one turn, before requests were read that came meanwhile.
    resting_count, newcomers = 48, 40

    async def run() -> list[bytes]:
        server = gateway_server()
        task = asyncio.create_task(server.run())
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await wait_until(lambda: server.clients.accepting)
            address = server.clients.listeners[0].getsockname()
            resting = connect(address, resting_count, PING)
            for client in resting:
                await loop.sock_recv(client, 100)
            server.clients.budget.max_clients = resting_count
            burst = connect(address, newcomers, b"")
            await wait_until(lambda: server.connections.lingering_count)
            for client in resting:
                client.send(PING)
            answers = await asyncio.gather(*(loop.sock_recv(client, 100) for client in resting))
            server.stop_requested.set()
            for client in resting + burst:
                client.close()
            await task
        return answers

    answers = asyncio.run(run())
    assert sum(answer == b"" for answer in answers) <= MAX_EVICTIONS_PER_TURN
