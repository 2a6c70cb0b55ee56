"""A gateway's watch of its discovery agent."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import pytest

from mapleshunt.net import config
from mapleshunt.net.discovery.endpoint_list import EndpointList
from mapleshunt.net.discovery.watcher import EndpointWatcher
from mapleshunt.server.gateway_server import GatewayServer

from .processes import EXAMPLE_CONFIG


def test_watch_is_restarted_after_an_unexpected_exception(monkeypatch: pytest.MonkeyPatch) -> None:
    # An exception ended the watch unnoticed, and no further endpoint list arrived.
    restarted = asyncio.Event()
    calls = iter([ZeroDivisionError, None])

    async def watch(_: EndpointWatcher) -> None:
        if error := next(calls):
            raise error
        restarted.set()
        await asyncio.Event().wait()

    async def run() -> GatewayServer:
        parsed = config.parse(EXAMPLE_CONFIG.read_text(), {"PROXY_LISTEN": "127.0.0.1:0"})
        server = GatewayServer(parsed)
        server.endpoint_watch.follow(replace(parsed, discovery_address=("127.0.0.1", 1)))
        async with asyncio.timeout(30):
            await restarted.wait()
        assert server.endpoint_watch.task is not None
        server.endpoint_watch.task.cancel()  # a cancelled watch is not restarted
        await asyncio.sleep(0)
        return server

    monkeypatch.setattr(EndpointWatcher, "run", watch)
    assert asyncio.run(run()).counters.counts["exceptions"] == 1


def test_new_endpoint_is_not_taken_for_old_after_the_wall_clock_was_stepped_before_the_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # With the gateway's clock an hour ahead, an endpoint that had just started seemed to be up for an hour.
    async def run() -> None:
        now = time.time() * 1000
        with monkeypatch.context() as patched:
            patched.setattr(time, "time", lambda: now / 1000 + 3600)
            server = GatewayServer(
                config.parse(EXAMPLE_CONFIG.read_text(), {"PROXY_DISCOVERY": "127.0.0.1:1"})
            )
            watch = server.endpoint_watch
            assert watch.max_endpoint_age(now) > 3_500_000.0  # before the first list there is no other bound
            watch.apply_list(EndpointList(1, True, ()))
            assert watch.max_endpoint_age(now) <= 7_000.0
            assert watch.max_endpoint_age(now + 3_600_000.0) <= 1_000.0

    asyncio.run(run())
