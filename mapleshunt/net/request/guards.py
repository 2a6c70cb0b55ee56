"""Invariant checks on attempts. They only update counters, traces and an attempt's zone and cell."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import cast

from ... import invariants
from ...invariants import Guard
from ...policy import Settings, events, slow_start
from ...policy.endpoints import Endpoint
from .. import log
from ..counters import Counters
from ..upstream.connection import UpstreamConnection
from ..upstream.endpoint_group import EndpointGroup
from .context import Attempt, RequestContext


class AttemptInvariantChecks:
    """Counts and logs each invariant that an attempt violates. An exception in a check affects no request."""

    def __init__(
        self,
        settings: Settings,
        group: EndpointGroup,
        counters: Counters,
        now: Callable[[], float],
        find_endpoint: Callable[[int], Endpoint | None],
    ) -> None:
        """`now` is the driver's clock in ms; `find_endpoint` returns the policy's endpoint of that number."""
        self.settings, self.group, self.counters = settings, group, counters
        self.trace = counters.trace
        self.now, self.find_endpoint = now, find_endpoint

    def check_decision(self, context: RequestContext, attempt: Attempt) -> None:
        """Trace the decision to send, count the reason for a retry, and check it against slow start."""
        try:
            self._check_decision(context, attempt)
        except Exception:
            self._log_check_exception()

    def check_write(
        self, context: RequestContext, attempt: Attempt, connection: UpstreamConnection, timeout_ms: float
    ) -> None:
        """Check the invariants of sending and retrying, before an attempt's first byte is written."""
        try:
            self._check_write(context, attempt, connection, timeout_ms)
        except Exception:
            self._log_check_exception()

    def _log_check_exception(self) -> None:
        self.counters.add("exceptions")
        log.log_exception("guard_exception")

    def _check_decision(self, context: RequestContext, attempt: Attempt) -> None:
        client_id = context.client_request_id
        self.trace.add(client_id, "attempt_decided", f"{attempt.number} to {attempt.endpoint}")
        if attempt.number:
            self.counters.add(f"retries_after_{context.attempts[attempt.number - 1].status or 'out'}")
        endpoint = self.find_endpoint(attempt.endpoint)
        if endpoint is not None:
            is_warming_up = slow_start.capacity_fraction(endpoint, self.settings, self.now()) < 1
            violations = invariants.violations_of_slow_start(is_warming_up, endpoint.allowance.level)
            self.trace.report_violations(Guard.START, violations, client_id)

    def _check_write(
        self, context: RequestContext, attempt: Attempt, connection: UpstreamConnection, timeout_ms: float
    ) -> None:
        now, endpoint = self.now(), connection.endpoint
        attempt.zone, attempt.cell = endpoint.zone, endpoint.cell
        client_id = context.client_request_id
        self.trace.add(client_id, "attempt_written", f"{attempt.number} for {timeout_ms:.0f} ms")
        is_ready = self.group.may_send(attempt.endpoint) and self.group.is_current(connection)
        since_end_ms = None
        if not context.awaiting_response:
            since_end_ms = 1000 * (time.monotonic() - context.response_claimed_at)
        facts = invariants.SendFacts(since_end_ms, is_ready, timeout_ms, context.deadline - now)
        self.trace.report_violations(Guard.SEND, invariants.violations_of_send(facts), client_id)
        if attempt.number:
            self._check_retry(context, attempt, now)

    def _check_retry(self, context: RequestContext, attempt: Attempt, now: float) -> None:
        earlier = [
            invariants.EarlierAttempt(
                previous.sent_at,
                cast("events.AttemptStatus | None", previous.status),  # the literals equal the enum's values
                previous.zone,
                previous.cell,
            )
            for previous in context.attempts[: attempt.number]
        ]
        facts = invariants.RetryFacts(now, attempt.zone, attempt.cell, earlier)
        request_class = self.settings.classes[context.request.request_class]
        violations = invariants.violations_of_retry(facts, request_class, self.settings)
        self.trace.report_violations(Guard.RETRY, violations, context.client_request_id)
