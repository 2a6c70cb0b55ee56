"""Listening sockets: how each is bound, and how connections are accepted from it."""

from __future__ import annotations

import asyncio
import enum
import errno
import math
import socket
from collections.abc import Callable

from tornado.ioloop import IOLoop

from .. import log
from ..config import Address, address_family
from ..counters import Counters

# Errors of accept that stand for a lack of resources: the connection stays in the backlog.
RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# The pause after such an error: most pass in a moment, and connections wait in the backlog meanwhile. It
# doubles while accept goes on failing; retried without a pause, the loop would do nothing else.
MIN_ACCEPT_RETRY_DELAY_S = 0.001
MAX_ACCEPT_RETRY_DELAY_S = 0.1
BACKLOG_RETRY_DELAY_S = 0.01  # the same while the backlog is emptied before the listener closes
BACKLOG_TIMEOUT_S = 1.0  # for which the backlog is emptied before the listener closes
MAX_ACCEPTS_PER_TURN = 8  # hundreds that come at once must not hold up the requests of others


class AcceptResult(enum.Enum):
    """What one call of accept came to."""

    ACCEPTED = "accepted"
    EMPTY = "empty"  # no connection is in the backlog
    CONNECTION_FAILED = "connection failed"  # this one ended; there may be others behind it
    NO_RESOURCES = "no resources"  # it stays in the backlog


def bind_socket(listen: Address) -> socket.socket:
    """A bound socket that does not listen yet. Raises OSError if the address cannot be had."""
    listener = socket.socket(address_family(listen))
    try:
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(listen)
    except OSError:
        listener.close()
        raise
    return listener


class Acceptor:
    """Accepts connections from a listening socket, between `start` and `stop`."""

    def __init__(
        self,
        listener: socket.socket,
        on_accept: Callable[[socket.socket], None],
        counters: Counters,
        counter_prefix: str = "",
        on_descriptors_exhausted: Callable[[], object] = lambda: None,
        inherited: bool = False,
    ) -> None:
        """Prepare to accept.

        Args:
            listener: a non-blocking socket that listens, or will by `start`.
            on_accept: called with each connection.
            counters: the gateway's counters.
            counter_prefix: of the names of counters and log events.
            on_descriptors_exhausted: called when this process may open no further descriptor.
            inherited: the socket listened before this process began, and connections may wait in its backlog.
        """
        self.listener, self.on_accept, self.counters = listener, on_accept, counters
        self.counter_prefix = counter_prefix
        self.on_descriptors_exhausted = on_descriptors_exhausted
        self.running = False
        self.retry_timer: asyncio.TimerHandle | None = None
        self.retry_delay = MIN_ACCEPT_RETRY_DELAY_S
        # s, on the loop's clock: connections may wait in the backlog since then; None if none does.
        self.blocked_since: float | None = -math.inf if inherited else None

    def start(self) -> None:
        """Accept connections as they come."""
        if not self.running:
            self.running = True
            IOLoop.current().add_handler(self.listener, lambda *_: self._ready(), IOLoop.READ)

    def stop(self) -> None:
        """Accept no further connection; they wait in the backlog."""
        self._block()
        if self.running and self.retry_timer is None:
            IOLoop.current().remove_handler(self.listener)
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        self.running, self.retry_timer = False, None

    async def accept_backlog(self, has_room: Callable[[], bool]) -> None:
        """Accept what the kernel has queued, as long as there is room: closing the listener resets the rest.

        A lack of resources may pass within `BACKLOG_TIMEOUT_S`. Cancelling it leaves the rest queued.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + BACKLOG_TIMEOUT_S
        while has_room() and loop.time() < deadline:
            result = self.accept()
            if result is AcceptResult.EMPTY:
                return
            if result is AcceptResult.NO_RESOURCES:
                await asyncio.sleep(BACKLOG_RETRY_DELAY_S)

    def accept(self) -> AcceptResult:
        """Accept the next connection and hand it on."""
        try:
            connection, _address = self.listener.accept()
        except BlockingIOError:
            self.blocked_since = None
            return AcceptResult.EMPTY
        except OSError as error:
            return self._accept_failed(error)
        self.retry_delay = MIN_ACCEPT_RETRY_DELAY_S
        connection.setblocking(False)
        self._contained(lambda: self.on_accept(connection))
        return AcceptResult.ACCEPTED

    def _contained(self, call: Callable[[], object]) -> None:
        """A defect met by one connection must not end the caller, which may be shutting down."""
        try:
            call()
        except Exception:
            self.counters.add("exceptions")
            log.log_exception(f"{self.counter_prefix}accept_exception")

    def _accept_failed(self, error: OSError) -> AcceptResult:
        self.counters.add(f"{self.counter_prefix}accepts_failed")
        log.log_event(f"{self.counter_prefix}accept_failed", why=error)
        if error.errno not in RESOURCE_ERRORS:
            return AcceptResult.CONNECTION_FAILED
        self._block()
        if error.errno == errno.EMFILE:
            self._contained(self.on_descriptors_exhausted)
        return AcceptResult.NO_RESOURCES

    def _ready(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not self.running or self.retry_timer is not None:
                return
            result = self.accept()
            if result is AcceptResult.EMPTY:
                return
            if result is AcceptResult.NO_RESOURCES:
                self._pause()
                return

    def _block(self) -> None:
        if self.blocked_since is None:
            self.blocked_since = asyncio.get_running_loop().time()

    def max_backlog_wait_s(self) -> float:
        """Return the s that a connection accepted now may have waited in the backlog, at most."""
        return 0.0 if self.blocked_since is None else asyncio.get_running_loop().time() - self.blocked_since

    def _pause(self) -> None:
        if self.running and self.retry_timer is None:
            IOLoop.current().remove_handler(self.listener)
            self.retry_timer = asyncio.get_running_loop().call_later(self.retry_delay, self._resume)
            self.retry_delay = min(2 * self.retry_delay, MAX_ACCEPT_RETRY_DELAY_S)

    def _resume(self) -> None:
        self.retry_timer, self.running = None, False
        self.start()
