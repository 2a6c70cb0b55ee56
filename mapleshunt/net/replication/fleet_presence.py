"""The connection state of each gateway of the fleet, and how long it has lasted."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ...replication import messages as m
from ...replication.membership import GatewayPresence
from .connections import PeerConnections


class FleetPresence:
    """Tracks which gateways of the fleet are connected."""

    def __init__(self, zones: Mapping[str, str], gateway: str, replica: Callable[[], m.Replica]) -> None:
        """Initialize without connected gateways; `zones` maps all gateways, this one included."""
        self.zones = dict(zones)
        self.gateway = gateway
        self._replica = replica
        self._peers: PeerConnections
        self._changed_at = dict.fromkeys(self.zones, 0.0)  # s: when it last connected or was lost
        self._connected: set[str] = set()

    def attach(self, peers: PeerConnections) -> None:
        """Use these connections."""
        self._peers = peers

    def start(self, now: float) -> None:
        """Set the start of all durations to now."""
        self._changed_at = dict.fromkeys(self.zones, now)

    def peer_connected(self, peer: str, now: float) -> None:
        """Record that a gateway has connected, possibly as another incarnation."""
        self._changed_at[peer] = now

    def is_connected(self, gateway: str) -> bool:
        """Return whether another gateway is connected."""
        return self._peers.handshake_of(gateway) is not None

    def replica_of(self, gateway: str) -> m.Replica | None:
        """Return the replica id of another gateway; None if it is not connected."""
        handshake = self._peers.handshake_of(gateway)
        return f"{gateway}/{handshake.incarnation}" if handshake is not None else None

    def connected_voters(self, members: m.Members) -> int:
        """Count the voters that are this gateway or connected, with the incarnation that votes."""
        own_replica = self._replica()
        return sum(
            voter == own_replica or self.replica_of(m.gateway_of(voter)) == voter for voter in members.voters
        )

    def update(self, now: float) -> dict[str, GatewayPresence]:
        """Record the gateways that connected or were lost since the last call; return all."""
        for peer in self.zones:
            if peer != self.gateway and (peer in self._connected) != self.is_connected(peer):
                self._changed_at[peer] = now
                self._connected ^= {peer}
        return {
            name: GatewayPresence(zone, self._replica_now(name), now - self._changed_at[name])
            for name, zone in self.zones.items()
        }

    def _replica_now(self, gateway: str) -> m.Replica | None:
        return self._replica() if gateway == self.gateway else self.replica_of(gateway)
