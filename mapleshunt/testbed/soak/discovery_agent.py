"""Discovery's agent in the soak test: revisions of its own, behind a fault-injecting proxy."""

from __future__ import annotations

from typing import Any

from ...fleet.discovery import EndpointEntry
from ..discovery_agent import DiscoveryAgent
from ..fault_proxy import FaultProxy
from ..fleet import LoopbackFleet


class SoakDiscoveryAgent(DiscoveryAgent):
    """A discovery agent whose revisions count from a number of its own, behind a proxy."""

    def __init__(self, fleet: LoopbackFleet, gateway: int, base: int) -> None:
        super().__init__(fleet, gateway)
        self.base = base
        self.proxy = FaultProxy(self.port)

    @property
    def revision(self) -> int:
        return self.base + len(self.changes)

    def _told(self, entries: list[EndpointEntry]) -> None:
        """The fleet says when changes count as told, whatever becomes of answers on their way."""

    def body(self, since: int | None) -> dict[str, Any]:
        if since is None or not self.base <= since <= self.revision:
            return super().body(None)  # a revision that this agent does not know
        return super().body(since - self.base)
