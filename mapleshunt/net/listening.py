"""Sockets that listen: how every one of the gateway's is bound, and connections are taken from it."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from tornado.ioloop import IOLoop

from . import log
from .config import Address, family_of
from .counters import Counters

SPENT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # the connection goes on to wait
AGAIN = 0.1  # s until it is tried again: at once, the loop would do nothing else
AT_ONCE = 8  # connections taken in a turn: hundreds that come at once must not hold up the requests of others


def bound(listen: Address) -> socket.socket:
    """Bound and not yet listening. Raises OSError if the address cannot be had."""
    listener = socket.socket(family_of(listen))
    listener.setblocking(False)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(listen)
    return listener


class Acceptor:
    """Takes connections from a listening socket, between `start` and `stop`."""

    def __init__(
        self,
        listener: socket.socket,
        take: Callable[[socket.socket], None],
        counters: Counters,
        whose: str = "",
        spent: Callable[[], object] = lambda: None,
    ) -> None:
        """`spent` is called when no descriptor is left for the next one."""
        self.listener, self.take, self.counters, self.whose = listener, take, counters, whose
        self.spent = spent
        self.running = False
        self.later: asyncio.TimerHandle | None = None

    def start(self) -> None:
        if not self.running:
            self.running = True
            IOLoop.current().add_handler(self.listener, lambda *_: self._ready(), IOLoop.READ)

    def stop(self) -> None:
        if self.running and self.later is None:
            IOLoop.current().remove_handler(self.listener)
        if self.later is not None:
            self.later.cancel()
        self.running, self.later = False, None

    def _ready(self) -> None:
        for _ in range(AT_ONCE):
            if not self.running or self.later is not None or not self.accept():
                return

    def accept(self) -> bool:
        """Take the next one; False if none can be taken now."""
        try:
            connection, _address = self.listener.accept()
        except BlockingIOError:
            return False
        except OSError as error:  # it ended before it was accepted, or no descriptor is left
            self.counters.add(f"{self.whose}accepts_failed")
            log.say(f"{self.whose}accept_failed", why=error)
            if error.errno in SPENT:
                self.spent()
                self._rest()
                return False
            return True
        connection.setblocking(False)
        self.take(connection)
        return True

    def _rest(self) -> None:
        if self.running and self.later is None:
            IOLoop.current().remove_handler(self.listener)
            self.later = asyncio.get_running_loop().call_later(AGAIN, self._again)

    def _again(self) -> None:
        self.later, self.running = None, False
        self.start()
