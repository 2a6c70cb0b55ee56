"""The lifecycle that SIGTERM, the admin endpoint and maintenance share, compared with a model."""

from __future__ import annotations

import math

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from mapleshunt.lifecycle.lifecycle import (
    DRAIN_GRACE_S,
    END_AT_REST_AFTER_S,
    END_AT_REST_BEFORE_KILL_S,
    FORCE_END_AFTER_S,
    FORCE_END_BEFORE_KILL_S,
    KILL_DELAY_S,
    KILL_MAX_DEADLINE_S,
    LAST_RESPONSE_MARGIN_S,
    LEGAL_TRANSITIONS,
    REJECT_FURTHER_AFTER_S,
    DrainRequester,
    DrainStage,
    Lifecycle,
    State,
)


class LifecycleMachine(RuleBasedStateMachine):
    """The lifecycle beside a model that derives the state from the history of transitions."""

    def __init__(self) -> None:
        super().__init__()
        self.lifecycle, self.now = Lifecycle(), 0.0
        self.history: list[tuple[str, float, bool]] = []
        self.requesters: set[DrainRequester] = set()
        self.longest_deadline_s = 2.0

    @initialize(longest_deadline_s=st.sampled_from([0.5, 2.0, 3.0, 10.0]))
    def set_longest_deadline(self, longest_deadline_s: float) -> None:
        self.longest_deadline_s = longest_deadline_s

    @rule(step=st.sampled_from([0.0, 0.05, 0.3, 0.5, 1.5, 4.0]))
    def wait(self, step: float) -> None:
        self.now += step

    @rule()
    def start_serving(self) -> None:
        if self.lifecycle.start_serving():
            self.history.append(("start_serving", self.now, False))

    @rule(requester=st.sampled_from(DrainRequester))
    def drain(self, requester: DrainRequester) -> None:
        allowed = self.history and self.history[-1][0] != "stop"
        assert self.lifecycle.drain(self.now, requester) == bool(allowed and not self.requesters)
        if allowed:
            if not self.requesters:
                self.history.append(("drain", self.now, False))
            self.requesters.add(requester)

    @rule(requester=st.sampled_from(DrainRequester))
    def resume(self, requester: DrainRequester) -> None:
        is_last = self.requesters == {requester} and self.history[-1][0] != "stop"
        assert self.lifecycle.resume(requester) == is_last
        self.requesters.discard(requester)
        if is_last:
            self.history.append(("resume", self.now, False))

    @rule(has_successor=st.booleans())
    def stop(self, has_successor: bool) -> None:
        is_first = "stop" not in [transition[0] for transition in self.history]
        assert self.lifecycle.stop(self.now, self.longest_deadline_s, has_successor) == is_first
        if is_first:
            self.history.append(("stop", self.now, has_successor))

    @invariant()
    def lifecycle_agrees_with_model(self) -> None:
        last = self.history[-1] if self.history else ("start", 0.0, False)
        before = self.history[-2] if len(self.history) > 1 else ("start", 0.0, False)
        serving = last[0] in ("start_serving", "resume")
        drained_at = last[1] if last[0] in ("drain", "stop") else None
        if last[0] == "stop" and before[0] == "drain":
            drained_at = before[1]
        drained_for = self.now - drained_at if drained_at is not None else -1.0
        has_successor = last[0] == "stop" and last[2]
        stopped_at = last[1] if last[0] == "stop" else math.inf
        kill_at = stopped_at + min(self.longest_deadline_s, KILL_MAX_DEADLINE_S) + KILL_DELAY_S
        assert self.lifecycle.last_response_at() == kill_at - LAST_RESPONSE_MARGIN_S
        assert self.lifecycle.is_serving() == serving
        assert self.lifecycle.is_ready() == (serving or has_successor)
        stage = self.lifecycle.drain_stage(self.now)
        time_left = kill_at - self.now
        ends_connections = has_successor or drained_for >= DRAIN_GRACE_S
        assert (stage >= DrainStage.END_WITH_RESPONSE) == ends_connections
        is_late = drained_for >= END_AT_REST_AFTER_S or time_left <= END_AT_REST_BEFORE_KILL_S
        assert (stage >= DrainStage.END_AT_REST) == (ends_connections and is_late)
        is_rejecting = drained_for >= REJECT_FURTHER_AFTER_S or is_late
        assert (stage >= DrainStage.REJECT_FURTHER) == (ends_connections and is_rejecting)
        must_end = drained_for >= FORCE_END_AFTER_S or time_left <= FORCE_END_BEFORE_KILL_S
        assert (stage == DrainStage.FORCE_END) == (ends_connections and must_end)
        if last[0] == "stop":
            accepts = not has_successor and drained_for < DRAIN_GRACE_S
            assert self.lifecycle.accepts_connections(self.now) == accepts
        else:
            assert self.lifecycle.accepts_connections(self.now) == (last[0] != "start")


TestLifecycle = LifecycleMachine.TestCase
TestLifecycle.settings = settings(derandomize=True, max_examples=60, deadline=None)


def test_gateway_stays_draining_when_only_one_of_two_requesters_resumes() -> None:
    lifecycle = Lifecycle()
    lifecycle.start_serving()
    assert lifecycle.drain(1.0, DrainRequester.OPERATORS)
    assert not lifecycle.drain(2.0, DrainRequester.MAINTENANCE)
    assert not lifecycle.resume(DrainRequester.MAINTENANCE) and not lifecycle.is_serving()
    assert lifecycle.resume(DrainRequester.OPERATORS) and lifecycle.is_serving()


def test_no_transition_leaves_stopping_or_enters_starting() -> None:
    assert not LEGAL_TRANSITIONS[State.STOPPING]
    assert not any(State.STARTING in targets for targets in LEGAL_TRANSITIONS.values())
    assert all(state not in targets for state, targets in LEGAL_TRANSITIONS.items())
