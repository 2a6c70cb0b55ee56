"""Tests of a gateway's replicas and their store: interleaved operations, late opening, and defects."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import threading
from pathlib import Path
from typing import Any, cast

import pytest
from tornado.iostream import IOStream

from mapleshunt import extensions
from mapleshunt.net import config
from mapleshunt.net.counters import Counters
from mapleshunt.net.replication.connection import PeerConnection
from mapleshunt.net.replication.group_host import GroupHost
from mapleshunt.net.replication.host import ReplicationHost
from mapleshunt.net.replication.store_access import open_store
from mapleshunt.replicated_state import commands as words
from mapleshunt.replication import messages as m
from mapleshunt.replication import wire
from mapleshunt.settings import operators
from mapleshunt.storage.durable_store import DurableStore
from mapleshunt.storage.errors import StoreUnavailableError
from mapleshunt.testbed.faults.replicated_fleet import replicas_only_config

from .processes import free_port
from .test_sessions import WAIT_S, wait_until

FLEET = "f"
GATEWAY_NAMES = ("g0", "g1", "g2")


def operators_file(folder: Path, more: str = "", election_ms: int = 100) -> str:
    """Return the text of the operators' file of a gateway whose peers do not run."""
    peers = " ".join(f'(peer (name "{peer}") (address "127.0.0.1:{free_port()}"))' for peer in GATEWAY_NAMES)
    section = f'(fleet "{FLEET}") (folder "{folder}") (groups 2) (size 3) (election-ms {election_ms})'
    return f"(copies {section} {more}{peers})\n"


def replication_host_in(
    folder: Path, name: str = GATEWAY_NAMES[0], election_ms: int = 100
) -> ReplicationHost:
    """Return the replication host of a gateway whose peers do not run."""
    section = operators.parse_settings(operators_file(folder, election_ms=election_ms)).copies
    assert section is not None
    parsed = config.parse(json.dumps({**replicas_only_config(), "name": name}), {})
    store = open_store(section, parsed.name)
    return ReplicationHost(section, parsed.name, store, Counters(), parsed.seed)


def create_group_host(replication: ReplicationHost) -> GroupHost:
    """Create a replica of group 0 that is not started; the other voters do not run."""
    members = m.Members((replication.knowledge.replica(), "g1/1", "g2/1"))
    stored = replication.store.create(0, m.Snapshot(1, 1, 0.0, members, b""))
    host = replication.groups.hosts[0] = replication.groups.open(0, stored)
    return host


def test_store_that_is_renewed_while_a_replica_is_created_stays_undamaged(
    tmp_path: Path,
) -> None:
    """In one turn a message for an unknown group and the notice that the store is outdated arrive."""

    async def run() -> None:
        replication = replication_host_in(tmp_path)
        replication.start()
        first_incarnation = replication.store.incarnation
        replication.groups.create(1, m.Snapshot(0, 0, 0.0, m.Members(()), b""))
        replication.groups.renew("g1", replication.store.boot + (1 << 32))
        await wait_until(
            lambda: replication.store.incarnation != first_incarnation and not replication.groups.renewing
        )
        for host in replication.groups.hosts.values():
            host.step(m.MessageReceived("g1/1", m.AppendEntries(7, 0, 0, (m.Entry(1, 7, 0.0, b"x"),), 0, 1)))
        commits = replication.tasks.writer.commits
        await wait_until(lambda: not replication.groups.hosts or replication.tasks.writer.commits > commits)
        replication.close()

    asyncio.run(run())
    store = DurableStore(tmp_path, FLEET, GATEWAY_NAMES[0])
    assert not store.set_aside
    store.close()


def test_event_loop_is_not_blocked_while_the_opening_of_the_store_is_retried(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first attempt fails at the start. The second one blocks until the loop has run on."""
    loop_continued = threading.Event()
    attempts: list[bool] = []

    def open_slowly(section: operators.ReplicationSettings, name: str) -> DurableStore:
        if not attempts:
            attempts.append(False)
            raise StoreUnavailableError("the disk is full")
        attempts.append(loop_continued.wait(WAIT_S))
        return open_store(section, name)

    file = tmp_path / "operators.sexp"
    file.write_text(operators_file(tmp_path / "store", "(lease false) "))
    monkeypatch.setenv(operators.ENVIRONMENT_VARIABLE, str(file))
    monkeypatch.setattr(extensions, "open_store", open_slowly)
    monkeypatch.setattr(extensions, "STORE_RETRY_DELAY_S", 0.01)
    parsed = config.parse(json.dumps({**replicas_only_config(), "name": GATEWAY_NAMES[0]}), {})

    async def run() -> None:
        gateway_extensions = extensions.Extensions(parsed, None, Counters(), None)  # type: ignore[arg-type]
        gateway_extensions.start()
        assert gateway_extensions.replication is None
        await asyncio.sleep(0.05)  # the second attempt has usually started by now, and waits for the event
        loop_continued.set()
        await wait_until(lambda: gateway_extensions.replication is not None)
        gateway_extensions.close()

    asyncio.run(run())
    assert attempts == [False, True]


class Client(PeerConnection):
    """A client's connection that records the responses written to it."""

    def __init__(self) -> None:
        self.gateway_socket, self.client_socket = socket.socketpair()
        super().__init__(IOStream(self.gateway_socket), FLEET, cast(Any, None), Counters())
        self.responses: list[wire.ClientResponse] = []

    def write(self, frame: wire.Frame) -> None:
        super().write(frame)
        if isinstance(frame, wire.ClientResponse):
            self.responses.append(frame)

    def close(self) -> None:
        self.stream.close()
        self.client_socket.close()


async def make_leader(host: GroupHost, follower: str) -> None:
    """Make the replica the leader of its group, with the votes and the acknowledgement of one follower."""
    host.started, host.node.election.deadline = True, 0.0
    host.step(m.Tick())
    host.step(m.MessageReceived(follower, m.VoteResponse(host.node.term + 1, True, True)))
    await wait_until(lambda: host.node.outbox.durable_write == host.node.outbox.last_write)
    host.step(m.MessageReceived(follower, m.VoteResponse(host.node.term, True, False)))
    assert host.is_leader()
    await acknowledge(host, follower)


async def acknowledge(host: GroupHost, follower: str) -> None:
    """Deliver the follower's acknowledgement of all entries of the leader."""
    node = host.node
    await wait_until(lambda: node.outbox.durable_write == node.outbox.last_write)
    host.step(
        m.MessageReceived(
            follower, m.AppendEntriesResponse(node.term, True, node.log.last_index(), node.round)
        )
    )


def test_response_that_is_too_long_to_be_sent_does_not_keep_an_entry_from_being_applied(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A read and an operation are confirmed by the same message of a follower."""

    async def run() -> None:
        replication = replication_host_in(tmp_path, election_ms=5000)
        replication.start()
        host = create_group_host(replication)
        await make_leader(host, "g1/1")
        reader, writer = Client(), Client()
        monkeypatch.setattr(host, "_read", lambda query: bytes(2 * wire.MAX_FRAME_BYTES))
        host.handle(reader, wire.ClientRequest(1, 0, query="works"))
        host.handle(
            writer, wire.ClientRequest(2, 0, words.encode(words.Command("s", 1, 1, words.OpenSession())))
        )
        with contextlib.suppress(ValueError):  # the follower's connection would catch it
            await acknowledge(host, "g1/1")
        assert "s" in host.state.sessions
        assert [response.status for response in writer.responses] == ["done"]
        assert [response.status for response in reader.responses[-1:]] == ["unknown"]
        for client in (reader, writer):
            client.close()
        replication.close()

    asyncio.run(run())


def test_replica_whose_step_raises_keeps_its_timeouts(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        replication = replication_host_in(tmp_path, election_ms=50)
        replication.start()
        host = create_group_host(replication)
        step, events = host.node.step, list[m.Event]()

        def defective_step(now: float, event: m.Event) -> list[m.Output]:
            events.append(event)
            if len(events) == 2:
                raise AssertionError("a defect")
            return step(now, event)

        monkeypatch.setattr(host.node, "step", defective_step)
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        host.start()
        await wait_until(lambda: len(events) >= 5)
        replication.close()

    asyncio.run(run())
