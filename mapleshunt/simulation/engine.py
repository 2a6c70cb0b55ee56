"""The engine: gateways, till servers, clients and what lies between them, in virtual time.

Everything that is decided comes from `gateway.handle`; everything that happens comes from the world. The
engine only carries one to the other, and keeps the record of what crossed.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from .. import policy
from ..fleet.backend import Backend, BackendRequest
from ..fleet.discovery import EndpointEntry
from ..fleet.faults import Fault
from .day import Day
from .event_queue import EventQueue
from .fleet_host import FleetHost
from .records import ClientAttempt, ClientResult, RequestRecord, UpstreamAttempt

TIMEOUT_BUCKET_MS = 64.0  # ms
CONNECTION_REST_MS = 10.0  # ms after an answer for which the program does not use its connection again
FRONT_TERM_NOTICE_MS = 300.0  # ms after SIGTERM for which the front still sends to a gateway


class GatewayPolicy(Protocol):
    """What the engine asks of a gateway: the decision module has it, and so do the plain policies."""

    def start(self) -> Iterable[Any]: ...

    def handle(self, now: float, event: Any) -> Iterable[Any]: ...


# Called with settings, seed, the time (ms), and the gateway's own view of nothing else.
PolicyFactory = Callable[[Any, int, float], GatewayPolicy]


class Engine(FleetHost):
    """Plays one day with one kind of gateway. `words` holds the types that the gateways speak."""

    def __init__(self, day: Day, factory: PolicyFactory, words: Any = policy) -> None:
        self.factory, self.words = factory, words
        self.agenda = EventQueue()
        self.wakes: dict[int, float] = {}
        self.held: dict[
            int, dict[BackendRequest, tuple[int, ClientAttempt, UpstreamAttempt]]
        ] = {}  # at each till server
        super().__init__(day, words)
        f, count = day.figures, day.scenario.gateways
        self.gateways: list[GatewayPolicy | None] = [None] * count
        self.epochs, self.busy = [0] * count, [0.0] * count
        self.open: list[dict[int, ClientAttempt]] = [{} for _ in range(count)]
        self.attempts: list[dict[tuple[int, int], tuple[ClientAttempt, UpstreamAttempt]]] = [
            {} for _ in range(count)
        ]
        self.pools: list[dict[int, list[float]]] = [{} for _ in range(count)]  # idle connections: since when
        self.records: dict[int, RequestRecord] = {}  # by the number of an open request
        self.buckets: dict[
            int, list[tuple[float, RequestRecord, ClientAttempt]]
        ] = {}  # patience that ends, by time
        self.event_ms, self.dial_ms, self.rtts = f["event_ms"], f["dial_ms"], f["handshake_rtts"]
        self.idle_ms = f["conn_idle_ms"] / 3  # the program gives idle ones up well before till servers do
        self.acts: dict[Any, Callable[[int, Any, float], None]] = {
            words.StartAttempt: self._send, words.RejectRequest: self._refuse, words.FailRequest: self._fail,
            words.CancelAttempt: self._cancel, words.SetTimer: self._timer, words.SendGossip: self._tell,
            words.WatchEndpoints: lambda gateway, action, at: None, CounterCall: self._count,
        }  # fmt: skip
        for fault in day.faults:
            self.agenda.at(fault.at, self._strike, fault)
        for number in range(count):
            self._start_gateway(number)
        if self.asks:
            self.agenda.at(self.asks[0].ask.at, self._arrive, 0)

    def now(self) -> float:
        return self.agenda.now

    def at(self, when: float, call: Callable[..., None], *arguments: Any) -> None:
        self.agenda.at(when, call, *arguments)

    def _take_in(self, till: Backend) -> None:
        self.held[till.number], self.wakes[till.number] = {}, float("inf")

    # Running

    def run(self) -> None:
        """Play the day, and on until all is answered."""
        begun = time.process_time_ns()
        last = self.day.length + 2 * self.window + 1000
        # What a run makes it keeps: looking for garbage among it is a tenth of the time, and finds none.
        collecting = gc.isenabled()
        gc.disable()
        try:
            self.agenda.run(last)
        finally:
            if collecting:
                gc.enable()
        self.events = self.agenda.done
        self.cpu_ns = time.process_time_ns() - begun
        self.watchman.end(self.agenda.now)

    # Gateways

    def _start_gateway(self, number: int) -> None:
        now = self.agenda.now
        seed = self.day.streams.integer("gateway", number * 1000 + self.epochs[number])
        gateway = self.factory(self.settings[number], seed, now)
        self.gateways[number], self.busy[number] = gateway, now
        self._carry_out(number, gateway.start())
        rows = tuple(self._row(entry) for entry in self.lists[number].values())
        self.watchman.told_list(number, self.lists[number].values(), now)
        self._feed(number, self.words.EndpointUpdate("persisted", rows))

    def _row(self, entry: EndpointEntry) -> Any:
        return self.words.EndpointInfo(
            entry.server, self.settings[0].zone, entry.cell, entry.state, entry.started
        )

    def _feed(self, number: int, event: Any) -> None:
        gateway = self.gateways[number]
        if gateway is None:
            return
        now = self.agenda.now
        begun = time.perf_counter_ns()
        actions = gateway.handle(now, event)
        self.gateway_ns += time.perf_counter_ns() - begun
        self._carry_out(number, actions)

    def _carry_out(self, number: int, actions: Iterable[Any]) -> None:
        """An event costs its gateway time: what it does leaves when that is over, after what came before."""
        busy = self.busy[number]
        now = self.agenda.now
        self.busy[number] = at = (busy if busy > now else now) + self.event_ms
        acts = self.acts
        for action in actions:
            acts[type(action)](number, action, at)

    def _timer(self, gateway: int, action: Any, at: float) -> None:
        self.agenda.at(
            max(action.at, self.agenda.now), self._fire, gateway, self.epochs[gateway], action.token
        )

    def _fire(self, gateway: int, epoch: int, token: int) -> None:
        if self.epochs[gateway] == epoch:
            self._feed(gateway, self.words.TimerFired(token))

    # Messages and the counter

    def _tell(self, gateway: int, action: Any, at: float) -> None:
        peers = range(len(self.gateways)) if action.peer < 0 else (action.peer,)
        for peer in peers:
            if peer != gateway and (delay := self.network.message(gateway, peer)) is not None:
                self.agenda.at(at + delay, self._hear, gateway, peer, action.data)

    def _hear(self, sender: int, peer: int, data: str) -> None:
        if self.gateways[peer] is not None and self.intakes[peer].take(self.agenda.now):
            self.message_bytes += len(data)
            self._feed(peer, self.words.GossipReceived(sender, data))

    def _count(self, gateway: int, action: Any, at: float) -> None:
        self.counts += 1
        word, done, total = self.counter.call(at, action.name, action.amount, action.life, gateway)
        given_up = at + self.day.figures["counter_wait_ms"]
        back = done + 2 * self.network.till.next()
        if back > given_up:
            word, back = "timeout", given_up  # type: ignore[assignment]
        self.agenda.at(
            back, self._counted, gateway, self.epochs[gateway], CounterReply(action.name, word, total)
        )

    def _counted(self, gateway: int, epoch: int, event: Any) -> None:
        if self.epochs[gateway] == epoch:
            self._feed(gateway, event)

    # Clients

    def _arrive(self, number: int) -> None:
        if number + 1 < len(self.asks):
            self.agenda.at(self.asks[number + 1].ask.at, self._arrive, number + 1)
        self._ask(self.asks[number], 1)

    def _ask(self, record: RequestRecord, number: int) -> None:
        one = self.new_try(record, number)
        if one is None:
            return
        self.agenda.at(one.sent + self.network.client.next(), self._taken, record, one)

    def _taken(self, record: RequestRecord, one: ClientAttempt) -> None:
        if self.gateways[one.gateway] is None:
            self._client_told(record, one, "unreachable", 0.0)
            return
        ask, now = one.ask, self.agenda.now
        who = self.day.traffic.customers[ask.customer]
        one.taken = True
        self.open[one.gateway][one.ref] = one
        # Most are answered long before: only what is still open is put on the agenda, shortly before.
        end = one.sent + one.patience
        bucket = int(end / TIMEOUT_BUCKET_MS)
        held = self.buckets.get(bucket)
        if held is None:
            held = self.buckets[bucket] = []
            self.agenda.at(max(now, bucket * TIMEOUT_BUCKET_MS), self._near, bucket)
        held.append((end, record, one))
        self.records[one.ref] = record
        self._feed(
            one.gateway,
            self.words.RequestReceived(
                request_id=one.ref,
                request_class=self.classes[ask.cls],
                plan=self.day.figures.plans[who.plan].name,
                customer=who.name,
                remaining_time=one.sent + one.patience - now,
                units=ask.guess,
                gateway_set_size=who.spread,
                gateway_set_offset=who.first,
                is_retry=one.number > 1,
            ),
        )

    def _near(self, bucket: int) -> None:
        for end, record, one in self.buckets.pop(bucket):
            if not one.known or one.answer is None:
                self.agenda.at(end, self._give_up, record, one)

    def _give_up(self, record: RequestRecord, one: ClientAttempt) -> None:
        """The client's patience is over."""
        if not one.known:
            self._client_told(record, one, "late", 0.0)
        if one.answer is None and self.open[one.gateway].get(one.ref) is one:
            self.agenda.at(self.agenda.now + self.day.rules.answer_slack, self._overdue, one)

    def _overdue(self, one: ClientAttempt) -> None:
        if one.answer is None and self.open[one.gateway].pop(one.ref, None) is not None:
            self.watchman.lost(one)
            self._feed(one.gateway, self.words.ClientDisconnected(one.ref))

    def _client_told(
        self, record: RequestRecord, one: ClientAttempt, told: ClientResult, wait: float
    ) -> None:
        if one.known:
            return
        pause = self.client_told(record, one, told, wait)
        if pause is not None:
            self.agenda.at(self.agenda.now + pause, self._ask, record, one.number + 1)

    # Answers

    def _answer(self, gateway: int, ref: int, final: ClientResult, wait: float, at: float) -> None:
        one = self.open[gateway].pop(ref, None)
        if one is None:
            self.watchman.answered_again(ref, final)
            return
        one.answer, one.answered = final, at
        self.watchman.answered(one, final, at)
        record = self.records.pop(ref)
        self.agenda.at(at + self.network.client.next(), self._client_told, record, one, final, wait)

    def _refuse(self, gateway: int, action: Any, at: float) -> None:
        self._answer(gateway, action.request_id, "refused", action.retry_after, at)

    def _fail(self, gateway: int, action: Any, at: float) -> None:
        self._answer(gateway, action.request_id, "failed", 0.0, at)

    # Attempts

    def _send(self, gateway: int, action: Any, at: float) -> None:
        one = self.open[gateway].get(action.request_id)
        if one is None:
            self.watchman.sent_after_end(action.request_id)
            return
        server = action.endpoint
        number = len(one.attempts)
        till = self.tills[server]
        until = one.sent + one.patience
        if action.timeout:
            until = min(until, at + action.timeout)
        work = self.work(one, number, until)
        attempt = UpstreamAttempt(server, till.cell, at, work)
        self.watchman.sending(one, attempt, gateway, at)
        one.attempts.append(attempt)
        self.attempts[gateway][one.ref, number] = (one, attempt)
        delay = self.network.till.next()
        pool = self.pools[gateway].get(server)
        while pool and pool[0] < at - self.idle_ms:
            del pool[0]
            till.connections -= 1
        # The one used last, but for those that have only just answered.
        place = len(pool) - 1 if pool else -1
        while place >= 0 and pool is not None and pool[place] > at - CONNECTION_REST_MS:
            place -= 1
        if place >= 0 and pool is not None:
            del pool[place]
            attempt.connection = True
            self.agenda.at(at + delay, self._reach, one, attempt, gateway)
        elif till.silent:
            self.agenda.at(
                at + self.dial_ms, self._end, gateway, one, attempt, "unreachable", self.epochs[gateway]
            )
        elif not till.up or till.connections >= till.conn_cap:
            self.agenda.at(
                at + 2 * delay, self._end, gateway, one, attempt, "unreachable", self.epochs[gateway]
            )
        else:
            till.connections += 1
            attempt.connection = True
            till.extra(self.agenda.now, self.handshake)
            self._wake(till)
            self.agenda.at(at + delay * (1 + 2 * self.rtts), self._reach, one, attempt, gateway)
        if until < one.sent + one.patience:
            self.agenda.at(until, self._end, gateway, one, attempt, "timeout", self.epochs[gateway])

    def _reach(self, one: ClientAttempt, attempt: UpstreamAttempt, gateway: int) -> None:
        """The attempt's last byte is at its till server."""
        if attempt.status is not None or attempt.work.cancelled:
            return
        now, till, epoch = self.agenda.now, self.tills[attempt.server], self.epochs[gateway]
        if not till.up:
            self.agenda.at(now + self.network.till.next(), self._end, gateway, one, attempt, "reset", epoch)
            return
        attempt.arrived = now
        self.books.arrived(one, now)
        if till.silent:
            self.held[attempt.server][attempt.work] = (gateway, one, attempt)
            return
        told = self.watchman.knows_start(gateway, attempt.server, till.started)
        fallen = till.fallen
        word, ended = till.offer(now, attempt.work, told)
        if till.fallen and not fallen:
            self.fell(till)
        self._finished(till, ended)
        if word is None:
            self.held[attempt.server][attempt.work] = (gateway, one, attempt)
        else:
            self._back(gateway, one, attempt, word)
        self._wake(till)

    def _wake(self, till: Backend) -> None:
        if till.due < self.wakes[till.number]:
            self.wakes[till.number] = till.due
            self.agenda.at(till.due, self._due, till)

    def _due(self, till: Backend) -> None:
        now = self.agenda.now
        if now < self.wakes[till.number]:
            return
        self.wakes[till.number] = float("inf")
        if till.due <= now:
            self._finished(till, till.advance(now))
        self._wake(till)

    def _finished(self, till: Backend, ended: list[BackendRequest]) -> None:
        held = self.held[till.number]
        for work in ended:
            if work.effect:
                self.watchman.ran(work)
            found = held.pop(work, None)
            if found is not None and not work.cancelled:
                till.took += self.agenda.now - (found[2].arrived or 0.0)
                self._back(*found, till.answer(work))

    def _back(self, gateway: int, one: ClientAttempt, attempt: UpstreamAttempt, word: str) -> None:
        at = self.agenda.now + self.network.till.next()
        self.agenda.at(at, self._end, gateway, one, attempt, word, self.epochs[gateway])

    def _end(
        self, gateway: int, one: ClientAttempt, attempt: UpstreamAttempt, status: str, epoch: int
    ) -> None:
        """How an attempt ended is at its gateway."""
        if attempt.status is not None or self.epochs[gateway] != epoch:
            return
        attempt.status = status
        now, server = self.agenda.now, attempt.server
        number = attempt.work.token[1]  # type: ignore[index]
        self.attempts[gateway].pop((one.ref, number), None)
        if attempt.connection:
            till = self.tills[server]
            if status in ("ok", "error", "full"):
                self.pools[gateway].setdefault(server, []).append(now)
            else:
                till.connections = max(0, till.connections - 1)
                till.cancel(now, attempt.work)
        if status in ("unreachable", "reset") and attempt.arrived is None:
            attempt.status = status = "unreachable"
        cost = 0.0
        if status == "ok":
            cost = attempt.work.units
            self.books.settled(one, now)
            if one.answer is None:
                at = max(self.busy[gateway], now) + self.event_ms
                self._answer(gateway, one.ref, "served", 0.0, at)
        self._feed(
            gateway,
            self.words.AttemptEnded(
                request_id=one.ref,
                status=status,
                request_completed=one.answer is not None or one.ref not in self.open[gateway],
                attempt=number,
                endpoint=server,
                latency=now - attempt.sent,
                cost=cost,
            ),
        )

    def _cancel(self, gateway: int, action: Any, at: float) -> None:
        found = self.attempts[gateway].get((action.request_id, action.attempt))
        if found is not None and found[1].status is None:
            one, attempt = found
            attempt.work.cancelled = True
            self.held[attempt.server].pop(attempt.work, None)
            self.agenda.at(
                at,
                self._end,
                gateway,
                one,
                attempt,
                "cancelled" if attempt.arrived is not None else "unsent",
                self.epochs[gateway],
            )

    # Faults

    def _told(self, gateway: int, entry: EndpointEntry) -> None:
        if self.gateways[gateway] is not None:
            self.watchman.told(gateway, entry, self.agenda.now)
            self._feed(gateway, self.words.EndpointUpdate("partial", (self._row(entry),)))

    def _lose(self, till: Backend, held: Iterable[BackendRequest]) -> None:
        """All connections to a till server break; attempts at it end as resets."""
        for pools in self.pools:
            pools.pop(till.number, None)
        there = self.held[till.number]
        for work in list(held):
            found = there.pop(work, None)
            if found is not None and not work.cancelled:
                self._back(*found, "reset")
        for work, found in list(there.items()):
            del there[work]
            if not work.cancelled:
                self._back(*found, "reset")

    def _die(self, number: int) -> None:
        till = self.tills[number]
        self._finished(till, till.advance(self.agenda.now))
        self._lose(till, till.crash(self.agenda.now))

    def _fall_silent(self, number: int) -> None:
        till = self.tills[number]
        self._finished(till, till.advance(self.agenda.now))
        till.silent, till.due = True, float("inf")

    def _start_again(self, number: int) -> None:
        till = self.tills[number]
        if till.silent:
            self._lose(till, till.crash(self.agenda.now))
        till.start(self.agenda.now)

    def _kill(self, number: int) -> None:
        if self.gateways[number] is None:
            return
        now = self.agenda.now
        self.gateways[number] = None
        self.epochs[number] += 1
        for _, attempt in self.attempts[number].values():
            attempt.work.cancelled = True
            attempt.status = "cancelled"
            self.held[attempt.server].pop(attempt.work, None)
            if attempt.connection:
                self.tills[attempt.server].connections -= 1
        self.attempts[number] = {}
        for server, idle in self.pools[number].items():
            self.tills[server].connections = max(0, self.tills[server].connections - len(idle))
        self.pools[number] = {}
        for one in list(self.open[number].values()):
            record = self.records.pop(one.ref)
            # Its connection breaks: the client sees a failure that tells nothing.
            self.agenda.at(now + self.network.client.next(), self._client_told, record, one, "failed", 0.0)
        self.open[number] = {}
        self.agenda.at(
            now + self.day.figures["front_notice_ms"], self._front_sees, number, self.epochs[number]
        )

    def _front_sees(self, number: int, epoch: int) -> None:
        if self.epochs[number] == epoch and self.gateways[number] is None:
            self.seen_down.add(number)

    def _revive(self, number: int) -> None:
        self.seen_down.discard(number)
        if self.gateways[number] is None:
            self._start_gateway(number)

    def _on_leave(self, fault: Fault) -> None:
        for number in fault.who:
            stop = self.agenda.now + FRONT_TERM_NOTICE_MS
            self.agenda.at(stop, self.seen_down.add, number)
            self.agenda.at(stop + self.window, self._kill, number)
            self.agenda.at(stop + self.window + fault.lasts, self._revive, number)


# The counter's call and its answer, which the decisions do not make yet; plain policies do.


class CounterCall:
    """Action: add `amount` to the counter's number `name`, which lives `life` ms if it is new."""

    __slots__ = ("amount", "life", "name")

    def __init__(self, name: int, amount: float, life: float) -> None:
        self.name, self.amount, self.life = name, amount, life


class CounterReply:
    """Event: how a call ended ("ok", "full", "unreachable", or "timeout": perhaps added), and the total."""

    __slots__ = ("name", "status", "total")

    def __init__(self, name: int, status: str, total: float) -> None:
        self.name, self.status, self.total = name, status, total
