"""Virtual time: what is due when, in order; ties go by who came first."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class EventQueue:
    """A heap of (time in ms, number, call, arguments)."""

    __slots__ = ("done", "heap", "now", "number")

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.number = self.done = 0
        self.now = 0.0

    def at(self, when: float, call: Callable[..., None], *arguments: Any) -> None:
        self.number += 1
        heapq.heappush(self.heap, (when, self.number, call, arguments))

    def run(self, until: float) -> None:
        """Do all that is due until then, and what comes of it."""
        heap, pop, waiting = self.heap, heapq.heappop, self.number - len(self.heap)
        while heap and heap[0][0] <= until:
            when, _, call, arguments = pop(heap)
            if when > self.now:
                self.now = when
            call(*arguments)
        self.done += self.number - len(heap) - waiting
        self.now = max(self.now, until)
