"""What this gateway durably knows of its fleet: boots of incarnations, groups that exist, generations."""

from __future__ import annotations

from ...replication import boots, wire
from ...replication import messages as m
from .store_tasks import StoreTasks


class FleetKnowledge:
    """Owns what handshakes carry. What changes is written to the store."""

    def __init__(self, fleet: str, gateway: str, tasks: StoreTasks) -> None:
        """Begin with what the store holds."""
        self.gateway = gateway
        self._fleet = fleet
        self._tasks = tasks
        self._store = tasks.store
        self._known_boots = dict(self._store.known_boots)  # the highest boot of each incarnation that was met
        self._formed = self._store.formed_groups  # by bit: the groups that exist
        self._generations = dict(self._store.generations)  # of groups that were recovered by hand

    def replica(self) -> m.Replica:
        """Return this gateway as an incarnation, which a renewed store changes."""
        return f"{self.gateway}/{self._store.incarnation}"

    def handshake(self) -> wire.Handshake:
        """Return what this gateway introduces itself with, as of now."""
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
        """Take over what another gateway knows; return the boot of this store that it has met."""
        received = dict(handshake.known_boots)
        own_boot = received.pop(self._store.incarnation, 0)
        known = boots.remember_boot(
            boots.merge_known_boots(self._known_boots, received), handshake.incarnation, handshake.boot
        )
        changed = known != self._known_boots or handshake.formed_groups | self._formed != self._formed
        self._known_boots = known  # also if nothing changed: the order of the boots counts
        self._formed |= handshake.formed_groups
        if changed:
            self._save()
        return own_boot

    def _save(self) -> None:
        known, formed = dict(self._known_boots), self._formed
        self._tasks.run(lambda: self._store.save_fleet_knowledge(known, formed))

    def generation(self, group: int) -> int:
        """Return how often the group was recovered by hand, in effect; 0 for never."""
        return self._generations.get(group, 0)

    def set_generation(self, group: int, generation: int) -> None:
        """The group was recovered by hand. The caller makes it durable with the group's rows."""
        self._generations[group] = generation

    def is_formed(self, group: int) -> bool:
        """Tell whether the group is known to exist."""
        return bool(self._formed >> group & 1)

    def mark_formed(self, group: int) -> None:
        """The group exists."""
        self._formed |= 1 << group
        self._save()

    def formed_count(self) -> int:
        """Return how many groups are known to exist."""
        return bin(self._formed).count("1")
