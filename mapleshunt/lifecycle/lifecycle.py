"""The states of a gateway process: starting, serving, draining, stopping.

SIGTERM, the admin endpoint and maintenance share this state machine. It does no I/O and reads no clock: `now`
is passed in, in seconds of any monotonic clock. `docs/operators-door.md` has a table of the behaviour in each
state.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping

# Time for which new clients are accepted and idle connections kept after a load balancer can first read "not
# ready". It polls ten times a second and stops sending 0.2 s after such an answer; at a planned restart it
# sends for 0.4 s at most.
DRAIN_GRACE_S = 0.5
# Times from the start of a drain to its later stages. The operators require that no idle connection, and none
# with a request in the last 2 s, is left after 4 s.
REJECT_FURTHER_AFTER_S = 1.5
END_AT_REST_AFTER_S = 2.0
FORCE_END_AFTER_S = 3.0
# The same stages begin at the latest this long before the process may be killed.
END_AT_REST_BEFORE_KILL_S = 0.7
FORCE_END_BEFORE_KILL_S = 0.4
# A process may be killed this long after the longest deadline, counted from SIGTERM. Deadlines beyond the
# maximum count as the maximum.
KILL_DELAY_S = 0.7
KILL_MAX_DEADLINE_S = 3.0
# Margin before that time by which the last response must be sent.
LAST_RESPONSE_MARGIN_S = 0.2


class State(enum.Enum):
    """The state of a gateway process."""

    STARTING = "starting"  # not listening yet
    SERVING = "serving"
    DRAINING = "draining"  # lame duck: running, but clients are sent to other gateways; can be resumed
    STOPPING = "stopping"  # ending, by SIGTERM


LEGAL_TRANSITIONS: Mapping[State, frozenset[State]] = {
    State.STARTING: frozenset({State.SERVING, State.STOPPING}),
    State.SERVING: frozenset({State.DRAINING, State.STOPPING}),
    State.DRAINING: frozenset({State.SERVING, State.STOPPING}),
    State.STOPPING: frozenset(),
}


class DrainStage(enum.IntEnum):
    """How far a drain has come: which client connections end. Each stage includes the earlier ones."""

    NONE = 0  # connections are kept
    END_WITH_RESPONSE = 1  # a connection ends together with its next response
    REJECT_FURTHER = 2  # requests behind a pending one, or behind an answer in the drain, are rejected
    END_AT_REST = 3  # connections without a request end too
    FORCE_END = 4  # a connection ends even if its client goes on sending


class DrainRequester(enum.Enum):
    """A party that may drain the gateway, which serves again once none requests the drain."""

    OPERATORS = "operators"  # through the admin endpoint
    MAINTENANCE = "maintenance"  # by a maintenance grant for the machine


class Lifecycle:
    """The current state, and the treatment of clients and connections that follows from it."""

    def __init__(self) -> None:
        self.state = State.STARTING
        self.drain_requesters: set[DrainRequester] = set()
        self._drain_started_at = -math.inf  # when draining, or stopping without a drain, began
        self._has_successor = False  # another process serves clients at the same address
        self._stop_requested_at = math.inf
        # The earliest time at which the process may be killed; infinity unless stopping.
        self.kill_at = math.inf

    def _enter(self, state: State) -> bool:
        if state not in LEGAL_TRANSITIONS[self.state]:
            return False
        self.state = state
        return True

    # Transitions. Each returns whether the state changed.

    def start_serving(self) -> bool:
        """Record that the process listens for clients."""
        return self.state is State.STARTING and self._enter(State.SERVING)

    def drain(self, now: float, requester: DrainRequester) -> bool:
        """Drain the gateway for `requester`; ignored while it is starting or stopping."""
        if self.state not in (State.SERVING, State.DRAINING):
            return False
        self.drain_requesters.add(requester)
        if not self._enter(State.DRAINING):
            return False
        self._drain_started_at = now
        return True

    def resume(self, requester: DrainRequester) -> bool:
        """Withdraw the drain request of `requester`; serve again unless another requester is left."""
        self.drain_requesters.discard(requester)
        if self.state is not State.DRAINING or self.drain_requesters:
            return False
        return self._enter(State.SERVING)

    def stop(self, now: float, longest_deadline_s: float, has_successor: bool = False) -> bool:
        """Begin to stop.

        Args:
            now: s on a monotonic clock.
            longest_deadline_s: the longest deadline of any request class.
            has_successor: another process serves clients at the same address.
        """
        was_draining = self.state is State.DRAINING
        if not self._enter(State.STOPPING):
            return False
        if not was_draining:  # the grace periods of a drain have begun already
            self._drain_started_at = now
        self._has_successor = has_successor
        self._stop_requested_at = now
        self.kill_at = now + min(longest_deadline_s, KILL_MAX_DEADLINE_S) + KILL_DELAY_S
        return True

    # Behaviour that follows from the state.

    def is_serving(self) -> bool:
        """Return whether the operators' readiness call is answered with "yes"."""
        return self.state is State.SERVING

    def is_ready(self) -> bool:
        """Return whether a load balancer's PING gets PONG; when stopping, also on behalf of a successor."""
        return self.is_serving() or (self.state is State.STOPPING and self._has_successor)

    def accepts_connections(self, now: float) -> bool:
        """Return whether new connections are accepted.

        A draining gateway accepts them too, so that a load balancer can read "not ready".
        """
        if self.state is State.STOPPING:
            return not self._has_successor and now - self._drain_started_at < DRAIN_GRACE_S
        return self.state is not State.STARTING

    def drain_stage(self, now: float) -> DrainStage:
        """Return how far the drain has come; the stages begin earlier if the process may be killed soon."""
        if not self._is_draining_or_stopping():
            return DrainStage.NONE
        begins_at = self._stage_begins_at()
        return max(stage for stage, begins in begins_at.items() if begins <= now)

    def _stage_begins_at(self) -> dict[DrainStage, float]:
        started_at = self._drain_started_at
        first = started_at + DRAIN_GRACE_S
        if self.state is State.STOPPING and self._has_successor:
            first = self._stop_requested_at
        at_rest = max(first, min(started_at + END_AT_REST_AFTER_S, self.kill_at - END_AT_REST_BEFORE_KILL_S))
        return {
            DrainStage.NONE: -math.inf,
            DrainStage.END_WITH_RESPONSE: first,
            DrainStage.REJECT_FURTHER: max(first, min(started_at + REJECT_FURTHER_AFTER_S, at_rest)),
            DrainStage.END_AT_REST: at_rest,
            DrainStage.FORCE_END: max(
                at_rest, min(started_at + FORCE_END_AFTER_S, self.kill_at - FORCE_END_BEFORE_KILL_S)
            ),
        }

    def last_response_at(self) -> float:
        """Return the time by which requests that arrive while stopping must have their last response.

        Infinity unless stopping.
        """
        return self.kill_at - LAST_RESPONSE_MARGIN_S

    def _is_draining_or_stopping(self) -> bool:
        return self.state in (State.DRAINING, State.STOPPING)
