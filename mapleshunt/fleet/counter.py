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
    expires_at: float


class SharedCounter:
    """One server for calls in turn. `call` says when a call is answered and with what. Times in ms."""

    def __init__(self, figures: Parameters) -> None:
        self.call_cost_ms = 1000.0 / figures["counter_per_s"]
        self.min_latency_ms = figures["counter_ms"]
        self.max_queue_wait_ms = figures["counter_line"] * figures["counter_wait_ms"]
        self.slowdown = 1.0
        self.outage: Literal["", "refusing", "silent"] = ""
        self.busy_until = 0.0
        self.calls = 0
        self.partitions: dict[int, dict[int, CounterValue]] = {
            0: {}
        }  # a split counter's parts by the side that sees them
        self.split_gateways: frozenset[int] = frozenset()  # gateways that see the other half

    def call(
        self, now: float, name: int, amount: float, life: float, gateway: int = 0
    ) -> tuple[CounterStatus, float, float]:
        """(word, when the answer leaves, total). A silent counter answers at infinity."""
        self.calls += 1
        if self.outage == "refusing":
            return "unreachable", now, 0.0
        if self.outage == "silent":
            return "ok", math.inf, 0.0
        if self.busy_until - now > self.max_queue_wait_ms:
            return "full", now + self.min_latency_ms, 0.0
        self.busy_until = max(self.busy_until, now) + self.call_cost_ms * self.slowdown
        at = self.busy_until + self.min_latency_ms * self.slowdown
        numbers = self.partitions.setdefault(1, {}) if gateway in self.split_gateways else self.partitions[0]
        number = numbers.get(name)
        if number is None or number.expires_at < at:
            if len(numbers) >= SWEEP_INTERVAL_VALUES and len(numbers) % SWEEP_INTERVAL_VALUES == 0:
                for old in [n for n, held in numbers.items() if held.expires_at < at]:
                    del numbers[old]
            number = numbers[name] = CounterValue(0.0, at + min(life, MAX_LIFETIME_MS))
        number.total = float(f"{number.total + amount:.7g}")
        return "ok", at, number.total

    def empty(self) -> None:
        """It is replaced: all numbers start at zero."""
        self.partitions = {0: {}}

    def split(self, gateways: frozenset[int]) -> None:
        """From now on these gateways see a counter of their own, a copy as of now; none of them heals it."""
        self.split_gateways = gateways
        if gateways:
            self.partitions[1] = {
                name: CounterValue(n.total, n.expires_at) for name, n in self.partitions[0].items()
            }
        else:
            self.partitions.pop(1, None)
