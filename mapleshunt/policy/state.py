"""What a gateway remembers of customers, requests and servers. Records only: `policy/gateway.py` decides."""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from .actions import Action
from .events import NEVER_RAN, AttemptStatus, EndpointInfo, EndpointUpdate
from .gossip_codec import Line, server_tag
from .settings import Plan, RequestClass


@dataclass(slots=True)
class Bucket:
    """A token bucket: rate in units a ms."""

    rate: float
    burst: float
    level: float
    at: float  # the level is as of then

    def fill(self, now: float) -> float:
        self.level = min(self.burst, self.level + self.rate * (now - self.at))
        self.at = now
        return self.level

    def part(self, rate: float, burst: float) -> Bucket:
        """An empty bucket of such parts of this one's rate and burst."""
        return Bucket(self.rate * rate, self.burst * burst, 0.0, self.at)


@dataclass(slots=True)
class Decayed:
    """A sum that fades by 1/e in `span` ms."""

    span: float
    value: float
    at: float

    def add(self, now: float, amount: float = 0.0) -> float:
        self.value = self.value * math.exp((self.at - now) / self.span) + amount
        self.at = now
        return self.value

    def rate(self, now: float) -> float:
        """A ms, of late."""
        return self.add(now) / self.span


@dataclass(slots=True)
class Customer:
    tag: int
    plan: Plan
    code: int  # the plan's number in messages
    keepers: tuple[int, ...]  # whom to ask: its home, and if that is silent
    store: Bucket  # exact at its home, at most this elsewhere
    slice: Bucket  # even slice of the store, for when nobody answers
    ceiling: Bucket  # part of the hard ceiling's store that is this gateway's to use
    use: Decayed  # units used of late: all that a home knows of, or what it told
    spread: int = 1  # gateways of its set
    told_at: float = -math.inf  # when another gateway last told the store
    crowd: float = 0.0  # times its rate that its home was asked for of late, when it told the store spent
    open: int = 0
    k: float = 0.0  # smoothed cost of a request, ms (Figure 8)
    s: float = 0.0  # excess account (Figure 8)
    active: bool = False
    queue: deque[Job] = field(default_factory=deque)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)  # units left and end, by number
    owed: float = 0.0  # units used while none was in force

    def lease(self, number: int, units: float, until: float, now: float) -> None:
        """Number 0 has no units and tells that the copies answer. If they fall silent, the own store goes on
        from there: it did not fill up meanwhile.
        """
        if not number:  # true costs above the guess came off it, where it ended last: they are owed
            self.owed += max(0.0, -self.leases.get(0, (0.0, 0.0))[0])
            self.store.level = min(self.store.fill(now), 0.0)
        self.leases[number] = (units, until)

    def leased(self, now: float) -> float | None:
        """Units that the leases in force let it use; None if none is."""
        live = [units for units, until in self.leases.values() if until > now] if self.leases else ()
        return sum(live) if live else None

    def spend(self, now: float, units: float) -> bool:
        """Take units (below 0: give back) of the leases in force, first to end first; False if none is."""
        live = sorted((until, number) for number, (_, until) in self.leases.items() if until > now)
        for until, number in live:
            has = self.leases[number][0]
            took = units if number == live[-1][1] else min(units, max(has, 0.0))
            self.leases[number], units = (has - took, until), units - took
        self.owed += 0.0 if live else units
        return bool(live)

    @classmethod
    def new(cls, tag: int, plan: Plan, code: int, now: float, k: float, homes: int = 1) -> Customer:
        """Its store is the part of one of its homes."""
        rate, burst = plan.rate / 1000 / homes, plan.burst / homes
        store, share = (Bucket(rate, burst, burst, now) for _ in range(2))
        use = Decayed(1000 * plan.burst / plan.rate if plan.rate else 1000.0, 0.0, now)
        return cls(tag, plan, code, (), store, share, Bucket(0.0, 0.0, 0.0, now), use, k=k)


@dataclass(slots=True)
class Attempt:
    server: Server
    sent: float
    status: AttemptStatus | None = None


@dataclass(slots=True)
class Job:
    """A request that is owed a final answer."""

    ref: int
    cls: RequestClass
    customer: Customer
    units: float
    aim_at: float
    due: float
    send_by: float = 0.0  # if it is not sent by then it is refused
    attempts: list[Attempt] = field(default_factory=list)
    asks: int = 0  # how often a keeper of its quota was asked
    asked_at: float = 0.0
    granted: bool = False  # its units are charged
    again: bool = False  # waits for a slot for a further attempt
    hedged: bool = False
    streaming: bool = False

    def risky(self) -> list[Attempt]:
        """Attempts that may have run, or may yet."""
        return [a for a in self.attempts if a.status not in NEVER_RAN]

    def window_end(self) -> float:
        """Until when a repeat may arrive: counted from the first attempt that may have run."""
        risky = self.risky() if self.cls.effect == "keyed" else ()
        return risky[0].sent + self.cls.idempotency_window if risky else math.inf


@dataclass(slots=True)
class Server:
    entry: EndpointInfo
    since: float  # its start on this host's clock, 0 for long ago
    answered: float  # its last answer
    pace: float  # smoothed answer time over the class's aim
    allowance: Bucket  # attempts a cold server may be sent now
    out: dict[tuple[int, int], float] = field(default_factory=dict)  # when each open attempt was sent
    watched: bool = False  # an alarm looks at it
    broken: int = 0  # connections that broke or never came up, since its last answer
    fails: int = 0  # ejections since its last answer
    doubts: set[int] = field(default_factory=set)  # peers that told that it is silent, since its last answer
    barred: float = 0.0  # ejected until then
    started: float = 0.0  # its start as the list has it: tells one start from another

    def waiting(self, now: float) -> float:
        """Unanswered waiting of its open attempts, since their sending or its last answer."""
        return sum(now - max(sent, self.answered) for sent in self.out.values())


class Memory:
    """What a gateway holds, empty at its start."""

    def __init__(self) -> None:
        self.actions: list[Action] = []
        self.now = self.gap = 0.0
        self.customers: dict[int, Customer] = {}  # by tag
        self.swept = 0  # customers left when idle ones were last forgotten
        self.mail: dict[int, list[Line]] = {}  # what waits to be told to a peer
        self.answers: list[tuple[int, float]] = []  # the last two, to be told: server, answer time over aim
        self.spoke: dict[int, float] = {}  # when a peer was last told
        self.owing: dict[int, float] = {}  # keepers that were asked and not heard since: from when on
        self.jobs: dict[int, Job] = {}  # requests that are owed an answer
        self.asking: dict[int, Job] = {}  # by number: those that wait for the word of their quota's keeper
        self.asked: dict[int, float] = {}  # units by number: what a home was asked and has not answered
        self.replied: dict[tuple[int, int, int], float] = {}  # granted as keeper, by member, tag and number
        self.again: deque[Job] = deque()  # those that wait for a further attempt
        self.shrunk = self.said = self.measured = -math.inf  # last times: bound, word to all, answer
        self.bound = self.pace = self.best = self.answer = 0.0
        self.alarms: list[tuple[float, str, int]] = []  # heap of what to look at, and when
        self.wake = math.inf  # the earliest timer that is set
        self.servers: dict[int, Server] = {}
        self.ready: list[Server] = []
        self.by_tag: dict[int, Server] = {}
        self.ring: deque[Customer] = deque()  # active customers, next to visit first
        self.visited: Customer | None = None  # its visit waits for a slot
        self.left, self.quantum, self.excess, self.queued = 0, 0.0, 0.0, 0

    def figures(self, now: float) -> dict[str, float]:
        """What it goes by now, for operators."""
        barred = sum(s.barred > now for s in self.ready)
        return {
            "servers_ready": len(self.ready), "servers_barred": barred, "requests_queued": self.queued,
            "requests_asking": len(self.asking), "tries_out": sum(len(s.out) for s in self.servers.values()),
            "bound": round(self.bound, 3), "pace": round(self.pace, 3), "best": round(self.best, 3),
            "answer": round(self.answer, 1),
        }  # fmt: skip

    def forget(self, now: float) -> None:
        """Drop idle customers whose store has been full for long, now and then."""
        if len(self.customers) > 2 * self.swept + 64:
            for tag, c in list(self.customers.items()):
                full = 2 * c.store.burst / c.store.rate if c.store.rate else 0.0  # no rate: none
                if not c.open and not c.leases and now - c.store.at > full:
                    del self.customers[tag]
            self.swept = len(self.customers)

    def merge(self, event: EndpointUpdate) -> list[EndpointInfo]:
        """Bring the servers' entries up to a list; those that are new or have started anew are returned."""
        listed, new = {entry.endpoint for entry in event.endpoints}, []
        for number, server in self.servers.items():
            if event.kind != "partial" and number not in listed:
                server.entry = EndpointInfo(number, server.entry.zone, server.entry.cell, "gone")
        for entry in event.endpoints:
            known = self.servers.get(entry.endpoint)
            if known is None or entry.started > known.started:
                new.append(entry)
            else:
                known.entry = entry
        return new

    def put(self, server: Server) -> None:
        """Take in a server that is new or has started anew; attempts at the one before stay open."""
        number = server.entry.endpoint
        if number in self.servers:
            server.out = self.servers[number].out
        self.servers[number] = self.by_tag[server_tag(number)] = server

    def forget_servers(self) -> None:
        """Drop servers that are gone, once nothing is out there: all day new ones take their places."""
        for number, server in list(self.servers.items()):
            if server.entry.state == "gone" and not server.out:
                del self.servers[number]
                if self.by_tag.get(server_tag(number)) is server:
                    del self.by_tag[server_tag(number)]

    def tell(self, peer: int, *lines: Line) -> None:
        """At once, or with what comes up in the gap."""
        if lines and peer not in self.mail:
            self.remind(max(self.now, self.spoke.get(peer, 0.0) + self.gap), "mail", peer)
        if lines:
            self.mail.setdefault(peer, []).extend(lines)

    def resend(self, job: Job) -> bool:
        job.again = True
        self.again.append(job)
        return True

    def due(self, now: float) -> Iterator[tuple[str, int]]:
        """Take off the alarms that are due."""
        while self.alarms and self.alarms[0][0] <= now:
            yield heapq.heappop(self.alarms)[1:]

    def remind(self, at: float, what: str, key: int) -> None:
        heapq.heappush(self.alarms, (at, what, key))

    @staticmethod
    def keep_some(table: dict[Any, float], key: Any, value: float, most: int = 512) -> None:
        """Remember the newest entries only."""
        table[key] = value
        while len(table) > most:
            del table[next(iter(table))]
