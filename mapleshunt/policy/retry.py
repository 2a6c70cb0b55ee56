"""Which requests may be sent again and where to, and the queue of retries that wait for a slot."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from .actions import Action, CancelAttempt, RejectReason
from .customers import PendingRequest
from .endpoints import Endpoint
from .latency import LatencyEstimates
from .requests import RequestTable
from .settings import Settings
from .timers import TimerKind, TimerQueue

# Without hedging, a request with this many attempts is not migrated from an endpoint that is ejected or gone.
MAX_MIGRATED_ATTEMPTS = 3
# Fraction of a class's latency objective that the client of a rejected request is asked to wait.
RETRY_AFTER_PART = 1 / 4


class AttemptPermission(NamedTuple):
    """Whether a request may be sent now, and how it may end.

    Attributes:
        endpoint_filter: Fields that the endpoint's `EndpointInfo` must have; None if it may not be sent.
        may_reject: It may be rejected, because a retry by its client does no harm.
    """

    endpoint_filter: tuple[tuple[str, object], ...] | None
    may_reject: bool


ANYWHERE = AttemptPermission((), True)
NOWHERE = AttemptPermission(None, True)
NOWHERE_AND_MAY_HAVE_RUN = AttemptPermission(None, False)


class Retries:
    """Retries that wait for a slot, and the rules for all attempts of a request."""

    __slots__ = ("_actions", "_latency", "_requests", "_settings", "_waiting")

    def __init__(
        self,
        settings: Settings,
        requests: RequestTable,
        latency: LatencyEstimates,
        timers: TimerQueue,
        actions: list[Action],
    ) -> None:
        self._settings, self._requests = settings, requests
        self._latency, self._actions = latency, actions
        self._waiting: deque[PendingRequest] = deque()
        timers.on(TimerKind.REQUEST_UNSENT, self._end_if_unsent)
        timers.on(TimerKind.REQUEST_DEADLINE, self._end_at_deadline)

    def permission(self, request: PendingRequest, now: float) -> AttemptPermission:
        """Return where the request may be sent now, and whether it may be rejected.

        Once it may have run, an unsafe request is not sent again, and a keyed one only where a repeat is
        recognized, within the window.
        """
        attempts, settings = request.attempts, self._settings
        may_send = len(attempts) < settings.max_attempts and not request.response_started
        may_send = may_send and (settings.allow_hedging or not request.has_attempt_in_flight())
        request_class = request.request_class
        may_have_run = request.may_have_run() if attempts else attempts
        if not may_have_run or request_class.effect == "safe":
            return ANYWHERE if may_send else NOWHERE
        if request_class.effect == "unsafe":
            return NOWHERE_AND_MAY_HAVE_RUN
        scope = request_class.retry_scope
        may_send = may_send and now < request.idempotency_window_end() - self._requests.margin
        if not may_send:
            return AttemptPermission(None, scope == "all")
        if scope == "all":
            return ANYWHERE
        required = tuple((scope, getattr(attempt.endpoint.info, scope)) for attempt in may_have_run)
        return AttemptPermission(required, False)

    def retry_or_end(self, request: PendingRequest, now: float) -> None:
        """Retry a request whose attempts have all ended if an answer would still be useful, else end it."""
        request_class = request.request_class
        useful_until = request.deadline if request_class.late_priority_weight else request.objective_at
        may_send = self.permission(request, now).endpoint_filter is not None
        if may_send and now + self._latency.expected(request_class) < useful_until:
            self._enqueue(request)
        else:
            self.reject_or_fail(request, now)

    def _enqueue(self, request: PendingRequest) -> None:
        request.retry_pending = True
        self._waiting.append(request)

    def take_waiting(self) -> list[PendingRequest]:
        """Remove and return all waiting retries; some may have ended meanwhile."""
        waiting = list(self._waiting)
        self._waiting.clear()
        return waiting

    def __len__(self) -> int:
        """Return the number of waiting retries."""
        return len(self._waiting)

    def requeue_or_end(self, request: PendingRequest, now: float) -> None:
        """Queue a retry again that could not be started, or end it if its window has ended meanwhile."""
        may_send = self.permission(request, now).endpoint_filter is not None
        if not may_send and not request.has_attempt_in_flight():
            self.reject_or_fail(request, now)
        else:
            self._waiting.append(request)

    def reject_or_fail(self, request: PendingRequest, now: float) -> None:
        """Reject a request that will not be served if a retry does no harm, else fail it."""
        if not self.permission(request, now).may_reject:
            self._requests.fail(request, now)
            return
        if request.attempts:
            reason = RejectReason.ATTEMPTS_FAILED
        elif request.admitted:
            reason = RejectReason.NO_SLOT
        else:
            reason = RejectReason.NO_QUOTA_REPLY
        wait = request.request_class.latency_objective * RETRY_AFTER_PART
        self._requests.reject(request.request_id, wait, reason, now)

    def _end_if_unsent(self, request_id: int, now: float) -> None:
        request = self._requests.open.get(request_id)
        if request is not None and not request.attempts:
            self.reject_or_fail(request, now)

    def _end_at_deadline(self, request_id: int, now: float) -> None:
        request = self._requests.open.get(request_id)
        if request is not None and not request.response_started:
            self.reject_or_fail(request, now)

    def migrate_attempts(self, endpoint: Endpoint, now: float) -> None:
        """Hedge or cancel the attempts in flight at an endpoint that is ejected or gone."""
        settings = self._settings
        for request_id, number in list(endpoint.in_flight):
            request = self._requests.open.get(request_id)
            if request is None or request.retry_pending or request.request_class.effect == "unsafe":
                continue
            if now > request.objective_at:
                continue
            if settings.allow_hedging:
                if not request.hedged:
                    self._enqueue(request)
                    request.hedged = True
            elif settings.can_cancel and len(request.attempts) < MAX_MIGRATED_ATTEMPTS:
                self._actions.append(CancelAttempt(request_id, number))
