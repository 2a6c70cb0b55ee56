"""Discovery against an agent that plays one fate after another on a real socket."""

from __future__ import annotations

import asyncio
import heapq
import json
import random
import resource
from dataclasses import replace
from typing import cast

import pytest
from tornado.iostream import IOStream

from mapleshunt.net import config
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
from mapleshunt.server.gateway_server import GatewayServer

from .processes import EXAMPLE


class Prompt(Backoff):
    """Calls again at once: the tests look at what is called, not when."""

    def next_delay_ms(self, since: float = NOTIFICATION_BUDGET_MS) -> float:
        return super().next_delay_ms(since) / 1000


def answer(revision: int, complete: bool, status: bytes = b"200 OK") -> bytes:
    row = {"id": "s-1", "host_port": "127.0.0.1:1", "phase": "Ready"}
    body = json.dumps({"revision": revision, "complete": complete, "members": [row]}).encode()
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


def test_watch_continues_after_silence_malformed_lists_and_closes() -> None:
    # Each answer is given to one call. None: the agent stays silent; b"": it ends the connection.
    answers: list[bytes | None] = [
        answer(41, True),
        answer(43, False),
        None,
        answer(44, False),
        b"",
        answer(45, False),
        b"nonsense\r\n\r\n",
        answer(46, False),
        answer(0, False, b"503 Full"),
        answer(47, False),
        answer(0, False, b"410 Gone"),
        answer(50, True),
    ]
    paths: list[str] = []
    updates: list[EndpointList] = []

    def on_update(found: EndpointList) -> None:
        updates.append(found)
        discovery.watch_timeout_s = (
            0.05 if answers[:1] == [None] else 60.0
        )  # short only where silence follows

    discovery = EndpointWatcher(("", 0), on_update, Counters(), Prompt(1, random.Random(1)))

    async def agent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while answers:
                paths.append((await reader.readuntil(b"\r\n\r\n")).decode().split()[1])
                data = answers.pop(0)
                if data is None:
                    discovery.watch_timeout_s = 60.0
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
    assert [(one.revision, one.complete) for one in updates] == [
        (41, True),
        (43, False),
        (44, False),
        (45, False),
        (46, False),
        (47, False),
        (50, True),
    ]
    # Whatever ended it, the watch goes on from the revision held, unless discovery does not know that. The
    # first call on a connection waits for no change: what came while there was no watch is returned at once.
    first, on = "/catalog/members?index={}&wait=0", f"/catalog/members?index={{}}&wait={WATCH_WAIT_MS:.0f}"
    assert paths == [
        "/catalog/members",
        first.format(41),
        on.format(43),
        first.format(43),
        on.format(44),
        first.format(44),
        on.format(45),
        first.format(45),
        on.format(46),
        first.format(46),
        on.format(47),
        "/catalog/members",
    ]


def test_silent_watch_is_noticed_within_notification_budget() -> None:
    # It was noticed after 21 s; for all that time draining endpoints got requests, and new ones got none.
    assert WATCH_WAIT_MS + SILENCE_TIMEOUT_MS <= 2000
    discovery = EndpointWatcher(("", 0), lambda found: None, Counters(), Backoff(1, random.Random(1)))
    assert discovery.watch_timeout_s == (WATCH_WAIT_MS + SILENCE_TIMEOUT_MS) / 1000


@pytest.mark.parametrize("seed", range(5))
def test_forty_gateways_restarted_together_are_current_within_budget(seed: int) -> None:
    """The service takes a call each 100 ms in turn; one that would wait 2 s is rejected, and costs its turn.

    With a fixed pause of 100 ms the line stayed full, and hardly any gateway had a list all day.
    """
    clients = [Backoff(40, random.Random(seed * 100 + n)) for n in range(40)]
    calls = [(client.initial_delay_ms(), n) for n, client in enumerate(clients)]
    heapq.heapify(calls)
    free, current, made = 0.0, {}, []
    while calls:
        at, n = heapq.heappop(calls)
        made.append(at)
        begun = max(free, at)
        if begun - at > 2000:
            heapq.heappush(calls, (at + clients[n].next_delay_ms(), n))
        else:
            free = begun + 100
            current[n] = free
    assert len(current) == 40 and max(current.values()) < 20_000
    for second in range(20):
        assert sum(1000 * second <= at < 1000 * (second + 1) for at in made) <= 60


def test_backoff_of_small_fleet_is_short_and_resets_after_answer() -> None:
    backoff = Backoff(3, random.Random(1))
    first = [backoff.next_delay_ms() for _ in range(50)]
    assert first[0] <= 150 and max(first) <= 2000
    backoff.reset()
    assert backoff.next_delay_ms() <= 150


def test_gateway_with_pushed_list_calls_agent_without_fleet_spread() -> None:
    # The first call of 200 gateways waited up to 5 s for its turn at an agent that answers each at no cost:
    # 384 requests went to draining servers that the answer would have named.
    backoff = Backoff(0, random.Random(1))
    assert backoff.initial_delay_ms() == 0.0
    assert max(backoff.next_delay_ms() for _ in range(50)) <= 500


class Agent:
    """One scripted agent on a real socket: each call is given to the test, which answers it or does not."""

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


def test_watch_resumes_after_lack_of_descriptors() -> None:
    # The socket was made outside of the `try`: its OSError ended the task, and no list came ever again.
    updates: list[EndpointList] = []

    async def run() -> Counters:
        agent, counters = Agent(), Counters()
        server = await agent.start()
        address = server.sockets[0].getsockname()
        discovery = EndpointWatcher(address, updates.append, counters, Prompt(0, random.Random(1)))
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (3, hard))  # those that are open stay; there is no new
        try:
            task = asyncio.create_task(discovery.run())
            while not counters.counts["discovery_ended"] and not task.done():
                await asyncio.sleep(0)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        assert not task.done()
        _, writer = await agent.calls.get()
        writer.write(answer(7, True))
        while not updates:
            await asyncio.sleep(0)
        task.cancel()
        server.close()
        return counters

    counts = asyncio.run(run()).counts
    assert updates[0].revision == 7 and counts["out_of_descriptors"] >= 1


def test_agent_behind_known_revision_is_asked_for_complete_list() -> None:
    # A new agent may count from before: the changes since are not among those that it goes on to send.
    async def run() -> list[str]:
        agent = Agent()
        server = await agent.start()
        updates: list[EndpointList] = []
        discovery = EndpointWatcher(
            server.sockets[0].getsockname(), updates.append, Counters(), Prompt(0, random.Random(1)), 41
        )
        task = asyncio.create_task(discovery.run())
        paths = []
        for reply in (answer(30, False), answer(31, True), answer(32, False)):
            path, writer = await agent.calls.get()
            paths.append(path)
            writer.write(reply)
        task.cancel()
        server.close()
        return paths

    assert asyncio.run(run()) == [
        "/catalog/members?index=41&wait=0",
        "/catalog/members",
        "/catalog/members?index=31&wait=0",
    ]


@pytest.mark.parametrize("read", [False, True])
def test_answer_of_replaced_agent_is_ignored(monkeypatch: pytest.MonkeyPatch, read: bool) -> None:
    """SIGHUP moves discovery twice in a row, while the first one's answer comes: before it is read, and
    between its reading and the turn of the task that waits for it.
    """
    updates: list[int] = []

    async def run() -> None:
        agents = [Agent() for _ in range(3)]
        servers = [await agent.start() for agent in agents]
        first, second, third = (server.sockets[0].getsockname() for server in servers)
        base = config.parse(EXAMPLE.read_text(), {"PROXY_LISTEN": "127.0.0.1:0"})
        watch = GatewayServer(base).endpoint_watch
        monkeypatch.setattr(watch, "apply_list", lambda found: updates.append(found.revision))

        def move(*_: object) -> None:
            watch.follow(replace(base, discovery_address=second))
            watch.follow(replace(base, discovery_address=third))

        async def fill(buffer: ReadBuffer, stream: IOStream) -> None:
            reading = asyncio.ensure_future(
                stream.read_into(cast(bytearray, buffer.free_space()), partial=True)
            )
            if not crossed:  # before the task, which waits for it only now
                crossed.append(True)
                reading.add_done_callback(move)
            buffer.end += await reading

        crossed = [] if read else [True]
        monkeypatch.setattr(ReadBuffer, "fill", fill)
        watch.follow(replace(base, discovery_address=first))
        _, writer = await agents[0].calls.get()
        writer.write(answer(1, True))
        await writer.drain()
        if not read:
            move()
        (await agents[2].calls.get())[1].write(answer(3, True))
        while not updates:
            await asyncio.sleep(0)
        assert watch.task is not None
        watch.task.cancel()
        for server in servers:
            server.close()

    asyncio.run(run())
    assert updates == [3]


LOST = ("silent", "reset", "refused", "moved")


def told_after(backoff: Backoff, lost: str, now: float) -> float:
    """ms from the loss of a watch to the answer of the first call that can be answered, in its turn."""
    if lost == "moved":
        return backoff.initial_delay_ms() + backoff.dial_timeout_ms + backoff.answer_timeout_ms
    if lost == "refused":  # a call that began before, in vain, took all it may, long after the last answer
        return (
            backoff.dial_timeout_ms
            + backoff.answer_timeout_ms
            + backoff.next_delay_ms()
            + backoff.answer_timeout_ms
        )
    noticed = WATCH_WAIT_MS + SILENCE_TIMEOUT_MS if lost == "silent" else now
    return noticed + backoff.next_delay_ms(noticed) + backoff.dial_timeout_ms + backoff.answer_timeout_ms


@pytest.mark.parametrize("callers", [0, 2, 40, 200])
@pytest.mark.parametrize("lost", LOST)
def test_change_is_notified_within_budget_after_any_watch_end(callers: int, lost: str) -> None:
    # With 200 gateways a pause took up to 50 s and the call after it 7 s. A move counts 4 s later.
    for seed in range(500):
        chance = random.Random(seed)
        backoff = Backoff(callers, chance)
        for _ in range(seed % 8 if lost == "refused" else 0):
            backoff.next_delay_ms()
        took = told_after(backoff, lost, chance.uniform(0.0, WATCH_WAIT_MS))
        assert took <= (4000.0 if lost == "moved" else NOTIFICATION_BUDGET_MS)
