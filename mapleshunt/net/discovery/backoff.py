"""The one time budget of a watch: how long its calls may take, and how long to pause after one that failed.

No I/O and no clock: chance and times are handed in.
"""

from __future__ import annotations

import random

# ms, by the protocol: what discovery has and could be asked for counts as told by then, whatever call failed
NOTIFICATION_BUDGET_MS = 6000.0
WATCH_WAIT_MS = 1000.0  # ms that a watch waits for something new: one that falls silent is found soon after
DIAL_TIMEOUT_MS = 500.0  # ms for a connection to come up: the agent is on this machine
SILENCE_TIMEOUT_MS = 500.0  # ms past a call's own wait after which the agent counts as gone
QUEUE_ALLOWANCE_MS = (
    1500.0  # ms that a call that begins a watch may stand in line besides: one service answers the fleet
)
MIN_FIRST_WINDOW_MS = 100.0  # ms, the widest first pause at least
MIN_MAX_WINDOW_MS = 2000.0  # ms, the widest pause at least
# ms, the widest pause of a caller whose agent answers by itself: nobody is spared by waiting, and what the
# agent gets when discovery is back counts at once. It is half of the grace for a drain.
LOCAL_MAX_WINDOW_MS = 250.0
SERVICE_TIME_MS = 25.0  # ms that one service needs for a call: all gateways of the fleet may call at once
FIRST_WINDOW_FACTOR = 2.0  # widest first pause after a failure, in the time that it takes to serve the fleet
MAX_WINDOW_FACTOR = 10.0  # widest pause, in the same


class Backoff:
    """Exponential back-off with full jitter: the n-th pause is uniform from 0 to min(most, first * 2^n).

    The source is the common practice of full jitter: callers that failed together, as all do whom one
    overloaded service turned away, come back spread evenly, and less often the longer it lasts. No pause
    outlasts the budget: one that began as late as it may, and the call after it, end within `TOLD`.
    """

    def __init__(self, callers: int, chance: random.Random) -> None:
        """`callers` may fail together, of whom the service takes one in `EACH` ms.

        0 is for a list that is pushed: the agent on this machine answers from what it has been sent, at
        no cost to anyone. A call that waits there is only news missed, which counts as told all the same.
        """
        self.fleet_service_ms, self.random = SERVICE_TIME_MS * callers, chance
        self.first_window_ms = max(MIN_FIRST_WINDOW_MS, FIRST_WINDOW_FACTOR * self.fleet_service_ms)
        self.max_window_ms = max(
            MIN_MAX_WINDOW_MS if callers else LOCAL_MAX_WINDOW_MS, MAX_WINDOW_FACTOR * self.fleet_service_ms
        )
        self.failures = 0
        self.dial_timeout_ms = DIAL_TIMEOUT_MS  # ms for a connection
        self.answer_timeout_ms = (
            SILENCE_TIMEOUT_MS + QUEUE_ALLOWANCE_MS
        )  # ms for an answer to a call that does not wait for news
        # ms for a pause whatever went before. What discovery has is learned by a call that began before
        # it, and so in vain, the pause, and the answer to the call after it.
        self.max_rest_ms = (
            NOTIFICATION_BUDGET_MS - (self.dial_timeout_ms + self.answer_timeout_ms) - self.answer_timeout_ms
        )

    def initial_delay_ms(self) -> float:
        """ms to wait before the first call, which all that were started or moved together make."""
        return self.random.uniform(0.0, min(self.fleet_service_ms, self.max_rest_ms))

    def reset(self) -> None:
        """A call was answered: the next failure is a first one."""
        self.failures = 0

    def next_delay_ms(self, since: float = NOTIFICATION_BUDGET_MS) -> float:
        """ms to wait after one more failure, `since` ms after the last answer.

        After a first failure most of the budget is left, and the fleet may spread over all of it.
        """
        window = min(self.max_window_ms, self.first_window_ms * 2.0 ** min(self.failures, 30))
        self.failures += 1
        left = NOTIFICATION_BUDGET_MS - since - self.dial_timeout_ms - self.answer_timeout_ms
        return self.random.uniform(0.0, min(window, max(self.max_rest_ms, left)))
