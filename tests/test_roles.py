"""Legal transitions between the roles of a replica."""

from __future__ import annotations

import pytest

from mapleshunt.replication.roles import LEGAL_TRANSITIONS, IllegalTransitionError, Role, check_transition


@pytest.mark.parametrize("old", Role)
@pytest.mark.parametrize("new", Role)
def test_transition_is_rejected_unless_the_table_has_it(old: Role, new: Role) -> None:
    if new in LEGAL_TRANSITIONS[old]:
        check_transition(old, new)
    else:
        with pytest.raises(IllegalTransitionError, match=f"a {old} cannot become a {new}"):
            check_transition(old, new)


def test_only_a_candidate_becomes_leader_and_a_leader_only_steps_down() -> None:
    assert [old for old in Role if Role.LEADER in LEGAL_TRANSITIONS[old]] == [Role.CANDIDATE]
    assert LEGAL_TRANSITIONS[Role.LEADER] == {Role.FOLLOWER}
