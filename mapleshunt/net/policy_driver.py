"""The driver: the only caller of `Gateway.handle`. It keeps clock and timers and carries out actions."""

from __future__ import annotations

import asyncio
import math
import time
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from .. import invariants
from ..invariants import Guard
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
    slow_start,
)
from ..policy.gateway import Gateway
from . import log
from .counters import Counters
from .request import respond
from .request.context import Attempt, AttemptResult, RequestContext
from .request.dispatch import dispatch
from .request.record import record
from .request.route import route
from .upstream.endpoint_group import EndpointGroup, UpstreamConnection

# ms before a request's patience ends at which the driver answers if the decisions have not. They do so four
# ticks before, of 1 ms or more: at the same time as theirs, the net came first, failing what may be rejected.
RESPONSE_GUARD_MS = 1.0


class UnixClock:
    """Unix time in ms that advances evenly: servers' starts, which are told in Unix time, are on it."""

    def __init__(self) -> None:
        self.origin = (time.time() - time.monotonic()) * 1000

    def __call__(self) -> float:
        return self.origin + time.monotonic() * 1000

    def age(self, started: float) -> float:
        """For how many ms a server that started then, in Unix ms, has been up, at the least.

        The wall clock may have been stepped since this one began, here or wherever the start was told: the
        younger of the two ages counts, for a server that is taken for older than it is gets too much.
        """
        return max(0.0, min(self(), time.time() * 1000) - started)


class PolicyDriver:
    def __init__(self, settings: Settings, seed: int, group: EndpointGroup, counters: Counters) -> None:
        self.settings, self.group, self.counters = settings, group, counters
        self.trace = counters.trace
        self.now = UnixClock()
        self.send_gossip: Callable[[int, str], None] = lambda peer, text: None
        self.gateway = Gateway(settings, seed, self.now())
        self.loop = asyncio.get_running_loop()
        self.open_requests: dict[int, RequestContext] = {}  # requests that are owed an answer
        self.attempts_in_flight: dict[tuple[int, int], Attempt] = {}  # tries that have not ended
        self.pending_events: deque[Event] = deque()
        self.applying = False
        self.on_request_released: Callable[[RequestContext], None] | None = (
            None  # told of requests that are over, if any is
        )
        self.on_first_attempt: Callable[[RequestReceived], None] | None = (
            None  # told of requests' first tries, if any is
        )
        # Told of requests before the decisions are: does one wait until `resume`?
        self.delay_admission: Callable[[RequestReceived], bool] | None = None
        self._execute(self.gateway.start())

    # Events

    def submit(self, context: RequestContext) -> None:
        self.open_requests[context.request_id] = context
        self.trace.add(context.client_request_id, "taken", context.request.request_class)
        left = context.deadline - RESPONSE_GUARD_MS - self.now()
        context.deadline_timer = self.loop.call_later(left / 1000, self._answer_overdue, context)
        if self.delay_admission is None or not self.delay_admission(context.request):
            self.apply_event(context.request)

    def resume(self, ref: int) -> None:
        """What it waited for has come, or is not waited for any longer."""
        if (context := self.open_requests.get(ref)) is not None:
            self.apply_event(replace(context.request, remaining_time=max(0.0, context.deadline - self.now())))

    def client_disconnected(self, context: RequestContext) -> None:
        """The client has left: nothing is owed to it any more."""
        if context.claim_response():
            self.counters.add("clients_gone")
            self.trace.add(context.client_request_id, "client_gone")
            self._log_request("client_gone", context)
            self.apply_event(
                ClientDisconnected(context.request_id)
            )  # forgotten as it is handled: what was decided comes first
            self.release(context)

    def _log_request(self, event: str, context: RequestContext) -> None:
        """The story of a request that was not served, for whoever follows its id."""
        now = self.now()
        tries = " ".join(
            f"{one.server}:{one.status or 'out'}:{now - one.sent_at:.0f}" for one in context.attempts
        )
        log.log_event(
            event, id=context.client_request_id, cls=context.request.request_class,
            patience=context.request.remaining_time, after=now - context.received_at, tries=tries,
        )  # fmt: skip

    def remove(self, context: RequestContext) -> None:
        self.open_requests.pop(context.request_id, None)

    def release(self, context: RequestContext) -> None:
        """Something of a request has ended: tell of it once nothing of it is left."""
        if self.on_request_released is None or context.awaiting_response:
            return
        context.released_at = context.released_at or self.now()
        if not any((context.request_id, one.number) in self.attempts_in_flight for one in context.attempts):
            try:
                self.on_request_released(context)
            except Exception:
                self.counters.add("exceptions")
                log.log_exception("record_exception", ref=context.request_id)

    def apply_event(self, event: Event) -> None:
        """Handle an event and what it leads to. Events that come up meanwhile follow in their order."""
        self.pending_events.append(event)
        if self.applying:
            return
        self.applying = True
        try:
            while self.pending_events:
                self._handle(self.pending_events.popleft())
        finally:
            self.applying = False

    def _handle(self, event: Event) -> None:
        if isinstance(event, ClientDisconnected):
            self.open_requests.pop(event.request_id, None)
        try:
            actions = self.gateway.handle(self.now(), event)
        except Exception:
            # One bad event must not end the program: its request is answered, the others go on.
            self.counters.add("exceptions")
            log.log_exception("decision_exception", kind=type(event).__name__)
            if isinstance(event, RequestReceived | AttemptEnded) and (
                context := self.open_requests.pop(event.request_id, None)
            ):
                respond.fail(context, self.counters)
                self.release(context)
            return
        self._execute(actions)

    def _answer_overdue(self, context: RequestContext) -> None:
        """Rule 1's net: whatever went wrong, a request gets its answer before its client gives up."""
        if context.awaiting_response:
            self.counters.add("guard_answers")
            self.trace.add(context.client_request_id, "guard_answer")
            self._log_request("guard_answer", context)
            self.remove(context)
            respond.fail(context, self.counters)
            self.apply_event(ClientDisconnected(context.request_id))
            self.release(context)

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
            case RejectRequest(ref, wait):
                if context := self.open_requests.pop(ref, None):
                    self.counters.add(f"rejected_{action.reason}")
                    self.trace.add(context.client_request_id, "refused", action.reason)
                    respond.reject(context, wait, self.counters)
                    self.release(context)
            case FailRequest(ref):
                if context := self.open_requests.pop(ref, None):
                    self.trace.add(context.client_request_id, "failed")
                    self._log_request("request_failed", context)
                    respond.fail(context, self.counters)
                    self.release(context)
            case CancelAttempt(ref, number):
                if attempt := self.attempts_in_flight.get((ref, number)):
                    attempt.cancel("cancelled")
            case SetTimer(at, token):
                self._set_timer(at, token)
            case SendGossip(peer, data):
                self.send_gossip(peer, data)
            case WatchEndpoints():
                pass  # discovery is always watched

    def _set_timer(self, at: float, token: int) -> None:
        left = max(0, math.ceil(at - self.now()))
        self.loop.call_later(left / 1000, self._timer_fired, at, token)

    def _timer_fired(self, at: float, token: int) -> None:
        # uvloop counts whole ms from the start of its turn, so it may fire early. The decisions take an early
        # timer for one of the past and set no other: what it was for would wait for the next event.
        if self.now() < at:
            self._set_timer(at, token)
        else:
            self.apply_event(TimerFired(token))

    def _start_attempt(self, action: StartAttempt) -> None:
        if (context := self.open_requests.get(action.request_id)) is None:
            self.counters.add("sends_too_late")
            return
        attempt = route(context, action, self.now())
        if not context.awaiting_response:  # its client left while an action before this one was carried out
            return record(context, attempt, AttemptResult("unsent"), self)
        self.attempts_in_flight[context.request_id, attempt.number] = attempt
        self.counters.add("tries_sent")
        self._guarded(self._trace_send, context, attempt)
        if self.on_first_attempt is not None and not attempt.number:
            self.on_first_attempt(context.request)
        attempt.task = self.loop.create_task(self._run_attempt(context, attempt))

    async def _run_attempt(self, context: RequestContext, attempt: Attempt) -> None:
        limit = self.loop.call_later((attempt.deadline - self.now()) / 1000, attempt.cancel, "timeout")
        try:
            ending = await dispatch(context, attempt, self.group, self.now, self._check)
        except Exception:
            self.counters.add("exceptions")
            log.log_exception("try_exception", ref=context.request_id)
            attempt.cancel("reset")
            ending = AttemptResult("reset")  # nobody knows how far it came: it may have run
        finally:
            limit.cancel()
        del self.attempts_in_flight[context.request_id, attempt.number]
        self.trace.add(context.client_request_id, "attempt_ended", f"{attempt.number} {ending.status}")
        record(context, attempt, ending, self)
        self.release(context)

    # Invariants

    def _guarded(self, check: Callable[..., None], *arguments: object) -> None:
        """Run a check, whose own defects must harm no request."""
        try:
            check(*arguments)
        except Exception:
            self.counters.add("exceptions")
            log.log_exception("guard_exception")

    def _check(self, *arguments: object) -> None:
        self._guarded(self._check_send, *arguments)

    def _trace_send(self, context: RequestContext, attempt: Attempt) -> None:
        """Record the decision to send, with the reason for a retry, and check it against slow start."""
        self.trace.add(context.client_request_id, "attempt_decided", f"{attempt.number} to {attempt.server}")
        if attempt.number:
            self.counters.add(f"retries_after_{context.attempts[attempt.number - 1].status or 'out'}")
        server = self.gateway.servers.get(attempt.server)
        if server is not None:
            cold = slow_start.capacity(server, self.settings, self.now()) < 1
            broken = invariants.broken_by_slow_start(cold, server.allowance.level)
            self.trace.report_violations(Guard.START, broken, context.client_request_id)

    def _check_send(
        self, context: RequestContext, attempt: Attempt, connection: UpstreamConnection, passed_on: float
    ) -> None:
        """Check the invariants of sending and repeating, right before an attempt's first byte is written."""
        now, member = self.now(), connection.endpoint
        attempt.zone, attempt.cell = member.zone, member.cell
        self.trace.add(
            context.client_request_id, "attempt_written", f"{attempt.number} for {passed_on:.0f} ms"
        )
        ready = self.group.may_send(attempt.server) and self.group.is_current(connection)
        since_end = (
            None if context.awaiting_response else 1000 * (time.monotonic() - context.response_claimed_at)
        )
        facts = invariants.SendFacts(since_end, ready, passed_on, context.deadline - now)
        self.trace.report_violations(
            Guard.SEND, invariants.broken_by_sending(facts), context.client_request_id
        )
        if attempt.number:
            earlier = [
                invariants.EarlierAttempt(one.sent_at, one.status, one.zone, one.cell)
                for one in context.attempts[: attempt.number]
            ]
            repeat = invariants.RepeatFacts(now, member.zone, member.cell, earlier)
            cls = self.settings.classes[context.request.request_class]
            broken = invariants.broken_by_repeating(repeat, cls, self.settings)
            self.trace.report_violations(Guard.REPEAT, broken, context.client_request_id)
