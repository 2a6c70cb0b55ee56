"""The time after which calls to discovery are late and the backoff behind them, within one time budget.

No I/O and no clock: the caller passes the random numbers and times.
"""

from __future__ import annotations

import random

# By the protocol, a change that a call could return counts as notified this much later, even if calls fail.
NOTIFICATION_BUDGET_MS = 6000.0
# How long a call waits for a change; short, so that an agent that stops answering is noticed soon.
WATCH_WAIT_MS = 1000.0
# A connection that is not established by then is late; the agent is on this machine.
DIAL_TIMEOUT_MS = 500.0
# An agent that has not answered this long after a call's own wait counts as silent.
SILENCE_TIMEOUT_MS = 500.0
# Extra time for the first call of a watch, which may be queued: one service answers the whole fleet.
QUEUE_ALLOWANCE_MS = 1500.0
# Time of one call in that service, which all gateways of the fleet may call at once.
SERVICE_TIME_MS = 25.0
# Lower bounds of the first and of the widest window from which a delay is drawn.
MIN_FIRST_WINDOW_MS = 100.0
MIN_MAX_WINDOW_MS = 2000.0
# The widest window where the agent answers by itself: waiting spares no service, and what the agent gets when
# discovery is back counts at once. Half of the grace period for a drain.
LOCAL_MAX_WINDOW_MS = 250.0
# The first and the widest window, as multiples of the time that serving the whole fleet takes.
FIRST_WINDOW_FACTOR = 2.0
MAX_WINDOW_FACTOR = 10.0
MAX_DOUBLINGS = 30  # keeps the power of 2 within a float


class Backoff:
    """Exponential backoff with full jitter: the n-th delay is uniform from 0 to min(max, first * 2^n).

    Full jitter is common practice: callers that failed together, such as all those that one overloaded
    service rejected, come back spread evenly, and less often the longer it lasts. No delay exceeds the
    budget: one that begins as late as possible, and the call after it, end within `NOTIFICATION_BUDGET_MS`.
    """

    def __init__(self, callers: int, rng: random.Random) -> None:
        """Start without failures.

        Args:
            callers: how many may fail together; the service takes one every `SERVICE_TIME_MS`. 0 is for a
                list that is pushed: the agent on this machine answers from what it was sent, at no cost to
                others, and waiting would only miss changes that already count as notified.
            rng: the generator of the delays.
        """
        self.fleet_service_ms, self.random = SERVICE_TIME_MS * callers, rng
        self.first_window_ms = max(MIN_FIRST_WINDOW_MS, FIRST_WINDOW_FACTOR * self.fleet_service_ms)
        min_max_window_ms = MIN_MAX_WINDOW_MS if callers else LOCAL_MAX_WINDOW_MS
        self.max_window_ms = max(min_max_window_ms, MAX_WINDOW_FACTOR * self.fleet_service_ms)
        self.failures = 0
        self.dial_timeout_ms = DIAL_TIMEOUT_MS
        self.answer_timeout_ms = SILENCE_TIMEOUT_MS + QUEUE_ALLOWANCE_MS  # of a call that does not wait
        # The longest delay that keeps the budget in the worst case: a change comes after a call began, that
        # call fails, and only the answer to the call after the delay brings the change.
        failed_call_ms = self.dial_timeout_ms + self.answer_timeout_ms
        self.max_delay_ms = NOTIFICATION_BUDGET_MS - failed_call_ms - self.answer_timeout_ms

    def initial_delay_ms(self) -> float:
        """Return the delay of the first call in ms; it spreads gateways that start or move together."""
        return self.random.uniform(0.0, min(self.fleet_service_ms, self.max_delay_ms))

    def reset(self) -> None:
        """Record that a call was answered: the next failure counts as the first."""
        self.failures = 0

    def next_delay_ms(self, since_answer_ms: float = NOTIFICATION_BUDGET_MS) -> float:
        """Return the delay in ms after another failure, `since_answer_ms` after the last answer.

        After a first failure most of the budget is left, and the fleet may spread over all of it.
        """
        window_ms = min(self.max_window_ms, self.first_window_ms * 2.0 ** min(self.failures, MAX_DOUBLINGS))
        self.failures += 1
        budget_left_ms = (
            NOTIFICATION_BUDGET_MS - since_answer_ms - self.dial_timeout_ms - self.answer_timeout_ms
        )
        return self.random.uniform(0.0, min(window_ms, max(self.max_delay_ms, budget_left_ms)))
