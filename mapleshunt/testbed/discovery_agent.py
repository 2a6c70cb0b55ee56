"""Discovery, the counter and the paths between gateways, on sockets: one of each for every gateway."""

from __future__ import annotations

import asyncio
import json
import socket
from typing import TYPE_CHECKING, Any

from tornado.httpserver import HTTPServer
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer
from tornado.web import Application, RequestHandler

from ..fleet.discovery import EndpointEntry
from ..net.protocol import resp
from ..net.protocol.read_buffer import MessageTooLongError, ReadBuffer
from ..platform_terms import STATES
from .backends import HOST

if TYPE_CHECKING:
    from .fleet import LoopbackFleet

PHASES = {state: phase for phase, state in STATES.items()}
DATAGRAM = 256


class DiscoveryAgent:
    """Discovery's agent beside one gateway: what it has been sent, and watches that wait for more."""

    def __init__(self, fleet: LoopbackFleet, gateway: int) -> None:
        self.fleet, self.gateway = fleet, gateway
        self.changes: list[EndpointEntry] = []  # by revision, from 1
        self.news = asyncio.Event()
        (listener,) = bind_sockets(0, HOST)
        self.port: int = listener.getsockname()[1]
        self.server = HTTPServer(
            Application([("/catalog/members", CatalogHandler, {"agent": self})], log_function=quiet)
        )
        self.server.add_sockets([listener])

    @property
    def revision(self) -> int:
        return len(self.changes)

    def change(self, entry: EndpointEntry) -> None:
        self.changes.append(entry)
        self.news.set()
        self.news = asyncio.Event()

    def body(self, since: int | None) -> dict[str, Any]:
        entries = (
            list(self.fleet.endpoint_lists[self.gateway].values()) if since is None else self.changes[since:]
        )
        self._told(entries)
        return {
            "revision": self.revision,
            "complete": since is None,
            "members": [self.row(e) for e in entries],
        }

    def _told(self, entries: list[EndpointEntry]) -> None:
        """These are being written to the gateway."""
        for entry in entries:
            self.fleet.rule_checker.endpoint_notified(self.gateway, entry, self.fleet.clock.now())

    def row(self, entry: EndpointEntry) -> dict[str, Any]:
        started = round(self.fleet.clock.unix + entry.started_at) if entry.started_at else 0
        return {
            "id": f"s-{entry.server:08x}",
            "host_port": f"{HOST}:{self.fleet.backends[entry.server].port}",
            "locality": self.fleet.zone,
            "flavor": "std-3core",
            "cell": entry.cell,
            "phase": PHASES[entry.state],
            "size": 1.0,
            "up_since_ms": started,
        }


class CatalogHandler(RequestHandler):
    def initialize(self, agent: DiscoveryAgent) -> None:
        self.agent = agent

    async def get(self) -> None:
        index = self.get_query_argument("index", "")
        if not index:
            self.write(json.dumps(self.agent.body(None)))
            return
        since = int(index)
        if since >= self.agent.revision:
            wait = min(60000.0, float(self.get_query_argument("wait", "0"))) / 1000
            news = self.agent.news
            try:
                async with asyncio.timeout(wait):
                    await news.wait()
            except TimeoutError:
                pass
        self.write(json.dumps(self.agent.body(min(since, self.agent.revision))))


def quiet(handler: RequestHandler) -> None:
    """Calls to discovery are no news."""


class CounterServer(TCPServer):
    """The counter as one gateway sees it."""

    def __init__(self, fleet: LoopbackFleet, gateway: int) -> None:
        super().__init__()
        self.fleet, self.gateway = fleet, gateway
        (listener,) = bind_sockets(0, HOST)
        self.port: int = listener.getsockname()[1]
        self.add_socket(listener)
        self.streams: set[IOStream] = set()

    def refuse(self) -> None:
        for stream in list(self.streams):
            stream.close()

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        counter, clock = self.fleet.counter, self.fleet.clock
        if counter.outage == "refusing" or len(self.streams) >= 32:
            stream.close()
            return
        self.streams.add(stream)
        buffer = ReadBuffer(resp.MAX_MESSAGE_BYTES)
        try:
            while True:
                await buffer.fill(stream)
                while found := resp.parse_command(buffer.data, buffer.start, buffer.end):
                    buffer.consume(found[1])
                    words = [bytes(word) for word in found[0]]
                    if words[0] == b"PING":
                        await stream.write(b"+PONG\r\n")
                    elif words[0] == b"CNT.ADD" and len(words) == 4:
                        name, amount, life = words[1], float(words[2]), float(words[3])
                        self.fleet.counter_calls += 1
                        word, at, total = counter.call(clock.now(), hash(name), amount, life, self.gateway)
                        await asyncio.sleep(max(0.0, min(at - clock.now(), 1e6)) / 1000)
                        answer = (
                            resp.encode_bulk(f"{total:.7g}".encode())
                            if word == "ok"
                            else resp.encode_error("BUSY")
                        )
                        await stream.write(answer)
                    else:
                        await stream.write(resp.encode_error("ERR unknown command"))
        except (StreamClosedError, resp.ProtocolError, MessageTooLongError, ValueError):
            stream.close()
        finally:
            self.streams.discard(stream)


class GossipRelay:
    """Datagrams between gateways: each has a socket here for every peer, and one for all of them.

    A gateway is known by the address that it sends from; what arrives for it leaves from the socket that
    stands for the sender.
    """

    def __init__(self, fleet: LoopbackFleet, count: int) -> None:
        self.fleet, self.count = fleet, count
        self.sockets: dict[tuple[int, int], socket.socket] = {}  # (gateway, peer or -1)
        self.home: dict[int, tuple[str, int]] = {}  # where each gateway listens
        for gateway in range(count):
            for peer in range(-1, count):
                one = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                one.setblocking(False)
                one.bind((HOST, 0))
                self.sockets[gateway, peer] = one
                IOLoop.current().add_handler(one, self._reader(gateway, peer), IOLoop.READ)

    def address(self, gateway: int, peer: int) -> str:
        host, port = self.sockets[gateway, peer].getsockname()
        return f"{host}:{port}"

    def _reader(self, gateway: int, peer: int) -> Any:
        def read(fd: object, events: int) -> None:
            for _ in range(64):
                try:
                    data, _sender = self.sockets[gateway, peer].recvfrom(DATAGRAM + 1)
                except OSError:
                    return
                if len(data) > DATAGRAM:
                    self.fleet.oversized_datagrams += 1
                    continue
                for other in range(self.count) if peer < 0 else (peer,):
                    if other != gateway:
                        self._pass(gateway, other, data)

        return read

    def _pass(self, sender: int, peer: int, data: bytes) -> None:
        delay = self.fleet.network.peer_message_delay(sender, peer)
        if delay is not None:
            self.fleet.clock.at(self.fleet.clock.now() + delay, self._deliver, sender, peer, data)

    def _deliver(self, sender: int, peer: int, data: bytes) -> None:
        if self.fleet.peer_rate_limiters[peer].try_acquire(self.fleet.clock.now()) and peer in self.home:
            self.fleet.message_bytes += len(data)
            try:
                self.sockets[peer, sender].sendto(data, self.home[peer])
            except OSError:  # its gateway is down
                return

    def close(self) -> None:
        for one in self.sockets.values():
            IOLoop.current().remove_handler(one)
            one.close()
