"""The step function of a replica: elections, commits, the log's time, and disks that complete no write."""

from __future__ import annotations

import pytest

from mapleshunt.replication import messages as m
from mapleshunt.replication.config import RaftConfig
from mapleshunt.replication.node import RaftNode
from mapleshunt.replication.roles import Role
from mapleshunt.simulation.replication_planted_faults import FAULTY_NODES


def commits_of_an_older_term(node_type: type[RaftNode]) -> list[bytes]:
    """Return what the first replica applies once its entry of term 2 is on three of five replicas.

    As in figure 3.7 of the thesis (figure 8 of the paper), a leader of term 3 could still replace the entry.
    """
    names = tuple(f"{name}/1" for name in "abcde")
    first = m.Snapshot(0, 0, 0.0, m.Members(names), b"")
    mine = m.Entry(1, 2, 0.0, b"of term 2")
    leader = node_type("a/1", m.PersistentState(first, 3, "", (mine,)), RaftConfig(max_batch_bytes=1), 1, 0.0)
    done = complete_writes(leader, 5.0, leader.step(5.0, m.Tick()))
    for name in names[1:3]:
        done += complete_writes(
            leader, 5.0, leader.step(5.0, m.MessageReceived(name, m.VoteResponse(4, True, True)))
        )
    for name in names[1:3]:
        done += complete_writes(
            leader, 5.0, leader.step(5.0, m.MessageReceived(name, m.VoteResponse(4, True, False)))
        )
    assert leader.role is Role.LEADER and leader.term == 4
    for name in names[1:3]:  # they have the older entry, but not yet that of this term
        done += leader.step(5.1, m.MessageReceived(name, m.AppendEntriesResponse(4, True, 1, 1)))
    return [output.entry.data for output in done if isinstance(output, m.Apply)]


def test_entry_of_an_older_term_is_not_committed_by_count() -> None:
    assert commits_of_an_older_term(RaftNode) == []
    assert commits_of_an_older_term(FAULTY_NODES["OlderTermByCount"]) == [b"of term 2"]


def single_replica() -> RaftNode:
    stored = m.PersistentState(m.Snapshot(0, 0, 0.0, m.Members(("a/1",)), b""))
    return RaftNode("a/1", stored, RaftConfig(), 1, 0.0)


def complete_writes(node: RaftNode, now: float, outputs: list[m.Output]) -> list[m.Output]:
    """Complete the writes, also those that follow from them, and return all outputs."""
    done = list(outputs)
    while writes := [output for output in outputs if isinstance(output, m.Write)]:
        outputs = node.step(now, m.WriteCompleted(writes[-1].number))
        done += outputs
    return done


def test_single_replica_applies_a_proposal_once_it_is_durable() -> None:
    node = single_replica()
    complete_writes(node, 5.0, node.step(5.0, m.Tick()))
    assert node.role is Role.LEADER
    outputs = node.step(5.1, m.Propose(7, b"x"))
    assert not [output for output in outputs if isinstance(output, m.Apply)]  # not before it is durable
    applied = [output for output in complete_writes(node, 5.2, outputs) if isinstance(output, m.Apply)]
    assert [(apply.entry.data, apply.request_id) for apply in applied] == [(b"x", 7)]
    assert m.RequestResult(8, m.RequestOutcome.READ_READY, node.commit_index) in node.step(
        5.3, m.ReadRequest(8)
    )


def test_log_time_neither_goes_back_nor_runs_ahead_of_elapsed_time() -> None:
    node = single_replica()
    complete_writes(node, 5.0, node.step(5.0, m.Tick()))
    stamps = []
    for now in (6.0, 6.5, 9.0):
        complete_writes(node, now, node.step(now, m.Propose(1, b"x")))
        stamps.append(node.log.last_stamp())
    assert stamps == pytest.approx([1000.0, 1500.0, 4000.0])
    restarted = RaftNode(
        "a/1",
        m.PersistentState(node.log.snapshot, node.term, node.election.voted_for, tuple(node.log.entries)),
        RaftConfig(),
        1,
        500.0,
    )
    complete_writes(restarted, 505.0, restarted.step(505.0, m.Tick()))
    complete_writes(restarted, 505.5, restarted.step(505.5, m.Propose(1, b"x")))
    assert restarted.log.last_stamp() == pytest.approx(4500.0)  # it did not advance without a leader


def test_leader_transfers_leadership_while_its_disk_completes_no_write() -> None:
    """`TimeoutNow` waited for writes that never completed, so no other replica led for 20 s."""
    names = ("a/1", "b/1", "c/1")
    node = RaftNode(
        "a/1", m.PersistentState(m.Snapshot(0, 0, 0.0, m.Members(names), b"")), RaftConfig(), 1, 0.0
    )
    complete_writes(node, 5.0, node.step(5.0, m.Tick()))
    complete_writes(node, 5.0, node.step(5.0, m.MessageReceived("b/1", m.VoteResponse(1, True, True))))
    complete_writes(node, 5.0, node.step(5.0, m.MessageReceived("b/1", m.VoteResponse(1, True, False))))
    assert node.role is Role.LEADER
    node.step(5.1, m.Propose(1, b"x"))  # not written
    node.step(5.2, m.MessageReceived("b/1", m.AppendEntriesResponse(1, True, 2, 1)))
    assert m.Send("b/1", m.TimeoutNow(1)) in node.step(5.3, m.TransferLeadership())


def test_candidate_does_not_lead_before_its_own_vote_is_durable() -> None:
    """Three of the four others vote.

    If it led before its own vote was durable, late votes could elect it for that term again after a kill,
    with another entry at the same index.
    """
    names = tuple(f"{name}/1" for name in "abcde")
    node = RaftNode(
        "a/1", m.PersistentState(m.Snapshot(0, 0, 0.0, m.Members(names), b"")), RaftConfig(), 1, 0.0
    )
    node.step(5.0, m.Tick())
    for pre_vote in True, False:
        for name in names[1:4]:
            node.step(5.0, m.MessageReceived(name, m.VoteResponse(1, True, pre_vote)))
    assert (node.role, node.term) == (Role.CANDIDATE, 1)
    node.step(5.1, m.WriteCompleted(node.outbox.last_write))
    assert node.role is Role.LEADER


def test_replica_without_members_does_not_campaign() -> None:
    node = RaftNode("b/2", m.PersistentState(m.Snapshot(0, 0, 0.0, m.Members(()), b"")), RaftConfig(), 1, 0.0)
    assert node.step(100.0, m.Tick()) == [] and node.role == "follower" and node.term == 0


def test_responses_deferred_for_a_stalled_disk_stay_bounded() -> None:
    """A follower whose writes fail for an hour receives five heartbeats per second in each group."""
    stored = m.PersistentState(m.Snapshot(0, 0, 0.0, m.Members(("a/1", "b/1", "c/1")), b""))
    node = RaftNode("a/1", stored, RaftConfig(), 1, 0.0)
    entry = m.Entry(1, 1, 0.0, b"x")
    node.step(0.0, m.MessageReceived("b/1", m.AppendEntries(1, 0, 0, (entry,), 0, 1)))
    rounds = 18_000
    for number in range(rounds):
        node.step(0.2 * number, m.MessageReceived("b/1", m.AppendEntries(1, 1, 1, (), 0, number)))
    assert len(node.outbox.deferred) < 10
    completed = m.WriteCompleted(node.outbox.last_write)
    outputs = complete_writes(node, 4000.0, node.step(4000.0, completed))
    sent = [output.message for output in outputs if isinstance(output, m.Send)]
    assert m.AppendEntriesResponse(1, True, 1, rounds - 1) in sent


def test_vote_requests_deferred_for_a_stalled_disk_stay_bounded() -> None:
    stored = m.PersistentState(m.Snapshot(0, 0, 0.0, m.Members(("a/1", "b/1", "c/1")), b""))
    node = RaftNode("a/1", stored, RaftConfig(), 1, 0.0)
    for number in range(5000):
        outputs = node.step(2.0 * number, m.Tick())
        requests = [
            output.message
            for output in outputs
            if isinstance(output, m.Send) and isinstance(output.message, m.VoteRequest)
        ]
        for request in requests:  # the others have no leader either
            node.step(
                2.0 * number, m.MessageReceived("b/1", m.VoteResponse(request.term, True, request.pre_vote))
            )
    assert len(node.outbox.deferred) < 10
