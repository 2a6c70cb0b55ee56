"""The memory of connections that have closed."""

from __future__ import annotations

import asyncio
import gc
import socket
import weakref

import pytest

from mapleshunt.net.client.connection import ClientConnection

from .in_process import gateway_server, wait_until
from .processes import PING, query

WAIT_TIMEOUT_S = 20.0
SENT = {"silent": b"", "partial": PING[:5], "ping": PING, "request": query(1)}


@pytest.mark.parametrize("sent", SENT.values(), ids=SENT)
def test_closed_client_connection_is_freed_without_the_garbage_collector(sent: bytes) -> None:
    # Its write buffer referred back to it: crowds of closed connections stayed in memory.
    async def run() -> list[weakref.ref[ClientConnection]]:
        server = gateway_server()
        task = asyncio.create_task(server.run())
        connections = server.connections.connections
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await wait_until(lambda: server.clients.accepting)
            gc.disable()
            with socket.create_connection(server.clients.listeners[0].getsockname()) as client:
                client.setblocking(False)
                client.send(sent)
                await wait_until(lambda: connections)
                references = [weakref.ref(connection) for connection in connections]
                if sent in (SENT["ping"], SENT["request"]):
                    await asyncio.get_running_loop().sock_recv(client, 1000)
            await wait_until(lambda: not connections)
            for _ in range(10):  # the connection's task ends
                await asyncio.sleep(0)
            alive = [reference for reference in references if reference() is not None]
            server.stop_requested.set()
            await task
        return alive

    try:
        assert not asyncio.run(run())
    finally:
        gc.enable()
