"""The driver of the policy: supplies its clock, runs its timers and actions, and alone calls its `handle`."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from ..policy import (
    Action,
    AttemptEnded,
    CancelAttempt,
    ClientDisconnected,
    Event,
    FailRequest,
    RejectRequest,
    RequestReceived,
    SendGossip,
    SetTimer,
    Settings,
    StartAttempt,
    TimerFired,
    WatchEndpoints,
)
from ..policy.gateway import Gateway
from . import log
from .clock import UnixClock
from .counters import Counters
from .messages import AttemptResult
from .reasons import AttemptStatus
from .request import respond
from .request.context import Attempt, RequestContext
from .request.dispatch import dispatch
from .request.guards import AttemptInvariantChecks
from .request.record import record
from .request.route import route
from .upstream.endpoint_group import EndpointGroup

# Time before a request's deadline at which the driver responds if the policy has not. The policy responds
# four ticks of at least 1 ms before the deadline; with the same margin the driver would respond first and
# fail requests that the policy would reject.
RESPONSE_MARGIN_MS = 1.0


def _drop_gossip(_peer: int, _text: str) -> None:
    """Drop a message: gossip is disabled, or its transport is not bound yet."""


class PolicyDriver:
    """Passes events to the policy one at a time, and executes the actions that it returns.

    Owns the requests that await a response and the attempts in flight. An exception in the policy or in an
    action is counted and logged, and affects at most its own request.
    """

    def __init__(self, settings: Settings, seed: int, group: EndpointGroup, counters: Counters) -> None:
        """Start the policy. Requires a running event loop."""
        self.settings, self.group, self.counters = settings, group, counters
        self.trace = counters.trace
        self.now = UnixClock()
        self.gateway = Gateway(settings, seed, self.now())
        self.loop = asyncio.get_running_loop()
        self.open_requests: dict[int, RequestContext] = {}  # those that await a response, by ID
        # By request ID and attempt number.
        self.attempts_in_flight: dict[tuple[int, int], Attempt] = {}
        self.pending_events: deque[Event] = deque()
        self.handling_events = False
        # Sends a message to the gateway with this index, or to all for -1.
        self.send_gossip: Callable[[int, str], None] = _drop_gossip
        # Called with a request whose response is sent and whose attempts have ended.
        self.on_request_released: Callable[[RequestContext], None] | None = None
        self.on_first_attempt: Callable[[RequestReceived], None] | None = None
        # Called with each request first; if it returns True, the policy gets the request only at `resume`.
        self.delay_admission: Callable[[RequestReceived], bool] | None = None
        self.attempt_checks = AttemptInvariantChecks(
            settings, group, counters, self.now, lambda number: self.gateway.endpoints.by_number.get(number)
        )
        self._execute(self.gateway.start())

    # Events

    def submit(self, context: RequestContext) -> None:
        """Accept a request, which gets a response before its deadline even if the policy fails."""
        self.open_requests[context.request_id] = context
        self.trace.add(context.client_request_id, "taken", context.request.request_class)
        time_left = context.deadline - RESPONSE_MARGIN_MS - self.now()
        context.deadline_timer = self.loop.call_later(time_left / 1000, self._fail_overdue, context)
        if self.delay_admission is None or not self.delay_admission(context.request):
            self.apply_event(context.request)

    def resume(self, request_id: int) -> None:
        """Pass a request that `delay_admission` delayed to the policy, with its remaining time."""
        context = self.open_requests.get(request_id)
        if context is not None:
            time_left = max(0.0, context.deadline - self.now())
            self.apply_event(replace(context.request, remaining_time=time_left))

    def client_disconnected(self, context: RequestContext) -> None:
        """Release a request whose client has disconnected, without a response."""
        if context.claim_response():
            self.counters.add("clients_gone")
            self.trace.add(context.client_request_id, "client_gone")
            self._log_request("client_gone", context)
            # `_handle` removes the request, after earlier events and their actions.
            self.apply_event(ClientDisconnected(context.request_id))
            self.release(context)

    def remove(self, context: RequestContext) -> None:
        """Remove a request whose response is sent."""
        self.open_requests.pop(context.request_id, None)

    def release(self, context: RequestContext) -> None:
        """Report a request as released if its response is sent and none of its attempts is in flight."""
        if self.on_request_released is None or context.awaiting_response:
            return
        context.released_at = context.released_at or self.now()
        if any(
            (context.request_id, attempt.number) in self.attempts_in_flight for attempt in context.attempts
        ):
            return
        try:
            self.on_request_released(context)
        except Exception:
            self.counters.add("exceptions")
            log.log_exception("record_exception", ref=context.request_id)

    def apply_event(self, event: Event) -> None:
        """Pass an event to the policy and execute its actions.

        Events that the actions cause by nested calls are queued and handled afterwards, in order.
        """
        self.pending_events.append(event)
        if self.handling_events:
            return
        self.handling_events = True
        try:
            while self.pending_events:
                self._handle(self.pending_events.popleft())
        finally:
            self.handling_events = False

    def _handle(self, event: Event) -> None:
        if isinstance(event, ClientDisconnected):
            self.open_requests.pop(event.request_id, None)
        try:
            actions = self.gateway.handle(self.now(), event)
        except Exception:
            # Fail only the request of this event; the process and other requests continue.
            self.counters.add("exceptions")
            log.log_exception("decision_exception", kind=type(event).__name__)
            if isinstance(event, RequestReceived | AttemptEnded):
                self._fail_undecided(event.request_id)
            return
        self._execute(actions)

    def _fail_undecided(self, request_id: int) -> None:
        context = self.open_requests.pop(request_id, None)
        if context is not None:
            respond.fail(context, self.counters)
            self.release(context)

    def _fail_overdue(self, context: RequestContext) -> None:
        """Fail a request that has no response yet, shortly before its client stops waiting."""
        if context.awaiting_response:
            self.counters.add("guard_answers")
            self.trace.add(context.client_request_id, "guard_answer")
            self._log_request("guard_answer", context)
            self.remove(context)
            respond.fail(context, self.counters)
            self.apply_event(ClientDisconnected(context.request_id))
            self.release(context)

    def _log_request(self, event: str, context: RequestContext) -> None:
        """Log a request that was not served, with its client request ID and its attempts."""
        now = self.now()
        attempts = " ".join(
            f"{attempt.endpoint}:{attempt.status or 'out'}:{now - attempt.sent_at:.0f}"
            for attempt in context.attempts
        )
        log.log_event(
            event,
            id=context.client_request_id,
            cls=context.request.request_class,
            patience=context.request.remaining_time,
            after=now - context.received_at,
            tries=attempts,
        )

    # Actions

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            try:
                self._execute_action(action)
            except Exception:
                self.counters.add("exceptions")
                log.log_exception("action_exception", kind=type(action).__name__)

    def _execute_action(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case RejectRequest():
                self._reject(action)
            case FailRequest(request_id):
                self._fail(request_id)
            case CancelAttempt(request_id, number):
                if attempt := self.attempts_in_flight.get((request_id, number)):
                    attempt.cancel(AttemptStatus.CANCELLED)
            case SetTimer(at, token):
                self._set_timer(at, token)
            case SendGossip(peer, data):
                self.send_gossip(peer, data)
            case WatchEndpoints():
                pass  # the endpoint list is always watched

    def _reject(self, action: RejectRequest) -> None:
        context = self.open_requests.pop(action.request_id, None)
        if context is not None:
            self.counters.add(f"rejected_{action.reason}")
            self.trace.add(context.client_request_id, "refused", action.reason)
            respond.reject(context, action.retry_after, self.counters)
            self.release(context)

    def _fail(self, request_id: int) -> None:
        context = self.open_requests.pop(request_id, None)
        if context is not None:
            self.trace.add(context.client_request_id, "failed")
            self._log_request("request_failed", context)
            respond.fail(context, self.counters)
            self.release(context)

    def _set_timer(self, at: float, token: int) -> None:
        delay_ms = max(0, math.ceil(at - self.now()))
        self.loop.call_later(delay_ms / 1000, self._fire_timer, at, token)

    def _fire_timer(self, at: float, token: int) -> None:
        # uvloop counts whole ms from the start of its iteration, so a timer may fire early. The policy treats
        # an early timer as stale and sets no new one, so its work would wait for the next event.
        if self.now() < at:
            self._set_timer(at, token)
        else:
            self.apply_event(TimerFired(token))

    # Attempts

    def _start_attempt(self, action: StartAttempt) -> None:
        context = self.open_requests.get(action.request_id)
        if context is None:
            self.counters.add("sends_too_late")
            return
        attempt = route(context, action, self.now())
        if not context.awaiting_response:  # the client disconnected during an earlier action
            self._finish_attempt(context, attempt, AttemptResult(AttemptStatus.UNSENT))
            return
        self.attempts_in_flight[context.request_id, attempt.number] = attempt
        self.counters.add("tries_sent")
        self.attempt_checks.check_decision(context, attempt)
        if self.on_first_attempt is not None and not attempt.number:
            self.on_first_attempt(context.request)
        attempt.task = self.loop.create_task(self._run_attempt(context, attempt))

    async def _run_attempt(self, context: RequestContext, attempt: Attempt) -> None:
        """Send an attempt and report its result. Not cancelled as a task: `Attempt.cancel` ends the wait."""
        time_left = attempt.deadline - self.now()
        timer = self.loop.call_later(time_left / 1000, attempt.cancel, AttemptStatus.TIMEOUT)
        is_at_most_once = self.settings.classes[context.request.request_class].effect == "unsafe"
        try:
            result = await dispatch(
                context, attempt, self.group, self.now, self.attempt_checks.check_write, is_at_most_once
            )
        except Exception:
            self.counters.add("exceptions")
            log.log_exception("try_exception", ref=context.request_id)
            attempt.cancel(AttemptStatus.RESET)
            result = AttemptResult(AttemptStatus.RESET)  # progress is unknown, so it may have run
        finally:
            timer.cancel()
        del self.attempts_in_flight[context.request_id, attempt.number]
        self.trace.add(context.client_request_id, "attempt_ended", f"{attempt.number} {result.status}")
        self._finish_attempt(context, attempt, result)
        self.release(context)

    def _finish_attempt(self, context: RequestContext, attempt: Attempt, result: AttemptResult) -> None:
        """Respond with the value of a successful attempt, and pass its result to the policy."""
        self.counters.add(f"tries_{result.status}")
        if result.value is not None and context.awaiting_response:
            self.trace.add(context.client_request_id, "served", f"attempt {attempt.number}")
            respond.serve(context, result.value, self.counters)
            self.remove(context)
        self.apply_event(record(context, attempt, result, self.now(), self.settings.max_request_units))
