"""How the file descriptors of this process are divided between clients and upstream endpoints."""

from __future__ import annotations

import resource

from ..net.upstream.endpoint_group import EndpointGroup

RESERVED_DESCRIPTORS = 32  # for the log, the event loop, the listener, discovery and gossip
MIN_USABLE_DESCRIPTORS = 16  # divided even where the limit leaves fewer
UPSTREAM_FRACTION = 0.4  # of the usable descriptors that connections to endpoints may take
UNLIMITED_DESCRIPTORS = 1 << 20  # what an infinite limit of the system counts as


def system_descriptor_limit() -> int:
    """Return the soft limit of this process, which binds whatever the configuration says."""
    soft, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    return UNLIMITED_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft


class DescriptorBudget:
    """Divides the descriptors; the older and the newer process of a hot restart get half of each part."""

    def __init__(self, configured: int, reserved: int, upstreams: EndpointGroup) -> None:
        """Divide for one process.

        Args:
            configured: descriptors that the configuration allows.
            reserved: descriptors that neither clients nor endpoints get.
            upstreams: the group of endpoints, whose limit is set here.
        """
        self._limit = min(configured, system_descriptor_limit())
        self._usable = max(MIN_USABLE_DESCRIPTORS, self._limit - reserved)
        self._upstreams = upstreams
        self.divide(1)

    def divide(self, processes: int) -> None:
        """Divide again, for one of so many processes of this gateway."""
        self.processes = processes
        upstream = int(self._usable * UPSTREAM_FRACTION / processes)
        self.max_clients = self._usable // processes - upstream
        # Usual clients hold a third at most: well before that, those that ask no more give up their places.
        self.many_clients = self._limit // (5 * processes)
        self._upstreams.set_connection_limit(upstream)
