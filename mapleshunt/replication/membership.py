"""Who is to hold a group next: what its leader does about copies that are lost, moved or out of place. Pure.

One change at a time, and a successor in before whoever leaves is out. Three things move a copy: its disk was
lost (its gateway is there as another incarnation), its gateway has been gone for long or is to be emptied, or
a gateway that is earlier in the group's order (`placement.rank`) has been there for long. The last alone
waits until nothing else is wrong: what is lost is made whole before what is out of place goes home.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from .messages import Members, Replica, gateway_of
from .placement import rank_gateways


@dataclass(slots=True, frozen=True)
class GatewayPresence:
    """A gateway as the leader sees it: the copy it would be, None while it is gone; for how long, s."""

    zone: str
    copy: Replica | None
    since: float


@dataclass(slots=True, frozen=True)
class ReplacementDelays:
    """s: gone for longer is replaced; here for longer may take what its place in the order gives it."""

    replace: float
    settle: float


@dataclass(slots=True, frozen=True)
class MembershipStep:
    """`how`: learner, voter or out, as in `messages.Change`, or transfer: lead no more, `copy` does."""

    how: str
    copy: Replica


def next_membership_step(
    group: int, size: int, me: Replica, members: Members, fleet: Mapping[str, GatewayPresence],
    away: Collection[str], patience: ReplacementDelays, may_begin: bool,
) -> MembershipStep | None:  # fmt: skip
    """What the leader `me` does next, if anything. `may_begin`: another copy may be sent all there is."""
    wanted = _wanted(group, size, members, fleet, away, patience)
    if wanted is None:
        return None
    extra = [one for one in members.all() if one not in wanted]
    others = [one for one in extra if one != me]
    if others and len(members.voters) > size:  # each voter more takes one more to agree
        return MembershipStep("out", others[0])
    for copy in wanted:
        if copy not in members.all():
            return MembershipStep("learner", copy) if may_begin else None
        if copy in members.learners:
            return MembershipStep("voter", copy)  # refused until it has caught up
    if others:
        return MembershipStep("out", others[0])
    here = [one for one in wanted if one in members.voters and _is_here(one, fleet)]
    # Whoever leads cannot take itself out.
    return MembershipStep("transfer", here[0]) if extra and here else None


def _is_here(copy: Replica, fleet: Mapping[str, GatewayPresence]) -> bool:
    return (seen := fleet.get(gateway_of(copy))) is not None and seen.copy == copy


def _wanted(
    group: int, size: int, members: Members, fleet: Mapping[str, GatewayPresence], away: Collection[str],
    patience: ReplacementDelays,
) -> Sequence[Replica] | None:  # fmt: skip
    """The voters there should be; None: wait."""
    stay: list[Replica] = []
    leaving: list[Replica] = []
    successors: list[Replica] = []  # of those that leave, the best first
    here = {name: one.copy for name, one in fleet.items() if one.copy is not None and name not in away}
    for voter in members.voters:
        gateway = gateway_of(voter)
        seen = fleet.get(gateway, GatewayPresence("", None, float("inf")))
        if gateway in away or (seen.copy is None and seen.since > patience.replace):
            leaving.append(voter)
        elif seen.copy is not None and seen.copy != voter:
            leaving.append(voter)
            successors.append(seen.copy)
        else:
            stay.append(voter)
    learners = [one for one in members.learners if here.get(gateway_of(one)) == one]
    if not leaving and len(stay) >= size:
        return _settled(group, size, stay, learners, here, fleet, patience)
    # Learners that are here go before gateways that would begin anew.
    held = {gateway_of(one) for one in members.all()}
    spare = rank_gateways(group, {name: fleet[name].zone for name in here})
    successors += [*learners, *(here[one] for one in spare if one not in held)]
    wanted = list(dict.fromkeys([*stay, *successors]))[: max(size, len(stay))]
    return wanted + leaving[: max(0, size - len(wanted))]  # better those than too few


def _settled(
    group: int, size: int, stay: Sequence[Replica], learners: Sequence[Replica], here: Mapping[str, Replica],
    fleet: Mapping[str, GatewayPresence], patience: ReplacementDelays,
) -> Sequence[Replica] | None:  # fmt: skip
    """Nothing is lost: the first in the group's order of those that hold it or have been here for long."""
    there = {gateway_of(one): one for one in stay if here.get(gateway_of(one)) == one}
    if len(there) < size:
        return None  # one may be back at any moment
    fit = there | {gateway_of(one): one for one in learners}
    fit |= {name: copy for name, copy in here.items() if fleet[name].since > patience.settle}
    return [fit[name] for name in rank_gateways(group, {name: fleet[name].zone for name in fit})[:size]]
