"""The gateway as a process with the example configuration and toy server, and its refusal to start."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import subprocess
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from mapleshunt.net import config
from mapleshunt.net.client import limits
from mapleshunt.net.protocol import resp
from mapleshunt.server.gateway_server import GatewayServer

from .processes import EXAMPLE_CONFIG, PING, free_port, query, read_replies, run

TIMEOUT_S = 20.0  # for what a test expects


@pytest.fixture
def gateway() -> Iterator[tuple[subprocess.Popen[str], socket.socket]]:
    toy = run("-m", "examples.toy_server", "0")
    assert toy.stdout is not None
    discovery = toy.stdout.readline().split()[-1]
    port = free_port()
    process = run(
        "-m",
        "mapleshunt",
        PROXY_CONFIG=str(EXAMPLE_CONFIG),
        PROXY_DISCOVERY=discovery,
        PROXY_LISTEN=f"127.0.0.1:{port}",
    )
    assert process.stderr is not None
    awaited = {"event=started", "event=members"}
    while awaited:
        line = process.stderr.readline()
        awaited -= {event for event in awaited if event in line}
        assert process.poll() is None
    with socket.create_connection(("127.0.0.1", port), timeout=10) as client:
        yield process, client
    for started in (process, toy):
        started.kill()
        started.communicate()


def test_serves_within_the_quota_rejects_beyond_it_and_exits_0_on_sigterm(
    gateway: tuple[subprocess.Popen[str], socket.socket],
) -> None:
    process, client = gateway
    client.sendall(
        resp.encode_command([b"PING"]) + b"".join(query(n) for n in range(9)) + query(9, b"c=odd,d=1")
    )
    pong, *responses, unknown_class = read_replies(client, 11)
    assert pong == resp.SimpleReply("PONG") and unknown_class == resp.ErrorReply("ERR unknown class")
    served = [bytes(response) for response in responses if isinstance(response, memoryview)]
    # The plan's token bucket holds 5 units and refills by 1 a second. Each value has its own request's id.
    assert len(served) >= 5 and all(b"did %016x" % n in value for n, value in enumerate(served))
    assert all(
        isinstance(response, resp.ErrorReply) and response.text.startswith("BUSY ")
        for response in responses[len(served) :]
    )
    process.send_signal(signal.SIGUSR1)
    process.send_signal(signal.SIGTERM)
    _, log = process.communicate(timeout=30)
    assert process.returncode == 0 and client.recv(1) == b""
    lines = [line for line in log.splitlines() if "event=counters" in line]
    assert len(lines) == 2 and f"answers_served={len(served)} " in lines[-1]
    assert "event=client_connection_ended reason=drained commands=11 owed=0" in log


def test_reload_changes_discovery_while_serving_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    # SIGHUP terminated the process, and the requests in flight were lost.
    toys = [run("-m", "examples.toy_server", "0") for _ in range(2)]
    agents = [toy.stdout.readline().split()[-1] for toy in toys if toy.stdout is not None]
    file, port = tmp_path / "config.json", free_port()

    def write(agent: str) -> None:
        text = {**json.loads(EXAMPLE_CONFIG.read_text()), "discovery": agent, "listen": f"127.0.0.1:{port}"}
        file.write_text(json.dumps(text))

    write(agents[0])
    process = run("-m", "mapleshunt", PROXY_CONFIG=str(file), PROXY_DISCOVERY=agents[0])
    assert process.stderr is not None

    def logged(event: str) -> str:
        while f"event={event} " not in (line := process.stderr.readline()):  # type: ignore[union-attr]
            assert process.poll() is None
        return line

    awaited = {"event=started", "event=members"}  # in either order
    while awaited:
        line = process.stderr.readline()
        awaited -= {event for event in awaited if event in line}
        assert process.poll() is None
    with socket.create_connection(("127.0.0.1", port), timeout=10) as client:
        file.write_text("{")
        process.send_signal(signal.SIGHUP)
        assert "not JSON" in logged("reload_failed")
        write(agents[1])
        process.send_signal(signal.SIGHUP)
        assert f"discovery={agents[1]} counter=none" in logged("reloaded")
        assert "kind=complete" in logged("members")
        client.sendall(query(1))
        assert isinstance(read_replies(client, 1)[0], memoryview)
    process.send_signal(signal.SIGTERM)
    process.communicate(timeout=30)
    for toy in toys:
        toy.kill()
        toy.communicate()
    assert process.returncode == 0


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("{", "the configuration is not JSON"),
        ("[]", "the configuration must be a JSON object"),
        ("{}", "the configuration lacks 'settings'"),
        ({"listen": "x"}, "listen must be HOST:PORT, not 'x'"),
        ({"seed": "xyz"}, "seed must be hex digits, not 'xyz'"),
        ({"settings": {"RequestClasses": 1}}, "the configuration lacks"),
        ({"known": {"members": 1}}, "cannot start: a list of members is malformed"),
        ({"listen": "203.0.113.1:1"}, "cannot start: [Errno"),
    ],
)
def test_invalid_configuration_gives_a_one_line_message_and_exit_status_2(
    text: Any, message: str, tmp_path: Path
) -> None:
    file = tmp_path / "config.json"
    if isinstance(text, dict):
        text = json.dumps({**json.loads(EXAMPLE_CONFIG.read_text()), **text})
    file.write_text(text)
    process = run("-m", "mapleshunt", PROXY_CONFIG=str(file))
    _, stderr = process.communicate(timeout=60)
    assert process.returncode == 2 and stderr.startswith(f"mapleshunt: {message}") and stderr.count("\n") == 1


def test_new_connections_wait_in_the_backlog_when_the_limit_is_reached_and_none_is_idle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A connection that was accepted and closed at once may have carried a request, which was lost.
    monkeypatch.setattr(limits, "STALL_TIMEOUT_S", 3600.0)
    monkeypatch.setattr(limits, "CROWDED_COMMAND_TIMEOUT_S", 3600.0)

    async def run() -> None:
        env = {"PROXY_LISTEN": "127.0.0.1:0", "PROXY_DISCOVERY": "127.0.0.1:1"}
        server = GatewayServer(config.parse(EXAMPLE_CONFIG.read_text(), env))
        task = asyncio.create_task(server.run())
        while not server.clients.accepting:
            await asyncio.sleep(0)
        server.clients.budget.max_clients = 2
        clients = []
        for number in range(3):
            reader, writer = await asyncio.open_connection(*server.clients.listeners[0].getsockname())
            writer.write(query(1)[:20])  # part of a command, so that none is idle
            clients.append((reader, writer))
            while (
                number < 2
                and sum(connection.is_busy() for connection in server.connections.connections) <= number
            ):
                await asyncio.sleep(0)
        while server.clients.accepting:
            await asyncio.sleep(0)
        assert len(server.connections.connections) == 2
        clients[0][1].close()
        while server.counters.counts["client_connections"] != 3:
            await asyncio.sleep(0)
        for _, writer in clients[1:]:
            writer.close()
        server.stop_requested.set()
        await task

    asyncio.run(run())


def test_client_at_rest_keeps_its_place_while_an_unfinished_command_can_give_way() -> None:
    async def run() -> None:
        env = {"PROXY_LISTEN": "127.0.0.1:0", "PROXY_DISCOVERY": "127.0.0.1:1"}
        server = GatewayServer(config.parse(EXAMPLE_CONFIG.read_text(), env))
        task = asyncio.create_task(server.run())
        while not server.clients.accepting:
            await asyncio.sleep(0)
        address = server.clients.listeners[0].getsockname()
        rested = await asyncio.open_connection(*address)
        rested[1].write(PING)
        await rested[0].readline()
        unfinished = await asyncio.open_connection(*address)
        unfinished[1].write(query(1)[:20])
        await asyncio.sleep(2 * limits.STALL_TIMEOUT_S)
        server.clients.budget.max_clients = 3
        newcomer = await asyncio.open_connection(*address)
        async with asyncio.timeout(TIMEOUT_S):
            assert await unfinished[0].read() == b""
            rested[1].write(PING)
            assert await rested[0].readline()
        for _, writer in (rested, unfinished, newcomer):
            writer.close()
        server.stop_requested.set()
        await task

    asyncio.run(run())


@pytest.mark.parametrize("sockets", [256, 1024])
def test_limits_for_clients_follow_the_limit_of_descriptors(sockets: int) -> None:
    text = {**json.loads(EXAMPLE_CONFIG.read_text()), "limits": {"memory_mb": 96, "sockets": sockets}}

    async def run() -> GatewayServer:
        return GatewayServer(config.parse(json.dumps(text), {}))

    budget = asyncio.run(run()).clients.budget
    assert sockets // 3 < budget.max_clients < 0.6 * sockets and budget.eviction_threshold < sockets // 3


def test_missing_or_unreadable_configuration_is_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    with pytest.raises(config.ConfigError, match="PROXY_CONFIG"):
        config.load({})
    with pytest.raises(config.ConfigError, match="cannot be read"):
        config.load({"PROXY_CONFIG": "no such file"})


def test_connections_are_refused_until_the_event_loop_has_run_after_startup(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A restarted gateway read requests after they had waited 0.5 s in the kernel's queue.

    Their remaining time was counted from then: two got responses after their clients had disconnected.
    """
    fired: list[bool] = []
    monkeypatch.setenv("PROXY_CONFIG", str(EXAMPLE_CONFIG))

    async def start() -> None:
        server = GatewayServer(config.load())
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(server, "load_extensions", lambda: loop.call_later(0.0005, fired.append, True))

        def listen() -> None:
            assert fired, "the gateway listens before a pending timer has fired"
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(server.clients.listeners[0].getsockname())
            server.stop_requested.set()

        monkeypatch.setattr(server, "start_serving", listen)
        monkeypatch.setattr(server, "shut_down", lambda: asyncio.sleep(0))
        await server.run()

    asyncio.run(start())
    assert fired


@pytest.mark.parametrize("step", [-3600.0, 3600.0])
def test_periodic_work_continues_when_the_wall_clock_is_stepped(
    monkeypatch: pytest.MonkeyPatch, step: float
) -> None:
    # Periodic work was scheduled by the wall clock. Stepped back by an hour, no idle or half-open client
    # connection and no idle endpoint connection was closed, and no lease renewed, for an hour.
    async def run() -> None:
        env = {"PROXY_LISTEN": "127.0.0.1:0", "PROXY_DISCOVERY": "127.0.0.1:1"}
        server = GatewayServer(config.parse(EXAMPLE_CONFIG.read_text(), env))
        task = asyncio.create_task(server.run())
        while not server.clients.accepting:
            await asyncio.sleep(0)
        wall_clock, sweeps = time.time, list[int]()
        monkeypatch.setattr(time, "time", lambda: wall_clock() + step)
        monkeypatch.setattr(
            server.connections, "reap_overdue", lambda threshold, _idle_s: sweeps.append(threshold)
        )
        try:
            async with asyncio.timeout(20):
                while len(sweeps) < 5:
                    await asyncio.sleep(0.01)
        finally:
            server.stop_requested.set()
            await task

    asyncio.run(run())
