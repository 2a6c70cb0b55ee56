"""The engine: gateways, backends, clients and the network between them, in virtual time.

Every decision comes from a gateway's `handle`, every event from the emulated fleet. The engine carries one to
the other, and records what crossed the wire.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Callable, Iterable
from typing import Any

from .. import policy
from ..fleet.backend import Backend
from ..fleet.clients import ClientResult
from ..fleet.discovery import EndpointEntry
from ..fleet.faults import Fault
from .backend_transport import BackendTransport
from .client_timeouts import ClientTimeouts
from .day import ScenarioRun
from .event_queue import EventQueue
from .fleet_host import FleetHost
from .gateway_policy import CounterCall, CounterReply, GatewayPolicy, PolicyFactory
from .records import ClientAttempt, RequestRecord, UpstreamAttempt

FRONT_TERM_NOTICE_MS = 300.0  # after SIGTERM, in which the front still sends to a gateway
SETTLING_MS = 1000.0  # beyond two idempotency windows, for which a run goes on after its day


class Engine(FleetHost):
    """Plays one day with one kind of gateway.

    Events and actions are untyped: `words` is the package with the gateways' types, of whatever checkout.
    """

    def __init__(self, day: ScenarioRun, factory: PolicyFactory, words: Any = policy) -> None:
        self.factory = factory
        self.words = words
        self.event_queue = EventQueue()
        self.backend_transport = BackendTransport(day, self, self.event_queue, self._schedule_end)
        self.client_timeouts = ClientTimeouts(self.event_queue, self._client_timed_out)
        super().__init__(day, words)
        count = day.scenario.gateways
        self.event_ms = day.parameters["event_ms"]
        # By gateway. An epoch ends when its gateway is killed.
        self.gateways: list[GatewayPolicy | None] = [None] * count
        self.epochs = [0] * count
        self.busy_until = [0.0] * count
        self.open_requests: list[dict[int, ClientAttempt]] = [{} for _ in range(count)]
        self.attempts: list[dict[tuple[int, int], tuple[ClientAttempt, UpstreamAttempt]]] = [
            {} for _ in range(count)
        ]
        self.records: dict[int, RequestRecord] = {}  # by the id of an open request
        self._action_handlers = self._handlers_by_action()
        for fault in day.faults:
            self.event_queue.schedule(fault.at, self._inject_fault, fault)
        for number in range(count):
            self._start_gateway(number)
        if self.requests:
            self.event_queue.schedule(self.requests[0].request.arrives_at, self._request_arrives, 0)

    def _handlers_by_action(self) -> dict[Any, Callable[[int, Any, float], None]]:
        return {
            self.words.StartAttempt: self._send_attempt,
            self.words.RejectRequest: self._reject_request,
            self.words.FailRequest: self._fail_request,
            self.words.CancelAttempt: self._cancel_attempt,
            self.words.SetTimer: self._set_timer,
            self.words.SendGossip: self._send_gossip,
            self.words.WatchEndpoints: lambda gateway, action, at: None,
            CounterCall: self._call_counter,
        }

    def now(self) -> float:
        """Return the time since the day began (ms)."""
        return self.event_queue.now

    def call_at(self, when: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call; the arguments are the function's own, hence untyped."""
        self.event_queue.schedule(when, call, *arguments)

    def run(self) -> None:
        """Play the day, and on until all requests are answered."""
        begun = time.process_time_ns()
        end = self.scenario_run.length_ms + 2 * self.idempotency_window_ms + SETTLING_MS
        # A run keeps what it makes: collecting garbage takes a tenth of the time, and finds none.
        collecting = gc.isenabled()
        gc.disable()
        try:
            self.event_queue.run_until(end)
        finally:
            if collecting:
                gc.enable()
        self.events = self.event_queue.processed
        self.total_cpu_ns = time.process_time_ns() - begun
        self.rule_checker.finish()

    # Gateways

    def _start_gateway(self, number: int) -> None:
        now = self.event_queue.now
        seed = self.scenario_run.streams.seed_for("gateway", number * 1000 + self.epochs[number])
        gateway = self.factory(self.settings[number], seed, now)
        self.gateways[number] = gateway
        self.busy_until[number] = now
        self._apply_actions(number, gateway.start())
        endpoints = tuple(self._endpoint_info(entry) for entry in self.endpoint_lists[number].values())
        self.rule_checker.endpoint_list_delivered(number, self.endpoint_lists[number].values(), now)
        self.deliver_event(number, self.words.EndpointUpdate("persisted", endpoints))

    def _endpoint_info(self, entry: EndpointEntry) -> Any:
        return self.words.EndpointInfo(
            entry.endpoint, self.settings[0].zone, entry.cell, entry.state, entry.started_at
        )

    def deliver_event(self, number: int, event: Any) -> None:
        """Hand an event to a gateway, unless it is down, and carry out its actions."""
        gateway = self.gateways[number]
        if gateway is None:
            return
        now = self.event_queue.now
        begun = time.perf_counter_ns()
        actions = gateway.handle(now, event)
        self.gateway_cpu_ns += time.perf_counter_ns() - begun
        self._apply_actions(number, actions)

    def _apply_actions(self, number: int, actions: Iterable[Any]) -> None:
        """Carry out actions; they leave after the gateway's time for the event, and after earlier ones."""
        busy_until = self.busy_until[number]
        now = self.event_queue.now
        self.busy_until[number] = at = (busy_until if busy_until > now else now) + self.event_ms
        handlers = self._action_handlers
        for action in actions:
            handlers[type(action)](number, action, at)

    def _set_timer(self, gateway: int, action: Any, at: float) -> None:
        when = max(action.at, self.event_queue.now)
        event = self.words.TimerFired(action.token)
        self.event_queue.schedule(when, self._deliver_in_epoch, gateway, self.epochs[gateway], event)

    def _deliver_in_epoch(self, gateway: int, epoch: int, event: Any) -> None:
        if self.epochs[gateway] == epoch:
            self.deliver_event(gateway, event)

    # Gossip and the shared counter

    def _send_gossip(self, gateway: int, action: Any, at: float) -> None:
        peers = range(len(self.gateways)) if action.peer < 0 else (action.peer,)
        for peer in peers:
            if peer == gateway:
                continue
            delay = self.network.peer_message_delay(gateway, peer)
            if delay is not None:
                self.event_queue.schedule(at + delay, self._receive_gossip, gateway, peer, action.data)

    def _receive_gossip(self, sender: int, peer: int, data: str) -> None:
        if self.gateways[peer] is None:
            return
        if self.peer_rate_limiters[peer].try_acquire(self.event_queue.now):
            self.message_bytes += len(data)
            self.deliver_event(peer, self.words.GossipReceived(sender, data))

    def _call_counter(self, gateway: int, action: Any, at: float) -> None:
        self.counter_calls += 1
        status: str
        status, done, total = self.counter.call(at, action.name, action.amount, action.lifetime_ms, gateway)
        timeout_at = at + self.scenario_run.parameters["counter_wait_ms"]
        reply_at = done + 2 * self.network.backend_delay.next()
        if reply_at > timeout_at:
            status = "timeout"
            reply_at = timeout_at
        reply = CounterReply(action.name, status, total)
        self.event_queue.schedule(reply_at, self._deliver_in_epoch, gateway, self.epochs[gateway], reply)

    # Clients

    def _request_arrives(self, number: int) -> None:
        following = number + 1
        if following < len(self.requests):
            arrives_at = self.requests[following].request.arrives_at
            self.event_queue.schedule(arrives_at, self._request_arrives, following)
        self._send_request(self.requests[number], 1)

    def _send_request(self, record: RequestRecord, number: int) -> None:
        one = self.start_attempt(record, number)
        if one is not None:
            arrives_at = one.sent_at + self.network.client_delay.next()
            self.event_queue.schedule(arrives_at, self._receive_request, record, one)

    def _receive_request(self, record: RequestRecord, one: ClientAttempt) -> None:
        if self.gateways[one.gateway] is None:
            self._notify_client(record, one, "unreachable", 0.0)
            return
        one.accepted = True
        self.open_requests[one.gateway][one.request_id] = one
        self.client_timeouts.add(record, one)
        self.records[one.request_id] = record
        request = one.request
        customer = self.scenario_run.traffic.customers[request.customer]
        self.deliver_event(
            one.gateway,
            self.words.RequestReceived(
                request_id=one.request_id,
                request_class=self.classes[request.class_index],
                plan=self.scenario_run.parameters.plans[customer.plan].name,
                customer=customer.name,
                remaining_time=one.sent_at + one.timeout_ms - self.event_queue.now,
                units=request.estimated_units,
                gateway_set_size=customer.gateway_set_size,
                gateway_set_offset=customer.first_gateway,
                is_retry=one.number > 1,
            ),
        )

    def _client_timed_out(self, record: RequestRecord, one: ClientAttempt) -> None:
        if not one.client_notified:
            self._notify_client(record, one, "late", 0.0)
        if one.result is None and self.open_requests[one.gateway].get(one.request_id) is one:
            overdue_at = self.event_queue.now + self.scenario_run.rules.answer_slack_ms
            self.event_queue.schedule(overdue_at, self._answer_overdue, one)

    def _answer_overdue(self, one: ClientAttempt) -> None:
        if one.result is None and self.open_requests[one.gateway].pop(one.request_id, None) is not None:
            self.rule_checker.request_lost(one)
            self.deliver_event(one.gateway, self.words.ClientDisconnected(one.request_id))

    def _notify_client(
        self, record: RequestRecord, one: ClientAttempt, result: ClientResult, retry_after: float
    ) -> None:
        if one.client_notified:
            return
        delay = self.notify_client(record, one, result, retry_after)
        if delay is not None:
            self.event_queue.schedule(
                self.event_queue.now + delay, self._send_request, record, one.number + 1
            )

    def _answer(
        self, gateway: int, request_id: int, result: ClientResult, retry_after: float, at: float
    ) -> None:
        one = self.open_requests[gateway].pop(request_id, None)
        if one is None:
            self.rule_checker.answered_again(request_id, result)
            return
        one.result = result
        one.answered_at = at
        self.rule_checker.client_answered(one, result, at)
        record = self.records.pop(request_id)
        arrives_at = at + self.network.client_delay.next()
        self.event_queue.schedule(arrives_at, self._notify_client, record, one, result, retry_after)

    def _reject_request(self, gateway: int, action: Any, at: float) -> None:
        self._answer(gateway, action.request_id, "refused", action.retry_after, at)

    def _fail_request(self, gateway: int, action: Any, at: float) -> None:
        self._answer(gateway, action.request_id, "failed", 0.0, at)

    # Attempts

    def _send_attempt(self, gateway: int, action: Any, at: float) -> None:
        one = self.open_requests[gateway].get(action.request_id)
        if one is None:
            self.rule_checker.sent_after_end(action.request_id)
            return
        number = len(one.attempts)
        cell = self.backend_models[action.endpoint].cell
        client_timeout_at = one.sent_at + one.timeout_ms
        until = client_timeout_at
        if action.timeout:
            until = min(until, at + action.timeout)
        request = self.backend_request(one, number, until)
        attempt = UpstreamAttempt(action.endpoint, cell, at, request)
        self.rule_checker.attempt_sent(one, attempt, gateway, at)
        one.attempts.append(attempt)
        self.attempts[gateway][one.request_id, number] = (one, attempt)
        self.backend_transport.send(one, attempt)
        if until < client_timeout_at:
            self._schedule_end(until, one, attempt, "timeout")

    def _schedule_end(self, at: float, one: ClientAttempt, attempt: UpstreamAttempt, status: str) -> None:
        self.event_queue.schedule(at, self._attempt_ended, one, attempt, status, self.epochs[one.gateway])

    def _attempt_ended(self, one: ClientAttempt, attempt: UpstreamAttempt, status: str, epoch: int) -> None:
        """Deliver an attempt's end to its gateway."""
        gateway, now = one.gateway, self.event_queue.now
        if attempt.status is not None or self.epochs[gateway] != epoch:
            return
        attempt.status = status
        number = attempt.backend_request.token[1]  # type: ignore[index]  # as `backend_request` made it
        self.attempts[gateway].pop((one.request_id, number), None)
        if attempt.holds_connection:
            self.backend_transport.release_connection(gateway, attempt, status)
        if status in ("unreachable", "reset") and attempt.arrived_at is None:
            attempt.status = status = "unreachable"
        cost = 0.0
        if status == "ok":
            cost = attempt.backend_request.units
            self.quota_accounting.record_settlement(one, now)
            if one.result is None:
                at = max(self.busy_until[gateway], now) + self.event_ms
                self._answer(gateway, one.request_id, "served", 0.0, at)
        self.deliver_event(
            gateway,
            self.words.AttemptEnded(
                request_id=one.request_id,
                status=status,
                request_completed=one.result is not None or one.request_id not in self.open_requests[gateway],
                attempt=number,
                endpoint=attempt.endpoint,
                latency=now - attempt.sent_at,
                cost=cost,
            ),
        )

    def _cancel_attempt(self, gateway: int, action: Any, at: float) -> None:
        found = self.attempts[gateway].get((action.request_id, action.attempt))
        if found is None:
            return
        one, attempt = found
        if attempt.status is None:
            attempt.backend_request.cancelled = True
            self.backend_transport.execution.discard(attempt)
            status = "cancelled" if attempt.arrived_at is not None else "unsent"
            self._schedule_end(at, one, attempt, status)

    # Faults

    def _backend_added(self, backend: Backend) -> None:
        self.backend_transport.execution.add_backend(backend.number)

    def _endpoint_delivered(self, gateway: int, entry: EndpointEntry) -> None:
        if self.gateways[gateway] is not None:
            self.rule_checker.endpoint_notified(gateway, entry, self.event_queue.now)
            event = self.words.EndpointUpdate("partial", (self._endpoint_info(entry),))
            self.deliver_event(gateway, event)

    def _crash_backend(self, number: int) -> None:
        backend = self.backend_models[number]
        self.backend_transport.execution.advance(backend)
        self.backend_transport.crash_backend(backend)

    def _silence_backend(self, number: int) -> None:
        backend = self.backend_models[number]
        self.backend_transport.silence_backend(backend)

    def _restart_backend(self, number: int) -> None:
        backend = self.backend_models[number]
        if backend.silent:
            self.backend_transport.crash_backend(backend)
        backend.start(self.event_queue.now)

    def _kill_gateway(self, number: int) -> None:
        if self.gateways[number] is None:
            return
        now = self.event_queue.now
        self.gateways[number] = None
        self.epochs[number] += 1
        for _, attempt in self.attempts[number].values():
            self.backend_transport.abort(attempt)
        self.attempts[number] = {}
        self.backend_transport.close_idle_connections(number)
        for one in list(self.open_requests[number].values()):
            record = self.records.pop(one.request_id)
            # Its connection breaks: the client sees a failure without a reason.
            breaks_at = now + self.network.client_delay.next()
            self.event_queue.schedule(breaks_at, self._notify_client, record, one, "failed", 0.0)
        self.open_requests[number] = {}
        noticed_at = now + self.scenario_run.parameters["front_notice_ms"]
        self.event_queue.schedule(noticed_at, self._mark_gateway_down, number, self.epochs[number])

    def _mark_gateway_down(self, number: int, epoch: int) -> None:
        if self.epochs[number] == epoch and self.gateways[number] is None:
            self.gateways_marked_down.add(number)

    def _restart_gateway(self, number: int) -> None:
        self.gateways_marked_down.discard(number)
        if self.gateways[number] is None:
            self._start_gateway(number)

    def _on_leave(self, fault: Fault) -> None:
        schedule = self.event_queue.schedule
        for number in fault.targets:
            stop = self.event_queue.now + FRONT_TERM_NOTICE_MS
            schedule(stop, self.gateways_marked_down.add, number)
            schedule(stop + self.idempotency_window_ms, self._kill_gateway, number)
            schedule(stop + self.idempotency_window_ms + fault.duration, self._restart_gateway, number)
