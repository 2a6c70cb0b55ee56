"""The last state changes of requests and connections, kept in memory, and violations of invariants.

A line in the log for each step of each request would cost more than the requests. The steps are kept in a
ring instead; those of one request are logged when it violates an invariant, and all of them on SIGQUIT.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..invariants import Guard
from . import log
from .reasons import ClientCloseReason, UpstreamCloseReason

MAX_KEPT_STEPS = 2048  # some 0.5 MB, for memory is limited and its growth is priced
MAX_LOGGED_STEPS = 64  # of the request that violates an invariant


class Step(NamedTuple):
    """One state change. `subject` is the client's id of a request, or names a connection or the process."""

    at: float  # s, monotonic
    subject: str
    event: str
    detail: str


class Trace:
    """The last steps, and the counters of closed connections and violations."""

    def __init__(self, count: Callable[[str], None]) -> None:
        """Begin without steps. `count` adds one to a counter by its name."""
        self.count = count
        self.steps: deque[Step] = deque(maxlen=MAX_KEPT_STEPS)

    def add(self, subject: str, event: str, detail: str = "") -> None:
        """Keep a step; the oldest makes room for it."""
        self.steps.append(Step(time.monotonic(), subject, event, detail))

    def count_close(self, kind: str, reason: ClientCloseReason | UpstreamCloseReason) -> None:
        """Count the end of a connection of that kind by its reason."""
        self.count(f"{kind}_closed_{reason}")

    def report_violations(self, guard: Guard, broken: Iterable[str], subject: str) -> None:
        """Count and log each rule that a guard found broken, with the steps that led to it."""
        for rule in broken:
            self.count("invariant_violations")
            self.count(f"violated_{guard.value}_{rule}")
            log.log_event("invariant_violated", guard=guard.value, rule=rule, subject=subject)
            self._log([step for step in self.steps if step.subject == subject][-MAX_LOGGED_STEPS:])

    def log_all(self) -> None:
        """Log all steps, the oldest first."""
        self._log(list(self.steps))

    @staticmethod
    def _log(steps: list[Step]) -> None:
        now = time.monotonic()
        for step in steps:
            age_ms = 1000 * (now - step.at)
            detail = step.detail or "none"
            log.log_event("step", ago=age_ms, subject=step.subject, what=step.event, detail=detail)
