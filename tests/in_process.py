"""Gateways within the process of a test."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Sequence

from mapleshunt.net import config
from mapleshunt.net.counters import Counters
from mapleshunt.net.replication.connections import FleetAddresses, PeerConnections, PeerHandlers
from mapleshunt.replication import wire
from mapleshunt.server.gateway_server import GatewayServer

from .processes import EXAMPLE_CONFIG

WAIT_TIMEOUT_S = 30.0


def gateway_server(**limits: int) -> GatewayServer:
    """Return a gateway on a free port whose discovery refuses connections."""
    configuration = {**json.loads(EXAMPLE_CONFIG.read_text()), "limits": limits}
    env = {"PROXY_LISTEN": "127.0.0.1:0", "PROXY_DISCOVERY": "127.0.0.1:1"}
    return GatewayServer(config.parse(json.dumps(configuration), env))


def peer_connections(peers: Sequence[str], silence_check_interval_s: float = 0.25) -> PeerConnections:
    """Return the replication connections of a gateway, on a free port, whose peers cannot be dialled."""
    handlers = PeerHandlers(
        handshake=lambda: wire.Handshake("f", 1, 1, "gateway", "ours", 3, {}, 0),
        on_peer=lambda _handshake: None,
        on_message=lambda *_message: None,
        on_request=lambda *_request: None,
        on_response=lambda _response: None,
    )
    addresses = FleetAddresses("f", "gateway", ("127.0.0.1", 0), {peer: ("127.0.0.1", 9) for peer in peers})
    return PeerConnections(addresses, handlers, Counters(), random.Random(1), silence_check_interval_s)


async def wait_until(condition: Callable[[], object]) -> None:
    """Give the loop turns until `condition` holds. Raises TimeoutError."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0)
