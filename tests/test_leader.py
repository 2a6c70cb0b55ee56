"""A leader's reads and its followers' progress."""

from __future__ import annotations

from mapleshunt.replication import messages as m
from mapleshunt.replication.config import RaftConfig
from mapleshunt.replication.node import RaftNode
from mapleshunt.replication.roles import Role


def elected_leader(config: RaftConfig) -> RaftNode:
    """Return a leader of three replicas: elected in term 1, its first entry committed at 5 s."""
    names = ("a/1", "b/1", "c/1")
    node = RaftNode("a/1", m.PersistentState(m.Snapshot(0, 0, 0.0, m.Members(names), b"")), config, 1, 0.0)
    node.step(5.0, m.Tick())
    node.step(5.0, m.MessageReceived("b/1", m.VoteResponse(1, True, True)))
    node.step(5.0, m.WriteCompleted(node.outbox.last_write))
    node.step(5.0, m.MessageReceived("b/1", m.VoteResponse(1, True, False)))
    node.step(5.0, m.WriteCompleted(node.outbox.last_write))
    node.step(5.0, m.MessageReceived("b/1", m.AppendEntriesResponse(1, True, 1, node.round)))
    assert node.role is Role.LEADER and node.commit_index == 1
    return node


def sent_messages(outputs: list[m.Output], kind: type) -> list[m.Send]:
    return [output for output in outputs if isinstance(output, m.Send) and isinstance(output.message, kind)]


def test_reads_during_a_round_of_heartbeats_share_the_next_round() -> None:
    node = elected_leader(RaftConfig())
    heartbeats = [
        sent_messages(node.step(5.01, m.ReadRequest(request_id)), m.AppendEntries) for request_id in range(10)
    ]
    assert [len(sends) for sends in heartbeats] == [2] + [0] * 9  # one round, to both followers
    first = node.round
    outputs = node.step(5.02, m.MessageReceived("b/1", m.AppendEntriesResponse(1, True, 1, first)))
    assert [output.request_id for output in outputs if isinstance(output, m.RequestResult)] == [0]
    assert len(sent_messages(outputs, m.AppendEntries)) == 2 and node.round == first + 1
    # A response of the round before confirms nothing.
    outputs = node.step(5.03, m.MessageReceived("b/1", m.AppendEntriesResponse(1, True, 1, first)))
    assert not [output for output in outputs if isinstance(output, m.RequestResult)]
    outputs = node.step(5.04, m.MessageReceived("c/1", m.AppendEntriesResponse(1, True, 1, first + 1)))
    assert [output.request_id for output in outputs if isinstance(output, m.RequestResult)] == list(
        range(1, 10)
    )


def test_follower_receives_heartbeats_while_its_snapshot_chunks_are_paced() -> None:
    node = elected_leader(RaftConfig(retained_entries=0, compaction_threshold=4, snapshot_chunk_bytes=10))
    for request_id in range(6):
        node.step(5.1, m.Propose(request_id, b"x"))
        node.step(5.1, m.WriteCompleted(node.outbox.last_write))
        outputs = node.step(
            5.1, m.MessageReceived("b/1", m.AppendEntriesResponse(1, True, node.log.last_index(), 0))
        )
        for request in (output for output in outputs if isinstance(output, m.CreateSnapshot)):
            node.step(5.1, m.SnapshotCreated(request.index, b"s" * 100))
    outputs = node.step(5.2, m.MessageReceived("c/1", m.AppendEntriesResponse(1, False, 0, 0)))
    assert len(sent_messages(outputs, m.SnapshotChunk)) == 1
    outputs = node.step(5.41, m.Tick())
    assert {send.to for send in sent_messages(outputs, m.AppendEntries)} == {"b/1", "c/1"}
    stored = m.PersistentState(m.Snapshot(0, 0, 0.0, m.Members(("a/1", "b/1", "c/1")), b""))
    follower = RaftNode("c/1", stored, RaftConfig(), 2, 5.0)
    heartbeat = next(send.message for send in sent_messages(outputs, m.AppendEntries) if send.to == "c/1")
    responses = sent_messages(
        follower.step(5.5, m.MessageReceived("a/1", heartbeat)), m.AppendEntriesResponse
    )
    assert follower.leader == "a/1" and not responses  # deferred until its term is durable
    (reply,) = sent_messages(
        follower.step(5.5, m.WriteCompleted(follower.outbox.last_write)), m.AppendEntriesResponse
    )
    assert reply.message == m.AppendEntriesResponse(1, False, 0, node.round)
    outputs = node.step(5.5, m.MessageReceived("c/1", m.AppendEntriesResponse(1, False, 0, 0)))
    assert node.leadership is not None
    assert node.leadership.progress.followers["c/1"].snapshot is not None  # the transfer goes on


def test_former_member_that_asks_for_votes_is_told_of_its_removal() -> None:
    # It kept itself as a voter, and its machine counted as one whose replicas are still to migrate.
    node = elected_leader(RaftConfig())
    for sender in ("b/1", "c/1"):
        node.step(5.1, m.MessageReceived(sender, m.AppendEntriesResponse(1, True, 1, node.round)))
    node.step(5.1, m.ChangeMembership(1, m.MembershipAction.REMOVE, "c/1"))
    node.step(5.1, m.WriteCompleted(node.outbox.last_write))
    node.step(5.1, m.MessageReceived("b/1", m.AppendEntriesResponse(1, True, 2, node.round)))
    assert node.members().voters == ("a/1", "b/1") and node.commit_index == 2
    assert not {send.to for send in sent_messages(node.step(5.3, m.Tick()), m.AppendEntries)} - {"b/1"}
    request = m.MessageReceived("c/1", m.VoteRequest(2, 1, 1, True, False))
    assert "c/1" in {send.to for send in sent_messages(node.step(5.4, request), m.AppendEntries)}
    outputs = node.step(5.4, m.MessageReceived("c/1", m.AppendEntriesResponse(1, False, 1, node.round)))
    (told,) = sent_messages(outputs, m.AppendEntries)
    assert isinstance(told.message, m.AppendEntries)
    assert told.message.entries[-1].members == m.Members(("a/1", "b/1"))
    node.step(5.4, m.Propose(2, b"x"))
    node.step(5.4, m.WriteCompleted(node.outbox.last_write))
    node.step(5.4, m.MessageReceived("c/1", m.AppendEntriesResponse(1, True, 3, node.round)))
    assert node.commit_index == 2  # it counts in no quorum
    assert {send.to for send in sent_messages(node.step(5.7, m.Tick()), m.AppendEntries)} == {"b/1"}


def test_removed_replica_that_is_added_again_while_it_is_told_stays_a_follower() -> None:
    node = elected_leader(RaftConfig())
    assert node.leadership is not None
    node.step(5.1, m.ChangeMembership(1, m.MembershipAction.REMOVE, "c/1"))
    node.step(5.1, m.WriteCompleted(node.outbox.last_write))
    node.step(5.1, m.MessageReceived("b/1", m.AppendEntriesResponse(1, True, 2, node.round)))
    node.step(5.2, m.MessageReceived("c/1", m.VoteRequest(2, 1, 1, True, False)))
    node.step(5.2, m.ChangeMembership(2, m.MembershipAction.ADD_LEARNER, "c/1"))
    node.step(5.3, m.MessageReceived("c/1", m.AppendEntriesResponse(1, True, 3, node.round)))
    node.step(5.5, m.Tick())
    assert node.members().learners == ("c/1",) and "c/1" in node.leadership.progress.followers
