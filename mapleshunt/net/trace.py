"""The last state changes of requests and connections, kept in memory, and violations of invariants.

A log line for each step of each request would cost more than the requests. The steps are stored in a ring
buffer instead; those of a request are logged when it violates an invariant, and all of them on SIGQUIT.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..invariants import Guard
from . import log
from .reasons import ClientCloseReason, UpstreamCloseReason

MAX_STORED_STEPS = 2048  # some 0.5 MB: memory is limited, and its growth has a price
MAX_LOGGED_STEPS = 64  # of the request that violates an invariant


class Step(NamedTuple):
    """One state change. `subject` is the client's id of a request, or names a connection or the process."""

    at: float  # s, monotonic
    subject: str
    event: str
    detail: str


class Trace:
    """The last steps, and the counting of closed connections and violations."""

    def __init__(self, count: Callable[[str], None]) -> None:
        """Start without steps. `count` adds one to a counter by its name."""
        self.count = count
        self.steps: deque[Step] = deque(maxlen=MAX_STORED_STEPS)

    def add(self, subject: str, event: str, detail: str = "") -> None:
        """Store a step; when the buffer is full, the oldest is dropped."""
        self.steps.append(Step(time.monotonic(), subject, event, detail))

    def count_close(self, kind: str, reason: ClientCloseReason | UpstreamCloseReason) -> None:
        """Count a closed connection of that kind by its reason."""
        self.count(f"{kind}_closed_{reason}")

    def report_violations(self, guard: Guard, violated_rules: Iterable[str], subject: str) -> None:
        """Count and log each rule that a guard found violated, with the last steps of the subject."""
        for rule in violated_rules:
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
