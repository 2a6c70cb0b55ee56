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
from ..fleet.clients import ClientResult
from ..fleet.discovery import EndpointEntry
from ..fleet.faults import Fault
from .day import Day
from .event_queue import EventQueue
from .fleet_host import FleetHost
from .records import ClientAttempt, RequestRecord, UpstreamAttempt

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
        f, count = day.parameters, day.scenario.gateways
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
            self.agenda.schedule(fault.at, self._inject_fault, fault)
        for number in range(count):
            self._start_gateway(number)
        if self.requests:
            self.agenda.schedule(self.requests[0].request.arrives_at, self._arrive, 0)

    def now(self) -> float:
        return self.agenda.now

    def at(self, when: float, call: Callable[..., None], *arguments: Any) -> None:
        self.agenda.schedule(when, call, *arguments)

    def _backend_added(self, till: Backend) -> None:
        self.held[till.number], self.wakes[till.number] = {}, float("inf")

    # Running

    def run(self) -> None:
        """Play the day, and on until all is answered."""
        begun = time.process_time_ns()
        last = self.day.length_ms + 2 * self.idempotency_window_ms + 1000
        # What a run makes it keeps: looking for garbage among it is a tenth of the time, and finds none.
        collecting = gc.isenabled()
        gc.disable()
        try:
            self.agenda.run_until(last)
        finally:
            if collecting:
                gc.enable()
        self.events = self.agenda.processed
        self.total_cpu_ns = time.process_time_ns() - begun
        self.rule_checker.finish()

    # Gateways

    def _start_gateway(self, number: int) -> None:
        now = self.agenda.now
        seed = self.day.streams.seed_for("gateway", number * 1000 + self.epochs[number])
        gateway = self.factory(self.settings[number], seed, now)
        self.gateways[number], self.busy[number] = gateway, now
        self._carry_out(number, gateway.start())
        rows = tuple(self._row(entry) for entry in self.endpoint_lists[number].values())
        self.rule_checker.endpoint_list_delivered(number, self.endpoint_lists[number].values(), now)
        self._feed(number, self.words.EndpointUpdate("persisted", rows))

    def _row(self, entry: EndpointEntry) -> Any:
        return self.words.EndpointInfo(
            entry.server, self.settings[0].zone, entry.cell, entry.state, entry.started_at
        )

    def _feed(self, number: int, event: Any) -> None:
        gateway = self.gateways[number]
        if gateway is None:
            return
        now = self.agenda.now
        begun = time.perf_counter_ns()
        actions = gateway.handle(now, event)
        self.gateway_cpu_ns += time.perf_counter_ns() - begun
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
        self.agenda.schedule(
            max(action.at, self.agenda.now), self._fire, gateway, self.epochs[gateway], action.token
        )

    def _fire(self, gateway: int, epoch: int, token: int) -> None:
        if self.epochs[gateway] == epoch:
            self._feed(gateway, self.words.TimerFired(token))

    # Messages and the counter

    def _tell(self, gateway: int, action: Any, at: float) -> None:
        peers = range(len(self.gateways)) if action.peer < 0 else (action.peer,)
        for peer in peers:
            if peer != gateway and (delay := self.network.peer_message_delay(gateway, peer)) is not None:
                self.agenda.schedule(at + delay, self._hear, gateway, peer, action.data)

    def _hear(self, sender: int, peer: int, data: str) -> None:
        if self.gateways[peer] is not None and self.peer_rate_limiters[peer].try_acquire(self.agenda.now):
            self.message_bytes += len(data)
            self._feed(peer, self.words.GossipReceived(sender, data))

    def _count(self, gateway: int, action: Any, at: float) -> None:
        self.counter_calls += 1
        word, done, total = self.counter.call(at, action.name, action.amount, action.life, gateway)
        given_up = at + self.day.parameters["counter_wait_ms"]
        back = done + 2 * self.network.backend_delay.next()
        if back > given_up:
            word, back = "timeout", given_up  # type: ignore[assignment]
        self.agenda.schedule(
            back, self._counted, gateway, self.epochs[gateway], CounterReply(action.name, word, total)
        )

    def _counted(self, gateway: int, epoch: int, event: Any) -> None:
        if self.epochs[gateway] == epoch:
            self._feed(gateway, event)

    # Clients

    def _arrive(self, number: int) -> None:
        if number + 1 < len(self.requests):
            self.agenda.schedule(self.requests[number + 1].request.arrives_at, self._arrive, number + 1)
        self._ask(self.requests[number], 1)

    def _ask(self, record: RequestRecord, number: int) -> None:
        one = self.start_attempt(record, number)
        if one is None:
            return
        self.agenda.schedule(one.sent_at + self.network.client_delay.next(), self._taken, record, one)

    def _taken(self, record: RequestRecord, one: ClientAttempt) -> None:
        if self.gateways[one.gateway] is None:
            self._client_told(record, one, "unreachable", 0.0)
            return
        ask, now = one.request, self.agenda.now
        who = self.day.traffic.customers[ask.customer]
        one.accepted = True
        self.open[one.gateway][one.request_id] = one
        # Most are answered long before: only what is still open is put on the agenda, shortly before.
        end = one.sent_at + one.timeout_ms
        bucket = int(end / TIMEOUT_BUCKET_MS)
        held = self.buckets.get(bucket)
        if held is None:
            held = self.buckets[bucket] = []
            self.agenda.schedule(max(now, bucket * TIMEOUT_BUCKET_MS), self._near, bucket)
        held.append((end, record, one))
        self.records[one.request_id] = record
        self._feed(
            one.gateway,
            self.words.RequestReceived(
                request_id=one.request_id,
                request_class=self.classes[ask.class_index],
                plan=self.day.parameters.plans[who.plan].name,
                customer=who.name,
                remaining_time=one.sent_at + one.timeout_ms - now,
                units=ask.estimated_units,
                gateway_set_size=who.gateway_set_size,
                gateway_set_offset=who.first_gateway,
                is_retry=one.number > 1,
            ),
        )

    def _near(self, bucket: int) -> None:
        for end, record, one in self.buckets.pop(bucket):
            if not one.client_notified or one.result is None:
                self.agenda.schedule(end, self._give_up, record, one)

    def _give_up(self, record: RequestRecord, one: ClientAttempt) -> None:
        """The client's patience is over."""
        if not one.client_notified:
            self._client_told(record, one, "late", 0.0)
        if one.result is None and self.open[one.gateway].get(one.request_id) is one:
            self.agenda.schedule(self.agenda.now + self.day.rules.answer_slack_ms, self._overdue, one)

    def _overdue(self, one: ClientAttempt) -> None:
        if one.result is None and self.open[one.gateway].pop(one.request_id, None) is not None:
            self.rule_checker.request_lost(one)
            self._feed(one.gateway, self.words.ClientDisconnected(one.request_id))

    def _client_told(
        self, record: RequestRecord, one: ClientAttempt, told: ClientResult, wait: float
    ) -> None:
        if one.client_notified:
            return
        pause = self.notify_client(record, one, told, wait)
        if pause is not None:
            self.agenda.schedule(self.agenda.now + pause, self._ask, record, one.number + 1)

    # Answers

    def _answer(self, gateway: int, ref: int, final: ClientResult, wait: float, at: float) -> None:
        one = self.open[gateway].pop(ref, None)
        if one is None:
            self.rule_checker.answered_again(ref, final)
            return
        one.result, one.answered_at = final, at
        self.rule_checker.client_answered(one, final, at)
        record = self.records.pop(ref)
        self.agenda.schedule(
            at + self.network.client_delay.next(), self._client_told, record, one, final, wait
        )

    def _refuse(self, gateway: int, action: Any, at: float) -> None:
        self._answer(gateway, action.request_id, "refused", action.retry_after, at)

    def _fail(self, gateway: int, action: Any, at: float) -> None:
        self._answer(gateway, action.request_id, "failed", 0.0, at)

    # Attempts

    def _send(self, gateway: int, action: Any, at: float) -> None:
        one = self.open[gateway].get(action.request_id)
        if one is None:
            self.rule_checker.sent_after_end(action.request_id)
            return
        server = action.endpoint
        number = len(one.attempts)
        till = self.backend_models[server]
        until = one.sent_at + one.timeout_ms
        if action.timeout:
            until = min(until, at + action.timeout)
        work = self.backend_request(one, number, until)
        attempt = UpstreamAttempt(server, till.cell, at, work)
        self.rule_checker.attempt_sent(one, attempt, gateway, at)
        one.attempts.append(attempt)
        self.attempts[gateway][one.request_id, number] = (one, attempt)
        delay = self.network.backend_delay.next()
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
            attempt.holds_connection = True
            self.agenda.schedule(at + delay, self._reach, one, attempt, gateway)
        elif till.silent:
            self.agenda.schedule(
                at + self.dial_ms, self._end, gateway, one, attempt, "unreachable", self.epochs[gateway]
            )
        elif not till.up or till.connections >= till.max_connections:
            self.agenda.schedule(
                at + 2 * delay, self._end, gateway, one, attempt, "unreachable", self.epochs[gateway]
            )
        else:
            till.connections += 1
            attempt.holds_connection = True
            till.add_connection_work(self.agenda.now, self.handshake_work)
            self._wake(till)
            self.agenda.schedule(at + delay * (1 + 2 * self.rtts), self._reach, one, attempt, gateway)
        if until < one.sent_at + one.timeout_ms:
            self.agenda.schedule(until, self._end, gateway, one, attempt, "timeout", self.epochs[gateway])

    def _reach(self, one: ClientAttempt, attempt: UpstreamAttempt, gateway: int) -> None:
        """The attempt's last byte is at its till server."""
        if attempt.status is not None or attempt.backend_request.cancelled:
            return
        now, till, epoch = self.agenda.now, self.backend_models[attempt.server], self.epochs[gateway]
        if not till.up:
            self.agenda.schedule(
                now + self.network.backend_delay.next(), self._end, gateway, one, attempt, "reset", epoch
            )
            return
        attempt.arrived_at = now
        self.quota_accounting.record_arrival(one, now)
        if till.silent:
            self.held[attempt.server][attempt.backend_request] = (gateway, one, attempt)
            return
        told = self.rule_checker.knows_start(gateway, attempt.server, till.started_at)
        fallen = till.collapsed
        word, ended = till.offer(now, attempt.backend_request, told)
        if till.collapsed and not fallen:
            self.backend_collapsed(till)
        self._finished(till, ended)
        if word is None:
            self.held[attempt.server][attempt.backend_request] = (gateway, one, attempt)
        else:
            self._back(gateway, one, attempt, word)
        self._wake(till)

    def _wake(self, till: Backend) -> None:
        if till.next_event_at < self.wakes[till.number]:
            self.wakes[till.number] = till.next_event_at
            self.agenda.schedule(till.next_event_at, self._due, till)

    def _due(self, till: Backend) -> None:
        now = self.agenda.now
        if now < self.wakes[till.number]:
            return
        self.wakes[till.number] = float("inf")
        if till.next_event_at <= now:
            self._finished(till, till.advance(now))
        self._wake(till)

    def _finished(self, till: Backend, ended: list[BackendRequest]) -> None:
        held = self.held[till.number]
        for work in ended:
            if work.took_effect:
                self.rule_checker.effect_ran(work)
            found = held.pop(work, None)
            if found is not None and not work.cancelled:
                till.latency_since_report += self.agenda.now - (found[2].arrived_at or 0.0)
                self._back(*found, till.draw_status())

    def _back(self, gateway: int, one: ClientAttempt, attempt: UpstreamAttempt, word: str) -> None:
        at = self.agenda.now + self.network.backend_delay.next()
        self.agenda.schedule(at, self._end, gateway, one, attempt, word, self.epochs[gateway])

    def _end(
        self, gateway: int, one: ClientAttempt, attempt: UpstreamAttempt, status: str, epoch: int
    ) -> None:
        """How an attempt ended is at its gateway."""
        if attempt.status is not None or self.epochs[gateway] != epoch:
            return
        attempt.status = status
        now, server = self.agenda.now, attempt.server
        number = attempt.backend_request.token[1]  # type: ignore[index]
        self.attempts[gateway].pop((one.request_id, number), None)
        if attempt.holds_connection:
            till = self.backend_models[server]
            if status in ("ok", "error", "full"):
                self.pools[gateway].setdefault(server, []).append(now)
            else:
                till.connections = max(0, till.connections - 1)
                till.cancel(attempt.backend_request)
        if status in ("unreachable", "reset") and attempt.arrived_at is None:
            attempt.status = status = "unreachable"
        cost = 0.0
        if status == "ok":
            cost = attempt.backend_request.units
            self.quota_accounting.record_settlement(one, now)
            if one.result is None:
                at = max(self.busy[gateway], now) + self.event_ms
                self._answer(gateway, one.request_id, "served", 0.0, at)
        self._feed(
            gateway,
            self.words.AttemptEnded(
                request_id=one.request_id,
                status=status,
                request_completed=one.result is not None or one.request_id not in self.open[gateway],
                attempt=number,
                endpoint=server,
                latency=now - attempt.sent_at,
                cost=cost,
            ),
        )

    def _cancel(self, gateway: int, action: Any, at: float) -> None:
        found = self.attempts[gateway].get((action.request_id, action.attempt))
        if found is not None and found[1].status is None:
            one, attempt = found
            attempt.backend_request.cancelled = True
            self.held[attempt.server].pop(attempt.backend_request, None)
            self.agenda.schedule(
                at,
                self._end,
                gateway,
                one,
                attempt,
                "cancelled" if attempt.arrived_at is not None else "unsent",
                self.epochs[gateway],
            )

    # Faults

    def _endpoint_delivered(self, gateway: int, entry: EndpointEntry) -> None:
        if self.gateways[gateway] is not None:
            self.rule_checker.endpoint_notified(gateway, entry, self.agenda.now)
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

    def _crash_backend(self, number: int) -> None:
        till = self.backend_models[number]
        self._finished(till, till.advance(self.agenda.now))
        self._lose(till, till.crash(self.agenda.now))

    def _silence_backend(self, number: int) -> None:
        till = self.backend_models[number]
        self._finished(till, till.advance(self.agenda.now))
        till.silent, till.next_event_at = True, float("inf")

    def _restart_backend(self, number: int) -> None:
        till = self.backend_models[number]
        if till.silent:
            self._lose(till, till.crash(self.agenda.now))
        till.start(self.agenda.now)

    def _kill_gateway(self, number: int) -> None:
        if self.gateways[number] is None:
            return
        now = self.agenda.now
        self.gateways[number] = None
        self.epochs[number] += 1
        for _, attempt in self.attempts[number].values():
            attempt.backend_request.cancelled = True
            attempt.status = "cancelled"
            self.held[attempt.server].pop(attempt.backend_request, None)
            if attempt.holds_connection:
                self.backend_models[attempt.server].connections -= 1
        self.attempts[number] = {}
        for server, idle in self.pools[number].items():
            self.backend_models[server].connections = max(
                0, self.backend_models[server].connections - len(idle)
            )
        self.pools[number] = {}
        for one in list(self.open[number].values()):
            record = self.records.pop(one.request_id)
            # Its connection breaks: the client sees a failure that tells nothing.
            self.agenda.schedule(
                now + self.network.client_delay.next(), self._client_told, record, one, "failed", 0.0
            )
        self.open[number] = {}
        self.agenda.schedule(
            now + self.day.parameters["front_notice_ms"], self._mark_gateway_down, number, self.epochs[number]
        )

    def _mark_gateway_down(self, number: int, epoch: int) -> None:
        if self.epochs[number] == epoch and self.gateways[number] is None:
            self.gateways_marked_down.add(number)

    def _restart_gateway(self, number: int) -> None:
        self.gateways_marked_down.discard(number)
        if self.gateways[number] is None:
            self._start_gateway(number)

    def _on_leave(self, fault: Fault) -> None:
        for number in fault.targets:
            stop = self.agenda.now + FRONT_TERM_NOTICE_MS
            self.agenda.schedule(stop, self.gateways_marked_down.add, number)
            self.agenda.schedule(stop + self.idempotency_window_ms, self._kill_gateway, number)
            self.agenda.schedule(
                stop + self.idempotency_window_ms + fault.duration, self._restart_gateway, number
            )


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
