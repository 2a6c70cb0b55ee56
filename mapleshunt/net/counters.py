"""What the gateway took in, sent and answered."""

from __future__ import annotations

from collections import Counter

from . import log
from .trace import Trace


class Counters:
    """Counts by name. Printed on SIGUSR1 and at exit."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.by_class: Counter[tuple[str, str]] = Counter()  # by figure and class of requests
        self.trace = Trace(self.add)

    def add(self, name: str, amount: int = 1) -> None:
        self.counts[name] += amount

    def add_for_class(self, name: str, cls: str) -> None:
        self.by_class[name, cls] += 1

    def log_totals(self, **gauges: object) -> None:
        fields: dict[str, object] = {**dict(sorted(self.counts.items())), **gauges}
        log.log_event("counters", **fields)
