"""Start, wire, serve, and leave in good order: `python -m mapleshunt`."""

from __future__ import annotations

import asyncio
import contextlib
import math
import os
import random
import resource
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop
from tornado.iostream import IOStream

from .invariants import Guard, broken_by_starting
from .lifecycle.lifecycle import DrainRequester, Lifecycle, State
from .net import log
from .net.backoff import TOLD, Backoff
from .net.client import connection as client
from .net.client.listener import Acceptor, bind_socket
from .net.config import Address, Config, ConfigError, ConfigUnreadable, load, reload, text_of
from .net.counters import Counters
from .net.discovery.watcher import Discovery, MemberList, member_list
from .net.gossip_transport import Peers
from .net.periodic import PeriodicTask
from .net.policy_driver import PolicyDriver
from .net.protocol import resp
from .net.startup import StartupSteps
from .net.upstream.endpoint_group import EndpointGroup
from .policy import interface as i

if TYPE_CHECKING:
    from .extensions import Extensions
    from .net.admin.endpoint import AdminEndpoint, AdminResponse
    from .net.hot_restart.takeover import Takeover

BEGAN = time.monotonic()  # s: when this program was imported
FIRST_WAIT = 0.002  # s that the loop waits, with all made ready, before the gateway listens
LATE = 0.5  # s past the longest deadline for which it stays to finish what it has taken
TEND_EVERY = 0.05  # s
SERVER_SWEEP_EVERY = 1.0  # s
CLIENT_SWEEP_EVERY = 0.1  # s
WATCH_AGAIN = 0.1  # s until the list is watched again after a defect
RELOAD_RETRY_DELAY = 0.05  # s until a configuration that could not be read now is read again
HEAR_AGAIN = 0.1  # s between two tries to have the address of peers' messages
CONFIG_TIMEOUT = 3.0  # s for which a start waits for a configuration that cannot be read
BACKLOG = 512  # connections that wait in the kernel to be accepted
HELD_UP_S = 0.1  # by which the event loop may turn late before that is counted and logged
COUNTERS_EVERY = 10.0  # s: one that is killed prints none at its end
RESTED = 0.1  # s with nothing owed after which a connection makes room when there are many
LINGERERS = 8  # client connections that end in good order beside those that are served
RESERVE = 32  # descriptors kept for the log, the loop, the listener, discovery and peers
SERVERS_PART = 0.4  # part of the other descriptors that connections to till servers may take


class Program:
    """One gateway, wired."""

    def __init__(self, config: Config) -> None:
        self.config, self.counters = config, Counters()
        kept = RESERVE
        if config.management is not None:
            from .net.admin.endpoint import DESCRIPTORS

            kept += DESCRIPTORS
        self.sockets = min(config.sockets, descriptors())  # whichever binds first
        self.usable = max(16, self.sockets - kept)
        self.group = EndpointGroup(self.counters, config.dial_timeout, config.conn_idle / 3, 0)
        self.share(1)
        self.driver = PolicyDriver(config.settings, config.seed, self.group, self.counters)
        self.service = client.ClientConnections(self.driver, self.counters, config.seed, config.max_open)
        self.service.is_ready = self.ready
        self.chance = random.Random(config.seed)
        self.tending = PeriodicTask(self.tend, TEND_EVERY, self.counters.add)
        self.watching: asyncio.Task[None] | None = None
        self.revision: int | None = None  # of the list known
        self.last_told = -math.inf  # s, on the loop's clock: when discovery last answered
        self.told_early: list[int] = []  # SIGHUPs since before the configuration was read
        self.peers: Peers | None = None
        self.stopped = asyncio.Event()
        self.lifecycle = Lifecycle()
        self.listeners: list[socket.socket] = []
        self.acceptors: list[Acceptor] = []
        self.accepting = False
        # A client that does not read may make the gateway hold this much: no more than a part of its memory.
        self.most_unwritten = min(client.MAX_UNWRITTEN_BYTES, max(4 * resp.MAX_VALUE, config.memory // 64))
        self.service.on_connection_ended = self.resume_accepting
        self.door: AdminEndpoint | None = None
        self.succession: Takeover | None = None
        self.extensions: Extensions | None = None
        self.last_try_to_hear = -math.inf

    def share(self, processes: int) -> None:
        """Cut the descriptors that this process may use, one of so many of this gateway, into parts."""
        upstream = int(self.usable * SERVERS_PART / processes)
        self.most_clients = self.usable // processes - upstream
        # Usual clients hold a third at most: well before that, those that ask no more give up their places.
        self.many_clients = self.sockets // (5 * processes)
        self.group.set_connection_limit(upstream)
        self.processes = processes

    def ready(self) -> bool:
        return self.lifecycle.is_ready() and bool(self.group.pools)

    def told(self, found: MemberList) -> None:
        kind: i.ListKind = "complete" if found.complete else "partial"
        self.driver.apply_event(self.group.apply_endpoint_list(kind, found.members, self.age))
        self.revision = found.revision
        self.last_told = self.time()
        if found.complete or found.members:
            log.log_event("members", kind=kind, revision=found.revision, entries=len(found.members))

    def age(self, started: float) -> float:
        """For how many ms a server that the list names now, and did not name before, has been up at most.

        The wall clock may have been stepped before this process began, and no list tells that. But what
        started long before the last answer would have been in that one: discovery tells all within `TOLD`.
        """
        return min(self.driver.now.age(started), 1000 * (self.time() - self.last_told) + TOLD)

    def print_counters(self) -> None:
        self.counters.print(
            open=len(self.driver.open_requests),
            client_connections_now=len(self.service.connections),
            server_connections_now=len(self.group.connections),
            **self.driver.gateway.figures(self.driver.now()),
        )

    # Client connections: at the limit an idle one makes room, and with none idle new ones wait in the
    # kernel. One that was accepted and closed might have carried a request, which would be lost.

    def accept(self, connection: socket.socket) -> None:
        waited = max(one.max_backlog_wait_s() for one in self.acceptors)
        self.service.add(IOStream(connection, max_write_buffer_size=self.most_unwritten), waited)
        if not self.room() and not self.service.evict_idle():
            log.log_event("accepting_paused", client_connections=len(self.service.connections))
            self.stop_accepting()
        if not self.room():
            self.service.close_lingering(LINGERERS)

    def make_room(self) -> None:
        """No descriptor is left: whoever holds one and asks for nothing gives it up."""
        self.service.evict_idle()
        self.service.close_lingering(0)

    def room(self) -> bool:
        """May one more client connection be taken? Some that only linger may stand beside the others."""
        lingering = min(self.service.lingering_count, LINGERERS)
        return len(self.service.connections) - lingering < self.most_clients

    def sweep_clients(self) -> None:
        self.service.reap_overdue(self.many_clients, RESTED)

    def loop_late(self, seconds: float) -> None:
        """The event loop turned so late: the process was held up, or something in it took long."""
        if seconds > HELD_UP_S:
            self.counters.add("loop_held_up")
            self.counters.trace.add("process", "loop_held_up", f"{1000 * seconds:.0f} ms")
            log.log_event("loop_held_up", ms=1000 * seconds)

    def resume_accepting(self) -> None:
        if not self.accepting and self.lifecycle.accepts_connections(self.time()) and self.room():
            log.log_event("accepting_resumed", client_connections=len(self.service.connections))
            self.start_accepting()

    def start_accepting(self) -> None:
        self.accepting = True
        for one in self.acceptors:
            one.start()

    def stop_accepting(self) -> None:
        self.accepting = False
        for one in self.acceptors:
            one.stop()

    async def prepare(self) -> None:
        """Take over the known list and make all ready. Raises `ConfigError` for what does not pass."""
        try:
            if self.config.known is not None:
                known = member_list(self.config.known)
                self.driver.apply_event(
                    self.group.apply_endpoint_list("persisted", known.members, self.driver.now.age)
                )
                self.revision = known.revision if known.members else None
            steps = StartupSteps(self.counters)
            await self._open_sockets(steps)
            await steps.run("operators", self.load_extensions)
        except (ValueError, OSError) as error:
            raise ConfigError(f"cannot start: {error}") from None

    async def _open_sockets(self, steps: StartupSteps) -> None:
        config = self.config
        if config.accept_fd is not None:
            await steps.run("handover", self._join_succession)
        else:
            await steps.run("peers", self.hear)
        if config.management is not None:
            await steps.run("door", self._open_door)
        self.listeners = [await steps.run("listener", self.listener)]
        self.acceptors = [
            Acceptor(
                one,
                self.accept,
                self.counters,
                on_descriptors_exhausted=self.make_room,
                inherited=config.accept_fd is not None,
            )
            for one in self.listeners
        ]

    def _join_succession(self) -> None:
        from .net.hot_restart.takeover import Takeover

        folder = Path(tempfile.gettempdir())
        self.succession = Takeover(folder, self.config.name, self.driver, self.counters)

    def _open_door(self) -> None:
        from .net.admin.endpoint import AdminEndpoint

        assert self.config.management is not None
        self.door = AdminEndpoint(self.config.management, self.called, self.counters)

    def listener(self) -> socket.socket:
        if self.config.accept_fd is not None:  # the platform's, which other processes have too
            listener = socket.socket(fileno=self.config.accept_fd)
            listener.setblocking(False)
            if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise ValueError(f"descriptor {self.config.accept_fd} does not listen")
            return listener
        return bind_socket(self.config.listen)

    def hear(self) -> None:
        """Exchange messages with other gateways from now on, if the settings allow it."""
        config = self.config
        if config.peer_listen is not None and config.peers_all is not None:
            shared = self.succession is not None
            self.peers = Peers(
                config.peer_listen, config.peers, config.peers_all, self.heard, self.counters, shared
            )
            self.driver.send_gossip = self.peers.tell

    def hear_if_possible(self) -> None:
        """A process of a version that does not share the address may still have it: try again later."""
        if self.peers is not None or self.config.peer_listen is None:
            return
        if self.time() - self.last_try_to_hear >= HEAR_AGAIN:
            self.last_try_to_hear = self.time()
            try:
                self.hear()
            except OSError as error:
                log.log_event("peers_not_heard", why=error)

    def listen(self) -> None:
        """Take connections, which are refused until now."""
        for listener in self.listeners if self.config.accept_fd is None else ():
            listener.listen(BACKLOG)
        broken = broken_by_starting(1000 * (time.monotonic() - BEGAN), bool(self.service.connections))
        self.counters.trace.check(Guard.START, broken, "process")
        self.start_accepting()
        self.lifecycle.start_serving()
        self.counters.trace.add("process", "listening")
        if self.succession is not None:
            self.succession.ready()
        self.keep_tending()
        if self.door is not None:
            self.door.open()
        listen = text_of(self.config.listen)
        log.log_event("started", name=self.config.name, listen=listen, servers=len(self.group.pools))

    def called(self, method: str, path: str) -> AdminResponse:
        """What the operators' door answers."""
        from .net.admin.endpoint import AdminResponse

        match method, path:
            case "GET", "/_ready":
                return (
                    AdminResponse(200, "yes\n") if self.lifecycle.is_serving() else AdminResponse(503, "no\n")
                )
            case "POST", "/_lameduck/on":
                self.drain(DrainRequester.OPERATORS)
                return (
                    AdminResponse(200, "drained\n")
                    if self.lifecycle.state is State.DRAINING
                    else AdminResponse(503, "no\n")
                )
            case "POST", "/_lameduck/off":
                self.work_again(DrainRequester.OPERATORS)
                return (
                    AdminResponse(200, "working\n")
                    if self.lifecycle.is_serving()
                    else AdminResponse(503, "no\n")
                )
            case "GET", "/_vars":
                return AdminResponse(200, self.figures())
        return AdminResponse(404, "no such call\n")

    def drain(self, drainer: DrainRequester) -> None:
        self._told("drained", self.lifecycle.drain(self.time(), drainer))

    def work_again(self, drainer: DrainRequester) -> None:
        self._told("back_to_work", self.lifecycle.resume(drainer))

    def held(self) -> tuple[int, int, bool]:
        """Requests that are owed an answer, client connections, and whether it takes no clients."""
        return len(self.driver.open_requests), len(self.service.connections), not self.lifecycle.is_serving()

    def load(self) -> float:
        """The part of this gateway's slots at its servers that tries hold."""
        now = self.driver.gateway.figures(self.driver.now())
        return now["tries_out"] / max(1.0, now["bound"] * now["servers_ready"])

    def _told(self, event: str, changed: bool) -> None:
        if changed:
            self.counters.trace.add("process", event)
            log.log_event(
                event, open=len(self.driver.open_requests), client_connections=len(self.service.connections)
            )
        self.tend()
        self.keep_tending()

    def keep_tending(self) -> None:
        """Tend from time to time, for as long as there is something to tend."""
        if self.succession is None and self.lifecycle.is_serving():
            self.tending.stop()
        elif not self.tending.is_running():
            self.tending.start()

    def _tend_contained(self) -> None:
        """Tend; a defect must not end the process while requests are owed their answers."""
        try:
            self.tend()
        except Exception:
            self.counters.add("exceptions")
            log.log_exception("tend_exception")

    def tend(self) -> None:
        """Do what the gateway's state asks for."""
        now = self.time()
        if self.succession is not None:
            self.succession.tend(self.lifecycle.is_serving())
            self.hear_if_possible()
            if (processes := 1 + self.succession.together) != self.processes:
                self.share(processes)
        self.service.close_idle(
            self.lifecycle.closes_idle_connections(now), not self.lifecycle.reads_while_responding(now)
        )

    @staticmethod
    def time() -> float:
        return asyncio.get_running_loop().time()

    def figures(self) -> str:
        from .lifecycle import statistics

        listed, now = self.group.pools.values(), self.driver.now()
        known = self.driver.gateway.servers
        avoided = sum(
            one.endpoint.state != "ready" or (number in known and known[number].barred > now)
            for number, one in self.group.pools.items()
        )
        gauges = {
            "pending": len(self.driver.open_requests),
            "members": len(listed),
            "members_unavailable": avoided,
        }
        return statistics.render(self.config.settings.classes, self.counters.classes, gauges)

    def load_extensions(self) -> None:
        """What the operators' file asks for; without one nothing of it is imported. Raises `ConfigError`, and
        OSError where another attempt may succeed.
        """
        if not os.environ.get("PROXY_OPERATORS"):
            return
        try:
            from .extensions import Extensions
            from .net.maintenance import GatewayControls

            hands = GatewayControls(
                lambda: self.drain(DrainRequester.MAINTENANCE),
                lambda: self.work_again(DrainRequester.MAINTENANCE),
                self.held,
                self.load,
            )
            self.extensions = Extensions(self.config, self.driver, self.counters, hands)
        except ModuleNotFoundError as error:
            raise ConfigError(f"the operators' settings need the extra 'tools' ({error})") from None

    def watch(self, agent: Address) -> None:
        """Follow this discovery agent, and no longer the one before."""
        if self.watching is not None:
            self.watching.cancel()
        settings = self.config.settings
        backoff = Backoff(settings.instances if settings.ask_discovery else 0, self.chance)
        discovery = Discovery(agent, self.told, self.counters, backoff, self.revision)
        self.watching = asyncio.get_running_loop().create_task(discovery.run())
        self.watching.add_done_callback(self._watch_ended)

    def _watch_ended(self, task: asyncio.Task[None]) -> None:
        """It goes on until it is cancelled: whatever else ended it is told, and it begins anew."""
        if not task.cancelled() and task is self.watching:
            self.counters.add("exceptions")
            log.log_event("watch_ended", why=repr(task.exception()))
            asyncio.get_running_loop().call_later(WATCH_AGAIN, self._watch_again, task)

    def _watch_again(self, ended: asyncio.Task[None]) -> None:
        if ended is self.watching:
            self.watch(self.config.discovery)

    def reload(self) -> None:
        """SIGHUP: go by the addresses that the configuration names now; what is being served goes on.

        Unhandled, the signal ends the program with all it has taken. A new file that cannot be read must
        not end it either: the addresses it had may still do.
        """
        try:
            config = reload()
        except ConfigUnreadable as error:
            log.log_event("reload_retried", why=error)
            asyncio.get_running_loop().call_later(RELOAD_RETRY_DELAY, self.reload)
            return
        except ConfigError as error:
            self.counters.add("reloads_failed")
            log.log_event("reload_failed", why=error)
            return
        self.counters.add("reloads")
        log.log_event("reloaded", discovery=text_of(config.discovery), counter=text_of(config.counter))
        if config.discovery != self.config.discovery:
            self.revision = None  # another agent may count otherwise
        self.config = config
        self.watch(config.discovery)
        if self.extensions is not None:
            self.extensions.reload()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        await self.prepare()
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if self.told_early:  # the file may be another since
            self.reload()
        loop.add_signal_handler(signal.SIGTERM, self.stopped.set)
        loop.add_signal_handler(signal.SIGINT, self.stopped.set)
        loop.add_signal_handler(signal.SIGUSR1, self.print_counters)
        loop.add_signal_handler(signal.SIGQUIT, self.counters.trace.log_all)
        sweeps = [
            PeriodicTask(self.group.close_stale_idle, SERVER_SWEEP_EVERY, self.counters.add),
            PeriodicTask(self.sweep_clients, CLIENT_SWEEP_EVERY, self.counters.add, self.loop_late),
            PeriodicTask(self.print_counters, COUNTERS_EVERY, self.counters.add),
        ]
        for sweep in sweeps:
            sweep.start()
        if self.extensions is not None:
            self.extensions.start()
        self.watch(self.config.discovery)
        # Only now: what comes in while a start uses up the processor stands unread in the kernel's queue for
        # as long, and its patience would be counted from when it was read.
        await asyncio.sleep(FIRST_WAIT)
        if self.succession is not None:
            await self.succession.receive()
            self.hear_if_possible()
        self.listen()
        await self.stopped.wait()
        await self.leave()
        if self.watching is not None:
            self.watching.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.watching
        for sweep in [*sweeps, self.tending]:
            sweep.stop()
        self.group.close()
        for part in (self.peers, self.extensions, self.door, self.succession):
            if part is not None:
                part.close()
        self.print_counters()

    async def leave(self) -> None:
        """Go on for a little, since the front learns late; then finish what was taken."""
        succeeded = self.succession is not None and self.succession.succeeded()
        longest = max((cls.deadline for cls in self.config.settings.classes.values()), default=0.0) / 1000
        self.lifecycle.stop(self.time(), succeeded)
        self.service.final_deadline = self.lifecycle.last_response_at(longest)
        self.counters.trace.add("process", "stopping")
        log.log_event("stopping", open=len(self.driver.open_requests), succeeded=succeeded)
        while self.lifecycle.accepts_connections(self.time()):
            await asyncio.sleep(0.01)
        self._tend_contained()
        # What the kernel has accepted may carry a request; the close of its listener would reset it, or leave
        # it to a process that comes late. The places of those that rested are free now. Where another process
        # accepts from the same socket, that takes the rest.
        beside = self.succession is not None and self.succession.together
        for acceptor in self.acceptors if not beside else ():
            await acceptor.accept_backlog(self.room)
        self.stop_accepting()
        for listener in self.listeners:
            listener.close()
        self.keep_tending()
        try:
            async with asyncio.timeout(longest + LATE):
                while self.service.connections or self.driver.open_requests:
                    await asyncio.sleep(0.01)
        except TimeoutError:  # a client that does not read must not hold up the restart
            left = len(self.service.connections)
            log.log_event("stopped_late", open=len(self.driver.open_requests), client_connections=left)
            for connection in list(self.service.connections):
                connection.close("stopped")

    def heard(self, peer: int, text: str) -> None:
        self.driver.apply_event(i.PeerMessage(peer, text))


def descriptors() -> int:
    """How many this process may hold by the system's word, which binds whatever the configuration says."""
    soft, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 1 << 20 if soft == resource.RLIM_INFINITY else soft


async def _main(config: Config, told_early: list[int]) -> None:
    program = Program(config)
    program.told_early = told_early
    await program.run()


def load_in_time() -> Config:
    """The configuration, read again for a while if the file cannot be read. Raises `ConfigError`."""
    deadline = time.monotonic() + CONFIG_TIMEOUT
    while True:
        try:
            return load()
        except ConfigUnreadable:
            if time.monotonic() > deadline:
                raise
            time.sleep(RELOAD_RETRY_DELAY)


def daemon() -> int:
    """Run the gateway until it is told to end; its exit status."""
    log.configure()
    told_early: list[int] = []
    # Until the loop has it, SIGHUP would end the program. Up to here it is ignored: the deploy file's `run`.
    signal.signal(signal.SIGHUP, lambda number, _frame: told_early.append(number))
    try:
        config = load_in_time()
        uvloop.run(_main(config, told_early))
    except ConfigError as error:
        print(f"mapleshunt: {error}", file=sys.stderr)
        return 2
    return 0


def main() -> int:
    """The gateway; with arguments, the command line, whose libraries the gateway does without."""
    if len(sys.argv) > 1:
        try:
            from .cli import main as command
        except ModuleNotFoundError as error:
            print(f"mapleshunt: the commands need the extra 'tools' ({error})", file=sys.stderr)
            return 2
        return command()
    return daemon()


if __name__ == "__main__":
    raise SystemExit(main())
