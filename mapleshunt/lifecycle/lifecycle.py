"""The states of a gateway process: starting, serving, draining, stopping.

SIGTERM, the admin endpoint and maintenance share this one state machine. It does no I/O and reads no clock:
`now` is passed in, in seconds of any clock that advances evenly. `docs/operators-door.md` has the table of
what each state does.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping

# For how long new clients and idle connections are kept once a load balancer could first read "not ready": it
# polls ten times a second and stops 0.2 s after one such answer; at a planned restart it goes on for 0.4 s at
# most.
DRAIN_GRACE_S = 0.5
# After which a connection with a response pending is not read any further: with what it holds answered it can
# end. The operators want none with a request of the last 2 s left after 4 s.
READ_GRACE_S = 1.5
# A process may be killed this long after the longest deadline, counted from SIGTERM. Deadlines beyond the
# maximum count as the maximum.
KILL_DELAY_S = 0.7
KILL_MAX_DEADLINE_S = 3.0
# How long before that the last response has to be given.
LAST_RESPONSE_MARGIN_S = 0.2


class State(enum.Enum):
    """What the process does for its clients at present."""

    STARTING = "starting"  # not listening yet
    SERVING = "serving"
    DRAINING = "draining"  # lame duck: running, but clients are sent to other gateways; can be resumed
    STOPPING = "stopping"  # asked to end, by SIGTERM


LEGAL_TRANSITIONS: Mapping[State, frozenset[State]] = {
    State.STARTING: frozenset({State.SERVING, State.STOPPING}),
    State.SERVING: frozenset({State.DRAINING, State.STOPPING}),
    State.DRAINING: frozenset({State.SERVING, State.STOPPING}),
    State.STOPPING: frozenset(),
}


class DrainRequester(enum.Enum):
    """Who may drain the gateway. It serves again once none of them wants it drained."""

    OPERATORS = "operators"  # through the admin endpoint
    MAINTENANCE = "maintenance"  # by a grant for work on the machine


class Lifecycle:
    """The current state, and what follows from it for clients and connections."""

    def __init__(self) -> None:
        self.state = State.STARTING
        self.drain_requesters: set[DrainRequester] = set()
        self._emptying_since = -math.inf  # when connections began to be emptied: draining or stopping
        self._has_successor = False  # another process takes the clients at the same address
        self._stop_requested_at = math.inf

    def _enter(self, state: State) -> bool:
        if state not in LEGAL_TRANSITIONS[self.state]:
            return False
        self.state = state
        return True

    # Events. Each returns whether the state changed.

    def start_serving(self) -> bool:
        """The process listens for clients."""
        return self.state is State.STARTING and self._enter(State.SERVING)

    def drain(self, now: float, requester: DrainRequester) -> bool:
        """`requester` wants the gateway drained; ignored while it is starting or stopping."""
        if self.state not in (State.SERVING, State.DRAINING):
            return False
        self.drain_requesters.add(requester)
        if not self._enter(State.DRAINING):
            return False
        self._emptying_since = now
        return True

    def resume(self, requester: DrainRequester) -> bool:
        """`requester` no longer wants the gateway drained; it serves again unless another one does."""
        self.drain_requesters.discard(requester)
        if self.state is not State.DRAINING or self.drain_requesters:
            return False
        return self._enter(State.SERVING)

    def stop(self, now: float, has_successor: bool = False) -> bool:
        """The process is to end. With a successor, another process takes the clients at the same address."""
        was_draining = self.state is State.DRAINING
        if not self._enter(State.STOPPING):
            return False
        if not was_draining:  # one that was draining is emptied already: nobody waits for more
            self._emptying_since = now
        self._has_successor = has_successor
        self._stop_requested_at = now
        return True

    # What follows from the state.

    def is_serving(self) -> bool:
        """Tell whether operators who ask for readiness get a "yes"."""
        return self.state is State.SERVING

    def is_ready(self) -> bool:
        """Tell whether a load balancer's PING gets PONG. A process with a successor answers for both."""
        return self.is_serving() or (self.state is State.STOPPING and self._has_successor)

    def accepts_connections(self, now: float) -> bool:
        """Tell whether new connections are accepted.

        A draining gateway accepts them too: the load balancer has to be able to read "not ready".
        """
        if self.state is State.STOPPING:
            return not self._has_successor and now - self._emptying_since < DRAIN_GRACE_S
        return self.state is not State.STARTING

    def closes_idle_connections(self, now: float) -> bool:
        """Tell whether a client connection ends as soon as no response is pending on it."""
        if self.state is State.STOPPING and self._has_successor:
            return True
        return self._is_emptying() and now - self._emptying_since >= DRAIN_GRACE_S

    def reads_while_responding(self, now: float) -> bool:
        """Tell whether a connection is read on while a response is pending on it."""
        return not self._is_emptying() or now - self._emptying_since < READ_GRACE_S

    def last_response_at(self, longest_deadline_s: float) -> float:
        """Return when the last response to requests that arrive while stopping has to be given.

        `longest_deadline_s` is the longest deadline of any request class. Infinity unless stopping.
        """
        longest = min(longest_deadline_s, KILL_MAX_DEADLINE_S)
        return self._stop_requested_at + longest + KILL_DELAY_S - LAST_RESPONSE_MARGIN_S

    def _is_emptying(self) -> bool:
        return self.state in (State.DRAINING, State.STOPPING)
