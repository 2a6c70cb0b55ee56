"""Which replicas a group should have, and the steps towards them."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from mapleshunt.replication import messages as m
from mapleshunt.replication.membership import (
    GatewayPresence,
    MembershipStep,
    ReplacementDelays,
    next_membership_step,
)
from mapleshunt.replication.placement import place_replicas

SIZE, PATIENCE = 3, ReplacementDelays(60.0, 30.0)
NAMES = [f"g{n}" for n in range(6)]
ZONES = {name: f"z{n % 3}" for n, name in enumerate(NAMES)}


def converge(
    members: m.Members, fleet: dict[str, GatewayPresence], away: set[str], group: int
) -> list[m.Members]:
    """Carry out what the leader does until it does nothing more; the leader may change."""
    alive = {one.replica for one in fleet.values()}
    me = next(one for one in members.voters if one in alive)
    steps = [members]
    for _ in range(40):
        step = next_membership_step(group, SIZE, me, members, fleet, away, PATIENCE, True)
        if step is None:
            return steps
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
        steps.append(members)
    raise AssertionError("membership does not converge")


fleets = st.fixed_dictionaries({
    name: st.builds(
        GatewayPresence, st.just(ZONES[name]), st.sampled_from([f"{name}/1", f"{name}/1", f"{name}/2", None]),
        st.sampled_from([1.0, 100.0]),
    ) for name in NAMES
})  # fmt: skip


@given(fleets, st.sets(st.sampled_from(NAMES), max_size=2), st.integers(0, 63))
def test_membership_converges_without_lost_or_needless_moves_and_never_below_size(
    fleet: dict[str, GatewayPresence], away: set[str], group: int
) -> None:
    first = m.Members(tuple(f"{name}/1" for name in place_replicas(group, ZONES, SIZE)))
    alive = {one.replica for one in fleet.values()}
    if sum(one in alive for one in first.voters) < 2:
        return  # nobody leads
    steps = converge(first, fleet, away, group)
    for one in steps:
        assert SIZE <= len(one.voters) <= SIZE + 1 and len(one.learners) <= 1
    last = steps[-1]
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


def test_lost_replica_is_replaced_before_others_move_and_only_if_one_may_be_added() -> None:
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
