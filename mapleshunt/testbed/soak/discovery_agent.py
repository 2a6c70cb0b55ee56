"""The discovery agent of the soak test, behind a fault-injecting proxy."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from ...fleet.discovery import EndpointEntry
from ..answer_modes import AnswerSender
from ..clock import RunClock
from ..discovery_agent import DiscoveryAgent
from ..fault_proxy import FaultProxy


class SoakDiscoveryAgent(DiscoveryAgent):
    """An agent behind a proxy, whose revisions are counted from `first_revision`.

    The proxy may drop what the agent sends, so the fleet decides when a gateway counts as notified.
    """

    def __init__(
        self,
        endpoints: Mapping[int, EndpointEntry],
        zone: str,
        clock: RunClock,
        port_of: Callable[[int], int],
        first_revision: int,
        answers: AnswerSender,
    ) -> None:
        super().__init__(endpoints, zone, clock, port_of, _ignore, answers)
        self._first_revision = first_revision
        self.proxy = FaultProxy(self.port)

    @property
    def revision(self) -> int:
        """The current revision of the endpoint list."""
        return self._first_revision + super().revision

    def response(self, since: int | None) -> dict[str, Any]:
        """Return the changes since that revision, or the whole list if this agent does not know it."""
        if since is None or not self._first_revision <= since <= self.revision:
            return super().response(None)
        return super().response(since - self._first_revision)


def _ignore(_entry: EndpointEntry) -> None:
    """Do nothing when an entry is sent."""
