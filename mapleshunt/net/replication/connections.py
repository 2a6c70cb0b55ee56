"""Connections between the gateways of a fleet: one per pair, which carries the messages of all groups."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass

from tornado.iostream import IOStream, StreamClosedError

from ...replication import wire
from ...replication.messages import Message
from .. import log
from ..client.listener import Acceptor, bind_socket
from ..config import Address, address_family
from ..counters import Counters
from ..periodic import PeriodicTask
from .connection import ConnectionHandlers, PeerConnection

BACKLOG = 64  # connections that wait in the kernel to be accepted
MAX_UNSENT_BYTES = 4 << 20  # write buffer of a connection; frames beyond it are dropped
MAX_UNIDENTIFIED = 64  # connections without a handshake, or from clients
DIAL_TIMEOUT_S = 2.0  # a connection that lasts longer also resets the backoff
# Bounds of the upper limit of the random pause before a redial; the limit doubles with each failure.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MAX_COUNTED_FAILURES = 10


@dataclass(slots=True, frozen=True)
class FleetAddresses:
    """The addresses on which the gateways of a fleet listen for replication."""

    fleet: str
    name: str  # of this gateway
    listen: Address
    peers: Mapping[str, Address]  # of the other gateways, by name


@dataclass(slots=True, frozen=True)
class PeerHandlers:
    """Callbacks of all connections; a connection ends if one raises `wire.ProtocolError`."""

    handshake: Callable[[], wire.Handshake]  # returns the current handshake of this gateway
    on_peer: Callable[[wire.Handshake], None]  # a gateway has connected; called before its messages
    on_message: Callable[[wire.Handshake, int, Message], None]
    on_request: Callable[[PeerConnection, wire.ClientRequest | wire.AdminRequest], None]
    on_response: Callable[[wire.ClientResponse], None]


class PeerConnections:
    """Accepts, dials and tracks all replication connections of this gateway."""

    def __init__(
        self,
        addresses: FleetAddresses,
        handlers: PeerHandlers,
        counters: Counters,
        random_: random.Random,
        silence_check_interval_s: float = 0.25,
    ) -> None:
        """Bind the address; `open` starts to accept and dial.

        Args:
            addresses: the addresses of the fleet.
            handlers: the callbacks of all connections.
            counters: the gateway's counters.
            random_: draws the pauses before a redial.
            silence_check_interval_s: s between two checks of what was heard from each gateway.

        Raises:
            OSError: the address cannot be bound.
        """
        self._addresses = addresses
        self._handlers = handlers
        self._counters = counters
        self._random = random_
        self._connection_handlers = ConnectionHandlers(
            handlers.handshake,
            self._identify,
            handlers.on_message,
            handlers.on_request,
            handlers.on_response,
        )
        self._by_peer: dict[str, PeerConnection] = {}
        self._unidentified: dict[PeerConnection, None] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._flush_scheduled = False
        self._silence_checks = PeriodicTask(self._check_silence, silence_check_interval_s, counters.add)
        self._listener = bind_socket(addresses.listen)
        self._acceptor = Acceptor(
            self._listener,
            self._accept,
            counters,
            "copies_",
            max_accepts_per_turn=lambda: MAX_UNIDENTIFIED // 2,
        )

    def open(self) -> None:
        """Start to accept connections, and dial the peers with a later name."""
        self._listener.listen(BACKLOG)
        self._acceptor.start()
        self._silence_checks.start()
        for peer in self._addresses.peers:
            if self._addresses.name < peer:  # of each pair only one dials
                self._start_task(self._dial(peer))

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _check_silence(self) -> None:
        for connection in list(self._by_peer.values()):
            connection.check_silence()

    def _accept(self, client: socket.socket) -> None:
        if len(self._unidentified) >= MAX_UNIDENTIFIED:
            next(iter(self._unidentified)).close()
        connection = self._new_connection(IOStream(client, max_write_buffer_size=MAX_UNSENT_BYTES))
        self._unidentified[connection] = None
        self._start_task(self._run(connection))

    def _new_connection(self, stream: IOStream, dialed_peer: str = "") -> PeerConnection:
        fleet = self._addresses.fleet
        return PeerConnection(stream, fleet, self._connection_handlers, self._counters, dialed_peer)

    async def _dial(self, peer: str) -> None:
        """Keep a gateway connected, redialing with backoff. Cancellation closes the connection."""
        address = self._addresses.peers[peer]
        failures = 0
        while True:
            started_at, stream = asyncio.get_running_loop().time(), None
            try:  # includes the socket: when descriptors run out, dialing is retried as well
                stream = IOStream(
                    socket.socket(address_family(address)), max_write_buffer_size=MAX_UNSENT_BYTES
                )
                async with asyncio.timeout(DIAL_TIMEOUT_S):
                    await stream.connect(address)
                await self._run(self._new_connection(stream, peer))
            except (OSError, StreamClosedError, TimeoutError):
                if stream is not None:
                    stream.close()
            except Exception:  # a defect must not end the redialing
                self._counters.add("exceptions")
                log.log_exception("link_exception")
            duration_s = asyncio.get_running_loop().time() - started_at
            failures = 0 if duration_s > DIAL_TIMEOUT_S else min(failures + 1, MAX_COUNTED_FAILURES)
            max_pause_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**failures)
            await asyncio.sleep(self._random.uniform(0.0, max_pause_s))

    async def _run(self, connection: PeerConnection) -> None:
        reason = await connection.run()
        self._unidentified.pop(connection, None)
        handshake = connection.remote_handshake
        peer = handshake.gateway if handshake is not None and handshake.incarnation else ""
        if self._by_peer.get(peer) is connection:
            del self._by_peer[peer]
        if peer or reason != "closed":
            log.log_event("link_ended", peer=peer or "none", reason=reason)

    def _identify(self, connection: PeerConnection) -> None:
        """Register a connection under the gateway that its handshake names."""
        handshake = connection.remote_handshake
        assert handshake is not None
        if not handshake.incarnation:
            return  # a client
        if handshake.gateway not in self._addresses.peers or connection.dialed_peer not in (
            "",
            handshake.gateway,
        ):
            raise wire.ProtocolError(
                f"{handshake.gateway!r} is not the dialed gateway or not one of the peers"
            )
        self._unidentified.pop(connection, None)
        if (previous := self._by_peer.get(handshake.gateway)) is not None:
            previous.close()  # the other end has reconnected
        self._by_peer[handshake.gateway] = connection
        log.log_event(
            "link_up", peer=handshake.gateway, incarnation=handshake.incarnation, boot=handshake.boot
        )
        self._handlers.on_peer(handshake)

    def connected_peers(self) -> list[str]:
        """Return the connected gateways in the order of connection."""
        return list(self._by_peer)

    def get(self, peer: str) -> PeerConnection | None:
        """Return the connection to a gateway; None if it is not connected."""
        return self._by_peer.get(peer)

    def handshake_of(self, peer: str) -> wire.Handshake | None:
        """Return the handshake of a gateway, if it is connected."""
        connection = self._by_peer.get(peer)
        return connection.remote_handshake if connection is not None else None

    def send(self, peer: str, incarnation: str, group: int, message: Message) -> None:
        """Send to an incarnation of a gateway in the loop's next turn; drop it if not connected."""
        connection = self._by_peer.get(peer)
        if (
            connection is None
            or connection.remote_handshake is None
            or connection.remote_handshake.incarnation != incarnation
        ):
            return
        if connection.is_stale():
            return
        connection.queue(group, message)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        for connection in list(self._by_peer.values()):
            if connection.has_queued():
                connection.flush()

    def disconnect(self) -> None:
        """Close all connections; gateways then reconnect with a new handshake."""
        for connection in [*self._by_peer.values(), *self._unidentified]:
            connection.close()

    def close(self) -> None:
        """Close the listener and all connections, and stop dialing."""
        self._silence_checks.stop()
        self._acceptor.stop()
        self._listener.close()
        for task in self._tasks:
            task.cancel()
        self.disconnect()
