"""Start, wire, serve, and leave in good order: `python -m mapleshunt`."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import sys

import uvloop
from tornado.ioloop import PeriodicCallback
from tornado.iostream import IOStream
from tornado.netutil import add_accept_handler, bind_sockets

from . import interface as i
from .net import client, log
from .net.config import Config, ConfigError, load
from .net.counters import Counters
from .net.discovery import Discovery, MemberList, member_list
from .net.driver import Driver
from .net.peers import Peers
from .net.upstream import UpstreamGroup

STAY = 0.5  # s after SIGTERM for which new connections are still taken
RESERVE = 32  # descriptors kept for the log, the loop, the listener, discovery and peers
SERVERS_PART = 0.4  # part of the other descriptors that connections to till servers may take


class Program:
    """One gateway, wired."""

    def __init__(self, config: Config) -> None:
        self.config, self.counters = config, Counters()
        usable = max(16, config.sockets - RESERVE)
        upstream = int(usable * SERVERS_PART)
        self.most_clients = usable - upstream
        self.group = UpstreamGroup(self.counters, config.dial_timeout, config.conn_idle / 3, upstream)
        self.driver = Driver(config.settings, config.seed, self.group, self.counters)
        self.service = client.Service(self.driver, self.counters, config.seed, config.max_open)
        self.service.ready = self.ready
        self.discovery = Discovery(config.discovery, self.told, self.counters)
        self.peers: Peers | None = None
        self.stopped = asyncio.Event()

    def ready(self) -> bool:
        return bool(self.group.servers)

    def told(self, found: MemberList) -> None:
        kind: i.ListKind = "complete" if found.complete else "partial"
        self.driver.feed(self.group.update(kind, found.members))
        log.say("members", kind=kind, revision=found.revision, entries=len(found.members))

    def print_counters(self) -> None:
        self.counters.print(
            open=len(self.driver.open),
            client_connections_now=len(self.service.connections),
            server_connections_now=len(self.group.connections),
        )

    def accept(self, connection: socket.socket, _address: object) -> None:
        if len(self.service.connections) >= self.most_clients:
            self.counters.add("client_connections_over_limit")
            log.say("client_connection_ended", reason="too_many", commands=0, owed=0)
            connection.close()
            return
        stream = IOStream(connection, max_write_buffer_size=client.MOST_UNWRITTEN)
        self.service.serve(stream)

    async def run(self) -> None:
        config, loop = self.config, asyncio.get_running_loop()
        if config.known is not None:
            self.driver.feed(self.group.update("persisted", member_list(config.known).members))
        if config.peer_listen is not None and config.peers_all is not None:
            self.peers = Peers(config.peer_listen, config.peers, config.peers_all, self.heard, self.counters)
            self.driver.tell = self.peers.tell
        host, port = config.listen
        remove = [add_accept_handler(one, self.accept) for one in bind_sockets(port, host, backlog=512)]
        loop.add_signal_handler(signal.SIGTERM, self.stopped.set)
        loop.add_signal_handler(signal.SIGINT, self.stopped.set)
        loop.add_signal_handler(signal.SIGUSR1, self.print_counters)
        sweep = PeriodicCallback(self.group.sweep, 1000)
        sweep.start()
        watch = loop.create_task(self.discovery.run())
        log.say("started", name=config.name, listen=f"{host}:{port}", servers=len(self.group.servers))
        await self.stopped.wait()
        log.say("stopping", open=len(self.driver.open))
        await asyncio.sleep(STAY)
        for take_off in remove:
            take_off()
        self.service.drain()
        while self.service.connections or self.driver.open:
            await asyncio.sleep(0.01)
        watch.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watch
        sweep.stop()
        self.group.close()
        if self.peers is not None:
            self.peers.close()
        self.print_counters()

    def heard(self, peer: int, text: str) -> None:
        self.driver.feed(i.PeerMessage(peer, text))


async def _main(config: Config) -> None:
    await Program(config).run()


def main() -> int:
    log.set_up()
    try:
        config = load()
        uvloop.run(_main(config))
    except (ConfigError, ValueError, OSError) as error:
        print(f"mapleshunt: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
