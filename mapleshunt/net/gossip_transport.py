"""Messages between gateways. IOStream has no datagrams: a plain socket on the loop takes its place."""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence

from tornado.ioloop import IOLoop

from .config import Address, family_of
from .counters import Counters

MOST = 256  # bytes of a datagram
AT_ONCE = 64  # datagrams read before others get their turn


class Peers:
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
        self.peers, self.everyone, self.heard, self.counters = peers, everyone, heard, counters
        self.numbers = {peer: number for number, peer in enumerate(peers)}
        self.socket = socket.socket(family_of(listen), socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        if shared:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.socket.bind(listen)
        except OSError:
            self.socket.close()
            raise
        IOLoop.current().add_handler(self.socket, self._read, IOLoop.READ)

    def tell(self, peer: int, text: str) -> None:
        data = text.encode()
        if len(data) > MOST or not -1 <= peer < len(self.peers):
            self.counters.add("peer_messages_unsendable")
            return
        try:
            self.socket.sendto(data, self.everyone if peer < 0 else self.peers[peer])
            self.counters.add("peer_messages_sent")
        except OSError:  # a message may be lost anywhere
            self.counters.add("peer_messages_lost")

    def _read(self, _fd: object, _events: int) -> None:
        for _ in range(AT_ONCE):
            try:
                data, sender = self.socket.recvfrom(MOST + 1)
            except BlockingIOError:
                return
            except OSError:  # an earlier datagram could not be delivered
                continue
            number = self.numbers.get(sender[:2])
            if number is None or len(data) > MOST or not data.isascii():
                self.counters.add("peer_messages_strange")
            else:
                self.counters.add("peer_messages_heard")
                self.heard(number, data.decode("ascii"))

    def close(self) -> None:
        IOLoop.current().remove_handler(self.socket)
        self.socket.close()
