"""The coordinator of maintenance: the gateway that leads group 0."""

from __future__ import annotations

import time
from typing import Any

import msgspec

from ...maintenance import commands as maintenance_commands
from ...maintenance import fleet_view
from ...maintenance.jobs import MaintenanceJobs
from ...replicated_state.results import Denied, Result
from ...replication import wire
from ...settings.operators import MaintenanceSettings as MaintenanceSection
from .. import log
from ..replication.host import ReplicationHost
from .proposal_session import ProposalSessions

VIEW_INTERVAL_S = 0.5  # between two fleet views in the log
STATUS_MAX_AGE_S = 1.5  # beyond which a gateway's status is not used


class Coordinator:
    """Proposes the operators' budget and fleet views to the log, which decides on grants."""

    def __init__(
        self, replication: ReplicationHost, sessions: ProposalSessions, section: MaintenanceSection
    ) -> None:
        """Initialize; `tick` is called periodically while this gateway leads group 0."""
        self._replication = replication
        self._requests = replication.requests
        self._sessions = sessions
        self._section = section
        self._viewed_at = float("-inf")  # s
        self._leading_since = float("inf")  # s
        self._logged_reason = ""  # the last logged reason why jobs wait
        # Status of each gateway with its time of receipt. Any: a status as msgspec decodes it.
        self._statuses: dict[str, tuple[float, dict[str, Any]]] = {}

    def reload(self, section: MaintenanceSection) -> None:
        """Use another section, and propose its budget if that differs."""
        if section.budget() != self._section.budget():
            self._propose_budget(section)
        self._section = section

    def _propose_budget(self, section: MaintenanceSection) -> None:
        command = maintenance_commands.SetBudget(section.budget(), self._replication.gateway)
        self._sessions.at(0).propose(command, self._budget_responded)

    def _budget_responded(self, result: Result) -> None:
        log.log_event(
            "maintenance_budget",
            result="Denied" if isinstance(result, Denied) else "Done",
            why=result.reason if isinstance(result, Denied) else "",
        )

    def stop(self) -> None:
        """Record that this gateway does not lead group 0."""
        self._leading_since = float("inf")

    def tick(self, now: float, jobs: MaintenanceJobs) -> None:
        """Propose the budget if the log has none, and a fleet view while jobs are open."""
        has_own_budget = jobs.budget == self._section.budget()
        if not has_own_budget and not jobs.budget_was_set and not self._sessions.at(0).is_busy():
            self._propose_budget(self._section)
        if not jobs.open_jobs() or now - self._viewed_at < VIEW_INTERVAL_S:
            return
        self._viewed_at = now
        self._poll_statuses()
        peers = self._replication.peers.connected_peers()
        statuses = {
            name: status for name, (at, status) in self._statuses.items() if now - at <= STATUS_MAX_AGE_S
        }
        statuses = {name: status for name, status in statuses.items() if name in peers}
        self._leading_since = min(self._leading_since, now)
        if now - self._leading_since < STATUS_MAX_AGE_S and len(statuses) < len(peers):
            return  # a new leader: a gateway that has not responded yet is not lost
        statuses[self._replication.gateway] = self._replication.status()
        view = fleet_view.build_fleet_view(
            time.time(), self._replication.zones, self._replication.section.groups, statuses, jobs
        )
        if not self._sessions.at(0).is_busy():
            term = self._term()
            self._sessions.at(0).propose(view, lambda _: None, lambda: self._leads_in(term))
        if jobs.blocked_reason != self._logged_reason:
            self._logged_reason = jobs.blocked_reason
            log.log_event("maintenance_waits", why=jobs.blocked_reason or "no more")

    def _term(self) -> int:
        """Return the term that this gateway's replica of group 0 knows."""
        group = self._replication.groups.get(0)
        return group.node.term if group is not None else 0

    def _leads_in(self, term: int) -> bool:
        """Return whether this gateway still leads group 0 in the term: what it sends goes to its own log."""
        group = self._replication.groups.get(0)
        return group is not None and group.is_leader() and group.node.term == term

    def _poll_statuses(self) -> None:
        for peer in self._replication.peers.connected_peers():
            self._poll_status(peer)

    def _poll_status(self, peer: str) -> None:
        def status_received(response: wire.ClientResponse) -> None:
            if response.status == "done":
                status = msgspec.msgpack.decode(response.data)
                self._statuses[peer] = (self._requests.now(), status)

        self._requests.send_admin(peer, "status", status_received)
