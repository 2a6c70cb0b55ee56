"""The watch of a discovery agent, by a gateway."""

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


def test_watch_begins_anew_when_a_defect_ended_it(monkeypatch: pytest.MonkeyPatch) -> None:
    # Nobody noticed its end, and no list came ever again.
    began = asyncio.Event()
    calls = iter([ZeroDivisionError, None])

    async def watch(_: EndpointWatcher) -> None:
        if error := next(calls):
            raise error
        began.set()
        await asyncio.Event().wait()

    async def run() -> GatewayServer:
        base = config.parse(EXAMPLE_CONFIG.read_text(), {"PROXY_LISTEN": "127.0.0.1:0"})
        server = GatewayServer(base)
        server.endpoint_watch.follow(replace(base, discovery_address=("127.0.0.1", 1)))
        async with asyncio.timeout(30):
            await began.wait()
        assert server.endpoint_watch.task is not None
        server.endpoint_watch.task.cancel()  # a cancelled one does not
        await asyncio.sleep(0)
        return server

    monkeypatch.setattr(EndpointWatcher, "run", watch)
    assert asyncio.run(run()).counters.counts["exceptions"] == 1


def test_new_endpoint_is_young_though_the_wall_clock_was_stepped_before_the_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The gateway's clock is an hour ahead: a server that has just started seemed to have been up for as long.
    async def run() -> None:
        now = time.time() * 1000
        with monkeypatch.context() as patched:
            patched.setattr(time, "time", lambda: now / 1000 + 3600)
            server = GatewayServer(
                config.parse(EXAMPLE_CONFIG.read_text(), {"PROXY_DISCOVERY": "127.0.0.1:1"})
            )
            watch = server.endpoint_watch
            assert watch.max_endpoint_age(now) > 3_500_000.0  # of a first list nothing else is known
            watch.apply_list(EndpointList(1, True, ()))
            assert watch.max_endpoint_age(now) <= 7_000.0
            assert watch.max_endpoint_age(now + 3_600_000.0) <= 1_000.0

    asyncio.run(run())
