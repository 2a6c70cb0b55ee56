"""Membership changes by one replica at a time (thesis, 4.1, and its correction of 2015)."""

from __future__ import annotations

from .messages import ChangeMembership, Members, MembershipAction


def changed_members(members: Members, change: ChangeMembership) -> Members:
    """Return the members after a change."""
    voters = [voter for voter in members.voters if voter != change.replica]
    learners = [learner for learner in members.learners if learner != change.replica]
    match change.action:
        case MembershipAction.PROMOTE:
            voters.append(change.replica)
        case MembershipAction.ADD_LEARNER:
            learners.append(change.replica)
        case MembershipAction.REMOVE | MembershipAction.TRANSFER_LEADERSHIP:
            pass
    return Members(tuple(voters), tuple(learners))


def is_possible(members: Members, change: ChangeMembership, leader: str, caught_up: bool) -> bool:
    """Return whether a change is valid for these members; `caught_up`: whether the replica's log is."""
    match change.action:
        case MembershipAction.ADD_LEARNER:
            return change.replica not in members.all()
        case MembershipAction.PROMOTE:
            return change.replica in members.learners and caught_up
        case MembershipAction.REMOVE:
            # A leader that removed itself could be the only replica with that entry, and would not campaign.
            return change.replica in members.all() and change.replica != leader
        case MembershipAction.TRANSFER_LEADERSHIP:
            return False
