"""Roles of a replica and the transitions between them that Raft allows (thesis, figure 3.3, and pre-vote)."""

from __future__ import annotations

import enum


class Role(enum.StrEnum):
    """What a replica does in its term. The values stand in log lines and in the operators' status."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "precandidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RoleChangeReason(enum.StrEnum):
    """Why a replica changed its role or its leader. The values stand in log lines as `why`."""

    ELECTION_TIMEOUT = "timeout"
    LEADERSHIP_TRANSFER = "told"
    ELECTED = "elected"
    HIGHER_TERM = "term"
    LEADER_HEARD = "heard"
    QUORUM_LOST = "no quorum"
    REMOVED = "removed"


# A follower that follows another leader and a pre-candidate that asks again stay what they are.
LEGAL_TRANSITIONS: dict[Role, frozenset[Role]] = {
    Role.FOLLOWER: frozenset({Role.FOLLOWER, Role.PRE_CANDIDATE, Role.CANDIDATE}),
    Role.PRE_CANDIDATE: frozenset({Role.PRE_CANDIDATE, Role.CANDIDATE, Role.FOLLOWER}),
    Role.CANDIDATE: frozenset({Role.LEADER, Role.PRE_CANDIDATE, Role.FOLLOWER}),
    Role.LEADER: frozenset({Role.FOLLOWER}),
}


class IllegalTransitionError(Exception):
    """A replica was to take a role that does not follow from the one that it has: a defect."""


def check_transition(old: Role, new: Role) -> None:
    """Raise `IllegalTransitionError` unless `new` may follow `old`."""
    if new not in LEGAL_TRANSITIONS[old]:
        raise IllegalTransitionError(f"a {old} cannot become a {new}")
