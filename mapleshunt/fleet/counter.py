"""The shared counter: a server that adds to named values, one call at a time, and its faults."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Literal

from .parameters import Parameters

CounterStatus = Literal["ok", "full", "unreachable"]
CounterOutage = Literal["", "refusing", "silent"]  # "": no outage
MAX_LIFETIME_MS = 60000.0
SWEEP_INTERVAL_VALUES = 4096  # expired values are removed at each multiple of this number of values
SIGNIFICANT_DIGITS = 7  # precision of a stored total
MAIN_PARTITION, SPLIT_PARTITION = 0, 1


@dataclass(slots=True)
class CounterValue:
    """A named value and when it expires (ms)."""

    total: float
    expires_at: float


class SharedCounter:
    """One server that handles calls in turn. Times are in ms."""

    def __init__(self, parameters: Parameters) -> None:
        self.call_cost_ms = 1000.0 / parameters["counter_per_s"]
        self.min_latency_ms = parameters["counter_ms"]
        self.max_queue_wait_ms = parameters["counter_line"] * parameters["counter_wait_ms"]
        self.slowdown = 1.0
        self.outage: CounterOutage = ""
        self.busy_until = 0.0
        self.calls = 0
        self.partitions: dict[int, dict[int, CounterValue]] = {MAIN_PARTITION: {}}
        self.split_gateways: frozenset[int] = frozenset()  # gateways that see the other partition

    def call(
        self, now: float, name: int, amount: float, lifetime: float, gateway: int = 0
    ) -> tuple[CounterStatus, float, float]:
        """Add `amount` to the value `name`, which expires after `lifetime` ms if it is new.

        Returns:
            The status, the time of the reply, and the total. A silent counter replies at infinity.
        """
        self.calls += 1
        if self.outage == "refusing":
            return "unreachable", now, 0.0
        if self.outage == "silent":
            return "ok", math.inf, 0.0
        if self.busy_until - now > self.max_queue_wait_ms:
            return "full", now + self.min_latency_ms, 0.0
        self.busy_until = max(self.busy_until, now) + self.call_cost_ms * self.slowdown
        at = self.busy_until + self.min_latency_ms * self.slowdown
        value = self._value(name, at, lifetime, gateway)
        value.total = float(f"{value.total + amount:.{SIGNIFICANT_DIGITS}g}")
        return "ok", at, value.total

    def empty(self) -> None:
        """Delete all values, as after a restart without data."""
        self.partitions = {MAIN_PARTITION: {}}

    def split(self, gateways: frozenset[int]) -> None:
        """Give these gateways a partition that starts as a copy of the main one; an empty set removes it."""
        self.split_gateways = gateways
        if gateways:
            self.partitions[SPLIT_PARTITION] = {
                name: CounterValue(value.total, value.expires_at)
                for name, value in self.partitions[MAIN_PARTITION].items()
            }
        else:
            self.partitions.pop(SPLIT_PARTITION, None)

    def _value(self, name: int, at: float, lifetime: float, gateway: int) -> CounterValue:
        """Return the value `name` of the gateway's partition, created if it is missing or expired at `at`."""
        if gateway in self.split_gateways:
            values = self.partitions.setdefault(SPLIT_PARTITION, {})
        else:
            values = self.partitions[MAIN_PARTITION]
        value = values.get(name)
        if value is None or value.expires_at < at:
            if len(values) >= SWEEP_INTERVAL_VALUES and len(values) % SWEEP_INTERVAL_VALUES == 0:
                for expired in [key for key, stored in values.items() if stored.expires_at < at]:
                    del values[expired]
            value = values[name] = CounterValue(0.0, at + min(lifetime, MAX_LIFETIME_MS))
        return value
