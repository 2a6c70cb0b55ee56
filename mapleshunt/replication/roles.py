"""Roles of a replica and the transitions between them that Raft allows (thesis, figure 3.3, and pre-vote)."""

from __future__ import annotations

import enum


class Role(enum.StrEnum):
    """What a replica does in its term. The values appear in log lines and in the operators' status."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "precandidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RoleChangeReason(enum.StrEnum):
    """Why a replica changed its role or its leader. The values appear in log lines as `why`."""

    ELECTION_TIMEOUT = "timeout"
    LEADERSHIP_TRANSFER = "told"
    ELECTED = "elected"
    HIGHER_TERM = "term"
    LEADER_CONTACT = "heard"
    QUORUM_LOST = "no quorum"
    REMOVED = "removed"


# A follower that changes its leader and a pre-candidate that repeats its pre-vote keep their role.
LEGAL_TRANSITIONS: dict[Role, frozenset[Role]] = {
    Role.FOLLOWER: frozenset({Role.FOLLOWER, Role.PRE_CANDIDATE, Role.CANDIDATE}),
    Role.PRE_CANDIDATE: frozenset({Role.PRE_CANDIDATE, Role.CANDIDATE, Role.FOLLOWER}),
    Role.CANDIDATE: frozenset({Role.LEADER, Role.PRE_CANDIDATE, Role.FOLLOWER}),
    Role.LEADER: frozenset({Role.FOLLOWER}),
}


class IllegalTransitionError(Exception):
    """A change of role that `LEGAL_TRANSITIONS` does not allow: a defect."""


def check_transition(old: Role, new: Role) -> None:
    """Raise `IllegalTransitionError` unless `new` may follow `old`."""
    if new not in LEGAL_TRANSITIONS[old]:
        raise IllegalTransitionError(f"a {old} cannot become a {new}")
