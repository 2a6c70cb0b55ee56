"""The division of this process's file descriptors between clients and upstream endpoints."""

from __future__ import annotations

import resource

from ..net.upstream.endpoint_group import EndpointGroup

RESERVED_DESCRIPTORS = 32  # for the log, the event loop, the listener, discovery and gossip
MIN_USABLE_DESCRIPTORS = 16  # divided even if the limit leaves fewer
UPSTREAM_FRACTION = 0.4  # of the usable descriptors that connections to endpoints may take
UNLIMITED_DESCRIPTORS = 1 << 20  # stands for an infinite system limit


def system_descriptor_limit() -> int:
    """Return this process's soft limit, which applies whatever the configuration says."""
    soft, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    return UNLIMITED_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft


class DescriptorBudget:
    """Divides the descriptors. In a hot restart the older and the newer process get half of each part."""

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

    def divide(self, processes: int) -> None:
        """Divide the descriptors again, for one of `processes` processes of this gateway."""
        self.processes = processes
        upstream = int(self._usable * UPSTREAM_FRACTION / processes)
        self.max_clients = self._usable // processes - upstream
        # Normal traffic needs a third of the limit at most. Idle connections are evicted well before that.
        self.eviction_threshold = self._limit // (5 * processes)
        self._upstreams.set_connection_limit(upstream)
