"""The division of this process's connections between clients and upstream endpoints."""

from __future__ import annotations

import resource

from ..net.upstream.endpoint_group import EndpointGroup

RESERVED_DESCRIPTORS = 32  # for the log, the event loop, the listener, discovery and gossip
MIN_USABLE_DESCRIPTORS = 16  # divided even if the limit leaves fewer
UPSTREAM_FRACTION = 0.4  # of the usable descriptors that connections to endpoints may take
SCARCE_FRACTION = 0.25  # the same where the memory allows fewer connections than the descriptors
UNLIMITED_DESCRIPTORS = 1 << 20  # stands for an infinite system limit


def system_descriptor_limit() -> int:
    """Return this process's soft limit, which applies whatever the configuration says."""
    soft, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    return UNLIMITED_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft


class DescriptorBudget:
    """Divides the descriptors. In a hot restart the older and the newer process get a part of each.

    Attributes:
        processes: How many processes of this gateway share the descriptors.
        max_clients: How many connections this process may have to clients.
        eviction_threshold: Above this number of client connections idle ones are evicted.
    """

    def __init__(self, configured: int, reserved: int, upstreams: EndpointGroup) -> None:
        """Divide the descriptors for a single process.

        Args:
            configured: descriptors that the configuration allows.
            reserved: descriptors that neither clients nor endpoints get.
            upstreams: the endpoint group, whose connection limit is set here.
        """
        self._limit = min(configured, system_descriptor_limit())
        self._usable = max(MIN_USABLE_DESCRIPTORS, self._limit - reserved)
        self._upstreams = upstreams
        self.divide(1)

    def usable(self, processes: int) -> int:
        """Return how many connections the descriptors allow one of so many processes."""
        return self._usable // processes

    def divide(self, processes: int, max_connections: int | None = None) -> None:
        """Divide again, for one of `processes` processes; `max_connections` is what the memory allows it."""
        self.processes = processes
        usable = self.usable(processes)
        if max_connections is not None:
            usable = min(usable, max_connections)
        upstream = int(usable * (UPSTREAM_FRACTION if usable == self.usable(processes) else SCARCE_FRACTION))
        self.max_clients = usable - upstream
        # Normal traffic needs a third of the limit at most. Idle connections are evicted well before that.
        self.eviction_threshold = min(self._limit // (5 * processes), self.max_clients // 2)
        self._upstreams.set_connection_limit(upstream)
