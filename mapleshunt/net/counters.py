"""Counters of what the gateway received, sent and answered."""

from __future__ import annotations

from collections import Counter

from . import log
from .trace import Trace


class Counters:
    """Counters by name since the start, logged periodically, on SIGUSR1 and at exit."""

    def __init__(self) -> None:
        """Start without counters; one that was never incremented is absent."""
        self.counts: Counter[str] = Counter()
        self.by_class: Counter[tuple[str, str]] = Counter()  # by a counter's name and a class of requests
        self.trace = Trace(self.add)

    def add(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] += amount

    def add_for_class(self, name: str, request_class: str) -> None:
        """Add one to a counter that is kept for each class of requests."""
        self.by_class[name, request_class] += 1

    def log_totals(self, **gauges: float) -> None:
        """Log all counters by their names, then the gauges."""
        fields: dict[str, float] = {**dict(sorted(self.counts.items())), **gauges}
        log.log_event("counters", **fields)
