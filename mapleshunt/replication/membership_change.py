"""Changes of a group's members by one replica at a time (thesis, 4.1, and its correction of 2015)."""

from __future__ import annotations

from .messages import ChangeMembership, Members, MembershipAction


def changed_members(members: Members, change: ChangeMembership) -> Members:
    """The members after a change."""
    voters = [one for one in members.voters if one != change.replica]
    learners = [one for one in members.learners if one != change.replica]
    match change.action:
        case MembershipAction.PROMOTE:
            voters.append(change.replica)
        case MembershipAction.ADD_LEARNER:
            learners.append(change.replica)
        case MembershipAction.REMOVE | MembershipAction.TRANSFER_LEADERSHIP:
            pass
    return Members(tuple(voters), tuple(learners))


def is_possible(members: Members, change: ChangeMembership, leader: str, caught_up: bool) -> bool:
    """Whether a change makes sense for these members; `caught_up` is whether the replica's log is."""
    match change.action:
        case MembershipAction.ADD_LEARNER:
            return change.replica not in members.all()
        case MembershipAction.PROMOTE:
            return change.replica in members.learners and caught_up
        case MembershipAction.REMOVE:
            # A leader that removed itself would hold an entry that nobody else may have, and not campaign.
            return change.replica in members.all() and change.replica != leader
        case MembershipAction.TRANSFER_LEADERSHIP:
            return False
