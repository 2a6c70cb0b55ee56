"""Durable knowledge of the fleet: boots of incarnations, existing groups, and groups' generations."""

from __future__ import annotations

from ...replication import boots, wire
from ...replication import messages as m
from .store_tasks import StoreTasks


class FleetKnowledge:
    """The content of this gateway's handshakes; changes are written to the store."""

    def __init__(self, fleet: str, gateway: str, tasks: StoreTasks) -> None:
        """Load the content of the store."""
        self.gateway = gateway
        self._fleet = fleet
        self._tasks = tasks
        self._store = tasks.store
        self._known_boots = dict(self._store.known_boots)  # the newest boot of each known incarnation
        self._formed = self._store.formed_groups  # a bit for each existing group
        self._generations = dict(self._store.generations)  # of manually recovered groups

    def replica(self) -> m.Replica:
        """Return this gateway's replica id, which changes when the store is renewed."""
        return f"{self.gateway}/{self._store.incarnation}"

    def handshake(self) -> wire.Handshake:
        """Return the current handshake of this gateway."""
        return wire.Handshake(
            self._fleet,
            wire.MIN_VERSION,
            wire.MAX_VERSION,
            self.gateway,
            self._store.incarnation,
            self._store.boot,
            self._known_boots,
            self._formed,
            self._generations,
        )

    def merge(self, handshake: wire.Handshake) -> int:
        """Merge another gateway's knowledge; return the boot of this store that it knows, 0 for none."""
        received = dict(handshake.known_boots)
        own_boot = received.pop(self._store.incarnation, 0)
        known = boots.remember_boot(
            boots.merge_known_boots(self._known_boots, received), handshake.incarnation, handshake.boot
        )
        changed = known != self._known_boots or handshake.formed_groups | self._formed != self._formed
        self._known_boots = known  # even if equal: the order decides which boot is dropped first
        self._formed |= handshake.formed_groups
        if changed:
            self._save()
        return own_boot

    def _save(self) -> None:
        known, formed = dict(self._known_boots), self._formed
        self._tasks.run(lambda: self._store.save_fleet_knowledge(known, formed))

    def generation(self, group: int) -> int:
        """Return the group's generation; 0 if it was never recovered manually."""
        return self._generations.get(group, 0)

    def set_generation(self, group: int, generation: int) -> None:
        """Set the generation of a recovered group; the caller stores it with the group's rows."""
        self._generations[group] = generation

    def is_formed(self, group: int) -> bool:
        """Return whether the group is known to exist."""
        return bool(self._formed >> group & 1)

    def mark_formed(self, group: int) -> None:
        """Record that the group exists."""
        self._formed |= 1 << group
        self._save()

    def formed_count(self) -> int:
        """Return how many groups are known to exist."""
        return bin(self._formed).count("1")
