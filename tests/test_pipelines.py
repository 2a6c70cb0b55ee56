"""Pipelines of commands with long bodies or values: every command is answered, within the memory limit."""

from __future__ import annotations

import asyncio
import json
import time
from typing import cast

import pytest

from mapleshunt.net import config
from mapleshunt.net.client import limits
from mapleshunt.net.client.write_buffer import MAX_JOINED_BYTES, join_short
from mapleshunt.net.memory import (
    CONNECTION_BYTES,
    CUSTOMER_BYTES,
    MAX_RESPONSE_BYTES,
    MIN_BUDGET_BYTES,
    MIN_CUSTOMERS,
    REQUEST_BYTES,
    MemoryAccount,
    MemoryBudget,
    plan_memory,
)
from mapleshunt.net.policy_driver import PolicyDriver
from mapleshunt.net.protocol import resp
from mapleshunt.server import gateway_server
from mapleshunt.server.gateway_server import GatewayServer
from mapleshunt.testbed.pipelines.clients import FINAL_KINDS
from mapleshunt.testbed.pipelines.parameters import PipelineParameters
from mapleshunt.testbed.pipelines.run import play

from .processes import EXAMPLE_CONFIG
from .test_client_connection import FakeDriver, query

LONGEST_VALUE = bytes(resp.MAX_VALUE_BYTES)
TIMEOUT_S = 20.0
GATEWAY_AT_REST_BYTES = 18 << 20


async def start_server(
    memory_mb: int, monkeypatch: pytest.MonkeyPatch
) -> tuple[GatewayServer, asyncio.Task[None]]:
    """Start a gateway in this process whose requests are answered by a `FakeDriver`."""
    monkeypatch.setattr(gateway_server, "PROCESS_STARTED_AT", time.monotonic())
    text = {**json.loads(EXAMPLE_CONFIG.read_text()), "limits": {"memory_mb": memory_mb, "sockets": 512}}
    env = {"PROXY_LISTEN": "127.0.0.1:0", "PROXY_DISCOVERY": "127.0.0.1:1"}
    server = GatewayServer(config.parse(json.dumps(text), env))
    # The process of the tests is larger than a gateway's.
    monkeypatch.setattr(gateway_server, "private_bytes", lambda: GATEWAY_AT_REST_BYTES)
    server.connections.driver = cast(PolicyDriver, FakeDriver())
    task = asyncio.create_task(server.run())
    while not server.clients.accepting:
        await asyncio.sleep(0)
    return server, task


async def let_commands_be_taken(driver: FakeDriver) -> None:
    """Return once no further command is taken."""
    taken = -1
    while taken != len(driver.open_requests):
        taken = len(driver.open_requests)
        await asyncio.sleep(0.05)


async def read_values(reader: asyncio.StreamReader, count: int) -> None:
    for _ in range(count):
        assert await reader.readuntil(resp.CRLF) == b"$%d\r\n" % len(LONGEST_VALUE)
        assert await reader.readexactly(len(LONGEST_VALUE) + 2) == LONGEST_VALUE + resp.CRLF


@pytest.mark.parametrize(("memory_mb", "open_at_once"), [(32, 5), (96, 32), (192, 32)])
def test_full_pipeline_of_the_longest_values_is_answered_whatever_the_memory_limit(
    memory_mb: int, open_at_once: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Values that waited behind a slow one were written at once, and refused as a whole below 134 MB.
    async def run() -> None:
        server, task = await start_server(memory_mb, monkeypatch)
        driver = cast(FakeDriver, server.connections.driver)
        reader, writer = await asyncio.open_connection(
            *server.clients.listeners[0].getsockname(), limit=2 * resp.MAX_MESSAGE_BYTES
        )
        writer.write(b"".join(query() for _ in range(limits.MAX_PIPELINED_COMMANDS)))
        reading = asyncio.create_task(read_values(reader, limits.MAX_PIPELINED_COMMANDS))
        async with asyncio.timeout(TIMEOUT_S):
            await let_commands_be_taken(driver)
            assert len(driver.open_requests) == open_at_once
            while not reading.done():
                await let_commands_be_taken(driver)
                for request_id in reversed(list(driver.open_requests)):
                    driver.open_requests.pop(request_id).response_sink.serve(memoryview(LONGEST_VALUE))
            await reading
        writer.close()
        server.stop_requested.set()
        await task
        assert not server.counters.counts["invariant_violations"]

    asyncio.run(run())


@pytest.mark.parametrize(
    ("sizes", "joined_sizes"),
    [
        ([], []),
        ([10] * 5, [50]),
        ([10, 65_000, 10, 10], [10, 65_000, 20]),
        ([MAX_JOINED_BYTES, 1], [MAX_JOINED_BYTES, 1]),
    ],
)
def test_short_responses_are_joined_and_long_ones_are_not_copied(
    sizes: list[int], joined_sizes: list[int]
) -> None:
    responses = [bytes(size) for size in sizes]
    joined = list(join_short(responses))
    assert [len(data) for data in joined] == joined_sizes
    assert all(any(data is response for response in responses) for data in joined if len(data) > 50)


@pytest.mark.xdist_group("gateways")
@pytest.mark.parametrize(
    ("clients", "commands_at_once", "body_bytes", "value_bytes"),
    [(170, 20, 64000, 100), (60, 32, 0, 64000), (60, 20, 64000, 64000)],
)
def test_gateway_stays_within_its_memory_under_pipelines_of_many_clients(
    clients: int, commands_at_once: int, body_bytes: int, value_bytes: int
) -> None:
    # Commands and responses were bounded for each connection alone: in all they took it over its limit.
    parameters = PipelineParameters(
        memory_mb=96,
        descriptors=512,
        clients=clients,
        commands_at_once=commands_at_once,
        pipelines=1,
        body_bytes=body_bytes,
        value_bytes=value_bytes,
    )
    report = play(parameters)
    assert report.violations() == []
    assert sum(report.pipelined.values()) == clients * commands_at_once
    assert {*report.pipelined, *report.sound} <= set(FINAL_KINDS) and report.sound["served"]


@pytest.mark.parametrize("memory_mb", [32, 192])
def test_clients_that_do_not_read_stay_within_the_memory_limit_together(
    memory_mb: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # With a constant 2 MB per client, sixteen clients that do not read exceeded a limit of 32 MB.
    async def run() -> None:
        server, task = await start_server(memory_mb, monkeypatch)
        driver = cast(FakeDriver, server.connections.driver)
        clients = [
            await asyncio.open_connection(*server.clients.listeners[0].getsockname(), limit=1024)
            for _ in range(16)
        ]
        for _, writer in clients:
            writer.write(b"".join(query() for _ in range(10 * limits.MAX_PIPELINED_COMMANDS)))
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                await let_commands_be_taken(driver)
                if not driver.open_requests:
                    break
                for request_id in list(driver.open_requests):
                    driver.open_requests.pop(request_id).response_sink.serve(memoryview(LONGEST_VALUE))
        assert 0 < server.memory.peak_bytes <= (memory_mb << 20) - GATEWAY_AT_REST_BYTES
        assert not server.counters.counts["invariant_violations"]
        for _, writer in clients:
            writer.close()
        server.stop_requested.set()
        await task
        assert server.memory.held_bytes == 0 and server.memory.reserved_bytes == 0

    asyncio.run(run())


def test_memory_that_pipelines_reserve_does_not_keep_short_requests_out() -> None:
    # Reservations are for responses that are mostly shorter: counted for first commands, they rejected most.
    budget = MemoryBudget(100 * MAX_RESPONSE_BYTES)
    greedy, new = MemoryAccount(budget), MemoryAccount(budget)
    while greedy.admits_further(100):
        greedy.hold(100 + REQUEST_BYTES)
        greedy.reserve(MAX_RESPONSE_BYTES)
    assert greedy.reserved_bytes <= budget.limit_bytes // 9
    budget.reserve(budget.limit_bytes)
    assert not new.admits_further(100) and new.admits_first(100)
    greedy.close()
    greedy.hold(100)  # after the close: of a write that ends late
    assert budget.held_bytes == 0


def test_first_command_is_rejected_while_the_budget_is_held_and_admitted_afterwards() -> None:
    budget = MemoryBudget(100 * MAX_RESPONSE_BYTES)
    holder, new = MemoryAccount(budget), MemoryAccount(budget)
    holder.hold(budget.limit_bytes)
    assert not new.admits_first(0)
    holder.close()
    assert new.admits_first(MAX_RESPONSE_BYTES)


@pytest.mark.parametrize("processes", [1, 2])
@pytest.mark.parametrize(("memory_mb", "connections"), [(32, 992), (48, 992), (96, 480), (192, 992)])
def test_parts_of_the_memory_plan_fit_together_into_nine_tenths_of_the_limit(
    memory_mb: int, connections: int, processes: int
) -> None:
    at_rest_bytes = 18 << 20
    plan = plan_memory(memory_mb << 20, at_rest_bytes, connections // processes, processes)
    assert plan.max_connections <= connections // processes and plan.max_customers >= MIN_CUSTOMERS
    parts = (
        at_rest_bytes
        + plan.max_connections * CONNECTION_BYTES
        + plan.budget_bytes
        + plan.max_customers * CUSTOMER_BYTES
    )
    if 0.9 * memory_mb / processes - 18 > 6:  # else the least that a process needs exceeds it
        assert processes * parts <= 0.9 * memory_mb * (1 << 20)
    assert plan.budget_bytes >= MIN_BUDGET_BYTES // processes


def test_budget_admits_nothing_long_once_the_process_has_used_up_its_memory() -> None:
    budget = MemoryBudget(100 * MAX_RESPONSE_BYTES)
    account = MemoryAccount(budget)
    budget.observe(0)
    assert not budget.admits_long(MAX_RESPONSE_BYTES) and account.admits_first(100)
    budget.observe(100 * MAX_RESPONSE_BYTES)
    assert budget.admits_long(MAX_RESPONSE_BYTES)


@pytest.mark.parametrize(
    ("memory_mb", "budget_bytes", "divided_bytes"),
    [(96, 37_000_052, 12_208_570), (10, MIN_BUDGET_BYTES, MIN_BUDGET_BYTES // 2)],
)
def test_budget_is_its_part_of_what_is_free_at_rest_and_divided_between_processes(
    memory_mb: int, budget_bytes: int, divided_bytes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    at_rest_bytes = 20 << 20

    async def run() -> None:
        text = {**json.loads(EXAMPLE_CONFIG.read_text()), "limits": {"memory_mb": memory_mb, "sockets": 512}}
        server = GatewayServer(config.parse(json.dumps(text), {}))
        monkeypatch.setattr(gateway_server, "private_bytes", lambda: at_rest_bytes)
        server.divide_memory(1)
        assert server.memory.limit_bytes == budget_bytes
        monkeypatch.setattr(gateway_server, "private_bytes", lambda: 2 * at_rest_bytes)  # it serves now
        server.divide_memory(2)
        assert server.memory.limit_bytes == divided_bytes
        server.divide_memory(1)
        assert server.memory.limit_bytes == budget_bytes

    asyncio.run(run())
