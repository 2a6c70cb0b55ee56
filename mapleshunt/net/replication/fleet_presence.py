"""Which gateways of the fleet are connected, and since when that has been so."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ...replication import messages as m
from ...replication.membership import GatewayPresence
from .connections import PeerConnections


class FleetPresence:
    """Follows the connections of all gateways of the fleet."""

    def __init__(self, zones: Mapping[str, str], gateway: str, replica: Callable[[], m.Replica]) -> None:
        """Begin with no gateway connected. `zones` are by gateway, this one among them."""
        self.zones = dict(zones)
        self.gateway = gateway
        self._replica = replica
        self._peers: PeerConnections
        self._changed_at = dict.fromkeys(self.zones, 0.0)  # s: when a gateway last came or was lost
        self._connected: set[str] = set()

    def attach(self, peers: PeerConnections) -> None:
        """Follow these connections."""
        self._peers = peers

    def start(self, now: float) -> None:
        """Count all times from now on."""
        self._changed_at = dict.fromkeys(self.zones, now)

    def peer_connected(self, peer: str, now: float) -> None:
        """A gateway has connected, perhaps as another incarnation."""
        self._changed_at[peer] = now

    def is_connected(self, gateway: str) -> bool:
        """Tell whether another gateway is connected."""
        return self._peers.handshake_of(gateway) is not None

    def replica_of(self, gateway: str) -> m.Replica | None:
        """Return a connected gateway as its incarnation."""
        handshake = self._peers.handshake_of(gateway)
        return f"{gateway}/{handshake.incarnation}" if handshake is not None else None

    def connected_voters(self, members: m.Members) -> int:
        """Return how many voters are this gateway or connected, as the incarnations that vote."""
        me = self._replica()
        return sum(voter == me or self.replica_of(m.gateway_of(voter)) == voter for voter in members.voters)

    def update(self, now: float) -> dict[str, GatewayPresence]:
        """Note who came or was lost since the last call, and return all gateways."""
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
