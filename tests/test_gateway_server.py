"""The whole program as a process, with the example's configuration and toy server; and when it refuses."""

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
from mapleshunt.net.protocol import resp
from mapleshunt.server.gateway_server import GatewayServer

from .processes import EXAMPLE_CONFIG, free_port, query, read_replies, run


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
    for one in (process, toy):
        one.kill()
        one.communicate()


def test_serves_rejects_and_leaves_in_good_order(
    gateway: tuple[subprocess.Popen[str], socket.socket],
) -> None:
    process, client = gateway
    client.sendall(
        resp.encode_command([b"PING"]) + b"".join(query(n) for n in range(9)) + query(9, b"c=odd,d=1")
    )
    pong, *rest, odd = read_replies(client, 11)
    assert pong == resp.SimpleReply("PONG") and odd == resp.ErrorReply("ERR unknown class")
    served = [bytes(one) for one in rest if isinstance(one, memoryview)]
    # The plan's store holds 5 units and fills by one a second; each answer has its own request's id.
    assert len(served) >= 5 and all(b"did %016x" % n in one for n, one in enumerate(served))
    assert all(
        isinstance(one, resp.ErrorReply) and one.text.startswith("BUSY ") for one in rest[len(served) :]
    )
    process.send_signal(signal.SIGUSR1)
    process.send_signal(signal.SIGTERM)
    _, log = process.communicate(timeout=30)
    assert process.returncode == 0 and client.recv(1) == b""
    lines = [line for line in log.splitlines() if "event=counters" in line]
    assert len(lines) == 2 and f"answers_served={len(served)} " in lines[-1]
    assert "event=client_connection_ended reason=drained commands=11 owed=0" in log


def test_reload_swaps_discovery_while_serving_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    # The signal ended the program, and with it lost the requests it had taken.
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
    ("text", "said"),
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
def test_bad_configuration_is_one_plain_message_and_exit_2(text: Any, said: str, tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    if isinstance(text, dict):
        text = json.dumps({**json.loads(EXAMPLE_CONFIG.read_text()), **text})
    file.write_text(text)
    process = run("-m", "mapleshunt", PROXY_CONFIG=str(file))
    _, message = process.communicate(timeout=60)
    assert process.returncode == 2 and message.startswith(f"mapleshunt: {said}") and message.count("\n") == 1


def test_at_the_limit_new_connections_wait_in_the_kernel() -> None:
    # One that was accepted and closed at once may have carried a request, which was then lost.
    async def run() -> None:
        env = {"PROXY_LISTEN": "127.0.0.1:0", "PROXY_DISCOVERY": "127.0.0.1:1"}
        server = GatewayServer(config.parse(EXAMPLE_CONFIG.read_text(), env))
        server.clients.budget.max_clients = 2
        task = asyncio.create_task(server.run())
        while not server.clients.accepting:
            await asyncio.sleep(0)
        clients = []
        for number in range(3):
            reader, writer = await asyncio.open_connection(*server.clients.listeners[0].getsockname())
            writer.write(query(1)[:20])  # part of a command: none of them is idle
            clients.append((reader, writer))
            while number < 2 and sum(one.is_busy() for one in server.connections.connections) <= number:
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


@pytest.mark.parametrize(("memory_mb", "sockets"), [(32, 256), (192, 1024)])
def test_what_clients_may_hold_follows_the_limits_of_the_configuration(memory_mb: int, sockets: int) -> None:
    # A constant of 2 MB for each client that does not read passed 32 MB with sixteen of them.
    text = {**json.loads(EXAMPLE_CONFIG.read_text()), "limits": {"memory_mb": memory_mb, "sockets": sockets}}

    async def run() -> GatewayServer:
        return GatewayServer(config.parse(json.dumps(text), {}))

    server = asyncio.run(run())
    assert 4 * resp.MAX_VALUE_BYTES <= server.clients.max_unwritten_bytes <= memory_mb * (1 << 20) // 32
    budget = server.clients.budget
    assert sockets // 3 < budget.max_clients < 0.6 * sockets and budget.many_clients < sockets // 3


def test_no_configuration_is_told(monkeypatch: pytest.MonkeyPatch) -> None:
    with pytest.raises(config.ConfigError, match="PROXY_CONFIG"):
        config.load({})
    with pytest.raises(config.ConfigError, match="cannot be read"):
        config.load({"PROXY_CONFIG": "no such file"})


def test_nobody_can_connect_until_the_start_has_let_time_go_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """Killed gateways that started again took requests 0.5 s after they stood in the kernel's queue.

    Their patience was counted from then: two were answered after their clients had left.
    """
    waited: list[bool] = []
    monkeypatch.setenv("PROXY_CONFIG", str(EXAMPLE_CONFIG))

    async def start() -> None:
        server = GatewayServer(config.load())
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(server, "load_extensions", lambda: loop.call_later(0.0005, waited.append, True))

        def listen() -> None:
            assert waited, "it listens before anything else has had its turn"
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(server.clients.listeners[0].getsockname())
            server.stop_requested.set()

        monkeypatch.setattr(server, "start_serving", listen)
        monkeypatch.setattr(server, "shut_down", lambda: asyncio.sleep(0))
        await server.run()

    asyncio.run(start())
    assert waited


@pytest.mark.parametrize("step", [-3600.0, 3600.0])
def test_periodic_work_goes_on_when_the_wall_clock_is_stepped(
    monkeypatch: pytest.MonkeyPatch, step: float
) -> None:
    # Its next time was kept as a time of the wall clock: stepped back by an hour, no idle or half-open client
    # connection was ended, no idle server connection closed and no lease renewed for an hour.
    async def run() -> None:
        env = {"PROXY_LISTEN": "127.0.0.1:0", "PROXY_DISCOVERY": "127.0.0.1:1"}
        server = GatewayServer(config.parse(EXAMPLE_CONFIG.read_text(), env))
        task = asyncio.create_task(server.run())
        while not server.clients.accepting:
            await asyncio.sleep(0)
        wall, sweeps = time.time, list[int]()
        monkeypatch.setattr(time, "time", lambda: wall() + step)
        monkeypatch.setattr(server.connections, "reap_overdue", lambda many, rested: sweeps.append(many))
        try:
            async with asyncio.timeout(20):
                while len(sweeps) < 5:
                    await asyncio.sleep(0.01)
        finally:
            server.stop_requested.set()
            await task

    asyncio.run(run())
