"""The memory of connections that have closed."""

from __future__ import annotations

import asyncio
import gc
import socket
import weakref

import pytest

from mapleshunt.net import config
from mapleshunt.net.client.connection import ClientConnection
from mapleshunt.server.gateway_server import GatewayServer

from .processes import EXAMPLE_CONFIG, PING, query

WAIT_TIMEOUT_S = 20.0
SENT = {"silent": b"", "partial": PING[:5], "ping": PING, "request": query(1)}


@pytest.mark.parametrize("sent", SENT.values(), ids=SENT)
def test_closed_client_connection_is_freed_without_the_garbage_collector(sent: bytes) -> None:
    # Its write buffer referred to it: crowds of connections held 5 KB each until a rare full collection.
    async def run() -> list[weakref.ref[ClientConnection]]:
        server = GatewayServer(
            config.parse(
                EXAMPLE_CONFIG.read_text(),
                {"PROXY_LISTEN": "127.0.0.1:0", "PROXY_DISCOVERY": "127.0.0.1:1"},
            )
        )
        task = asyncio.create_task(server.run())
        connections = server.connections.connections
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not server.clients.accepting:
                await asyncio.sleep(0)
            gc.disable()
            with socket.create_connection(server.clients.listeners[0].getsockname()) as client:
                client.setblocking(False)
                client.send(sent)
                while not connections:
                    await asyncio.sleep(0)
                references = [weakref.ref(connection) for connection in connections]
                if sent in (SENT["ping"], SENT["request"]):
                    await asyncio.get_running_loop().sock_recv(client, 1000)
            while connections:
                await asyncio.sleep(0)
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
