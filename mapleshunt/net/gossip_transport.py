"""Messages between gateways. IOStream has no datagrams: a plain socket on the loop takes its place."""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence

from tornado.ioloop import IOLoop

from .config import Address, address_family
from .counters import Counters

MAX_DATAGRAM_BYTES = 256  # bytes of a datagram
MAX_DATAGRAMS_PER_TURN = 64  # datagrams read before others get their turn


class GossipTransport:
    """Calls `heard` with a peer's number and its text. A sender is known by its address alone."""

    def __init__(
        self,
        listen: Address,
        peers: Sequence[Address],
        everyone: Address,
        heard: Callable[[int, str], None],
        counters: Counters,
        shared: bool = False,
    ) -> None:
        """`shared`: another process of this gateway may have the address too. The last to bind it hears;
        with SO_REUSEPORT, the option not taken, the kernel would deal the senders out among both.
        Raises OSError if the address cannot be had.
        """
        self.peers, self.broadcast_address, self.on_message, self.counters = peers, everyone, heard, counters
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
        data = text.encode()
        if len(data) > MAX_DATAGRAM_BYTES or not -1 <= peer < len(self.peers):
            self.counters.add("peer_messages_unsendable")
            return
        try:
            self.socket.sendto(data, self.broadcast_address if peer < 0 else self.peers[peer])
            self.counters.add("peer_messages_sent")
        except OSError:  # a message may be lost anywhere
            self.counters.add("peer_messages_lost")

    def _read(self, _fd: object, _events: int) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data, sender = self.socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:  # an earlier datagram could not be delivered
                continue
            number = self.peer_numbers.get(sender[:2])
            if number is None or len(data) > MAX_DATAGRAM_BYTES or not data.isascii():
                self.counters.add("peer_messages_strange")
            else:
                self.counters.add("peer_messages_heard")
                self.on_message(number, data.decode("ascii"))

    def close(self) -> None:
        IOLoop.current().remove_handler(self.socket)
        self.socket.close()
