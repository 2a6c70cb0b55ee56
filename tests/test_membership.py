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

SIZE, DELAYS = 3, ReplacementDelays(60.0, 30.0)
NAMES = [f"g{n}" for n in range(6)]
ZONES = {name: f"z{n % 3}" for n, name in enumerate(NAMES)}


def converge(
    members: m.Members, fleet: dict[str, GatewayPresence], evacuated: set[str], group: int
) -> list[m.Members]:
    """Carry out the leader's steps until there are none, and return the members after each."""
    present = {presence.replica for presence in fleet.values()}
    me = next(voter for voter in members.voters if voter in present)
    steps = [members]
    for _ in range(40):
        step = next_membership_step(group, SIZE, me, members, fleet, evacuated, DELAYS, True)
        if step is None:
            return steps
        voters = [voter for voter in members.voters if voter != step.replica]
        learners = [learner for learner in members.learners if learner != step.replica]
        match step.action:
            case m.MembershipAction.TRANSFER_LEADERSHIP:
                assert step.replica in members.voters and step.replica in present and step.replica != me
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
    fleet: dict[str, GatewayPresence], evacuated: set[str], group: int
) -> None:
    first = m.Members(tuple(f"{name}/1" for name in place_replicas(group, ZONES, SIZE)))
    present = {presence.replica for presence in fleet.values()}
    if sum(voter in present for voter in first.voters) < 2:
        return  # no leader
    steps = converge(first, fleet, evacuated, group)
    for members in steps:
        assert SIZE <= len(members.voters) <= SIZE + 1 and len(members.learners) <= 1
    last = steps[-1]
    assert len(last.voters) == SIZE and not last.learners
    available = [
        name for name, presence in fleet.items() if presence.replica is not None and name not in evacuated
    ]
    final_gateways = {m.gateway_of(voter) for voter in last.voters}
    for voter in last.voters:
        name = m.gateway_of(voter)
        presence = fleet[name]
        if len(available) >= SIZE:
            assert name not in evacuated and not (
                presence.replica is None and presence.unchanged_s > DELAYS.replace_s
            )
        assert presence.replica in (voter, None) or len(available) < SIZE
    if not evacuated and all(
        presence.replica is not None and presence.unchanged_s > DELAYS.settle_s for presence in fleet.values()
    ):
        assert final_gateways == set(place_replicas(group, ZONES, SIZE))  # the group is placed by rank


def test_lost_replica_is_replaced_before_others_move_and_only_if_one_may_be_added() -> None:
    members = m.Members(tuple(f"{name}/1" for name in place_replicas(0, ZONES, SIZE)))
    lost = m.gateway_of(members.voters[1])
    fleet = {name: GatewayPresence(ZONES[name], f"{name}/1", 100.0) for name in NAMES}
    fleet[lost] = GatewayPresence(ZONES[lost], f"{lost}/2", 0.0)
    me = members.voters[0]
    assert next_membership_step(0, SIZE, me, members, fleet, set(), DELAYS, False) is None
    assert next_membership_step(0, SIZE, me, members, fleet, set(), DELAYS, True) == MembershipStep(
        m.MembershipAction.ADD_LEARNER, f"{lost}/2"
    )
    gone = fleet | {lost: GatewayPresence(ZONES[lost], None, 1.0)}
    assert next_membership_step(0, SIZE, me, members, gone, set(), DELAYS, True) is None  # it may return
