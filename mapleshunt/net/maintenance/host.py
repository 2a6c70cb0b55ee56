"""Maintenance on this gateway: wires its parts and drives them periodically."""

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
    """Takes part in maintenance from `start` to `close`."""

    def __init__(
        self,
        replication: ReplicationHost,
        section: MaintenanceSection,
        controls: GatewayControls,
        counters: Counters,
    ) -> None:
        """Wire it, and add to the status of replication what maintenance needs to know."""
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
        """Take part periodically from now on."""
        self._ticks.start()

    def close(self) -> None:
        """Take part no more."""
        self._ticks.stop()

    def reload(self, section: MaintenanceSection) -> None:
        """Use the section of the operators' file as it is now."""
        self._coordinator.reload(section)
        self._section = section

    def _status(self) -> dict[str, Any]:  # Any: whatever msgspec encodes
        """Return what the coordinator needs to know, with the names that operators read."""
        takes_clients = not self._controls.occupancy().is_drained
        return {"takes": takes_clients, "load": self._controls.load(), "version": self._section.version}

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
