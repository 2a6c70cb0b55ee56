"""Gossip messages between gateways, as datagrams.

IOStream does not support datagrams: a plain socket on the loop is used.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence

from tornado.ioloop import IOLoop

from .config import Address, address_family
from .counters import Counters

MAX_DATAGRAM_BYTES = 256  # a longer one violates the protocol: it is neither sent nor accepted
MAX_DATAGRAMS_PER_TURN = 64  # read before the loop handles other events
BROADCAST = -1  # in place of a gateway's number: all of them


class GossipTransport:
    """Sends and receives gossip. A sender is identified by its address alone; any message may be lost."""

    def __init__(
        self,
        listen: Address,
        peers: Sequence[Address],
        broadcast: Address,
        on_message: Callable[[int, str], None],
        counters: Counters,
        shared: bool = False,
    ) -> None:
        """Bind the address and start receiving.

        Args:
            listen: this gateway's address.
            peers: the addresses of all gateways, by their number.
            broadcast: the address for messages to all gateways.
            on_message: called with a sender's number and its message.
            counters: the gateway's counters.
            shared: another process of this gateway may have bound the address too. The last to bind receives;
                with SO_REUSEPORT, which is not used, the kernel would divide the senders between both.

        Raises:
            OSError: the address cannot be bound.
        """
        self.peers, self.broadcast_address = peers, broadcast
        self.on_message, self.counters = on_message, counters
        self.peer_numbers = {peer: number for number, peer in enumerate(peers)}
        self.socket = socket.socket(address_family(listen), socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        if shared:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.socket.bind(listen)
        except OSError:
            self.socket.close()
            raise
        IOLoop.current().add_handler(self.socket, self._read, IOLoop.READ)

    def send(self, peer: int, text: str) -> None:
        """Send a message to the gateway numbered `peer`, or to all for `BROADCAST`."""
        data = text.encode()
        if len(data) > MAX_DATAGRAM_BYTES or not BROADCAST <= peer < len(self.peers):
            self.counters.add("peer_messages_unsendable")
            return
        try:
            self.socket.sendto(data, self.broadcast_address if peer == BROADCAST else self.peers[peer])
            self.counters.add("peer_messages_sent")
        except OSError:  # the protocol tolerates lost messages
            self.counters.add("peer_messages_lost")

    def _read(self, _fd: object, _events: int) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data, sender = self.socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:  # for an earlier datagram that was not delivered
                continue
            self._receive(data, sender[:2])

    def _receive(self, data: bytes, sender: Address) -> None:
        number = self.peer_numbers.get(sender)
        if number is None or len(data) > MAX_DATAGRAM_BYTES or not data.isascii():
            self.counters.add("peer_messages_strange")
        else:
            self.counters.add("peer_messages_heard")
            self.on_message(number, data.decode("ascii"))

    def close(self) -> None:
        """Stop receiving and release the address."""
        IOLoop.current().remove_handler(self.socket)
        self.socket.close()
