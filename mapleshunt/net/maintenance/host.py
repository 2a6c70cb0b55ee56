"""Maintenance in a gateway: creates the machine and the coordinator, and calls them periodically."""

from __future__ import annotations

from typing import Any

from ...settings.operators import MaintenanceSettings as MaintenanceSection
from .. import log
from ..counters import Counters
from ..periodic import PeriodicTask
from ..replication.host import ReplicationHost
from .controls import GatewayControls
from .coordinator import Coordinator
from .machine import POLL_INTERVAL_S, Machine
from .proposal_session import ProposalSessions


class MaintenanceHost:
    """Runs this gateway's side of maintenance from `start` to `close`."""

    def __init__(
        self,
        replication: ReplicationHost,
        section: MaintenanceSection,
        controls: GatewayControls,
        counters: Counters,
    ) -> None:
        """Create the parts, and add the entries for the coordinator to the replication status."""
        self._replication = replication
        self._section = section
        self._controls = controls
        self._counters = counters
        self._sessions = ProposalSessions(replication.requests)
        self._machine = Machine(replication, self._sessions, controls)
        self._coordinator = Coordinator(replication, self._sessions, section)
        self._ticks = PeriodicTask(self._tick, POLL_INTERVAL_S, counters.add)
        replication.status_source = self._status

    def start(self) -> None:
        """Start the periodic calls."""
        self._ticks.start()

    def close(self) -> None:
        """Stop the periodic calls."""
        self._ticks.stop()

    def reload(self, section: MaintenanceSection) -> None:
        """Use another section of the operators' file."""
        self._coordinator.reload(section)
        self._section = section

    def _status(self) -> dict[str, Any]:  # Any: whatever msgspec encodes
        """Return the status entries for the coordinator, under the keys that operators read."""
        accepts_clients = not self._controls.occupancy().is_drained
        return {"takes": accepts_clients, "load": self._controls.load(), "version": self._section.version}

    def _tick(self) -> None:
        try:
            now = self._replication.requests.now()
            self._sessions.tick(now)
            self._machine.tick(now)
            group = self._replication.groups.get(0)
            if group is not None and group.is_leader():
                self._coordinator.tick(now, group.state.maintenance)
            else:
                self._coordinator.stop()
        except Exception:
            self._counters.add("exceptions")
            log.log_exception("maintenance_exception")
