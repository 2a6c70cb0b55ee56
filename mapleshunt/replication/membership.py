"""Which replicas a group should have, and the leader's next step towards them. Pure.

One change is made at a time, and a successor joins before a replica is removed. A replica is moved when its
disk was lost (its gateway is present as another incarnation), when its gateway has been absent for long or is
to be evacuated, or when a gateway that ranks earlier for the group (`placement.rank_gateways`) has been
present for long. The last waits until nothing else is wrong: lost replicas are replaced before any moves
home.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from .messages import Members, MembershipAction, Replica, gateway_of
from .placement import rank_gateways


@dataclass(slots=True, frozen=True)
class GatewayPresence:
    """A gateway as the leader sees it: the replica it would hold, None while it is absent."""

    zone: str
    replica: Replica | None
    unchanged_s: float  # since it came, or was lost


@dataclass(slots=True, frozen=True)
class ReplacementDelays:
    """How long to wait before replicas are moved."""

    replace_s: float  # a gateway that is absent for longer is replaced
    settle_s: float  # a gateway that is present for longer may take its place by rank


@dataclass(slots=True, frozen=True)
class MembershipStep:
    """What the leader is to do next about one replica."""

    action: MembershipAction
    replica: Replica


def next_membership_step(
    group: int, size: int, me: Replica, members: Members, fleet: Mapping[str, GatewayPresence],
    evacuated: Collection[str], delays: ReplacementDelays, may_add: bool,
) -> MembershipStep | None:  # fmt: skip
    """What the leader `me` does next, if anything; `may_add`: another replica may be sent a snapshot."""
    wanted = _wanted_voters(group, size, members, fleet, evacuated, delays)
    if wanted is None:
        return None
    extra = [replica for replica in members.all() if replica not in wanted]
    removable = [replica for replica in extra if replica != me]
    if removable and len(members.voters) > size:  # each voter more needs one more to agree
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
    """Only the leader itself is to be removed, which it cannot do: another voter has to lead."""
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
    """The voters there should be; None: wait."""
    present = {
        name: presence.replica
        for name, presence in fleet.items()
        if presence.replica is not None and name not in evacuated
    }
    staying, leaving, successors = _sort_voters(members, fleet, evacuated, delays)
    learners = [replica for replica in members.learners if present.get(gateway_of(replica)) == replica]
    if not leaving and len(staying) >= size:
        return _wanted_by_rank(group, size, staying, learners, present, fleet, delays)
    # Learners that are present go before gateways that would begin anew.
    occupied = {gateway_of(replica) for replica in members.all()}
    ranked = rank_gateways(group, {name: fleet[name].zone for name in present})
    successors += [*learners, *(present[name] for name in ranked if name not in occupied)]
    wanted = list(dict.fromkeys([*staying, *successors]))[: max(size, len(staying))]
    return wanted + leaving[: max(0, size - len(wanted))]  # better those than too few


def _sort_voters(
    members: Members, fleet: Mapping[str, GatewayPresence], evacuated: Collection[str],
    delays: ReplacementDelays,
) -> tuple[list[Replica], list[Replica], list[Replica]]:  # fmt: skip
    """Voters that stay, voters that leave, and new incarnations in the place of lost ones."""
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
    """No replica is lost: the first by rank of those that hold the group or were present for long."""
    candidates = {
        gateway_of(replica): replica for replica in staying if present.get(gateway_of(replica)) == replica
    }
    if len(candidates) < size:
        return None  # an absent one may be back at any moment
    candidates |= {gateway_of(replica): replica for replica in learners}
    candidates |= {
        name: replica for name, replica in present.items() if fleet[name].unchanged_s > delays.settle_s
    }
    ranked = rank_gateways(group, {name: fleet[name].zone for name in candidates})
    return [candidates[name] for name in ranked[:size]]
