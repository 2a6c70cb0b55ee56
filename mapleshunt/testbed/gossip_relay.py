"""The network between gateways: a relay of their gossip datagrams, which delays and drops some."""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence

from tornado.ioloop import IOLoop

from ..fleet.network import MessageRateLimiter, Network
from .clock import RunClock
from .ports import HOST

MAX_DATAGRAM_BYTES = 256
MAX_DATAGRAMS_AT_ONCE = 64  # read from one socket before others are served
ALL_PEERS = -1  # in place of a peer: the socket for datagrams to all peers


class GossipRelay:
    """A relay with a socket per gateway and peer, and one per gateway for datagrams to all peers.

    Gateways identify a peer by its source address: a datagram is delivered from the receiver's socket for
    its sender.
    """

    def __init__(
        self, gateways: int, network: Network, limiters: Sequence[MessageRateLimiter], clock: RunClock
    ) -> None:
        """`network` decides which datagrams are lost and how long others take; `limiters` are by receiver."""
        self._gateways, self._network, self._limiters, self._clock = gateways, network, limiters, clock
        self.addresses: dict[int, tuple[str, int]] = {}  # where each gateway listens
        self.oversized_datagrams = 0  # dropped
        self.delivered_bytes = 0
        self._sockets: dict[tuple[int, int], socket.socket] = {}  # by gateway, and peer or ALL_PEERS
        for gateway in range(gateways):
            for peer in range(ALL_PEERS, gateways):
                endpoint = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                endpoint.setblocking(False)
                endpoint.bind((HOST, 0))
                self._sockets[gateway, peer] = endpoint
                IOLoop.current().add_handler(endpoint, self._reader(gateway, peer), IOLoop.READ)

    def address(self, gateway: int, peer: int) -> str:
        """Return the address to which the gateway sends datagrams for that peer, or for `ALL_PEERS`."""
        host, port = self._sockets[gateway, peer].getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        """Close all sockets."""
        for endpoint in self._sockets.values():
            IOLoop.current().remove_handler(endpoint)
            endpoint.close()

    def _reader(self, gateway: int, peer: int) -> Callable[[object, int], None]:
        def read(_descriptor: object, _events: int) -> None:
            for _ in range(MAX_DATAGRAMS_AT_ONCE):
                try:
                    data, _sender = self._sockets[gateway, peer].recvfrom(MAX_DATAGRAM_BYTES + 1)
                except OSError:  # no datagram left
                    return
                self._relay(gateway, peer, data)

        return read

    def _relay(self, sender: int, peer: int, data: bytes) -> None:
        if len(data) > MAX_DATAGRAM_BYTES:
            self.oversized_datagrams += 1
            return
        for receiver in range(self._gateways) if peer == ALL_PEERS else (peer,):
            if receiver == sender:
                continue
            delay = self._network.peer_message_delay(sender, receiver)
            if delay is not None:
                self._clock.at(self._clock.now() + delay, self._deliver, sender, receiver, data)

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        within_limit = self._limiters[receiver].try_acquire(self._clock.now())
        if not within_limit or receiver not in self.addresses:
            return
        self.delivered_bytes += len(data)
        try:
            self._sockets[receiver, sender].sendto(data, self.addresses[receiver])
        except OSError:  # its gateway is down
            return
