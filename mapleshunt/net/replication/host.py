"""The host of a gateway's copies: its groups, their disk, their links, and who answers calls.

Decisions are those of `copies.node` and `holdings.state`; here are clock, timers, disk and sockets.
"""

from __future__ import annotations

import asyncio
import errno
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from ...replication import messages as m
from ...replication import wire
from ...replication.config import RaftConfig
from ...replication.membership import GatewayPresence, ReplacementDelays, next_membership_step
from ...replication.pace import SnapshotPacer
from ...replication.placement import place_replicas
from ...replication.roles import Role
from ...settings.operators import Copies as Section
from ...storage.durable_store import DurableStore, StoreError, StoreInUseError, StoreUnavailableError
from ...storage.writer import StoreWriter
from ...transient_errors import is_transient
from .. import log
from ..config import Address, ConfigError, parse_address
from ..counters import Counters
from .connections import PeerConnection, PeerConnections
from .group_host import GroupHost, LocalConnection
from .local_calls import LocalCalls

TEND = 0.25  # of an election's timeout: how often membership and forming are looked at
GRACE = 3.0  # elections that a start waits for the other voters to greet: one may know of a later life
MOST_CALLS = 4096  # of clients, not yet answered
MOST_MOVES = 2  # groups led here that are sent to another copy at a time


class ReplicationInUseError(ConfigError):
    """Another process has the store or the address of this gateway's replicas."""


def open_store(section: Section, name: str) -> DurableStore:
    """Open and check the store, which blocks. Raises `ConfigError`, `ReplicationInUseError` among them, and
    `StoreUnavailableError` where another attempt may succeed.
    """
    try:
        return DurableStore(Path(section.folder.replace("{name}", name)), section.fleet, name)
    except StoreInUseError as error:
        raise ReplicationInUseError(f"copies: {error}") from None
    except StoreError as error:
        raise ConfigError(f"copies: {error}") from None


class ReplicationHost:
    @staticmethod
    def check(section: Section, name: str) -> dict[str, Address]:
        """The addresses of all gateways. Raises `ConfigError`."""
        addresses = {one.name: parse_address(one.address, f"peer {one.name}") for one in section.peer}
        if name not in addresses:
            raise ConfigError(f"copies: no peer is named {name!r}, as this gateway is")
        return addresses

    def __init__(
        self, section: Section, name: str, disk: DurableStore, counters: Counters, seed: int
    ) -> None:
        """Takes the address, and closes the disk if it cannot. Raises `ConfigError`, `ReplicationInUseError`
        among them, and `StoreUnavailableError` where another attempt may succeed.
        """
        self.section, self.name, self.counters = section, name, counters
        self.chance = random.Random(seed)
        self.local_calls = LocalCalls()
        self.zones = {one.name: one.zone for one in section.peer}
        addresses = self.check(section, name)
        election = section.election_ms / 1000
        self.timing = RaftConfig(election_timeout_s=election, heartbeat_interval_s=election / 5)
        self.disk = disk
        if self.disk.set_aside:
            log.log_event(
                "copies_disk_damaged", set_aside=self.disk.set_aside, incarnation=self.disk.incarnation
            )
        try:
            self.links = PeerConnections(
                section.fleet, name, addresses[name], {k: v for k, v in addresses.items() if k != name},
                self.greeting, self._heard, self._called, self.local_calls.reply, self._met, counters,
                self.chance,
            )  # fmt: skip
        except OSError as error:
            self.disk.close()
            if is_transient(error):
                raise StoreUnavailableError(f"cannot listen: {error}") from None
            kind = ReplicationInUseError if error.errno == errno.EADDRINUSE else ConfigError
            raise kind(f"copies: cannot listen: {error}") from None
        self.known, self.formed = dict(self.disk.known), self.disk.formed
        self.generations = dict(self.disk.generations)
        self.hosts: dict[int, GroupHost] = {}
        self.creating: set[int] = set()
        self.since = dict.fromkeys(self.zones, 0.0)  # when a gateway was last seen to come, or to be gone
        self.present: set[str] = set()  # other gateways that are here
        self.patience = ReplacementDelays(section.replace_after_s, section.settle_after_s)
        self.ended = self.renewing = False
        self.here = LocalConnection(self.local_calls.reply)
        self.led: dict[int, str] = {}  # by group: who was last told to lead, of groups without a copy here
        self.serves: Callable[[], dict[str, Any]] = dict  # how the gateway does, for its status

    @property
    def me(self) -> m.Replica:
        return f"{self.name}/{self.disk.incarnation}"

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def session_name(self, purpose: str) -> str:
        """A name for a session, which none has had before, of this process or another."""
        number = self.local_calls.number()
        return f"{self.me}.{self.disk.boot}.{purpose}{number}"

    def start(self) -> None:
        loop = asyncio.get_running_loop()

        def told(what: Callable[..., None]) -> Callable[..., None]:
            def tell(*args: Any) -> None:
                if not self.ended:
                    loop.call_soon_threadsafe(what, *args)

            return tell

        self.writer = StoreWriter(self.disk, told(self._durable), told(self._disk_failed))
        self.begun = self.now()
        self.since = dict.fromkeys(self.zones, self.begun)
        rate = self.section.transfer_kb_per_s * 1024
        self.pace = SnapshotPacer[tuple[int, m.Replica], m.SnapshotChunk](rate, rate / 4, self.begun)
        self.pacing: asyncio.TimerHandle | None = None
        for group, stored in self.disk.loaded.items():
            self.hosts[group] = GroupHost(self, group, stored)
        self.links.open()
        log.log_event("copies_started", incarnation=self.disk.incarnation, boot=self.disk.boot,
                groups=len(self.hosts))  # fmt: skip
        self._tend()

    def close(self) -> None:
        self.ended = True
        for host in self.hosts.values():
            host.end()
        self.links.close()
        self.writer.close()
        self.disk.close()

    # The disk

    def _durable(self, done: list[tuple[int, int]]) -> None:
        last = dict(done)  # the highest of each group: they come in order
        for group, number in last.items():
            if group in self.hosts:
                self.hosts[group].step(m.WriteCompleted(number))

    def _disk_failed(self, why: str) -> None:
        """Nothing is acknowledged until it is durable; what this copy leads goes to one that can write."""
        self.counters.add("copies_disk_failures")
        log.log_event("copies_disk_failed", why=why)
        for host in self.hosts.values():
            host.step(m.TransferLeadership())

    def _create(self, group: int, snapshot: m.Snapshot) -> None:
        if group in self.creating or group in self.hosts or self.renewing:
            return
        self.creating.add(group)
        loop = asyncio.get_running_loop()

        def create() -> None:
            stored = self.disk.create(group, snapshot)
            if not self.ended:
                loop.call_soon_threadsafe(self._created, group, generation, stored)

        generation = self.generations.get(group, 0)
        self.writer.call(create)

    def _created(self, group: int, generation: int, stored: m.PersistentState) -> None:
        self.creating.discard(group)
        if self.renewing:
            return  # its rows are deleted with all others of the incarnation that is given up
        if group not in self.hosts and generation == self.generations.get(group, 0):
            self.hosts[group] = GroupHost(self, group, stored)
            self.hosts[group].begin()

    def _superseded(self, group: int, generation: int) -> None:
        """The group was recovered by hand without this gateway's copy, which counts for nothing any more."""
        self.generations[group] = generation
        if (host := self.hosts.pop(group, None)) is not None:
            host.end()
            log.log_event(
                "copies_superseded", group=group, last=host.node.log.last_index(), generation=generation
            )
        self.writer.call(lambda: self.disk.forget(group, generation))

    def _recover(self, group: int, told: str) -> tuple[str, str, bytes]:
        """Go on with this gateway's copy alone, if it is as the operator was told, and most are gone."""
        host = self.hosts.get(group)
        if host is None or not host.begun or host.leads() or told != host.state() or self.quorum(host):
            return "refused", "", b""
        generation = wire.next_generation(self.generations.get(group, 0), self.chance.getrandbits(16))
        log.log_event("copies_recovered", group=group, last=host.node.log.last_index(),
                commit=host.node.commit_index,
                without=",".join(host.node.members().all()), generation=generation)  # fmt: skip
        host.end()
        del self.hosts[group]
        self.creating.add(group)
        self.generations[group] = generation
        loop = asyncio.get_running_loop()

        def recover() -> None:
            stored = self.disk.recover(group, generation, self.me)
            if not self.ended:
                loop.call_soon_threadsafe(self._created, group, generation, stored)
                loop.call_soon_threadsafe(self.links.hang_up)  # all are greeted anew, and so are told

        self.writer.call(recover)
        return "done", "", b""

    def quorum(self, host: GroupHost) -> bool:
        """Are most of a group's voters there, or has it heard of a leader of late?"""
        members = host.node.members()
        here = sum(one == self.me or self._copy_of(m.gateway_of(one)) == one for one in members.voters)
        heard = host.node.election.leader_heard_at > self.now() - 2 * self.timing.election_timeout_s
        return host.leads() or heard or here >= members.majority()

    def _keep_known(self) -> None:
        known, formed = dict(self.known), self.formed
        self.writer.call(lambda: self.disk.know(known, formed))

    # Connections

    def send(self, group: int, to: m.Replica, message: m.Message) -> None:
        gateway, _, incarnation = to.rpartition("/")
        channel = wire.channel_of(group, self.generations.get(group, 0))
        self.links.send(gateway, incarnation, channel, message)

    def send_pieces(self) -> None:
        """Of snapshots, as fast as they may go."""
        for (group, to), piece in self.pace.take(self.now()):
            self.send(group, to, piece)
        wait = self.pace.wait()
        if wait is not None and self.pacing is None and not self.ended:
            self.pacing = asyncio.get_running_loop().call_later(wait + 0.001, self._more_pieces)

    def _more_pieces(self) -> None:
        self.pacing = None
        self.send_pieces()

    def greeting(self) -> wire.Handshake:
        return wire.Handshake(
            self.section.fleet, wire.MIN_VERSION, wire.MAX_VERSION, self.name, self.disk.incarnation,
            self.disk.boot, self.known, self.formed, self.generations,
        )  # fmt: skip

    def _met(self, hello: wire.Handshake) -> None:
        told = dict(hello.known)
        mine = told.pop(self.disk.incarnation, 0)
        known = wire.remember_boot(wire.merge_known_boots(self.known, told), hello.incarnation, hello.boot)
        changed = known != self.known or hello.formed | self.formed != self.formed
        self.known, self.formed = known, self.formed | hello.formed  # the order of `known` counts too
        if changed:
            self._keep_known()
        self.since[hello.name] = self.now()
        if wire.is_store_outdated(self.disk.boot, mine):
            self._older(hello.name, mine)
        for group, generation in hello.generations.items():
            if 0 <= group < self.section.groups and generation > self.generations.get(group, 0):
                self._superseded(group, generation)

    def _older(self, teller: str, boot: int) -> None:
        """The disk was put back from an older copy: what this incarnation said since, it does not know."""
        if self.renewing:
            return
        log.log_event("copies_disk_older", teller=teller, boot=self.disk.boot, known=boot)
        self.counters.add("copies_disk_older")
        for host in self.hosts.values():
            host.end()
        self.hosts.clear()
        self.renewing = True  # until nobody hears this one under its old name any more
        loop = asyncio.get_running_loop()

        def renewed() -> None:
            self.links.hang_up()
            self.renewing = False
            log.log_event("copies_renewed", incarnation=self.disk.incarnation)

        def renew() -> None:
            self.disk.renew()
            if not self.ended:
                loop.call_soon_threadsafe(renewed)

        self.writer.call(renew)

    def _heard(self, hello: wire.Handshake, channel: int, message: m.Message) -> None:
        group, generation = wire.group_and_generation(channel)
        if not 0 <= group < self.section.groups:
            raise wire.ProtocolError(f"there is no group {group}")
        if generation < self.generations.get(group, 0):
            return  # it will be told, and forgets what it holds
        if generation > self.generations.get(group, 0):
            self._superseded(group, generation)
        host = self.hosts.get(group)
        if host is None:  # it is to become a copy, or its vote is wanted: it has none, and says so
            self._create(group, m.Snapshot(0, 0, 0.0, m.Members(()), b""))
        else:
            host.step(m.MessageReceived(f"{hello.name}/{hello.incarnation}", message))

    def _called(
        self, link: PeerConnection | LocalConnection, frame: wire.ClientRequest | wire.AdminRequest
    ) -> None:
        if isinstance(frame, wire.AdminRequest):
            link.write(wire.ClientResponse(frame.number, *self._asked(frame)))
            return
        host = self.hosts.get(frame.group)
        open_calls = sum(len(one.calls) for one in self.hosts.values())
        if (
            host is None
            or not host.begun
            or open_calls >= MOST_CALLS
            or len(frame.command) > wire.MAX_PROPOSAL_BYTES
        ):
            holders = place_replicas(frame.group, self.zones, self.section.size)
            hint = next((one for one in holders if one != self.name and self.links.here(one)), "")
            link.write(wire.ClientResponse(frame.number, "refused", hint if host is None else ""))
        else:
            host.called(link, frame)

    # This gateway's own calls

    def call(
        self, group: int, command: bytes, to: str, done: Callable[[wire.ClientResponse], None], read: str = ""
    ) -> int:
        """Through that gateway; `done` is told of its reply, if one comes. The number, to stop waiting."""
        number = self.local_calls.begin(self.now(), done)
        self._send_call(wire.ClientRequest(number, group, command, read), to)
        return number

    def ask(self, to: str, what: str, done: Callable[[wire.ClientResponse], None]) -> int:
        """What operators ask, of another gateway."""
        number = self.local_calls.begin(self.now(), done)
        self._send_call(wire.AdminRequest(number, what), to)
        return number

    def _send_call(self, frame: wire.ClientRequest | wire.AdminRequest, to: str) -> None:
        if to == self.name:
            self._called(self.here, frame)
        elif to in self.links.links:
            self.links.links[to].write(frame)

    def abandon(self, call: int) -> None:
        """Wait no longer for the reply to a call of this gateway's own."""
        self.local_calls.abandon(call)

    def learn(self, group: int, reply: wire.ClientResponse) -> None:
        """A call was refused: go where the reply points, or anywhere."""
        if reply.hint:
            self.led[group] = reply.hint
        else:
            self.led.pop(group, None)

    def leads(self, group: int) -> str:
        """Who is thought to lead the group: by the own copy, else any that holds it and is here."""
        host = self.hosts.get(group)
        if host is not None and host.node.leader:
            return m.gateway_of(host.node.leader)
        if (led := self.led.get(group)) is not None and self.links.here(led):
            return led
        holders = place_replicas(group, self.zones, self.section.size)
        here = [one for one in holders if one == self.name or self.links.here(one)]
        return self.chance.choice(here) if here else self.name

    def _asked(self, ask: wire.AdminRequest) -> tuple[str, str, bytes]:
        if ask.what == "status":
            return "done", "", msgspec.msgpack.encode(self.status())
        if ask.what == "recover":
            return self._recover(ask.group, ask.copy)
        host = self.hosts.get(ask.group)
        if host is None or host.node.role is not Role.LEADER:
            hint = m.gateway_of(host.node.leader) if host is not None else ""
            return "refused", hint, b""
        if ask.what == "transfer":
            host.step(m.TransferLeadership(ask.copy))
            return "done", "", b""
        return "refused", "", b""

    def status(self) -> dict[str, Any]:
        return {
            "gateway": self.name, "incarnation": self.disk.incarnation, "boot": self.disk.boot,
            "links": sorted(self.links.links), "formed": bin(self.formed).count("1"),
            "commits": self.writer.commits, "writes": self.writer.writes, "failures": self.writer.failures,
            **self.serves(), "slowest_commit_ms": round(1000 * self.writer.slowest, 1),
            "groups": [host.status() for _, host in sorted(self.hosts.items())],
        }  # fmt: skip

    # Forming and membership

    def _tend(self) -> None:
        if self.ended:
            return
        try:
            now = self.now()
            for peer in self.zones:
                if peer != self.name and (peer in self.present) != (self.links.here(peer) is not None):
                    self.since[peer] = now
                    self.present ^= {peer}
            fleet = {
                one: GatewayPresence(
                    zone, self.me if one == self.name else self._copy_of(one), now - self.since[one]
                )
                for one, zone in self.zones.items()
            }
            for host in self.hosts.values():
                if not host.begun:
                    self._may_begin(host)
                elif host.leads():
                    self._members(host, fleet)
                if host.node.members().voters and not self.formed >> host.group & 1:
                    self.formed |= 1 << host.group
                    self._keep_known()
            for group in range(self.section.groups):
                if group not in self.hosts and not self.formed >> group & 1:
                    self._may_form(group)
        except Exception:
            self.counters.add("exceptions")
            log.log_exception("copies_exception")
        asyncio.get_running_loop().call_later(TEND * self.timing.election_timeout_s, self._tend)

    def _may_begin(self, host: GroupHost) -> None:
        """A copy takes part once every other voter's gateway has greeted, or has had the time to."""
        others = {m.gateway_of(one) for one in host.node.members().voters} - {self.name}
        waited = self.now() - self.begun > GRACE * self.timing.election_timeout_s
        if waited or all(self.links.here(one) for one in others):
            host.begin()

    def _may_form(self, group: int) -> None:
        """The first in the group's order makes it, once: when all that will hold it are here, most of the
        fleet is, and nobody has heard of it.
        """
        holders = place_replicas(group, self.zones, self.section.size)
        hellos = {one: self.links.here(one) for one in self.zones if one != self.name}
        here = {one: hello for one, hello in hellos.items() if hello is not None}
        if holders[0] != self.name or not all(one == self.name or one in here for one in holders):
            return
        if 2 * (len(here) + 1) <= len(self.zones) or any(one.formed >> group & 1 for one in here.values()):
            return
        copies = tuple(self.me if one == self.name else f"{one}/{here[one].incarnation}" for one in holders)
        log.log_event("copies_formed", group=group, voters=",".join(copies))
        self._create(group, m.Snapshot(1, 1, 0.0, m.Members(copies), b""))

    def _members(self, host: GroupHost, fleet: dict[str, GatewayPresence]) -> None:
        """Replace what is lost, and move what is out of place."""
        begun = sum(len(one.node.members().learners) > 0 for one in self.hosts.values() if one.leads())
        step = next_membership_step(
            host.group, self.section.size, self.me, host.node.members(), fleet, host.away(), self.patience,
            begun < MOST_MOVES,
        )  # fmt: skip
        if step is not None and step.action is m.MembershipAction.TRANSFER_LEADERSHIP:
            host.step(m.TransferLeadership(step.replica))
        elif step is not None:
            host.step(m.ChangeMembership(self.local_calls.number(), step.action, step.replica))

    def _copy_of(self, gateway: str) -> m.Replica | None:
        hello = self.links.here(gateway)
        return f"{gateway}/{hello.incarnation}" if hello is not None else None
