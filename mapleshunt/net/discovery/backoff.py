"""The one time budget of a watch: how long its calls may take, and how long to wait after one that failed.

No I/O and no clock: the random numbers and times are handed in.
"""

from __future__ import annotations

import random

# By the protocol, what discovery has and could be asked for counts as notified by then, whatever call failed.
NOTIFICATION_BUDGET_MS = 6000.0
# For which a watch waits for a change: an agent that falls silent is noticed soon after.
WATCH_WAIT_MS = 1000.0
# For a connection to be established: the agent is on this machine.
DIAL_TIMEOUT_MS = 500.0
# Past a call's own wait, after which the agent counts as gone.
SILENCE_TIMEOUT_MS = 500.0
# That a call which begins a watch may be queued besides: one service answers the fleet.
QUEUE_ALLOWANCE_MS = 1500.0
# For a call in the one service: all gateways of the fleet may call at once.
SERVICE_TIME_MS = 25.0
# Bounds on the window from which a delay is drawn: of the first one, and of the widest one, at least.
MIN_FIRST_WINDOW_MS = 100.0
MIN_MAX_WINDOW_MS = 2000.0
# The widest window of a caller whose agent answers by itself: nobody is spared by waiting, and what the agent
# gets when discovery is back counts at once. It is half of the grace period for a drain.
LOCAL_MAX_WINDOW_MS = 250.0
# The first and the widest window, in the time that it takes to serve the whole fleet.
FIRST_WINDOW_FACTOR = 2.0
MAX_WINDOW_FACTOR = 10.0
MAX_DOUBLINGS = 30  # keeps the power within a float


class Backoff:
    """Exponential backoff with full jitter: the n-th delay is uniform from 0 to min(max, first * 2^n).

    The source is the common practice of full jitter: callers that failed together, as all do whom one
    overloaded service turned away, come back spread evenly, and less often the longer it lasts. No delay
    exceeds the budget: one that began as late as it may, and the call after it, end within
    `NOTIFICATION_BUDGET_MS`.
    """

    def __init__(self, callers: int, rng: random.Random) -> None:
        """Begin without failures.

        Args:
            callers: how many may fail together, of whom the service takes one in `SERVICE_TIME_MS`. 0 is for
                a list that is pushed: the agent on this machine answers from what it was sent, at no cost to
                anyone, and a call that waits there is only a change missed, which counts as notified.
            rng: the source of the delays.
        """
        self.fleet_service_ms, self.random = SERVICE_TIME_MS * callers, rng
        self.first_window_ms = max(MIN_FIRST_WINDOW_MS, FIRST_WINDOW_FACTOR * self.fleet_service_ms)
        min_max_window_ms = MIN_MAX_WINDOW_MS if callers else LOCAL_MAX_WINDOW_MS
        self.max_window_ms = max(min_max_window_ms, MAX_WINDOW_FACTOR * self.fleet_service_ms)
        self.failures = 0
        self.dial_timeout_ms = DIAL_TIMEOUT_MS
        self.answer_timeout_ms = SILENCE_TIMEOUT_MS + QUEUE_ALLOWANCE_MS  # of a call that does not wait
        # A delay within this keeps the budget whatever went before. What discovery has is learned by a call
        # that began before it, and so in vain, the delay, and the answer to the call after it.
        failed_call_ms = self.dial_timeout_ms + self.answer_timeout_ms
        self.max_rest_ms = NOTIFICATION_BUDGET_MS - failed_call_ms - self.answer_timeout_ms

    def initial_delay_ms(self) -> float:
        """Return the ms before the first call, which all that were started or moved together make."""
        return self.random.uniform(0.0, min(self.fleet_service_ms, self.max_rest_ms))

    def reset(self) -> None:
        """Note that a call was answered: the next failure is a first one."""
        self.failures = 0

    def next_delay_ms(self, since_answer_ms: float = NOTIFICATION_BUDGET_MS) -> float:
        """Return the ms to wait after one more failure, so long after the last answer.

        After a first failure most of the budget is left, and the fleet may spread over all of it.
        """
        window = min(self.max_window_ms, self.first_window_ms * 2.0 ** min(self.failures, MAX_DOUBLINGS))
        self.failures += 1
        left = NOTIFICATION_BUDGET_MS - since_answer_ms - self.dial_timeout_ms - self.answer_timeout_ms
        return self.random.uniform(0.0, min(window, max(self.max_rest_ms, left)))
