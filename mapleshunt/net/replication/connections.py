"""Connections between gateways that hold copies: one a pair, messages of all groups together on it.

A link may lose whatever it likes: a full one drops, a broken one forgets. What counts the copies say again.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable, Coroutine, Mapping

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from ...replication import wire
from ...replication.messages import Message
from .. import log
from ..client.listener import Acceptor, bind_socket
from ..config import Address, address_family
from ..counters import Counters
from ..protocol.read_buffer import MessageTooLongError, ReadBuffer

BACKLOG = 64
MOST_UNSENT = 4 << 20  # bytes that a link holds before it drops
MOST_PACKET = 192 * 1024  # bytes of messages in one frame, about
MOST_STRANGERS = 64  # connections that have not said who they are, or are clients
GREETING = 2.0  # s for that
AGAIN = 0.05, 1.0  # s, the widest pause before a link is dialled again: the first and the longest
ROOM = wire.MAX_FRAME_BYTES + wire.FRAME_HEADER.size


class PeerConnection:
    """One connection, to a gateway or from a client."""

    def __init__(self, links: PeerConnections, stream: IOStream, dialled: str = "") -> None:
        self.links, self.stream, self.dialled = links, stream, dialled
        self.hello: wire.Handshake | None = None
        self.waiting: list[tuple[int, Message]] = []
        self.ended = False
        self.said = ""  # the incarnation that this end greeted as
        stream.set_nodelay(True)

    async def run(self) -> str:
        """Read until it ends; why it did."""
        buffer = ReadBuffer(ROOM)
        limit = asyncio.get_running_loop().call_later(GREETING, self._late)
        try:
            hello = self.links.greeting()
            self.said = hello.incarnation
            self.write(hello)
            while True:
                while found := wire.decode_frame(buffer.data, buffer.start, buffer.end):
                    buffer.consume(found[1])
                    self._take(found[0])
                    if self.ended:
                        return "ended"
                await buffer.fill(self.stream)
        except StreamClosedError:
            return "closed"
        except (wire.ProtocolError, MessageTooLongError) as strange:
            self.links.counters.add("copies_strange")
            return str(strange)
        except Exception:
            self.links.counters.add("exceptions")
            log.log_exception("link_exception")
            return "exception"
        finally:
            limit.cancel()
            self.ended = True
            self.stream.close()

    def _late(self) -> None:
        if self.hello is None:
            self.stream.close()

    def stale(self) -> bool:
        """Does the other end take this one for an incarnation that it is no more? Nothing may pass then: what
        this one says would count as the lost one's word.
        """
        return self.said != self.links.greeting().incarnation

    def _take(self, frame: wire.Frame) -> None:
        if self.stale():
            raise wire.ProtocolError("greeted as another incarnation")
        if self.hello is None:
            if not isinstance(frame, wire.Handshake):
                raise wire.ProtocolError("no greeting")
            wire.check_handshake(frame, self.links.fleet)
            self.hello = frame
            self.links.met(self)
        elif isinstance(frame, wire.MessageBatch) and self.hello.incarnation:
            for group, message in frame.messages:
                self.links.heard(self.hello, group, message)
        elif isinstance(frame, wire.ClientRequest | wire.AdminRequest):
            self.links.called(self, frame)
        elif isinstance(frame, wire.ClientResponse):
            self.links.replied(frame)
        else:
            raise wire.ProtocolError("a frame out of place")

    def write(self, frame: wire.Frame) -> None:
        if not self.ended and not self.stream.closed():
            try:
                self.stream.write(wire.encode_frame(frame))
            except (StreamClosedError, StreamBufferFullError):
                self.links.counters.add("copies_dropped")

    def flush(self) -> None:
        waiting, self.waiting = self.waiting, []
        while waiting:
            size = count = 0
            while count < len(waiting) and (not count or size < MOST_PACKET):
                message = waiting[count][1]
                size += 64 + sum(len(one.data) for one in getattr(message, "entries", ()))
                size += len(getattr(message, "data", b""))
                count += 1
            self.write(wire.MessageBatch(tuple(waiting[:count])))
            waiting = waiting[count:]


class PeerConnections:
    """All of a gateway's. `heard(hello, group, message)` takes messages, `called(link, frame)` calls,
    `replied(reply)` what answers its own, and `met(hello)` whoever has come, before anything else of theirs.
    """

    def __init__(
        self,
        fleet: str,
        name: str,
        listen: Address,
        peers: Mapping[str, Address],
        greeting: Callable[[], wire.Handshake],
        heard: Callable[[wire.Handshake, int, Message], None],
        called: Callable[[PeerConnection, wire.ClientRequest | wire.AdminRequest], None],
        replied: Callable[[wire.ClientResponse], None],
        met: Callable[[wire.Handshake], None],
        counters: Counters,
        chance: random.Random,
    ) -> None:
        """Raises OSError if the address cannot be had."""
        self.fleet, self.name, self.peers = fleet, name, dict(peers)
        self.greeting, self.heard, self.called = greeting, heard, called
        self.replied, self.told_met = replied, met
        self.counters, self.chance = counters, chance
        self.links: dict[str, PeerConnection] = {}  # by gateway, greeted
        self.strangers: dict[PeerConnection, None] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.flushing = False
        self.listener = bind_socket(listen)
        self.acceptor = Acceptor(self.listener, self._take, counters, "copies_")

    def open(self) -> None:
        self.listener.listen(BACKLOG)
        self.acceptor.start()
        for peer in self.peers:
            if self.name < peer:  # one of the two dials
                self._task(self._dial(peer))

    def _task(self, what: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(what)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _take(self, connection: socket.socket) -> None:
        if len(self.strangers) >= MOST_STRANGERS:
            next(iter(self.strangers)).stream.close()
        link = PeerConnection(self, IOStream(connection, max_write_buffer_size=MOST_UNSENT))
        self.strangers[link] = None
        self._task(self._run(link))

    async def _dial(self, peer: str) -> None:
        failures = 0
        while True:
            begun, stream = asyncio.get_running_loop().time(), None
            try:  # the socket too: without a descriptor left the next dial follows all the same
                family = address_family(self.peers[peer])
                stream = IOStream(socket.socket(family), max_write_buffer_size=MOST_UNSENT)
                async with asyncio.timeout(GREETING):
                    await stream.connect(self.peers[peer])
                await self._run(PeerConnection(self, stream, peer))
            except (OSError, StreamClosedError, TimeoutError):
                if stream is not None:
                    stream.close()
            except Exception:  # a defect must not leave this peer without a link for good
                self.counters.add("exceptions")
                log.log_exception("link_exception")
            lasted = asyncio.get_running_loop().time() - begun
            failures = 0 if lasted > GREETING else min(failures + 1, 10)
            await asyncio.sleep(self.chance.uniform(0.0, min(AGAIN[1], AGAIN[0] * 2**failures)))

    async def _run(self, link: PeerConnection) -> None:
        reason = await link.run()
        self.strangers.pop(link, None)
        peer = link.hello.name if link.hello is not None and link.hello.incarnation else ""
        if self.links.get(peer) is link:
            del self.links[peer]
        if peer or reason != "closed":
            log.log_event("link_ended", peer=peer or "none", reason=reason)

    def met(self, link: PeerConnection) -> None:
        hello = link.hello
        assert hello is not None
        if not hello.incarnation:
            return  # a client
        if hello.name not in self.peers or (link.dialled and link.dialled != hello.name):
            raise wire.ProtocolError(f"{hello.name!r} is not expected here")
        self.strangers.pop(link, None)
        if (before := self.links.get(hello.name)) is not None:
            before.stream.close()  # the other end has begun anew
        self.links[hello.name] = link
        log.log_event("link_up", peer=hello.name, incarnation=hello.incarnation, boot=hello.boot)
        self.told_met(hello)

    def here(self, peer: str) -> wire.Handshake | None:
        link = self.links.get(peer)
        return link.hello if link is not None else None

    def send(self, peer: str, incarnation: str, group: int, message: Message) -> None:
        """To that incarnation of a gateway; dropped if it is not there. Goes out at the end of this turn."""
        link = self.links.get(peer)
        if link is None or link.hello is None or link.hello.incarnation != incarnation or link.stale():
            return
        link.waiting.append((group, message))
        if not self.flushing:
            self.flushing = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self.flushing = False
        for link in list(self.links.values()):
            if link.waiting:
                link.flush()

    def hang_up(self) -> None:
        """End all links: they come back with another greeting."""
        for link in [*self.links.values(), *self.strangers]:
            link.stream.close()

    def close(self) -> None:
        self.acceptor.stop()
        self.listener.close()
        for task in self.tasks:
            task.cancel()
        for link in [*self.links.values(), *self.strangers]:
            link.stream.close()
