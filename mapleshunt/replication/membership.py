"""Which replicas a group should have, and the leader's next step towards them. Pure.

One change is made at a time, and a successor joins before a replica is removed. A replica is moved when its
disk was lost (its gateway is present as another incarnation), when its gateway has been absent for too long
or is to be evacuated, or when a gateway that ranks higher for the group (`placement.rank_gateways`) has been
present for long enough. A move by rank waits until no replica is lost: lost replicas are replaced first.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from .messages import Members, MembershipAction, Replica, gateway_of
from .placement import rank_gateways


@dataclass(slots=True, frozen=True)
class GatewayPresence:
    """A gateway as the leader sees it: the replica that it would host, None while it is absent."""

    zone: str
    replica: Replica | None
    unchanged_s: float  # time since it connected or was lost


@dataclass(slots=True, frozen=True)
class ReplacementDelays:
    """Delays before replicas are moved."""

    replace_s: float  # a gateway that is absent for longer is replaced
    settle_s: float  # a gateway that is present for longer may hold a group by rank


@dataclass(slots=True, frozen=True)
class MembershipStep:
    """The leader's next action on one replica."""

    action: MembershipAction
    replica: Replica


def next_membership_step(
    group: int, size: int, me: Replica, members: Members, fleet: Mapping[str, GatewayPresence],
    evacuated: Collection[str], delays: ReplacementDelays, may_add: bool,
) -> MembershipStep | None:  # fmt: skip
    """Return the next step of the leader `me`, if any; `may_add`: another replica may be sent a snapshot."""
    wanted = _wanted_voters(group, size, members, fleet, evacuated, delays)
    if wanted is None:
        return None
    extra = [replica for replica in members.all() if replica not in wanted]
    removable = [replica for replica in extra if replica != me]
    if removable and len(members.voters) > size:  # extra voters may enlarge the quorum
        return MembershipStep(MembershipAction.REMOVE, removable[0])
    for replica in wanted:
        if replica not in members.all():
            return MembershipStep(MembershipAction.ADD_LEARNER, replica) if may_add else None
        if replica in members.learners:
            return MembershipStep(MembershipAction.PROMOTE, replica)  # rejected until it has caught up
    if removable:
        return MembershipStep(MembershipAction.REMOVE, removable[0])
    return _hand_over(members, fleet, wanted) if extra else None


def _hand_over(
    members: Members, fleet: Mapping[str, GatewayPresence], wanted: Sequence[Replica]
) -> MembershipStep | None:
    """Return the transfer of leadership to another voter: a leader cannot remove itself."""
    for replica in wanted:
        if replica in members.voters and _is_present(replica, fleet):
            return MembershipStep(MembershipAction.TRANSFER_LEADERSHIP, replica)
    return None


def _is_present(replica: Replica, fleet: Mapping[str, GatewayPresence]) -> bool:
    presence = fleet.get(gateway_of(replica))
    return presence is not None and presence.replica == replica


def _wanted_voters(
    group: int, size: int, members: Members, fleet: Mapping[str, GatewayPresence],
    evacuated: Collection[str], delays: ReplacementDelays,
) -> Sequence[Replica] | None:  # fmt: skip
    """Return the voters that the group should have; None: wait."""
    present = {
        name: presence.replica
        for name, presence in fleet.items()
        if presence.replica is not None and name not in evacuated
    }
    staying, leaving, successors = _sort_voters(members, fleet, evacuated, delays)
    learners = [replica for replica in members.learners if present.get(gateway_of(replica)) == replica]
    if not leaving and len(staying) >= size:
        return _wanted_by_rank(group, size, staying, learners, present, fleet, delays)
    # Present learners take precedence over gateways that hold nothing of the group.
    occupied = {gateway_of(replica) for replica in members.all()}
    ranked = rank_gateways(group, {name: fleet[name].zone for name in present})
    successors += [*learners, *(present[name] for name in ranked if name not in occupied)]
    wanted = list(dict.fromkeys([*staying, *successors]))[: max(size, len(staying))]
    return wanted + leaving[: max(0, size - len(wanted))]  # these are better than too few


def _sort_voters(
    members: Members, fleet: Mapping[str, GatewayPresence], evacuated: Collection[str],
    delays: ReplacementDelays,
) -> tuple[list[Replica], list[Replica], list[Replica]]:  # fmt: skip
    """Return voters that stay, voters that leave, and the new incarnations that replace lost ones."""
    staying: list[Replica] = []
    leaving: list[Replica] = []
    successors: list[Replica] = []
    for voter in members.voters:
        gateway = gateway_of(voter)
        presence = fleet.get(gateway, GatewayPresence("", None, float("inf")))
        is_lost = presence.replica is None and presence.unchanged_s > delays.replace_s
        if gateway in evacuated or is_lost:
            leaving.append(voter)
        elif presence.replica is not None and presence.replica != voter:
            leaving.append(voter)
            successors.append(presence.replica)
        else:
            staying.append(voter)
    return staying, leaving, successors


def _wanted_by_rank(
    group: int, size: int, staying: Sequence[Replica], learners: Sequence[Replica],
    present: Mapping[str, Replica], fleet: Mapping[str, GatewayPresence], delays: ReplacementDelays,
) -> Sequence[Replica] | None:  # fmt: skip
    """Return the voters by rank, as no replica is lost; a gateway new to the group needs `settle_s`."""
    candidates = {
        gateway_of(replica): replica for replica in staying if present.get(gateway_of(replica)) == replica
    }
    if len(candidates) < size:
        return None  # an absent gateway may return at any moment
    candidates |= {gateway_of(replica): replica for replica in learners}
    candidates |= {
        name: replica for name, replica in present.items() if fleet[name].unchanged_s > delays.settle_s
    }
    ranked = rank_gateways(group, {name: fleet[name].zone for name in candidates})
    return [candidates[name] for name in ranked[:size]]
