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
from .request import respond as relay
from .request.context import Ending, RequestContext, Try
from .request.dispatch import send
from .request.record import book
from .request.route import route
from .upstream.endpoint_group import ServerConnection, UpstreamGroup

# ms before a request's patience ends at which the driver answers if the decisions have not. They do so four
# ticks before, of 1 ms or more: at the same time as theirs, the net came first, failing what may be rejected.
GUARD = 1.0


class Clock:
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


class Driver:
    def __init__(self, settings: Settings, seed: int, group: UpstreamGroup, counters: Counters) -> None:
        self.settings, self.group, self.counters = settings, group, counters
        self.trace = counters.trace
        self.now = Clock()
        self.tell: Callable[[int, str], None] = lambda peer, text: None
        self.gateway = Gateway(settings, seed, self.now())
        self.loop = asyncio.get_running_loop()
        self.open: dict[int, RequestContext] = {}  # requests that are owed an answer
        self.out: dict[tuple[int, int], Try] = {}  # tries that have not ended
        self.events: deque[Event] = deque()
        self.busy = False
        self.seen: Callable[[RequestContext], None] | None = None  # told of requests that are over, if any is
        self.sent: Callable[[RequestReceived], None] | None = None  # told of requests' first tries, if any is
        # Told of requests before the decisions are: does one wait until `resume`?
        self.asked: Callable[[RequestReceived], bool] | None = None
        self._carry_out(self.gateway.start())

    # Events

    def take(self, context: RequestContext) -> None:
        self.open[context.ref] = context
        self.trace.add(context.id, "taken", context.request.request_class)
        left = context.due - GUARD - self.now()
        context.guard = self.loop.call_later(left / 1000, self._guard, context)
        if self.asked is None or not self.asked(context.request):
            self.feed(context.request)

    def resume(self, ref: int) -> None:
        """What it waited for has come, or is not waited for any longer."""
        if (context := self.open.get(ref)) is not None:
            self.feed(replace(context.request, remaining_time=max(0.0, context.due - self.now())))

    def gone(self, context: RequestContext) -> None:
        """The client has left: nothing is owed to it any more."""
        if context.end():
            self.counters.add("clients_gone")
            self.trace.add(context.id, "client_gone")
            self._story("client_gone", context)
            self.feed(
                ClientDisconnected(context.ref)
            )  # forgotten as it is handled: what was decided comes first
            self.over(context)

    def _story(self, event: str, context: RequestContext) -> None:
        """The story of a request that was not served, for whoever follows its id."""
        now = self.now()
        tries = " ".join(f"{one.server}:{one.status or 'out'}:{now - one.sent:.0f}" for one in context.tries)
        log.say(
            event, id=context.id, cls=context.request.request_class, patience=context.request.remaining_time,
            after=now - context.taken, tries=tries,
        )  # fmt: skip

    def forget(self, context: RequestContext) -> None:
        self.open.pop(context.ref, None)

    def over(self, context: RequestContext) -> None:
        """Something of a request has ended: tell of it once nothing of it is left."""
        if self.seen is None or context.open:
            return
        context.ended = context.ended or self.now()
        if not any((context.ref, one.number) in self.out for one in context.tries):
            try:
                self.seen(context)
            except Exception:
                self.counters.add("exceptions")
                log.trouble("record_exception", ref=context.ref)

    def feed(self, event: Event) -> None:
        """Handle an event and what it leads to. Events that come up meanwhile follow in their order."""
        self.events.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.events:
                self._handle(self.events.popleft())
        finally:
            self.busy = False

    def _handle(self, event: Event) -> None:
        if isinstance(event, ClientDisconnected):
            self.open.pop(event.request_id, None)
        try:
            actions = self.gateway.handle(self.now(), event)
        except Exception:
            # One bad event must not end the program: its request is answered, the others go on.
            self.counters.add("exceptions")
            log.trouble("decision_exception", kind=type(event).__name__)
            if isinstance(event, RequestReceived | AttemptEnded) and (
                context := self.open.pop(event.request_id, None)
            ):
                relay.fail(context, self.counters)
                self.over(context)
            return
        self._carry_out(actions)

    def _guard(self, context: RequestContext) -> None:
        """Rule 1's net: whatever went wrong, a request gets its answer before its client gives up."""
        if context.open:
            self.counters.add("guard_answers")
            self.trace.add(context.id, "guard_answer")
            self._story("guard_answer", context)
            self.forget(context)
            relay.fail(context, self.counters)
            self.feed(ClientDisconnected(context.ref))
            self.over(context)

    # Actions

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            try:
                self._do(action)
            except Exception:
                self.counters.add("exceptions")
                log.trouble("action_exception", kind=type(action).__name__)

    def _do(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._send(action)
            case RejectRequest(ref, wait):
                if context := self.open.pop(ref, None):
                    self.counters.add(f"rejected_{action.reason}")
                    self.trace.add(context.id, "refused", action.reason)
                    relay.reject(context, wait, self.counters)
                    self.over(context)
            case FailRequest(ref):
                if context := self.open.pop(ref, None):
                    self.trace.add(context.id, "failed")
                    self._story("request_failed", context)
                    relay.fail(context, self.counters)
                    self.over(context)
            case CancelAttempt(ref, number):
                if attempt := self.out.get((ref, number)):
                    attempt.give_up("cancelled")
            case SetTimer(at, token):
                self._set_timer(at, token)
            case SendGossip(peer, data):
                self.tell(peer, data)
            case WatchEndpoints():
                pass  # discovery is always watched

    def _set_timer(self, at: float, token: int) -> None:
        left = max(0, math.ceil(at - self.now()))
        self.loop.call_later(left / 1000, self._fire, at, token)

    def _fire(self, at: float, token: int) -> None:
        # uvloop counts whole ms from the start of its turn, so it may fire early. The decisions take an early
        # timer for one of the past and set no other: what it was for would wait for the next event.
        if self.now() < at:
            self._set_timer(at, token)
        else:
            self.feed(TimerFired(token))

    def _send(self, action: StartAttempt) -> None:
        if (context := self.open.get(action.request_id)) is None:
            self.counters.add("sends_too_late")
            return
        attempt = route(context, action, self.now())
        if not context.open:  # its client left while an action before this one was carried out
            return book(context, attempt, Ending("unsent"), self)
        self.out[context.ref, attempt.number] = attempt
        self.counters.add("tries_sent")
        self._guarded(self._trace_send, context, attempt)
        if self.sent is not None and not attempt.number:
            self.sent(context.request)
        attempt.task = self.loop.create_task(self._try(context, attempt))

    async def _try(self, context: RequestContext, attempt: Try) -> None:
        limit = self.loop.call_later((attempt.until - self.now()) / 1000, attempt.give_up, "timeout")
        try:
            ending = await send(context, attempt, self.group, self.now, self._check)
        except Exception:
            self.counters.add("exceptions")
            log.trouble("try_exception", ref=context.ref)
            attempt.give_up("reset")
            ending = Ending("reset")  # nobody knows how far it came: it may have run
        finally:
            limit.cancel()
        del self.out[context.ref, attempt.number]
        self.trace.add(context.id, "attempt_ended", f"{attempt.number} {ending.status}")
        book(context, attempt, ending, self)
        self.over(context)

    # Invariants

    def _guarded(self, check: Callable[..., None], *arguments: object) -> None:
        """Run a check, whose own defects must harm no request."""
        try:
            check(*arguments)
        except Exception:
            self.counters.add("exceptions")
            log.trouble("guard_exception")

    def _check(self, *arguments: object) -> None:
        self._guarded(self._check_send, *arguments)

    def _trace_send(self, context: RequestContext, attempt: Try) -> None:
        """Record the decision to send, with the reason for a retry, and check it against slow start."""
        self.trace.add(context.id, "attempt_decided", f"{attempt.number} to {attempt.server}")
        if attempt.number:
            self.counters.add(f"retries_after_{context.tries[attempt.number - 1].status or 'out'}")
        server = self.gateway.servers.get(attempt.server)
        if server is not None:
            cold = slow_start.capacity(server, self.settings, self.now()) < 1
            broken = invariants.broken_by_slow_start(cold, server.allowance.level)
            self.trace.check(Guard.START, broken, context.id)

    def _check_send(
        self, context: RequestContext, attempt: Try, connection: ServerConnection, passed_on: float
    ) -> None:
        """Check the invariants of sending and repeating, right before an attempt's first byte is written."""
        now, member = self.now(), connection.member
        attempt.zone, attempt.cell = member.zone, member.cell
        self.trace.add(context.id, "attempt_written", f"{attempt.number} for {passed_on:.0f} ms")
        ready = self.group.wanted(attempt.server) and self.group.current(connection)
        since_end = None if context.open else 1000 * (time.monotonic() - context.ended_at)
        facts = invariants.SendFacts(since_end, ready, passed_on, context.due - now)
        self.trace.check(Guard.SEND, invariants.broken_by_sending(facts), context.id)
        if attempt.number:
            earlier = [
                invariants.EarlierAttempt(one.sent, one.status, one.zone, one.cell)
                for one in context.tries[: attempt.number]
            ]
            repeat = invariants.RepeatFacts(now, member.zone, member.cell, earlier)
            cls = self.settings.classes[context.request.request_class]
            broken = invariants.broken_by_repeating(repeat, cls, self.settings)
            self.trace.check(Guard.REPEAT, broken, context.id)
