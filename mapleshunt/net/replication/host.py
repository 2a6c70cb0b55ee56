"""Replication in a gateway: connects the replicas, their store, the connections and the requests."""

from __future__ import annotations

import asyncio
import errno
import random
from collections.abc import Callable
from typing import Any

import msgspec

from ...replication import boots, generations, wire
from ...replication import messages as m
from ...replication.config import RaftConfig
from ...settings.operators import ReplicationSettings as ReplicationSection
from ...storage.durable_store import DurableStore
from ...storage.errors import StoreUnavailableError
from ...transient_errors import is_transient
from .. import log
from ..config import ConfigError
from ..counters import Counters
from .connection import PeerConnection
from .connections import FleetAddresses, PeerConnections, PeerHandlers
from .fleet_knowledge import FleetKnowledge
from .fleet_presence import FleetPresence
from .group_host import GroupServices
from .local_calls import LocalCalls
from .membership_manager import MembershipManager
from .replica_groups import ReplicaGroups
from .requests import LocalRequests, RequestHandler
from .snapshot_sender import SnapshotSender
from .store_access import ReplicationInUseError, peer_addresses
from .store_tasks import StoreTasks

HEARTBEATS_PER_ELECTION_TIMEOUT = 5
SILENCE_CHECKS_PER_ELECTION_TIMEOUT = 4
MIN_SILENCE_CHECK_INTERVAL_S = 0.125  # also where elections are quick, a gateway may be held up for longer

# Status values by the keys that operators read. Any: whatever msgspec encodes.
Status = dict[str, Any]


class ReplicationHost:
    """Runs this gateway's replicas from `start` to `close`."""

    def __init__(
        self,
        section: ReplicationSection,
        gateway: str,
        store: DurableStore,
        counters: Counters,
        seed: int,
    ) -> None:
        """Create the parts and bind the address; the store is closed if that fails.

        Raises:
            ReplicationInUseError: another process uses the address.
            ConfigError: the address cannot be bound, or the section has no peer named as this gateway.
            StoreUnavailableError: a transient error; another attempt may succeed.
        """
        self.section = section
        self.gateway = gateway
        self.store = store
        self.zones = {peer.name: peer.zone for peer in section.peer}
        self.status_source: Callable[[], Status] = dict  # additional entries of `status`
        self.tasks = StoreTasks(store)
        self._counters = counters
        self._random = random.Random(seed)
        if store.set_aside:
            log.log_event("copies_disk_damaged", set_aside=store.set_aside, incarnation=store.incarnation)
        local_calls = LocalCalls()
        self.knowledge = FleetKnowledge(section.fleet, gateway, self.tasks)
        self.presence = FleetPresence(self.zones, gateway, self.knowledge.replica)
        self._snapshots = SnapshotSender(section.transfer_kb_per_s * 1024, self._send)
        election_timeout_s = section.election_ms / 1000
        self.services = GroupServices(
            gateway=gateway,
            raft_config=RaftConfig(
                election_timeout_s=election_timeout_s,
                heartbeat_interval_s=election_timeout_s / HEARTBEATS_PER_ELECTION_TIMEOUT,
            ),
            counters=counters,
            local_calls=local_calls,
            now=_now,
            replica=self.knowledge.replica,
            boot=lambda: store.boot,
            send=self._send,
            send_chunk=self._snapshots.send,
            write=self.tasks.write,
        )
        self.groups = ReplicaGroups(
            self.services, self.tasks, self.knowledge, self.presence, self._disconnect, self._random
        )
        self._handler = RequestHandler(self.groups, self.presence, section.size, self._encode_status)
        self.peers = self._bind(local_calls)
        self.presence.attach(self.peers)
        self.requests = LocalRequests(
            self.services,
            self.groups,
            self.presence,
            self.peers,
            self._handler,
            section.size,
            self._random,
        )
        self._membership = MembershipManager(
            self.services, section, self.groups, self.knowledge, self.presence, self.peers
        )

    def _bind(self, local_calls: LocalCalls) -> PeerConnections:
        addresses = peer_addresses(self.section, self.gateway)
        peers = {name: address for name, address in addresses.items() if name != self.gateway}
        election_timeout_s = self.section.election_ms / 1000
        handlers = PeerHandlers(
            handshake=self.knowledge.handshake,
            on_peer=self._peer_connected,
            on_message=self._message_received,
            on_request=self._request_received,
            on_response=local_calls.deliver,
        )
        try:
            return PeerConnections(
                FleetAddresses(self.section.fleet, self.gateway, addresses[self.gateway], peers),
                handlers,
                self._counters,
                self._random,
                max(MIN_SILENCE_CHECK_INTERVAL_S, election_timeout_s / SILENCE_CHECKS_PER_ELECTION_TIMEOUT),
            )
        except OSError as error:
            self.store.close()
            if is_transient(error):
                raise StoreUnavailableError(f"cannot listen: {error}") from None
            error_type = ReplicationInUseError if error.errno == errno.EADDRINUSE else ConfigError
            raise error_type(f"copies: cannot listen: {error}") from None

    def start(self) -> None:
        """Load the replicas and connect to the other gateways, in a running event loop."""
        self.tasks.start(self.groups.writes_completed, self.groups.write_failed)
        now = _now()
        self.presence.start(now)
        self._snapshots.start(now)
        self.groups.load()
        self.peers.open()
        log.log_event(
            "copies_started",
            incarnation=self.store.incarnation,
            boot=self.store.boot,
            groups=len(self.groups.hosts),
        )
        self._membership.start(now)

    def close(self) -> None:
        """Stop the replicas, close their connections and close the store."""
        self.tasks.mute()
        self._membership.close()
        self._snapshots.close()
        self.groups.stop()
        self.peers.close()
        self.tasks.close()

    # Connections

    def _send(self, group: int, to: m.Replica, message: m.Message) -> None:
        gateway, _, incarnation = to.rpartition("/")
        channel = generations.channel_of(group, self.knowledge.generation(group))
        self.peers.send(gateway, incarnation, channel, message)

    def _disconnect(self) -> None:
        self.peers.disconnect()

    def _peer_connected(self, handshake: wire.Handshake) -> None:
        own_boot = self.knowledge.merge(handshake)
        self.presence.peer_connected(handshake.gateway, _now())
        if boots.is_store_outdated(self.store.boot, own_boot):
            self.groups.renew(handshake.gateway, own_boot)
        for group, generation in handshake.generations.items():
            if 0 <= group < self.section.groups and generation > self.knowledge.generation(group):
                self.groups.supersede(group, generation)

    def _message_received(self, handshake: wire.Handshake, channel: int, message: m.Message) -> None:
        group, generation = generations.group_and_generation(channel)
        if not 0 <= group < self.section.groups:
            raise wire.ProtocolError(f"there is no group {group}")
        current = self.knowledge.generation(group)
        if generation < current:
            return  # the sender drops its replica once a handshake tells it the newer generation
        if generation > current:
            self.groups.supersede(group, generation)
        host = self.groups.get(group)
        if host is None:
            self.groups.create(group)
        else:
            host.step(m.MessageReceived(f"{handshake.gateway}/{handshake.incarnation}", message))

    def _request_received(
        self, connection: PeerConnection, request: wire.ClientRequest | wire.AdminRequest
    ) -> None:
        self._handler.handle(connection, request)

    # Operators

    def status(self) -> Status:
        """Return the status of this gateway's replication under the keys that operators read."""
        writer = self.tasks.writer
        return {
            "gateway": self.gateway,
            "incarnation": self.store.incarnation,
            "boot": self.store.boot,
            "links": sorted(self.peers.connected_peers()),
            "formed": self.knowledge.formed_count(),
            "commits": writer.commits,
            "writes": writer.writes,
            "failures": writer.failures,
            **self.status_source(),
            "slowest_commit_ms": round(1000 * writer.slowest_commit_s, 1),
            "groups": [
                host.status(self.groups.has_quorum(host)) for _, host in sorted(self.groups.hosts.items())
            ],
        }

    def _encode_status(self) -> bytes:
        return msgspec.msgpack.encode(self.status())


def _now() -> float:
    return asyncio.get_running_loop().time()
