"""The replicas that this gateway holds: loading, creation, manual recovery and removal."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from ...replication import generations
from ...replication import messages as m
from .. import log
from ..counters import Counters
from .fleet_knowledge import FleetKnowledge
from .fleet_presence import FleetPresence
from .group_host import GroupHost, GroupServices
from .store_tasks import StoreTasks

SEED_BITS = 32
GENERATION_RANDOM_BITS = 16
LEADER_CONTACT_TIMEOUTS = 2  # election timeouts for which a leader counts as present after a message
# The first message for a group creates a replica in this state: a leader adds it, or a candidate asks for its
# vote.
EMPTY_SNAPSHOT = m.Snapshot(0, 0, 0.0, m.Members(()), b"")


class ReplicaGroups:
    """Owner of the replicas of all groups on this gateway."""

    def __init__(
        self,
        services: GroupServices,
        tasks: StoreTasks,
        knowledge: FleetKnowledge,
        presence: FleetPresence,
        disconnect: Callable[[], None],
        random_: random.Random,
    ) -> None:
        """Initialize without replicas; `disconnect` makes all gateways reconnect with a new handshake."""
        self.hosts: dict[int, GroupHost] = {}
        self.renewing = False  # the store is being replaced by one of a new incarnation
        self._services = services
        self._tasks = tasks
        self._store = tasks.store
        self._knowledge = knowledge
        self._presence = presence
        self._disconnect = disconnect
        self._random = random_
        self._counters: Counters = services.counters
        self._creating: set[int] = set()

    def open(self, group: int, stored: m.PersistentState) -> GroupHost:
        """Return a replica with this state, which is not started."""
        return GroupHost(self._services, group, stored, self._random.getrandbits(SEED_BITS))

    def load(self) -> None:
        """Open the replicas that the store holds."""
        for group, stored in self._store.groups.items():
            self.hosts[group] = self.open(group, stored)

    def get(self, group: int) -> GroupHost | None:
        """Return the replica of a group; None if this gateway holds none."""
        return self.hosts.get(group)

    def led_hosts(self) -> Iterator[GroupHost]:
        """Yield the replicas that lead their groups."""
        return (host for host in self.hosts.values() if host.is_leader())

    def pending_requests(self) -> int:
        """Return the number of clients' requests that are pending in all groups."""
        return sum(len(host.pending) for host in self.hosts.values())

    def has_quorum(self, host: GroupHost) -> bool:
        """Return whether a majority of a group's voters is connected, or a leader sent a message recently."""
        members = host.node.members()
        connected = self._presence.connected_voters(members)
        timeout = LEADER_CONTACT_TIMEOUTS * self._services.raft_config.election_timeout_s
        has_contact = host.node.election.leader_contact_at > self._services.now() - timeout
        return host.is_leader() or has_contact or connected >= members.majority()

    # The store

    def writes_completed(self, completed: list[tuple[int, int]]) -> None:
        """Pass durable writes, as (group, number) in order, to their replicas."""
        last_writes = dict(completed)  # the highest number of each group
        for group, number in last_writes.items():
            if group in self.hosts:
                self.hosts[group].step(m.WriteCompleted(number))

    def write_failed(self, reason: str) -> None:
        """Hand leadership to other gateways: this one acknowledges nothing until the commit succeeds."""
        self._counters.add("copies_disk_failures")
        log.log_event("copies_disk_failed", why=reason)
        for host in self.hosts.values():
            host.step(m.TransferLeadership())

    # Creation and removal

    def create(self, group: int, snapshot: m.Snapshot = EMPTY_SNAPSHOT) -> None:
        """Create a replica in the store, and start it."""
        if group in self._creating or group in self.hosts or self.renewing:
            return
        self._creating.add(group)
        generation = self._knowledge.generation(group)
        self._tasks.run(
            lambda: self._store.create(group, snapshot),
            lambda stored: self._created(group, generation, stored),
        )

    def _created(self, group: int, generation: int, stored: m.PersistentState) -> None:
        self._creating.discard(group)
        if self.renewing:
            return  # its rows are deleted with all others of the earlier incarnation
        if group not in self.hosts and generation == self._knowledge.generation(group):
            self.hosts[group] = self.open(group, stored)
            self.hosts[group].start()

    def supersede(self, group: int, generation: int) -> None:
        """Delete a replica whose group was recovered manually without it, in a newer generation."""
        self._knowledge.set_generation(group, generation)
        if (host := self.hosts.pop(group, None)) is not None:
            host.stop()
            last_index = host.node.log.last_index()
            log.log_event("copies_superseded", group=group, last=last_index, generation=generation)
        self._tasks.run(lambda: self._store.delete_group(group, generation))

    def recover(self, group: int, state_token: str) -> bool:
        """Continue a group with this gateway's replica as the only member, on an operator's request.

        Returns:
            False, with nothing done, unless the replica is in the state that the operator confirmed and the
            group has no quorum.
        """
        host = self.hosts.get(group)
        if host is None or not host.started or host.is_leader():
            return False
        if state_token != host.state_token() or self.has_quorum(host):
            return False
        generation = generations.next_generation(
            self._knowledge.generation(group), self._random.getrandbits(GENERATION_RANDOM_BITS)
        )
        log.log_event(
            "copies_recovered",
            group=group,
            last=host.node.log.last_index(),
            commit=host.node.commit_index,
            without=",".join(host.node.members().all()),
            generation=generation,
        )
        host.stop()
        del self.hosts[group]
        self._creating.add(group)
        self._knowledge.set_generation(group, generation)
        self._tasks.run(
            lambda: self._store.recover(group, generation, self._services.replica()),
            lambda stored: self._created(group, generation, stored),
            lambda _: self._disconnect(),  # the new handshakes carry the generation to all gateways
        )
        return True

    def renew(self, peer: str, boot: int) -> None:
        """Empty the store and begin a new incarnation, as the store was restored from an older copy.

        What the incarnation sent after that copy is not in the store: `peer` knows its later boot `boot`.
        """
        if self.renewing:
            return
        log.log_event("copies_disk_older", teller=peer, boot=self._store.boot, known=boot)
        self._counters.add("copies_disk_older")
        self.stop()
        self.hosts.clear()
        self.renewing = True  # until all connections of the earlier incarnation are closed
        self._tasks.run(self._store.renew, self._renewed)

    def _renewed(self, _: None) -> None:
        self._disconnect()
        self.renewing = False
        log.log_event("copies_renewed", incarnation=self._store.incarnation)

    def stop(self) -> None:
        """Stop all replicas."""
        for host in self.hosts.values():
            host.stop()
