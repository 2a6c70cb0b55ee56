"""Reload of the configuration on SIGHUP."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from mapleshunt.net import config
from mapleshunt.server.gateway_server import GatewayServer

from .processes import EXAMPLE_CONFIG


def test_reload_is_retried_while_the_file_cannot_be_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # SIGHUP arrived while no descriptor was left, and the new address of discovery was never applied.
    env = {"PROXY_LISTEN": "127.0.0.1:0", "PROXY_DISCOVERY": "127.0.0.1:1"}
    errors: list[Any] = [
        config.ConfigUnreadableError("no descriptor"),
        config.ConfigUnreadableError("no descriptor"),
    ]

    def read() -> config.Config:
        if errors:
            raise errors.pop()
        return config.parse(EXAMPLE_CONFIG.read_text(), {"PROXY_DISCOVERY": "127.0.0.1:2"})

    async def run() -> None:
        server = GatewayServer(config.parse(EXAMPLE_CONFIG.read_text(), env))
        monkeypatch.setattr("mapleshunt.server.config_reload.reload", read)
        server.reloader.reload()
        async with asyncio.timeout(30):
            while server.reloader.config.discovery_address != ("127.0.0.1", 2):
                await asyncio.sleep(0.01)
        assert server.counters.counts["reloads"] == 1 and not server.counters.counts["reloads_failed"]
        assert server.endpoint_watch.task is not None
        server.endpoint_watch.task.cancel()

    asyncio.run(run())
