"""The process's own reports in its log: its counters, delays of its event loop, and memory near its limit."""

from __future__ import annotations

import time
from collections.abc import Callable

from ..net import log
from ..net.client.connections import ClientConnections
from ..net.counters import Counters
from ..net.memory import MemoryBudget, private_bytes
from ..net.policy_driver import PolicyDriver
from ..net.upstream.endpoint_group import EndpointGroup

LOOP_DELAY_THRESHOLD_S = 0.1  # longer delays of the event loop are counted and logged
HIGH_MEMORY_FRACTION = 0.75  # of the limit on memory; above it the holders of memory are logged
HIGH_MEMORY_LOG_INTERVAL_S = 1.0


class Monitoring:
    """Logs counters, delays of the event loop, and who holds memory near its limit."""

    def __init__(
        self,
        counters: Counters,
        connections: ClientConnections,
        upstreams: EndpointGroup,
        driver: PolicyDriver,
        memory: MemoryBudget,
        memory_bytes: int,
        since_discovery_answer_ms: Callable[[], float],
    ) -> None:
        """Store the sources of the counters and gauges; timers and signals call the methods.

        `memory_bytes` is the process's limit on memory.
        """
        self._since_discovery_answer_ms = since_discovery_answer_ms
        self._counters = counters
        self._connections = connections
        self._upstreams = upstreams
        self._driver = driver
        self._memory = memory
        self._memory_bytes = memory_bytes
        self._high_memory_logged_at = -HIGH_MEMORY_LOG_INTERVAL_S  # s, monotonic

    def log_counters(self) -> None:
        """Log all counters and the current gauges."""
        self._counters.log_totals(
            open=len(self._driver.open_requests),
            client_connections_now=len(self._connections.connections),
            server_connections_now=len(self._upstreams.connections),
            discovery_since_answer=self._since_discovery_answer_ms(),
            **self._memory_gauges(private_bytes() or 0),
            **self._driver.gateway.stats(self._driver.now()),
        )

    def _memory_gauges(self, used_bytes: int) -> dict[str, float]:
        """Return who holds memory, in bytes; `used_bytes` is what the process uses."""
        return {
            "memory_used": used_bytes,
            "memory_limit": self._memory.limit_bytes,
            "memory_held": self._memory.held_bytes,
            "memory_peak": self._memory.peak_bytes,
            "memory_reserved": self._memory.reserved_bytes,
            "memory_commands": self._connections.command_bytes(),
            "memory_responses": self._connections.response_bytes(),
            "memory_reading": self._connections.read_buffer_bytes(),
            "memory_replies": sum(len(connection.buffer.data) for connection in self._upstreams.connections),
            "partial_commands": self._connections.partial_commands(),
            "customers": len(self._driver.gateway.customers.by_tag),
            "timers": len(self._driver.gateway.timers),
        }

    def report_high_memory(self, used_bytes: int) -> None:
        """Log who holds memory if the process is near its limit: one that is killed over it logs nothing."""
        now = time.monotonic()
        if (
            used_bytes < HIGH_MEMORY_FRACTION * self._memory_bytes
            or now - self._high_memory_logged_at < HIGH_MEMORY_LOG_INTERVAL_S
        ):
            return
        self._high_memory_logged_at = now
        self._counters.add("memory_high")
        log.log_event(
            "memory_high",
            memory_allowed=self._memory_bytes,
            client_connections_now=len(self._connections.connections),
            **self._memory_gauges(used_bytes),
        )

    def report_loop_delay(self, seconds: float) -> None:
        """Log a long delay of the event loop: the process was suspended, or a callback took long."""
        if seconds > LOOP_DELAY_THRESHOLD_S:
            self._counters.add("loop_held_up")
            self._counters.trace.add("process", "loop_held_up", f"{1000 * seconds:.0f} ms")
            log.log_event("loop_held_up", ms=1000 * seconds)
