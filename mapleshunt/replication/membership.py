"""Who is to hold a group next: what its leader does about copies that are lost, moved or out of place. Pure.

One change at a time, and a successor in before whoever leaves is out. Three things move a copy: its disk was
lost (its gateway is there as another incarnation), its gateway has been gone for long or is to be emptied, or
a gateway that is earlier in the group's order (`placement.rank`) has been there for long. The last alone
waits until nothing else is wrong: what is lost is made whole before what is out of place goes home.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from .messages import Copy, Members, gateway_of
from .placement import rank


@dataclass(slots=True, frozen=True)
class Seen:
    """A gateway as the leader sees it: the copy it would be, None while it is gone; for how long, s."""

    zone: str
    copy: Copy | None
    since: float


@dataclass(slots=True, frozen=True)
class Patience:
    """s: gone for longer is replaced; here for longer may take what its place in the order gives it."""

    replace: float
    settle: float


@dataclass(slots=True, frozen=True)
class Step:
    """`how`: learner, voter or out, as in `messages.Change`, or transfer: lead no more, `copy` does."""

    how: str
    copy: Copy


def next_step(
    group: int, size: int, me: Copy, members: Members, fleet: Mapping[str, Seen], away: Collection[str],
    patience: Patience, may_begin: bool,
) -> Step | None:  # fmt: skip
    """What the leader `me` does next, if anything. `may_begin`: another copy may be sent all there is."""
    wanted = _wanted(group, size, members, fleet, away, patience)
    if wanted is None:
        return None
    extra = [one for one in members.all() if one not in wanted]
    others = [one for one in extra if one != me]
    if others and len(members.voters) > size:  # each voter more takes one more to agree
        return Step("out", others[0])
    for copy in wanted:
        if copy not in members.all():
            return Step("learner", copy) if may_begin else None
        if copy in members.learners:
            return Step("voter", copy)  # refused until it has caught up
    if others:
        return Step("out", others[0])
    here = [one for one in wanted if one in members.voters and _is_here(one, fleet)]
    return Step("transfer", here[0]) if extra and here else None  # whoever leads cannot take itself out


def _is_here(copy: Copy, fleet: Mapping[str, Seen]) -> bool:
    return (seen := fleet.get(gateway_of(copy))) is not None and seen.copy == copy


def _wanted(
    group: int, size: int, members: Members, fleet: Mapping[str, Seen], away: Collection[str],
    patience: Patience,
) -> Sequence[Copy] | None:  # fmt: skip
    """The voters there should be; None: wait."""
    stay: list[Copy] = []
    leaving: list[Copy] = []
    successors: list[Copy] = []  # of those that leave, the best first
    here = {name: one.copy for name, one in fleet.items() if one.copy is not None and name not in away}
    for voter in members.voters:
        gateway = gateway_of(voter)
        seen = fleet.get(gateway, Seen("", None, float("inf")))
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
    spare = rank(group, {name: fleet[name].zone for name in here})
    successors += [*learners, *(here[one] for one in spare if one not in held)]
    wanted = list(dict.fromkeys([*stay, *successors]))[: max(size, len(stay))]
    return wanted + leaving[: max(0, size - len(wanted))]  # better those than too few


def _settled(
    group: int, size: int, stay: Sequence[Copy], learners: Sequence[Copy], here: Mapping[str, Copy],
    fleet: Mapping[str, Seen], patience: Patience,
) -> Sequence[Copy] | None:  # fmt: skip
    """Nothing is lost: the first in the group's order of those that hold it or have been here for long."""
    there = {gateway_of(one): one for one in stay if here.get(gateway_of(one)) == one}
    if len(there) < size:
        return None  # one may be back at any moment
    fit = there | {gateway_of(one): one for one in learners}
    fit |= {name: copy for name, copy in here.items() if fleet[name].since > patience.settle}
    return [fit[name] for name in rank(group, {name: fleet[name].zone for name in fit})[:size]]
