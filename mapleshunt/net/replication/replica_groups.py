"""The groups of which this gateway holds a replica: loaded, created, recovered by hand, and given up."""

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
# Elections' timeouts for which a leader that was heard counts as there.
LEADER_HEARD_TIMEOUTS = 2
# An empty replica: it is to join the group, or its vote is wanted, of which it has none and says so.
EMPTY_SNAPSHOT = m.Snapshot(0, 0, 0.0, m.Members(()), b"")


class ReplicaGroups:
    """Owns the replicas of all groups on this gateway."""

    def __init__(
        self,
        services: GroupServices,
        tasks: StoreTasks,
        knowledge: FleetKnowledge,
        presence: FleetPresence,
        disconnect: Callable[[], None],
        random_: random.Random,
    ) -> None:
        """Begin without a replica. `disconnect` makes all gateways connect anew, with another handshake."""
        self.hosts: dict[int, GroupHost] = {}
        self.renewing = False  # the store is being renewed under another incarnation
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
        """Return a replica with this state, which has not begun to take part."""
        return GroupHost(self._services, group, stored, self._random.getrandbits(SEED_BITS))

    def load(self) -> None:
        """Open the replicas that the store holds."""
        for group, stored in self._store.groups.items():
            self.hosts[group] = self.open(group, stored)

    def get(self, group: int) -> GroupHost | None:
        """Return the replica of a group, if this gateway holds one."""
        return self.hosts.get(group)

    def led(self) -> Iterator[GroupHost]:
        """Yield the replicas that lead their groups."""
        return (host for host in self.hosts.values() if host.is_leader())

    def pending_requests(self) -> int:
        """Return how many requests of clients are pending in all groups."""
        return sum(len(host.pending) for host in self.hosts.values())

    def has_quorum(self, host: GroupHost) -> bool:
        """Tell whether a majority of a group's voters is connected, or a leader was heard of late."""
        members = host.node.members()
        connected = self._presence.connected_voters(members)
        timeout = LEADER_HEARD_TIMEOUTS * self._services.raft_config.election_timeout_s
        heard = host.node.election.leader_contact_at > self._services.now() - timeout
        return host.is_leader() or heard or connected >= members.majority()

    # The store

    def writes_completed(self, done: list[tuple[int, int]]) -> None:
        """Writes are durable: group and number of each, in order."""
        last = dict(done)  # the highest of each group
        for group, number in last.items():
            if group in self.hosts:
                self.hosts[group].step(m.WriteCompleted(number))

    def write_failed(self, why: str) -> None:
        """A commit failed. Nothing is acknowledged until it is durable; led groups go to other gateways."""
        self._counters.add("copies_disk_failures")
        log.log_event("copies_disk_failed", why=why)
        for host in self.hosts.values():
            host.step(m.TransferLeadership())

    # Creation and removal

    def create(self, group: int, snapshot: m.Snapshot = EMPTY_SNAPSHOT) -> None:
        """Create a replica in the store, which then takes part."""
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
            return  # its rows are deleted with all others of the incarnation that is given up
        if group not in self.hosts and generation == self._knowledge.generation(group):
            self.hosts[group] = self.open(group, stored)
            self.hosts[group].begin()

    def supersede(self, group: int, generation: int) -> None:
        """Give up a replica: its group was recovered by hand without it, and it counts for nothing."""
        self._knowledge.set_generation(group, generation)
        if (host := self.hosts.pop(group, None)) is not None:
            host.end()
            last = host.node.log.last_index()
            log.log_event("copies_superseded", group=group, last=last, generation=generation)
        self._tasks.run(lambda: self._store.delete_group(group, generation))

    def recover(self, group: int, state_token: str) -> bool:
        """Go on with this gateway's replica alone, by hand of an operator.

        Returns False, with nothing done, unless the replica holds what the operator was shown and the group
        has no quorum.
        """
        host = self.hosts.get(group)
        if host is None or not host.begun or host.is_leader():
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
        host.end()
        del self.hosts[group]
        self._creating.add(group)
        self._knowledge.set_generation(group, generation)
        self._tasks.run(
            lambda: self._store.recover(group, generation, self._services.replica()),
            lambda stored: self._created(group, generation, stored),
            lambda _: self._disconnect(),  # handshakes tell all of the new generation
        )
        return True

    def renew(self, witness: str, boot: int) -> None:
        """Begin anew as another incarnation: the store was put back from an older copy.

        What this incarnation sent since is not in the store. `witness` has met its boot `boot`.
        """
        if self.renewing:
            return
        log.log_event("copies_disk_older", teller=witness, boot=self._store.boot, known=boot)
        self._counters.add("copies_disk_older")
        self.end()
        self.hosts.clear()
        self.renewing = True  # until nobody hears this one as its old incarnation any more
        self._tasks.run(self._store.renew, self._renewed)

    def _renewed(self, _: None) -> None:
        self._disconnect()
        self.renewing = False
        log.log_event("copies_renewed", incarnation=self._store.incarnation)

    def end(self) -> None:
        """Let no replica take part any more."""
        for host in self.hosts.values():
            host.end()
