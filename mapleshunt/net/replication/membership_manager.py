"""Periodic checks that start replicas, form groups and change their members."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from ...replication import messages as m
from ...replication.membership import GatewayPresence, ReplacementDelays, next_membership_step
from ...replication.placement import place_replicas
from ...settings.operators import ReplicationSettings as ReplicationSection
from .. import log
from .connections import PeerConnections
from .fleet_knowledge import FleetKnowledge
from .fleet_presence import FleetPresence
from .group_host import GroupHost, GroupServices
from .replica_groups import ReplicaGroups

TICK_ELECTION_TIMEOUTS = 0.25  # election timeouts between two checks
# Election timeouts for which a replica waits for the other voters' handshakes before it starts: one of them
# may know a newer boot of this store.
START_GRACE_ELECTION_TIMEOUTS = 3.0
MAX_MIGRATIONS = 2  # groups led here that have a learner at a time


class MembershipManager:
    """Forms the groups for which this gateway ranks first, and changes members of those that it leads."""

    def __init__(
        self,
        services: GroupServices,
        section: ReplicationSection,
        groups: ReplicaGroups,
        knowledge: FleetKnowledge,
        presence: FleetPresence,
        peers: PeerConnections,
    ) -> None:
        """Initialize; `start` begins the periodic checks."""
        self._services = services
        self._section = section
        self._groups = groups
        self._knowledge = knowledge
        self._presence = presence
        self._peers = peers
        self._delays = ReplacementDelays(section.replace_after_s, section.settle_after_s)
        self._started_at = 0.0
        self._closed = False

    def start(self, now: float) -> None:
        """Check at once, and then periodically until `close`."""
        self._started_at = now
        self._tick()

    def close(self) -> None:
        """Stop checking."""
        self._closed = True

    def _tick(self) -> None:
        if self._closed:
            return
        try:
            self._check_groups()
        except Exception:
            self._services.counters.add("exceptions")
            log.log_exception("copies_exception")
        delay = TICK_ELECTION_TIMEOUTS * self._services.raft_config.election_timeout_s
        asyncio.get_running_loop().call_later(delay, self._tick)

    def _check_groups(self) -> None:
        fleet = self._presence.update(self._services.now())
        for host in self._groups.hosts.values():
            if not host.started:
                self._start_if_safe(host)
            elif host.is_leader():
                self._change_members(host, fleet)
            if host.node.members().voters and not self._knowledge.is_formed(host.group):
                self._knowledge.mark_formed(host.group)
        for group in range(self._section.groups):
            if self._groups.get(group) is None and not self._knowledge.is_formed(group):
                self._form_if_first(group)

    def _start_if_safe(self, host: GroupHost) -> None:
        """Start a replica once the gateways of all other voters are connected or the grace has passed."""
        others = {m.gateway_of(voter) for voter in host.node.members().voters} - {self._services.gateway}
        grace = START_GRACE_ELECTION_TIMEOUTS * self._services.raft_config.election_timeout_s
        has_waited = self._services.now() - self._started_at > grace
        if has_waited or all(self._presence.is_connected(gateway) for gateway in others):
            host.start()

    def _form_if_first(self, group: int) -> None:
        """Form a group, once, if this gateway is the first by rank.

        All gateways that will hold replicas and a majority of the fleet must be connected, and no connected
        gateway may know of the group.
        """
        own_name = self._services.gateway
        zones = self._presence.zones
        placement = place_replicas(group, zones, self._section.size)
        handshakes = {name: self._peers.handshake_of(name) for name in zones if name != own_name}
        connected = {name: handshake for name, handshake in handshakes.items() if handshake is not None}
        if placement[0] != own_name or not all(name == own_name or name in connected for name in placement):
            return
        has_majority = 2 * (len(connected) + 1) > len(zones)
        if not has_majority or any(handshake.formed_groups >> group & 1 for handshake in connected.values()):
            return
        voters = tuple(
            self._services.replica() if name == own_name else f"{name}/{connected[name].incarnation}"
            for name in placement
        )
        log.log_event("copies_formed", group=group, voters=",".join(voters))
        self._groups.create(group, m.Snapshot(1, 1, 0.0, m.Members(voters), b""))

    def _change_members(self, host: GroupHost, fleet: Mapping[str, GatewayPresence]) -> None:
        """Take the next step to replace a lost replica or to migrate one to a gateway of earlier rank."""
        migrations = sum(len(led_host.node.members().learners) > 0 for led_host in self._groups.led_hosts())
        step = next_membership_step(
            host.group,
            self._section.size,
            self._services.replica(),
            host.node.members(),
            fleet,
            host.evacuated_gateways(),
            self._delays,
            migrations < MAX_MIGRATIONS,
        )
        if step is None:
            return
        if step.action is m.MembershipAction.TRANSFER_LEADERSHIP:
            host.step(m.TransferLeadership(step.replica))
        else:
            number = self._services.local_calls.next_number()
            host.step(m.ChangeMembership(number, step.action, step.replica))
