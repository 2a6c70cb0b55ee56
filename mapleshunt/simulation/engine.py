"""The engine: gateways, backends, clients and the network between them, in virtual time.

Every decision comes from a gateway's `handle`, every event from the emulated fleet. The engine delivers
each to the other side, and records the traffic on the wire.
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

FRONT_TERM_NOTICE_MS = 300.0  # after SIGTERM, the front still sends to a gateway for this time
SETTLING_MS = 1000.0  # a run continues for this time beyond its length and two idempotency windows


class Engine(FleetHost):
    """Runs a scenario in virtual time, with one kind of gateway.

    Events and actions are untyped: `policy_types` is the package that defines them, of any checkout.
    """

    def __init__(self, scenario_run: ScenarioRun, factory: PolicyFactory, policy_types: Any = policy) -> None:
        self.factory = factory
        self.policy_types = policy_types
        self.event_queue = EventQueue()
        self.backend_transport = BackendTransport(scenario_run, self, self.event_queue, self._schedule_end)
        self.client_timeouts = ClientTimeouts(self.event_queue, self._client_timed_out)
        super().__init__(scenario_run, policy_types)
        count = scenario_run.scenario.gateways
        self.event_ms = scenario_run.parameters["event_ms"]
        # Indexed by gateway. An epoch ends when its gateway is killed.
        self.gateways: list[GatewayPolicy | None] = [None] * count
        self.epochs = [0] * count
        self.busy_until = [0.0] * count
        self.open_requests: list[dict[int, ClientAttempt]] = [{} for _ in range(count)]
        self.attempts: list[dict[tuple[int, int], tuple[ClientAttempt, UpstreamAttempt]]] = [
            {} for _ in range(count)
        ]
        self.records: dict[int, RequestRecord] = {}  # by the id of an open request
        self._action_handlers = self._handlers_by_action()
        for fault in scenario_run.faults:
            self.event_queue.schedule(fault.at, self._inject_fault, fault)
        for number in range(count):
            self._start_gateway(number)
        if self.requests:
            self.event_queue.schedule(self.requests[0].request.arrives_at, self._request_arrives, 0)

    def _handlers_by_action(self) -> dict[Any, Callable[[int, Any, float], None]]:
        return {
            self.policy_types.StartAttempt: self._send_attempt,
            self.policy_types.RejectRequest: self._reject_request,
            self.policy_types.FailRequest: self._fail_request,
            self.policy_types.CancelAttempt: self._cancel_attempt,
            self.policy_types.SetTimer: self._set_timer,
            self.policy_types.SendGossip: self._send_gossip,
            self.policy_types.WatchEndpoints: lambda gateway, action, at: None,
            CounterCall: self._call_counter,
        }

    def now(self) -> float:
        """Return the time since the run began (ms)."""
        return self.event_queue.now

    def call_at(self, when: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call; its arguments depend on the function and are untyped."""
        self.event_queue.schedule(when, call, *arguments)

    def run(self) -> None:
        """Run the scenario, and continue until its requests have ended."""
        begun_ns = time.process_time_ns()
        end = self.scenario_run.length_ms + 2 * self.idempotency_window_ms + SETTLING_MS
        # Garbage collection takes a tenth of the time and frees nothing: a run keeps its objects.
        gc_was_enabled = gc.isenabled()
        gc.disable()
        try:
            self.event_queue.run_until(end)
        finally:
            if gc_was_enabled:
                gc.enable()
        self.events = self.event_queue.processed
        self.total_cpu_ns = time.process_time_ns() - begun_ns
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
        self.deliver_event(number, self.policy_types.EndpointUpdate("persisted", endpoints))

    def _endpoint_info(self, entry: EndpointEntry) -> Any:
        return self.policy_types.EndpointInfo(
            entry.endpoint, self.settings[0].zone, entry.cell, entry.state, entry.started_at
        )

    def deliver_event(self, number: int, event: Any) -> None:
        """Deliver an event to a gateway, unless it is down, and execute its actions."""
        gateway = self.gateways[number]
        if gateway is None:
            return
        now = self.event_queue.now
        begun_ns = time.perf_counter_ns()
        actions = gateway.handle(now, event)
        self.gateway_cpu_ns += time.perf_counter_ns() - begun_ns
        self._apply_actions(number, actions)

    def _apply_actions(self, number: int, actions: Iterable[Any]) -> None:
        """Execute actions, once the gateway has spent its processing time on this event and earlier ones."""
        busy_until = self.busy_until[number]
        now = self.event_queue.now
        self.busy_until[number] = at = (busy_until if busy_until > now else now) + self.event_ms
        handlers = self._action_handlers
        for action in actions:
            handlers[type(action)](number, action, at)

    def _set_timer(self, gateway: int, action: Any, at: float) -> None:
        when = max(action.at, self.event_queue.now)
        event = self.policy_types.TimerFired(action.token)
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
            self.deliver_event(peer, self.policy_types.GossipReceived(sender, data))

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
        next_number = number + 1
        if next_number < len(self.requests):
            arrives_at = self.requests[next_number].request.arrives_at
            self.event_queue.schedule(arrives_at, self._request_arrives, next_number)
        self._send_request(self.requests[number], 1)

    def _send_request(self, record: RequestRecord, number: int) -> None:
        client_attempt = self.start_attempt(record, number)
        if client_attempt is not None:
            arrives_at = client_attempt.sent_at + self.network.client_delay.next()
            self.event_queue.schedule(arrives_at, self._receive_request, record, client_attempt)

    def _receive_request(self, record: RequestRecord, client_attempt: ClientAttempt) -> None:
        if self.gateways[client_attempt.gateway] is None:
            self._notify_client(record, client_attempt, "unreachable", 0.0)
            return
        client_attempt.accepted = True
        self.open_requests[client_attempt.gateway][client_attempt.request_id] = client_attempt
        self.client_timeouts.add(record, client_attempt)
        self.records[client_attempt.request_id] = record
        request = client_attempt.request
        customer = self.scenario_run.traffic.customers[request.customer]
        self.deliver_event(
            client_attempt.gateway,
            self.policy_types.RequestReceived(
                request_id=client_attempt.request_id,
                request_class=self.classes[request.class_index],
                plan=self.scenario_run.parameters.plans[customer.plan].name,
                customer=customer.name,
                remaining_time=client_attempt.sent_at + client_attempt.timeout_ms - self.event_queue.now,
                units=request.estimated_units,
                gateway_set_size=customer.gateway_set_size,
                gateway_set_offset=customer.first_gateway,
                is_retry=client_attempt.number > 1,
            ),
        )

    def _client_timed_out(self, record: RequestRecord, client_attempt: ClientAttempt) -> None:
        if not client_attempt.client_notified:
            self._notify_client(record, client_attempt, "late", 0.0)
        if (
            client_attempt.result is None
            and self.open_requests[client_attempt.gateway].get(client_attempt.request_id) is client_attempt
        ):
            overdue_at = self.event_queue.now + self.scenario_run.rules.answer_slack_ms
            self.event_queue.schedule(overdue_at, self._result_overdue, client_attempt)

    def _result_overdue(self, client_attempt: ClientAttempt) -> None:
        if (
            client_attempt.result is None
            and self.open_requests[client_attempt.gateway].pop(client_attempt.request_id, None) is not None
        ):
            self.rule_checker.request_lost(client_attempt)
            self.deliver_event(
                client_attempt.gateway, self.policy_types.ClientDisconnected(client_attempt.request_id)
            )

    def _notify_client(
        self, record: RequestRecord, client_attempt: ClientAttempt, result: ClientResult, retry_after: float
    ) -> None:
        if client_attempt.client_notified:
            return
        delay = self.notify_client(record, client_attempt, result, retry_after)
        if delay is not None:
            self.event_queue.schedule(
                self.event_queue.now + delay, self._send_request, record, client_attempt.number + 1
            )

    def _send_result(
        self, gateway: int, request_id: int, result: ClientResult, retry_after: float, at: float
    ) -> None:
        client_attempt = self.open_requests[gateway].pop(request_id, None)
        if client_attempt is None:
            self.rule_checker.answered_again(request_id, result)
            return
        client_attempt.result = result
        client_attempt.answered_at = at
        self.rule_checker.client_answered(client_attempt, result, at)
        record = self.records.pop(request_id)
        arrives_at = at + self.network.client_delay.next()
        self.event_queue.schedule(
            arrives_at, self._notify_client, record, client_attempt, result, retry_after
        )

    def _reject_request(self, gateway: int, action: Any, at: float) -> None:
        self._send_result(gateway, action.request_id, "refused", action.retry_after, at)

    def _fail_request(self, gateway: int, action: Any, at: float) -> None:
        self._send_result(gateway, action.request_id, "failed", 0.0, at)

    # Attempts

    def _send_attempt(self, gateway: int, action: Any, at: float) -> None:
        client_attempt = self.open_requests[gateway].get(action.request_id)
        if client_attempt is None:
            self.rule_checker.sent_after_end(action.request_id)
            return
        number = len(client_attempt.attempts)
        cell = self.backend_models[action.endpoint].cell
        client_timeout_at = client_attempt.sent_at + client_attempt.timeout_ms
        timeout_at = client_timeout_at
        if action.timeout:
            timeout_at = min(timeout_at, at + action.timeout)
        request = self.backend_request(client_attempt, number, timeout_at)
        attempt = UpstreamAttempt(action.endpoint, cell, at, request)
        self.rule_checker.attempt_sent(client_attempt, attempt, gateway, at)
        client_attempt.attempts.append(attempt)
        self.attempts[gateway][client_attempt.request_id, number] = (client_attempt, attempt)
        self.backend_transport.send(client_attempt, attempt)
        if timeout_at < client_timeout_at:
            self._schedule_end(timeout_at, client_attempt, attempt, "timeout")

    def _schedule_end(
        self, at: float, client_attempt: ClientAttempt, attempt: UpstreamAttempt, status: str
    ) -> None:
        self.event_queue.schedule(
            at, self._attempt_ended, client_attempt, attempt, status, self.epochs[client_attempt.gateway]
        )

    def _attempt_ended(
        self, client_attempt: ClientAttempt, attempt: UpstreamAttempt, status: str, epoch: int
    ) -> None:
        """Record the end of an attempt and deliver it to its gateway."""
        gateway, now = client_attempt.gateway, self.event_queue.now
        if attempt.status is not None or self.epochs[gateway] != epoch:
            return
        attempt.status = status
        number = attempt.backend_request.token[1]  # type: ignore[index]  # set by `backend_request`
        self.attempts[gateway].pop((client_attempt.request_id, number), None)
        if attempt.holds_connection:
            self.backend_transport.release_connection(gateway, attempt, status)
        if status in ("unreachable", "reset") and attempt.arrived_at is None:
            attempt.status = status = "unreachable"
        cost = 0.0
        if status == "ok":
            cost = attempt.backend_request.units
            self.quota_accounting.record_settlement(client_attempt, now)
            if client_attempt.result is None:
                at = max(self.busy_until[gateway], now) + self.event_ms
                self._send_result(gateway, client_attempt.request_id, "served", 0.0, at)
        self.deliver_event(
            gateway,
            self.policy_types.AttemptEnded(
                request_id=client_attempt.request_id,
                status=status,
                request_completed=client_attempt.result is not None
                or client_attempt.request_id not in self.open_requests[gateway],
                attempt=number,
                endpoint=attempt.endpoint,
                latency=now - attempt.sent_at,
                cost=cost,
            ),
        )

    def _cancel_attempt(self, gateway: int, action: Any, at: float) -> None:
        entry = self.attempts[gateway].get((action.request_id, action.attempt))
        if entry is None:
            return
        client_attempt, attempt = entry
        if attempt.status is None:
            attempt.backend_request.cancelled = True
            self.backend_transport.execution.discard(attempt)
            status = "cancelled" if attempt.arrived_at is not None else "unsent"
            self._schedule_end(at, client_attempt, attempt, status)

    # Faults

    def _backend_added(self, backend: Backend) -> None:
        self.backend_transport.execution.add_backend(backend.number)

    def _endpoint_delivered(self, gateway: int, entry: EndpointEntry) -> None:
        if self.gateways[gateway] is not None:
            self.rule_checker.endpoint_notified(gateway, entry, self.event_queue.now)
            event = self.policy_types.EndpointUpdate("partial", (self._endpoint_info(entry),))
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
        for client_attempt in list(self.open_requests[number].values()):
            record = self.records.pop(client_attempt.request_id)
            # The client's connection breaks, which it sees as a failure without a reason.
            broken_at = now + self.network.client_delay.next()
            self.event_queue.schedule(broken_at, self._notify_client, record, client_attempt, "failed", 0.0)
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
            stopped_at = self.event_queue.now + FRONT_TERM_NOTICE_MS
            schedule(stopped_at, self.gateways_marked_down.add, number)
            schedule(stopped_at + self.idempotency_window_ms, self._kill_gateway, number)
            schedule(stopped_at + self.idempotency_window_ms + fault.duration, self._restart_gateway, number)
