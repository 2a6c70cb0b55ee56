"""The shared counter: adds to named numbers, in turn; it refuses, falls silent, slows, splits, forgets."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Literal

from .parameters import Parameters

CounterStatus = Literal["ok", "full", "unreachable"]
MAX_LIFETIME_MS = 60000.0  # ms
SWEEP_INTERVAL_VALUES = 4096  # names held before those forgotten are dropped


@dataclass(slots=True)
class CounterValue:
    total: float
    until: float


class SharedCounter:
    """One server for calls in turn. `call` says when a call is answered and with what. Times in ms."""

    def __init__(self, figures: Parameters) -> None:
        self.cost = 1000.0 / figures["counter_per_s"]
        self.least = figures["counter_ms"]
        self.most_wait = figures["counter_line"] * figures["counter_wait_ms"]
        self.slower = 1.0
        self.down: Literal["", "refusing", "silent"] = ""
        self.busy = 0.0
        self.calls = 0
        self.halves: dict[int, dict[int, CounterValue]] = {
            0: {}
        }  # a split counter's parts by the side that sees them
        self.sides: frozenset[int] = frozenset()  # gateways that see the other half

    def call(
        self, now: float, name: int, amount: float, life: float, gateway: int = 0
    ) -> tuple[CounterStatus, float, float]:
        """(word, when the answer leaves, total). A silent counter answers at infinity."""
        self.calls += 1
        if self.down == "refusing":
            return "unreachable", now, 0.0
        if self.down == "silent":
            return "ok", math.inf, 0.0
        if self.busy - now > self.most_wait:
            return "full", now + self.least, 0.0
        self.busy = max(self.busy, now) + self.cost * self.slower
        at = self.busy + self.least * self.slower
        numbers = self.halves.setdefault(1, {}) if gateway in self.sides else self.halves[0]
        number = numbers.get(name)
        if number is None or number.until < at:
            if len(numbers) >= SWEEP_INTERVAL_VALUES and len(numbers) % SWEEP_INTERVAL_VALUES == 0:
                for old in [n for n, held in numbers.items() if held.until < at]:
                    del numbers[old]
            number = numbers[name] = CounterValue(0.0, at + min(life, MAX_LIFETIME_MS))
        number.total = float(f"{number.total + amount:.7g}")
        return "ok", at, number.total

    def empty(self) -> None:
        """It is replaced: all numbers start at zero."""
        self.halves = {0: {}}

    def split(self, gateways: frozenset[int]) -> None:
        """From now on these gateways see a counter of their own, a copy as of now; none of them heals it."""
        self.sides = gateways
        if gateways:
            self.halves[1] = {name: CounterValue(n.total, n.until) for name, n in self.halves[0].items()}
        else:
            self.halves.pop(1, None)
