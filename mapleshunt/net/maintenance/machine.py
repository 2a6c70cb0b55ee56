"""The machine of this gateway: polls its maintenance job, and carries out the actions of its agent."""

from __future__ import annotations

import msgspec

from ...maintenance import commands as maintenance_commands
from ...maintenance.agent import AgentAction, MaintenanceAgent, RemainingWork
from ...maintenance.records import MachineJob
from ...replication import messages as m
from ...replication import wire
from .. import log
from ..replication.host import ReplicationHost
from .controls import GatewayControls
from .evacuation_records import EvacuationRecords
from .proposal_session import ProposalSessions

POLL_INTERVAL_S = 0.2  # between two reads of the job
IDLE_POLL_INTERVAL_S = 1.0  # the same while no maintenance is requested
REFUSED_POLL_DELAY_S = 0.1  # after a read that was refused

# The log's timestamp, the job, whether its replicas are migrated, and whether any job is open.
JOB_DECODER: msgspec.msgpack.Decoder[tuple[float, MachineJob | None, bool, bool]] = msgspec.msgpack.Decoder(
    tuple[float, MachineJob | None, bool, bool]
)


class Machine:
    """Drains this gateway and migrates its replicas while it has a grant."""

    def __init__(
        self, replication: ReplicationHost, sessions: ProposalSessions, controls: GatewayControls
    ) -> None:
        """Initialize; `tick` is called periodically."""
        self._replication = replication
        self._requests = replication.requests
        self._gateway = replication.gateway
        self._sessions = sessions
        self._controls = controls
        self._agent = MaintenanceAgent()
        self._evacuation = EvacuationRecords(
            self._requests, sessions, self._gateway, replication.section.groups
        )
        self._job: MachineJob | None = None
        self._has_read = False  # `_job` is the result of a read
        self._move_replicas = False  # the job needs the replicas migrated
        self._has_open_jobs = False  # any machine has an open job
        self._polled_at = float("-inf")  # s
        self._answered_poll_at = float("-inf")  # s; when the read that `_job` comes from began

    def tick(self, now: float) -> None:
        """Poll the job if it is due, and carry out the agent's actions."""
        interval = POLL_INTERVAL_S if self._has_open_jobs else IDLE_POLL_INTERVAL_S
        if now - self._polled_at >= interval:
            self._poll(now)
        if self._has_read:
            self._follow_agent(now)

    def _poll(self, now: float) -> None:
        """Read the job. Earlier reads stay out: their answers count until a later one is answered."""
        self._polled_at = now
        self._requests.send(
            0,
            b"",
            self._requests.leader_of(0),
            lambda response: self._job_received(now, response),
            f"place {self._gateway}",
        )

    def _job_received(self, polled_at: float, response: wire.ClientResponse) -> None:
        if response.status != "done":
            self._requests.apply_redirect(0, response)
            retry_at = self._requests.now() - IDLE_POLL_INTERVAL_S + REFUSED_POLL_DELAY_S
            self._polled_at = min(self._polled_at, retry_at)
            return
        if polled_at < self._answered_poll_at:
            return
        self._answered_poll_at = polled_at
        stamp, job, self._move_replicas, self._has_open_jobs = JOB_DECODER.decode(response.data)
        if job is not None and (self._job is None or self._job.state != job.state):
            log.log_event(
                "maintenance_place", request=job.request_id, state=job.state, fence=job.fencing_token
            )
        self._job, self._has_read = job, True
        self._agent.update_grant(polled_at, stamp, job)

    def _follow_agent(self, now: float) -> None:
        for action in self._agent.step(now, self._job, self._move_replicas, self._remaining_work()):
            self._carry_out(action)
        self._evacuation.marks.follow(self._job)
        self._evacuation.tick(now)

    def _remaining_work(self) -> RemainingWork:
        occupancy = self._controls.occupancy()
        hosts = list(self._replication.groups.hosts.values())
        replica = self._replication.knowledge.replica()
        return RemainingWork(
            occupancy.open_requests,
            occupancy.client_connections,
            sum(host.is_leader() for host in hosts),
            sum(replica in host.node.members().voters for host in hosts),
            occupancy.is_drained,
        )

    def _carry_out(self, action: AgentAction) -> None:
        match action.kind:
            case "drain":
                log.log_event("maintenance_drains", fence=self._agent.fencing_token)
                self._controls.drain()
            case "resume":
                log.log_event("maintenance_resumes", fence=self._agent.fencing_token)
                self._controls.resume()
            case "hand_over":
                self._hand_over(with_replicas=action.state == "copies")
            case "take_back":
                self._evacuation.marks.revoke()
            case "tell" if not self._sessions.at(0).is_busy():
                progress = maintenance_commands.ReportProgress(
                    self._gateway, action.fencing_token, action.state, action.reason
                )
                self._sessions.at(0).propose(progress, lambda _: self._poll(self._requests.now()))

    def _hand_over(self, with_replicas: bool) -> None:
        for host in self._replication.groups.hosts.values():
            if host.is_leader():
                host.step(m.TransferLeadership())
        if with_replicas:
            self._evacuation.marks.evacuate()
