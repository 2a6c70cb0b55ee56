"""The process's own reports in its log: its counters, and delays of its event loop."""

from __future__ import annotations

from ..net import log
from ..net.client.connections import ClientConnections
from ..net.counters import Counters
from ..net.memory import MemoryBudget
from ..net.policy_driver import PolicyDriver
from ..net.upstream.endpoint_group import EndpointGroup

LOOP_DELAY_THRESHOLD_S = 0.1  # longer delays of the event loop are counted and logged


class Monitoring:
    """Logs counters and delays of the event loop."""

    def __init__(
        self,
        counters: Counters,
        connections: ClientConnections,
        upstreams: EndpointGroup,
        driver: PolicyDriver,
        memory: MemoryBudget,
    ) -> None:
        """Store the sources of the counters and gauges; timers and signals call the methods."""
        self._counters = counters
        self._connections = connections
        self._upstreams = upstreams
        self._driver = driver
        self._memory = memory

    def log_counters(self) -> None:
        """Log all counters and the current gauges."""
        self._counters.log_totals(
            open=len(self._driver.open_requests),
            client_connections_now=len(self._connections.connections),
            server_connections_now=len(self._upstreams.connections),
            memory_limit=self._memory.limit_bytes,
            memory_held=self._memory.held_bytes,
            memory_peak=self._memory.peak_bytes,
            memory_reserved=self._memory.reserved_bytes,
            memory_commands=self._connections.command_bytes(),
            memory_responses=self._connections.response_bytes(),
            memory_replies=sum(len(connection.buffer.data) for connection in self._upstreams.connections),
            **self._driver.gateway.stats(self._driver.now()),
        )

    def report_loop_delay(self, seconds: float) -> None:
        """Log a long delay of the event loop: the process was suspended, or a callback took long."""
        if seconds > LOOP_DELAY_THRESHOLD_S:
            self._counters.add("loop_held_up")
            self._counters.trace.add("process", "loop_held_up", f"{1000 * seconds:.0f} ms")
            log.log_event("loop_held_up", ms=1000 * seconds)
