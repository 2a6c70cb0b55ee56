"""Clients that leave: nothing begins for them afterwards, and their request ids do not run again."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any, cast

import pytest
from tornado.iostream import IOStream

from mapleshunt import Event, RequestReceived, StartAttempt
from mapleshunt.net.client import limits
from mapleshunt.net.client.connections import ClientConnections
from mapleshunt.net.client.requests import parse_command
from mapleshunt.net.memory import MemoryBudget
from mapleshunt.net.policy_driver import PolicyDriver
from mapleshunt.net.reasons import ClientCloseReason
from mapleshunt.net.request.parse import UnacceptableRequestError
from mapleshunt.net.upstream.endpoint import Endpoint

from .test_client_connection import CUSTOMER, FakeDriver, query, tcp_pair, wait_until
from .test_policy_driver import RecordingSink, ScriptedPolicy, run_steps
from .test_read_grants import BODY_BYTES, LIMIT_BYTES, TIMEOUT_S, long_command


def test_command_that_waited_for_memory_is_not_admitted_after_its_client_has_left() -> None:
    async def run() -> FakeDriver:
        driver, loop = FakeDriver(), asyncio.get_running_loop()
        service = ClientConnections(
            cast(PolicyDriver, driver), driver.counters, 1, 1000, MemoryBudget(LIMIT_BYTES)
        )
        pairs = [tcp_pair(), tcp_pair()]
        for ours, _ in pairs:
            ours.setblocking(False)
            service.add(IOStream(ours))
        await loop.sock_sendall(pairs[0][1], long_command(1)[: BODY_BYTES // 2])
        await wait_until(lambda: service.memory.held_bytes > BODY_BYTES // 2)
        await loop.sock_sendall(pairs[1][1], long_command(2))
        pairs[1][1].close()
        await wait_until(lambda: len(service.connections) == 1)
        pairs[0][1].close()
        await wait_until(lambda: not service.connections)
        return driver

    driver = asyncio.run(run())
    assert not driver.open_requests and not driver.disconnected


def test_old_command_in_the_read_buffer_is_not_admitted_after_its_client_has_left() -> None:
    async def run() -> FakeDriver:
        driver, (ours, client) = FakeDriver(), tcp_pair()
        service = ClientConnections(cast(PolicyDriver, driver), driver.counters, 1, 1000)
        service.add(IOStream(ours))
        (connection,) = service.connections
        await asyncio.get_running_loop().sock_sendall(client, long_command(1))
        client.close()
        time.sleep(0.11)  # the gateway is held up: it reads the command and the end together
        await wait_until(lambda: not service.connections)
        assert connection.close_reason is None
        return driver

    driver = asyncio.run(run())
    assert not driver.open_requests and not driver.disconnected


def test_disconnect_is_seen_while_a_further_command_waits_for_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(limits, "GRANT_TIMEOUT_S", 3600.0)
    monkeypatch.setattr(limits, "STALL_TIMEOUT_S", 3600.0)

    async def run() -> None:
        driver, loop = FakeDriver(), asyncio.get_running_loop()
        service = ClientConnections(
            cast(PolicyDriver, driver), driver.counters, 1, 1000, MemoryBudget(LIMIT_BYTES)
        )
        pairs = [tcp_pair(), tcp_pair()]
        for ours, _ in pairs:
            ours.setblocking(False)
            service.add(IOStream(ours))
        await loop.sock_sendall(pairs[0][1], long_command(1)[: BODY_BYTES // 2])
        await wait_until(lambda: service.memory.held_bytes > BODY_BYTES // 2)
        await loop.sock_sendall(pairs[1][1], query() + long_command(2))
        await wait_until(lambda: len(driver.open_requests) == 1 and len(service.read_grants) == 1)
        pairs[1][1].close()
        async with asyncio.timeout(TIMEOUT_S):
            while not driver.disconnected:
                await asyncio.sleep(0.01)
        pairs[0][1].close()
        await wait_until(lambda: not service.connections)

    asyncio.run(run())


def test_request_id_is_not_run_again_while_its_first_attempt_may_still_run() -> None:
    words = [memoryview(word) for word in (b"SVC.QUERY", CUSTOMER, b"0" * 16, b"c=look,t=wide,d=200")]

    async def steps(driver: PolicyDriver, _policy: ScriptedPolicy) -> None:
        service = ClientConnections(driver, driver.counters, 1, 1000)

        def parse() -> Any:
            now = asyncio.get_running_loop().time()
            return parse_command(service, words, RecordingSink(), now, now)

        with socket.create_server(("127.0.0.1", 0)) as listener:
            endpoint = Endpoint("s-1", listener.getsockname(), "", 0, "ready", 0.0)
            driver.group.apply_endpoint_list("complete", [endpoint])
            unsent = parse()
            driver.client_disconnected(unsent)
            sent = parse()  # nothing was sent for the first
            driver.submit(sent)
            with (await asyncio.to_thread(listener.accept))[0] as endpoint_socket:
                await asyncio.to_thread(endpoint_socket.recv, 65536)
                driver.client_disconnected(sent)
                with pytest.raises(UnacceptableRequestError):
                    parse()
                await asyncio.sleep(0.25)  # its time is over
                driver.client_disconnected(parse())
            for connection in list(driver.group.connections):
                connection.close(cast(Any, ClientCloseReason.PROCESS_STOPPED))

    def decide(event: Event) -> list[Any]:
        if isinstance(event, RequestReceived):
            return [StartAttempt(event.request_id, Endpoint("s-1", ("", 0), "", 0, "ready", 0.0).number)]
        return []

    run_steps(decide, steps)


def test_request_id_that_has_run_is_not_run_again_until_its_time_is_over() -> None:
    words = [memoryview(word) for word in (b"SVC.QUERY", CUSTOMER, b"0" * 16, b"c=look,t=wide,d=200")]

    async def steps(driver: PolicyDriver, _policy: ScriptedPolicy) -> None:
        service = ClientConnections(driver, driver.counters, 1, 1000)
        sink = RecordingSink()

        def parse() -> Any:
            now = asyncio.get_running_loop().time()
            return parse_command(service, words, sink, now, now)

        with socket.create_server(("127.0.0.1", 0)) as listener:
            endpoint = Endpoint("s-1", listener.getsockname(), "", 0, "ready", 0.0)
            driver.group.apply_endpoint_list("complete", [endpoint])
            driver.submit(parse())
            with (await asyncio.to_thread(listener.accept))[0] as endpoint_socket:
                await asyncio.to_thread(endpoint_socket.recv, 65536)
                endpoint_socket.send(b"*1\r\n$1\r\nv\r\n")
                while not sink.responses:
                    await asyncio.sleep(0)
                with pytest.raises(UnacceptableRequestError):
                    parse()
                await asyncio.sleep(0.25)  # its time is over
                driver.client_disconnected(parse())
            for connection in list(driver.group.connections):
                connection.close(cast(Any, ClientCloseReason.PROCESS_STOPPED))
        assert sink.responses == ["v"]

    def decide(event: Event) -> list[Any]:
        if isinstance(event, RequestReceived):
            return [StartAttempt(event.request_id, Endpoint("s-1", ("", 0), "", 0, "ready", 0.0).number)]
        return []

    run_steps(decide, steps)
