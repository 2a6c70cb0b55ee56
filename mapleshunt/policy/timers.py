"""The timers of the gateway, of which the host runs only the earliest."""

from __future__ import annotations

import enum
import heapq
import math
from collections.abc import Callable

from .actions import Action, SetTimer

# ms by which a timer may fire early, because the host's clock may round.
EARLY_TOLERANCE_MS = 0.01


class TimerKind(enum.IntEnum):
    """The purpose of a timer. Timers that are due at the same time run in this order."""

    OWNER_REPLY_OVERDUE = 0
    POLL_DISCOVERY = 1
    REQUEST_DEADLINE = 2
    SEND_GOSSIP = 3
    REQUEST_UNSENT = 4
    CHECK_SILENCE = 5


class TimerQueue:
    """A queue of timers by time, and the handlers that are called when they are due."""

    def __init__(self, actions: list[Action]) -> None:
        self._actions = actions
        self._heap: list[tuple[float, TimerKind, int]] = []
        self._handlers: dict[TimerKind, Callable[[int, float], None]] = {}
        self._host_timer_at = math.inf  # when the timer that was requested of the host is due

    def __len__(self) -> int:
        """Return the number of timers that are set."""
        return len(self._heap)

    def on(self, kind: TimerKind, handler: Callable[[int, float], None]) -> None:
        """Call `handler` with the key and the time whenever a timer of this kind is due."""
        self._handlers[kind] = handler

    def set(self, at: float, kind: TimerKind, key: int) -> None:
        """Set a timer. Timers cannot be cancelled: handlers check whether they still apply."""
        heapq.heappush(self._heap, (at, kind, key))

    def run_due_timers(self, now: float) -> None:
        """Call the handlers of all due timers, including those that handlers set."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            _, kind, key = heapq.heappop(heap)
            self._handlers[kind](key, now)

    def record_host_timer_fired(self, now: float) -> None:
        """Record that the host's timer has fired, unless it was an outdated one."""
        if now > self._host_timer_at - EARLY_TOLERANCE_MS:
            self._host_timer_at = math.inf

    def request_host_timer(self) -> None:
        """Request the earliest timer from the host unless it has an earlier one; none when idle."""
        if self._heap and self._heap[0][0] < self._host_timer_at:
            self._host_timer_at = self._heap[0][0]
            self._actions.append(SetTimer(self._host_timer_at, 0))
