"""The discovery watch, against agents that answer, fail or stay silent on a real socket."""

from __future__ import annotations

import asyncio
import heapq
import json
import random
import resource
import socket
import struct
from dataclasses import replace
from typing import cast

import pytest
from tornado.iostream import IOStream

from mapleshunt.net import config
from mapleshunt.net.config import Address
from mapleshunt.net.counters import Counters
from mapleshunt.net.discovery.backoff import (
    NOTIFICATION_BUDGET_MS,
    SILENCE_TIMEOUT_MS,
    WATCH_WAIT_MS,
    Backoff,
)
from mapleshunt.net.discovery.endpoint_list import EndpointList
from mapleshunt.net.discovery.watcher import EndpointWatcher
from mapleshunt.net.protocol.read_buffer import ReadBuffer
from mapleshunt.server.endpoint_watch import EndpointWatch
from mapleshunt.server.gateway_server import GatewayServer

from .processes import EXAMPLE_CONFIG


class ShortBackoff(Backoff):
    """Shortens the delays a thousandfold: the tests check which calls are made, not when."""

    def next_delay_ms(self, since_answer_ms: float = NOTIFICATION_BUDGET_MS) -> float:
        return super().next_delay_ms(since_answer_ms) / 1000


def encode_answer(revision: int, complete: bool, status: bytes = b"200 OK") -> bytes:
    row = {"id": "s-1", "host_port": "127.0.0.1:1", "phase": "Ready"}
    body = json.dumps({"revision": revision, "complete": complete, "members": [row]}).encode()
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


def test_watch_continues_after_silence_malformed_lists_and_closes() -> None:
    # Each answer is for one call. None: the agent stays silent; b"": it closes the connection.
    answers: list[bytes | None] = [
        encode_answer(41, True),
        encode_answer(43, False),
        None,
        encode_answer(44, False),
        b"",
        encode_answer(45, False),
        b"nonsense\r\n\r\n",
        2 * encode_answer(46, False),  # the copy must not be taken for the answer to the next call
        encode_answer(0, False, b"503 Full"),
        encode_answer(47, False),
        encode_answer(0, False, b"410 Gone"),
        encode_answer(50, True),
    ]
    paths: list[str] = []
    updates: list[EndpointList] = []

    def on_update(update: EndpointList) -> None:
        updates.append(update)
        # Short only where silence follows.
        discovery.schedule.watch_late_ms = 50.0 if answers[:1] == [None] else 60_000.0

    discovery = EndpointWatcher(("", 0), on_update, Counters(), ShortBackoff(1, random.Random(1)))

    async def agent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while answers:
                paths.append((await reader.readuntil(b"\r\n\r\n")).decode().split()[1])
                data = answers.pop(0)
                if data is None:
                    await reader.read()
                if not data:
                    break
                writer.write(data)
        except asyncio.IncompleteReadError:
            pass
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(agent, "127.0.0.1", 0)
        discovery.agent = server.sockets[0].getsockname()
        task = asyncio.create_task(discovery.run())
        while len(updates) < 7:
            await asyncio.sleep(0.01)
        task.cancel()
        server.close()

    asyncio.run(run())
    assert [(entry.revision, entry.complete) for entry in updates] == [
        (41, True),
        (43, False),
        (44, False),
        (45, False),
        (46, False),
        (47, False),
        (50, True),
    ]
    # Whatever ended a connection, the watch continues from the known revision, unless discovery does not know
    # that. The first call on a connection does not wait: changes missed in between are returned at once.
    first, watching = (
        "/catalog/members?index={}&wait=0",
        f"/catalog/members?index={{}}&wait={WATCH_WAIT_MS:.0f}",
    )
    assert paths == [
        "/catalog/members",
        first.format(41),
        watching.format(43),
        first.format(43),
        watching.format(44),
        first.format(44),
        watching.format(45),
        first.format(45),
        watching.format(46),
        first.format(46),
        watching.format(47),
        "/catalog/members",
    ]


def test_silent_watch_is_noticed_within_notification_budget() -> None:
    # A silent agent was noticed after 21 s; until then draining endpoints got requests, and new ones none.
    assert WATCH_WAIT_MS + SILENCE_TIMEOUT_MS <= 2000
    discovery = EndpointWatcher(("", 0), lambda update: None, Counters(), Backoff(1, random.Random(1)))
    assert discovery.schedule.watch_late_ms == WATCH_WAIT_MS + SILENCE_TIMEOUT_MS


@pytest.mark.parametrize("seed", range(5))
def test_forty_gateways_restarted_together_are_current_within_budget(seed: int) -> None:
    """The service takes one call each 100 ms; one that would wait over 2 s is rejected and loses its place.

    With a fixed delay of 100 ms the queue stayed full, and hardly any gateway ever got a list.
    """
    clients = [Backoff(40, random.Random(seed * 100 + n)) for n in range(40)]
    calls = [(client.initial_delay_ms(), n) for n, client in enumerate(clients)]
    heapq.heapify(calls)
    free_at, current_at, called_at = 0.0, {}, []
    while calls:
        at, n = heapq.heappop(calls)
        called_at.append(at)
        started_at = max(free_at, at)
        if started_at - at > 2000:
            heapq.heappush(calls, (at + clients[n].next_delay_ms(), n))
        else:
            free_at = started_at + 100
            current_at[n] = free_at
    assert len(current_at) == 40 and max(current_at.values()) < 20_000
    for second in range(20):
        assert sum(1000 * second <= at < 1000 * (second + 1) for at in called_at) <= 60


def test_backoff_of_small_fleet_is_short_and_resets_after_answer() -> None:
    backoff = Backoff(3, random.Random(1))
    first = [backoff.next_delay_ms() for _ in range(50)]
    assert first[0] <= 150 and max(first) <= 2000
    backoff.reset()
    assert backoff.next_delay_ms() <= 150


def test_gateway_with_pushed_list_calls_agent_without_fleet_spread() -> None:
    # The first calls of 200 gateways were delayed by up to 5 s, though their agents answer at no cost: 384
    # requests went to draining endpoints that the answer would have named.
    backoff = Backoff(0, random.Random(1))
    assert backoff.initial_delay_ms() == 0.0
    assert max(backoff.next_delay_ms() for _ in range(50)) <= 500


class Agent:
    """An agent on a real socket that passes each call to the test, which may answer it."""

    def __init__(self) -> None:
        self.calls: asyncio.Queue[tuple[str, asyncio.StreamWriter]] = asyncio.Queue()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                path = (await reader.readuntil(b"\r\n\r\n")).decode().split()[1]
                await self.calls.put((path, writer))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def start(self) -> asyncio.Server:
        return await asyncio.start_server(self.serve, "127.0.0.1", 0)


def watcher_from_revision_41(server: asyncio.Server, updates: list[int]) -> EndpointWatcher:
    """Return a watcher of that agent that knows revision 41, and adds those that it applies to `updates`."""
    return EndpointWatcher(
        server.sockets[0].getsockname(),
        lambda update: updates.append(update.revision),
        Counters(),
        ShortBackoff(0, random.Random(1)),
        41,
    )


def test_list_that_is_being_read_counts_as_held_until_its_call_ends() -> None:
    changes: list[int] = []

    async def run() -> None:
        agent = Agent()
        server = await agent.start()
        discovery = EndpointWatcher(
            server.sockets[0].getsockname(),
            lambda _update: None,
            Counters(),
            ShortBackoff(0, random.Random(1)),
            hold=changes.append,
        )
        task = asyncio.create_task(discovery.run())
        _, writer = await agent.calls.get()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n" + bytes(100_000))
        async with asyncio.timeout(20):
            while sum(changes) < 100_000:
                await asyncio.sleep(0)
            writer.close()
            while sum(changes):
                await asyncio.sleep(0)
        task.cancel()
        server.close()

    asyncio.run(run())


def test_answer_that_takes_longer_than_a_call_may_take_unnoticed_is_used() -> None:
    # Guards against an agent of which nothing is ever learnt because each of its answers takes 2.5 s.
    updates: list[EndpointList] = []

    async def run() -> Counters:
        agent, counters = Agent(), Counters()
        server = await agent.start()
        discovery = EndpointWatcher(
            server.sockets[0].getsockname(), updates.append, counters, Backoff(2, random.Random(1)), 41
        )
        task = asyncio.create_task(discovery.run())
        try:
            async with asyncio.timeout(20):
                _, writer = await agent.calls.get()
                await asyncio.sleep(2.5)
                writer.write(encode_answer(43, False))
                while not updates:
                    await asyncio.sleep(0.01)
        finally:
            task.cancel()
            server.close()
        return counters

    counts = asyncio.run(run()).counts
    assert updates[0].revision == 43
    assert counts["discovery_late"] == counts["discovery_late_answers"] == 1 and not counts["discovery_ended"]


def test_list_without_length_is_used_once_its_connection_ends_but_not_after_a_reset() -> None:
    # Guards against an agent whose answers have no length never being learnt from.
    updates: list[int] = []

    async def run() -> list[str]:
        agent = Agent()
        server = await agent.start()
        discovery = watcher_from_revision_41(server, updates)
        task = asyncio.create_task(discovery.run())
        paths = []
        for revision, is_reset in ((42, True), (43, False), (44, False)):
            path, writer = await agent.calls.get()
            paths.append(path)
            head, _, body = encode_answer(revision, False).partition(b"\r\n\r\n")
            writer.write(head.split(b"\r\n")[0] + b"\r\n\r\n" + body)
            await writer.drain()
            if is_reset:
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                await asyncio.sleep(0.05)  # the gateway has read it all by the time of the reset
            writer.close()
        async with asyncio.timeout(20):
            while len(updates) < 2:
                await asyncio.sleep(0)
        task.cancel()
        server.close()
        return paths

    assert asyncio.run(run()) == [
        "/catalog/members?index=41&wait=0",
        "/catalog/members?index=41&wait=0",
        f"/catalog/members?index=43&wait={WATCH_WAIT_MS:.0f}",  # it continues the watch, at no more calls
    ]
    assert updates == [43, 44]


def test_older_list_that_arrives_after_a_newer_one_is_not_applied() -> None:
    # Guards against an endpoint that drains being taken for ready again: two calls are out, and the list of
    # the later one was made before that of the earlier.
    updates: list[int] = []

    async def run() -> list[str]:
        agent = Agent()
        server = await agent.start()
        discovery = watcher_from_revision_41(server, updates)
        discovery.schedule.first_late_ms = 50.0
        task = asyncio.create_task(discovery.run())
        first, second = [(await agent.calls.get())[1] for _ in range(2)]
        first.write(encode_answer(43, False))
        while not updates:
            await asyncio.sleep(0)
        discovery.schedule.first_late_ms = 60_000.0
        second.write(encode_answer(42, False))
        path, writer = await agent.calls.get()
        writer.write(encode_answer(44, False))
        while updates[-1] != 44:
            await asyncio.sleep(0)
        task.cancel()
        server.close()
        return [path]

    assert asyncio.run(run()) == [f"/catalog/members?index=43&wait={WATCH_WAIT_MS:.0f}"]
    assert updates == [43, 44]


def test_watch_resumes_after_lack_of_descriptors() -> None:
    # The socket was created outside the `try`: its OSError ended the task, and no list was received again.
    updates: list[EndpointList] = []

    async def run() -> Counters:
        agent, counters = Agent(), Counters()
        server = await agent.start()
        address = server.sockets[0].getsockname()
        discovery = EndpointWatcher(address, updates.append, counters, ShortBackoff(0, random.Random(1)))
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        # Open descriptors stay valid; no new one can be opened.
        resource.setrlimit(resource.RLIMIT_NOFILE, (3, hard))
        try:
            task = asyncio.create_task(discovery.run())
            while not counters.counts["discovery_ended"] and not task.done():
                await asyncio.sleep(0)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        assert not task.done()
        _, writer = await agent.calls.get()
        writer.write(encode_answer(7, True))
        while not updates:
            await asyncio.sleep(0)
        task.cancel()
        server.close()
        return counters

    counts = asyncio.run(run()).counts
    assert updates[0].revision == 7 and counts["out_of_descriptors"] >= 1


def test_complete_list_is_requested_from_agent_behind_known_revision() -> None:
    # A new agent may be at an earlier revision: the changes since then are not in what it sends next.
    async def run() -> list[str]:
        agent = Agent()
        server = await agent.start()
        updates: list[EndpointList] = []
        discovery = EndpointWatcher(
            server.sockets[0].getsockname(), updates.append, Counters(), ShortBackoff(0, random.Random(1)), 41
        )
        task = asyncio.create_task(discovery.run())
        paths = []
        for response in (encode_answer(30, False), encode_answer(31, True), encode_answer(32, False)):
            path, writer = await agent.calls.get()
            paths.append(path)
            writer.write(response)
        task.cancel()
        server.close()
        return paths

    assert asyncio.run(run()) == [
        "/catalog/members?index=41&wait=0",
        "/catalog/members",
        "/catalog/members?index=31&wait=0",
    ]


def started_watch(
    monkeypatch: pytest.MonkeyPatch, addresses: list[Address], updates: list[int]
) -> tuple[EndpointWatch, list[config.Config]]:
    """Return a watch that follows the first address, and a configuration for each of them."""
    base_config = config.parse(EXAMPLE_CONFIG.read_text(), {"PROXY_LISTEN": "127.0.0.1:0"})
    watch = GatewayServer(base_config).endpoint_watch
    monkeypatch.setattr(watch, "apply_list", lambda update: updates.append(update.revision))
    configs = [replace(base_config, discovery_address=address) for address in addresses]
    watch.follow(configs[0])
    return watch, configs


@pytest.mark.parametrize("read", [False, True])
def test_answer_of_replaced_agent_counts_until_the_new_agent_has_answered(
    monkeypatch: pytest.MonkeyPatch, read: bool
) -> None:
    """SIGHUP changes the agent twice while the first agent's answer arrives.

    The change comes before the answer is read, or between the read and the task that awaits it.
    """
    updates: list[int] = []

    async def run() -> str:
        agents = [Agent() for _ in range(3)]
        servers = [await agent.start() for agent in agents]
        addresses = [server.sockets[0].getsockname() for server in servers]

        def move(*_: object) -> None:
            watch.follow(configs[1])
            watch.follow(configs[2])

        async def fill(buffer: ReadBuffer, stream: IOStream) -> None:
            read_future = asyncio.ensure_future(
                stream.read_into(cast(bytearray, buffer.free_space()), partial=True)
            )
            if not moved:  # its callback runs before the task, which awaits the read only now
                moved.append(True)
                read_future.add_done_callback(move)
            buffer.end += await read_future

        moved = [] if read else [True]
        monkeypatch.setattr(ReadBuffer, "fill", fill)
        watch, configs = started_watch(monkeypatch, addresses, updates)
        _, writer = await agents[0].calls.get()
        writer.write(encode_answer(1, True))
        await writer.drain()
        if not read:
            move()
        path, new_writer = await agents[2].calls.get()
        while not updates:
            await asyncio.sleep(0)
        new_writer.write(encode_answer(3, True))
        while len(updates) < 2:
            await asyncio.sleep(0)
        # Neither replaced agent is called again, and none is heard any more.
        new_path, _ = await agents[2].calls.get()
        writer.write(encode_answer(4, True))
        await asyncio.sleep(0.05)
        assert agents[0].calls.empty() and agents[1].calls.empty()
        assert new_path == "/catalog/members?index=3&wait=0"
        await watch.close()
        for server in servers:
            server.close()
        return path

    assert asyncio.run(run()) == "/catalog/members"  # another agent may number revisions differently
    assert updates == [1, 3]


def test_answer_of_replaced_agent_is_ignored_after_that_of_the_new_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a list of before a move being taken for the newer one.
    updates: list[int] = []

    async def run() -> None:
        agents = [Agent() for _ in range(2)]
        servers = [await agent.start() for agent in agents]
        addresses = [server.sockets[0].getsockname() for server in servers]
        watch, configs = started_watch(monkeypatch, addresses, updates)
        _, old_writer = await agents[0].calls.get()
        watch.follow(configs[1])
        _, new_writer = await agents[1].calls.get()
        new_writer.write(encode_answer(3, True))
        while not updates:
            await asyncio.sleep(0)
        old_writer.write(encode_answer(7, True))
        _, new_writer = await agents[1].calls.get()
        new_writer.write(encode_answer(4, False))
        while updates[-1] != 4:
            await asyncio.sleep(0)
        await watch.close()
        for server in servers:
            server.close()

    asyncio.run(run())
    assert updates == [3, 4]


def test_reload_that_names_the_same_agent_keeps_the_call_that_is_out(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against reloads that come faster than discovery answers: each ended the call that was out.
    updates: list[int] = []

    async def run() -> None:
        agent = Agent()
        server = await agent.start()
        watch, configs = started_watch(monkeypatch, [server.sockets[0].getsockname()], updates)
        _, writer = await agent.calls.get()
        for _ in range(3):
            watch.follow(configs[0])
            await asyncio.sleep(0.02)
        assert agent.calls.empty()
        writer.write(encode_answer(3, True))
        async with asyncio.timeout(10):
            while not updates:
                await asyncio.sleep(0)
        await watch.close()
        server.close()

    asyncio.run(run())
    assert updates == [3]


WATCH_ENDS = ("silent", "reset", "rejected", "moved")


def notified_after_ms(backoff: Backoff, watch_end: str, reset_after_ms: float) -> float:
    """Return the ms from the end of a watch to the answer of the first call that can be answered."""
    if watch_end == "moved":
        return backoff.initial_delay_ms() + backoff.dial_timeout_ms + backoff.answer_timeout_ms
    if watch_end == "rejected":  # an earlier call failed after its full timeout, long after the last answer
        return (
            backoff.dial_timeout_ms
            + backoff.answer_timeout_ms
            + backoff.next_delay_ms()
            + backoff.answer_timeout_ms
        )
    noticed_ms = WATCH_WAIT_MS + SILENCE_TIMEOUT_MS if watch_end == "silent" else reset_after_ms
    return (
        noticed_ms + backoff.next_delay_ms(noticed_ms) + backoff.dial_timeout_ms + backoff.answer_timeout_ms
    )


@pytest.mark.parametrize("callers", [0, 2, 40, 200])
@pytest.mark.parametrize("watch_end", WATCH_ENDS)
def test_change_is_notified_within_budget_after_any_watch_end(callers: int, watch_end: str) -> None:
    # With 200 gateways a delay took up to 50 s and the call after it 7 s. After a move 4 s are allowed.
    for seed in range(500):
        rng = random.Random(seed)
        backoff = Backoff(callers, rng)
        for _ in range(seed % 8 if watch_end == "rejected" else 0):
            backoff.next_delay_ms()
        notified_ms = notified_after_ms(backoff, watch_end, rng.uniform(0.0, WATCH_WAIT_MS))
        assert notified_ms <= (4000.0 if watch_end == "moved" else NOTIFICATION_BUDGET_MS)
