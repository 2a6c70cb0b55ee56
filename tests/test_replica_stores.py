"""A gateway's replicas and their store, at the crossings of creating, renewing and forgetting them."""

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
from .test_sessions import WAIT_S, until

FLEET = "f"
GATEWAY_NAMES = ("g0", "g1", "g2")


def text_of(folder: Path, more: str = "", election_ms: int = 100) -> str:
    """The operators' file of a gateway whose peers are not there."""
    peers = " ".join(f'(peer (name "{one}") (address "127.0.0.1:{free_port()}"))' for one in GATEWAY_NAMES)
    section = f'(fleet "{FLEET}") (folder "{folder}") (groups 2) (size 3) (election-ms {election_ms})'
    return f"(copies {section} {more}{peers})\n"


def replication_host_in(
    folder: Path, name: str = GATEWAY_NAMES[0], election_ms: int = 100
) -> ReplicationHost:
    """The replication host of a gateway whose peers are not there."""
    section = operators.parse_settings(text_of(folder, election_ms=election_ms)).copies
    assert section is not None
    parsed = config.parse(json.dumps({**replicas_only_config(), "name": name}), {})
    disk = open_store(section, parsed.name)
    return ReplicationHost(section, parsed.name, disk, Counters(), parsed.seed)


def host_in(copies: ReplicationHost) -> GroupHost:
    """A replica of group 0, which has not begun; the other voters are not there."""
    members = m.Members((copies.knowledge.replica(), "g1/1", "g2/1"))
    stored = copies.store.create(0, m.Snapshot(1, 1, 0.0, members, b""))
    host = copies.groups.hosts[0] = copies.groups.open(0, stored)
    return host


def test_a_replica_that_is_being_created_while_its_store_is_renewed_leaves_the_store_whole(
    tmp_path: Path,
) -> None:
    """A message to a group that an older disk lacks, and the word that the disk is older, in one turn."""

    async def run() -> None:
        copies = replication_host_in(tmp_path)
        copies.start()
        before = copies.store.incarnation
        copies.groups.create(1, m.Snapshot(0, 0, 0.0, m.Members(()), b""))
        copies.groups.renew("g1", copies.store.boot + (1 << 32))
        await until(lambda: copies.store.incarnation != before and not copies.groups.renewing)
        for host in copies.groups.hosts.values():
            host.step(m.MessageReceived("g1/1", m.AppendEntries(7, 0, 0, (m.Entry(1, 7, 0.0, b"x"),), 0, 1)))
        commits = copies.tasks.writer.commits
        await until(lambda: not copies.groups.hosts or copies.tasks.writer.commits > commits)
        copies.close()

    asyncio.run(run())
    disk = DurableStore(tmp_path, FLEET, GATEWAY_NAMES[0])
    assert not disk.set_aside
    disk.close()


def test_a_store_that_opens_slowly_later_holds_nobody_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It could not be opened at the start. The loop goes on while it is opened again."""
    loop_went_on = threading.Event()
    attempts: list[bool] = []

    def open_slowly(section: operators.ReplicationSettings, name: str) -> DurableStore:
        if not attempts:
            attempts.append(False)
            raise StoreUnavailableError("the disk is full")
        attempts.append(loop_went_on.wait(WAIT_S))
        return open_store(section, name)

    file = tmp_path / "operators.sexp"
    file.write_text(text_of(tmp_path / "store", "(lease false) "))
    monkeypatch.setenv(operators.ENVIRONMENT_VARIABLE, str(file))
    monkeypatch.setattr(extensions, "open_store", open_slowly)
    monkeypatch.setattr(extensions, "STORE_RETRY_DELAY_S", 0.01)
    parsed = config.parse(json.dumps({**replicas_only_config(), "name": GATEWAY_NAMES[0]}), {})

    async def run() -> None:
        made = extensions.Extensions(parsed, None, Counters(), None)  # type: ignore[arg-type]
        made.start()
        assert made.replication is None
        await asyncio.sleep(0.05)  # the next attempt has begun by now, or begins before the event is set
        loop_went_on.set()
        await until(lambda: made.replication is not None)
        made.close()

    asyncio.run(run())
    assert attempts == [False, True]


class Client(PeerConnection):
    """A client's connection, of which only what is written to it matters."""

    def __init__(self) -> None:
        self.ours, self.theirs = socket.socketpair()
        super().__init__(IOStream(self.ours), FLEET, cast(Any, None), Counters())
        self.replies: list[wire.ClientResponse] = []

    def write(self, frame: wire.Frame) -> None:
        super().write(frame)
        if isinstance(frame, wire.ClientResponse):
            self.replies.append(frame)

    def close(self) -> None:
        self.stream.close()
        self.theirs.close()


async def lead(host: GroupHost, follower: str) -> None:
    """Let the replica lead its group, with the votes and the word of one follower."""
    host.started, host.node.election.deadline = True, 0.0
    host.step(m.Tick())
    host.step(m.MessageReceived(follower, m.VoteResponse(host.node.term + 1, True, True)))
    await until(lambda: host.node.outbox.durable_write == host.node.outbox.last_write)
    host.step(m.MessageReceived(follower, m.VoteResponse(host.node.term, True, False)))
    assert host.is_leader()
    await follow(host, follower)


async def follow(host: GroupHost, follower: str) -> None:
    """The follower has all that the leader has, and says so."""
    node = host.node
    await until(lambda: node.outbox.durable_write == node.outbox.last_write)
    host.step(
        m.MessageReceived(
            follower, m.AppendEntriesResponse(node.term, True, node.log.last_index(), node.round)
        )
    )


def test_an_answer_that_is_too_long_to_be_sent_keeps_no_entry_from_being_applied(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A read and an operation are confirmed by the same message of a follower."""

    async def run() -> None:
        copies = replication_host_in(tmp_path, election_ms=5000)
        copies.start()
        host = host_in(copies)
        await lead(host, "g1/1")
        reader, writer = Client(), Client()
        monkeypatch.setattr(host, "_read", lambda what: bytes(2 * wire.MAX_FRAME_BYTES))
        host.handle(reader, wire.ClientRequest(1, 0, query="works"))
        host.handle(
            writer, wire.ClientRequest(2, 0, words.encode(words.Command("s", 1, 1, words.OpenSession())))
        )
        with contextlib.suppress(ValueError):  # as the follower's link contains it
            await follow(host, "g1/1")
        assert "s" in host.state.sessions
        assert [one.status for one in writer.replies] == ["done"]
        assert [one.status for one in reader.replies[-1:]] == ["unknown"]
        for one in (reader, writer):
            one.close()
        copies.close()

    asyncio.run(run())


def test_a_replica_whose_step_meets_a_defect_times_out_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        copies = replication_host_in(tmp_path, election_ms=50)
        copies.start()
        host = host_in(copies)
        step, met = host.node.step, list[m.Event]()

        def defective(now: float, event: m.Event) -> list[m.Output]:
            met.append(event)
            if len(met) == 2:
                raise AssertionError("a defect")
            return step(now, event)

        monkeypatch.setattr(host.node, "step", defective)
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        host.start()
        await until(lambda: len(met) >= 5)
        copies.close()

    asyncio.run(run())
