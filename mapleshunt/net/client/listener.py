"""Listening sockets: binding them, and accepting connections from them."""

from __future__ import annotations

import asyncio
import enum
import errno
import select
import socket
from collections.abc import Callable

from tornado.ioloop import IOLoop

from .. import log
from ..config import Address, address_family
from ..counters import Counters

# Errors of accept that mean a lack of resources: the connection stays in the backlog.
RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# Pause after such an error, doubled while accept keeps failing. Most errors are brief, and connections wait
# in the backlog meanwhile, so it starts short; without a pause the loop would only retry accept.
MIN_ACCEPT_RETRY_DELAY_S = 0.001
MAX_ACCEPT_RETRY_DELAY_S = 0.1
BACKLOG_RETRY_DELAY_S = 0.01  # the same pause while the backlog is drained before the listener closes
FULL_TIMEOUT_S = 0.3  # how long queued connections wait then for a place among those that are open
BACKLOG_TIMEOUT_S = 1.0  # limit on draining the backlog before the listener closes
# A burst of connections must not delay requests of others; nor must new ones wait while turns take long, each
# with a command of hundreds of connections.
MAX_ACCEPTS_PER_TURN = 64


class AcceptResult(enum.Enum):
    """Outcome of one call of accept."""

    ACCEPTED = "accepted"
    EMPTY = "empty"  # the backlog holds no connection
    CONNECTION_FAILED = "connection failed"  # this connection failed; others may be queued
    NO_RESOURCES = "no resources"  # the connection stays in the backlog


def bind_socket(address: Address) -> socket.socket:
    """Return a bound socket that does not listen yet. Raises OSError if the address cannot be bound."""
    listener = socket.socket(address_family(address))
    try:
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
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
        max_accepts_per_turn: Callable[[], int] = lambda: MAX_ACCEPTS_PER_TURN,
    ) -> None:
        """Create a stopped acceptor.

        Args:
            listener: a non-blocking socket that listens by the time of `start`.
            on_accept: called with each accepted connection.
            counters: the gateway's counters.
            counter_prefix: prefix of the names of counters and log events.
            on_descriptors_exhausted: called when this process has reached its descriptor limit.
            max_accepts_per_turn: returns the limit on the connections accepted in this turn of the loop.
                Where a new connection ends the oldest one, at most half of what is kept: each is read before
                it may end.
        """
        self.listener, self.on_accept, self.counters = listener, on_accept, counters
        self.counter_prefix = counter_prefix
        self.on_descriptors_exhausted = on_descriptors_exhausted
        self.max_accepts_per_turn = max_accepts_per_turn
        self.running = False
        self.retry_timer: asyncio.TimerHandle | None = None
        self.retry_delay = MIN_ACCEPT_RETRY_DELAY_S

    def start(self) -> None:
        """Accept connections as they arrive."""
        if not self.running:
            self.running = True
            IOLoop.current().add_handler(self.listener, lambda *_: self._on_readable(), IOLoop.READ)

    def stop(self) -> None:
        """Stop accepting; new connections wait in the backlog."""
        if self.running and self.retry_timer is None:
            IOLoop.current().remove_handler(self.listener)
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        self.running, self.retry_timer = False, None

    async def accept_backlog(self, has_capacity: Callable[[], bool]) -> None:
        """Accept the queued connections; closing the listener resets the others.

        A lack of capacity is retried for up to `FULL_TIMEOUT_S`, one of resources for `BACKLOG_TIMEOUT_S`.
        Cancelling leaves the others queued.
        """
        loop = asyncio.get_running_loop()
        deadline, full_deadline = loop.time() + BACKLOG_TIMEOUT_S, loop.time() + FULL_TIMEOUT_S
        while loop.time() < deadline:
            if not has_capacity():
                if loop.time() >= full_deadline or not self.has_queued():
                    return
                await asyncio.sleep(BACKLOG_RETRY_DELAY_S)
                continue
            result = self.accept()
            if result is AcceptResult.EMPTY:
                return
            if result is AcceptResult.NO_RESOURCES:
                await asyncio.sleep(BACKLOG_RETRY_DELAY_S)

    def has_queued(self) -> bool:
        """Return whether a connection waits to be accepted."""
        poller = select.poll()
        poller.register(self.listener.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    def accept(self) -> AcceptResult:
        """Accept the next connection and pass it to `on_accept`."""
        try:
            connection, _address = self.listener.accept()
        except BlockingIOError:
            return AcceptResult.EMPTY
        except OSError as error:
            return self._accept_failed(error)
        self.retry_delay = MIN_ACCEPT_RETRY_DELAY_S
        connection.setblocking(False)
        self._call_logging_exceptions(lambda: self.on_accept(connection))
        return AcceptResult.ACCEPTED

    def _call_logging_exceptions(self, call: Callable[[], object]) -> None:
        """Call `call`, and log an exception, which must not stop the caller, for example during shutdown."""
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
        if error.errno == errno.EMFILE:
            self._call_logging_exceptions(self.on_descriptors_exhausted)
        return AcceptResult.NO_RESOURCES

    def _on_readable(self) -> None:
        for _ in range(self.max_accepts_per_turn()):
            if not self.running or self.retry_timer is not None:
                return
            result = self.accept()
            if result is AcceptResult.EMPTY:
                return
            if result is AcceptResult.NO_RESOURCES:
                self._pause()
                return

    def _pause(self) -> None:
        if self.running and self.retry_timer is None:
            IOLoop.current().remove_handler(self.listener)
            self.retry_timer = asyncio.get_running_loop().call_later(self.retry_delay, self._resume)
            self.retry_delay = min(2 * self.retry_delay, MAX_ACCEPT_RETRY_DELAY_S)

    def _resume(self) -> None:
        self.retry_timer, self.running = None, False
        self.start()
