"""Gateways within the process of a test."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from mapleshunt.net import config
from mapleshunt.server.gateway_server import GatewayServer

from .processes import EXAMPLE_CONFIG

WAIT_TIMEOUT_S = 30.0


def gateway_server(**limits: int) -> GatewayServer:
    """Return a gateway on a free port whose discovery refuses connections."""
    configuration = {**json.loads(EXAMPLE_CONFIG.read_text()), "limits": limits}
    env = {"PROXY_LISTEN": "127.0.0.1:0", "PROXY_DISCOVERY": "127.0.0.1:1"}
    return GatewayServer(config.parse(json.dumps(configuration), env))


async def wait_until(condition: Callable[[], object]) -> None:
    """Give the loop turns until `condition` holds. Raises TimeoutError."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0)
