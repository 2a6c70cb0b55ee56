"""A leader's reads and its followers' progress."""

from __future__ import annotations

from mapleshunt.replication import messages as m
from mapleshunt.replication.config import RaftConfig
from mapleshunt.replication.node import RaftNode
from mapleshunt.replication.roles import Role


def leader(timing: RaftConfig) -> RaftNode:
    """Of three: elected in term 1, its first entry committed at time 5."""
    names = ("a/1", "b/1", "c/1")
    node = RaftNode("a/1", m.PersistentState(m.Snapshot(0, 0, 0.0, m.Members(names), b"")), timing, 1, 0.0)
    node.step(5.0, m.Tick())
    node.step(5.0, m.MessageReceived("b/1", m.VoteResponse(1, True, True)))
    node.step(5.0, m.WriteCompleted(node.outbox.last_write))
    node.step(5.0, m.MessageReceived("b/1", m.VoteResponse(1, True, False)))
    node.step(5.0, m.WriteCompleted(node.outbox.last_write))
    node.step(5.0, m.MessageReceived("b/1", m.AppendEntriesResponse(1, True, 1, node.round)))
    assert node.role is Role.LEADER and node.commit_index == 1
    return node


def sent(outputs: list[m.Output], kind: type) -> list[m.Send]:
    return [one for one in outputs if isinstance(one, m.Send) and isinstance(one.message, kind)]


def test_reads_during_a_round_of_heartbeats_share_the_next_round() -> None:
    node = leader(RaftConfig())
    beats = [sent(node.step(5.01, m.ReadRequest(call)), m.AppendEntries) for call in range(10)]
    assert [len(one) for one in beats] == [2] + [0] * 9  # to both others, once
    first = node.round
    out = node.step(5.02, m.MessageReceived("b/1", m.AppendEntriesResponse(1, True, 1, first)))
    assert [one.request_id for one in out if isinstance(one, m.RequestResult)] == [0]
    assert len(sent(out, m.AppendEntries)) == 2 and node.round == first + 1
    # Of the round before: not enough.
    out = node.step(5.03, m.MessageReceived("b/1", m.AppendEntriesResponse(1, True, 1, first)))
    assert not [one for one in out if isinstance(one, m.RequestResult)]
    out = node.step(5.04, m.MessageReceived("c/1", m.AppendEntriesResponse(1, True, 1, first + 1)))
    assert [one.request_id for one in out if isinstance(one, m.RequestResult)] == list(range(1, 10))


def test_follower_receives_heartbeats_while_its_snapshot_chunks_are_paced() -> None:
    node = leader(RaftConfig(retained_entries=0, compaction_threshold=4, snapshot_chunk_bytes=10))
    for call in range(6):
        node.step(5.1, m.Propose(call, b"x"))
        node.step(5.1, m.WriteCompleted(node.outbox.last_write))
        out = node.step(
            5.1, m.MessageReceived("b/1", m.AppendEntriesResponse(1, True, node.log.last_index(), 0))
        )
        for wanted in (one for one in out if isinstance(one, m.CreateSnapshot)):
            node.step(5.1, m.SnapshotCreated(wanted.index, b"s" * 100))
    out = node.step(5.2, m.MessageReceived("c/1", m.AppendEntriesResponse(1, False, 0, 0)))
    assert len(sent(out, m.SnapshotChunk)) == 1
    out = node.step(5.41, m.Tick())
    assert {one.to for one in sent(out, m.AppendEntries)} == {"b/1", "c/1"}
    stored = m.PersistentState(m.Snapshot(0, 0, 0.0, m.Members(("a/1", "b/1", "c/1")), b""))
    other = RaftNode("c/1", stored, RaftConfig(), 2, 5.0)
    beat = next(one.message for one in sent(out, m.AppendEntries) if one.to == "c/1")
    responses = sent(other.step(5.5, m.MessageReceived("a/1", beat)), m.AppendEntriesResponse)
    assert other.leader == "a/1" and not responses  # held until its term is written
    (reply,) = sent(other.step(5.5, m.WriteCompleted(other.outbox.last_write)), m.AppendEntriesResponse)
    assert reply.message == m.AppendEntriesResponse(1, False, 0, node.round)
    out = node.step(5.5, m.MessageReceived("c/1", m.AppendEntriesResponse(1, False, 0, 0)))
    assert node.leadership is not None
    assert node.leadership.progress.followers["c/1"].snapshot is not None  # it goes on
