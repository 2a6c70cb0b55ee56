"""Who holds a group next, pieces that are held back, and reads that share a round."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from mapleshunt.replication import messages as m
from mapleshunt.replication.config import RaftConfig
from mapleshunt.replication.membership import (
    GatewayPresence,
    MembershipStep,
    ReplacementDelays,
    next_membership_step,
)
from mapleshunt.replication.node import RaftNode
from mapleshunt.replication.placement import place_replicas
from mapleshunt.replication.roles import Role
from mapleshunt.replication.snapshot_pacer import SnapshotPacer

SIZE, PATIENCE = 3, ReplacementDelays(60.0, 30.0)
NAMES = [f"g{n}" for n in range(6)]
ZONES = {name: f"z{n % 3}" for n, name in enumerate(NAMES)}


def settle(
    members: m.Members, fleet: dict[str, GatewayPresence], away: set[str], group: int
) -> list[m.Members]:
    """Carry out what the leader does until it does nothing more, whoever that is then."""
    alive = {one.replica for one in fleet.values()}
    me = next(one for one in members.voters if one in alive)
    went = [members]
    for _ in range(40):
        step = next_membership_step(group, SIZE, me, members, fleet, away, PATIENCE, True)
        if step is None:
            return went
        voters = [one for one in members.voters if one != step.replica]
        learners = [one for one in members.learners if one != step.replica]
        match step.action:
            case m.MembershipAction.TRANSFER_LEADERSHIP:
                assert step.replica in members.voters and step.replica in alive and step.replica != me
                me = step.replica
                continue
            case m.MembershipAction.ADD_LEARNER:
                learners.append(step.replica)
            case m.MembershipAction.PROMOTE:
                voters.append(step.replica)
        assert step.replica != me
        members = m.Members(tuple(voters), tuple(learners))
        went.append(members)
    raise AssertionError("it does not come to rest")


fleets = st.fixed_dictionaries({
    name: st.builds(
        GatewayPresence, st.just(ZONES[name]), st.sampled_from([f"{name}/1", f"{name}/1", f"{name}/2", None]),
        st.sampled_from([1.0, 100.0]),
    ) for name in NAMES
})  # fmt: skip


@given(fleets, st.sets(st.sampled_from(NAMES), max_size=2), st.integers(0, 63))
def test_membership_comes_to_rest_with_none_lost_none_moved_and_never_too_few(
    fleet: dict[str, GatewayPresence], away: set[str], group: int
) -> None:
    first = m.Members(tuple(f"{name}/1" for name in place_replicas(group, ZONES, SIZE)))
    alive = {one.replica for one in fleet.values()}
    if sum(one in alive for one in first.voters) < 2:
        return  # nobody leads
    went = settle(first, fleet, away, group)
    for one in went:
        assert SIZE <= len(one.voters) <= SIZE + 1 and len(one.learners) <= 1
    last = went[-1]
    assert len(last.voters) == SIZE and not last.learners
    able = [name for name, one in fleet.items() if one.replica is not None and name not in away]
    kept = {m.gateway_of(one) for one in last.voters}
    for voter in last.voters:
        name = m.gateway_of(voter)
        seen = fleet[name]
        if len(able) >= SIZE:
            assert name not in away and not (seen.replica is None and seen.unchanged_s > PATIENCE.replace_s)
        assert seen.replica in (voter, None) or len(able) < SIZE
    if not away and all(
        one.replica is not None and one.unchanged_s > PATIENCE.settle_s for one in fleet.values()
    ):
        assert kept == set(place_replicas(group, ZONES, SIZE))  # all is well: each is in its place


def test_a_copy_that_may_not_begin_waits_and_one_that_was_lost_goes_before_one_out_of_place() -> None:
    members = m.Members(tuple(f"{name}/1" for name in place_replicas(0, ZONES, SIZE)))
    lost = m.gateway_of(members.voters[1])
    fleet = {name: GatewayPresence(ZONES[name], f"{name}/1", 100.0) for name in NAMES}
    fleet[lost] = GatewayPresence(ZONES[lost], f"{lost}/2", 0.0)
    me = members.voters[0]
    assert next_membership_step(0, SIZE, me, members, fleet, set(), PATIENCE, False) is None
    assert next_membership_step(0, SIZE, me, members, fleet, set(), PATIENCE, True) == MembershipStep(
        m.MembershipAction.ADD_LEARNER, f"{lost}/2"
    )
    gone = fleet | {lost: GatewayPresence(ZONES[lost], None, 1.0)}
    assert next_membership_step(0, SIZE, me, members, gone, set(), PATIENCE, True) is None  # it may be back


def test_pieces_go_as_fast_as_they_may_and_the_latest_of_each() -> None:
    pace: SnapshotPacer[str, int] = SnapshotPacer(rate=1000.0, burst=500.0, now=0.0)
    for number in range(20):
        pace.offer(f"to {number}", 250, number)
    pace.offer("to 19", 250, 99)
    went = [(key, at / 10) for at in range(100) for key, _ in pace.take_ready(at / 10)]
    assert [key for key, _ in went] == [f"to {n}" for n in range(20)]  # none is passed over
    last = went[-1][1]
    assert 4.0 <= last <= 5.0 and pace.delay_s() is None  # 5000 bytes, 500 at once
    pace.offer("a", 100, 1)
    pace.discard("a")
    assert pace.take_ready(20.0) == []


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


def test_reads_that_come_while_a_round_is_out_share_the_next() -> None:
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


def test_one_that_is_sent_a_snapshot_hears_heartbeats_while_its_pieces_are_held_back() -> None:
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
    told = sent(other.step(5.5, m.MessageReceived("a/1", beat)), m.AppendEntriesResponse)
    assert other.leader == "a/1" and not told  # held until its term is written
    (reply,) = sent(other.step(5.5, m.WriteCompleted(other.outbox.last_write)), m.AppendEntriesResponse)
    assert reply.message == m.AppendEntriesResponse(1, False, 0, node.round)
    out = node.step(5.5, m.MessageReceived("c/1", m.AppendEntriesResponse(1, False, 0, 0)))
    assert node.leadership is not None
    assert node.leadership.progress.followers["c/1"].snapshot is not None  # it goes on
