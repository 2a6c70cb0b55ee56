"""Checks of the invariants of sending and retrying. They change nothing but counters and traces."""

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


class AttemptGuards:
    """Counts and logs each invariant that an attempt breaks. A defect of a check harms no request."""

    def __init__(
        self,
        settings: Settings,
        group: EndpointGroup,
        counters: Counters,
        now: Callable[[], float],
        find_server: Callable[[int], Endpoint | None],
    ) -> None:
        """`now` is the driver's clock in ms; `find_server` returns what the policy knows of an endpoint."""
        self.settings, self.group, self.counters = settings, group, counters
        self.trace = counters.trace
        self.now, self.find_server = now, find_server

    def check_decision(self, context: RequestContext, attempt: Attempt) -> None:
        """Trace the decision to send, with the reason for a retry, and check it against slow start."""
        try:
            self._check_decision(context, attempt)
        except Exception:
            self._log_defect()

    def check_write(
        self, context: RequestContext, attempt: Attempt, connection: UpstreamConnection, timeout_ms: float
    ) -> None:
        """Check the invariants of sending and retrying, right before an attempt's first byte is written."""
        try:
            self._check_write(context, attempt, connection, timeout_ms)
        except Exception:
            self._log_defect()

    def _log_defect(self) -> None:
        self.counters.add("exceptions")
        log.log_exception("guard_exception")

    def _check_decision(self, context: RequestContext, attempt: Attempt) -> None:
        client_id = context.client_request_id
        self.trace.add(client_id, "attempt_decided", f"{attempt.number} to {attempt.endpoint}")
        if attempt.number:
            self.counters.add(f"retries_after_{context.attempts[attempt.number - 1].status or 'out'}")
        server = self.find_server(attempt.endpoint)
        if server is not None:
            is_cold = slow_start.capacity_fraction(server, self.settings, self.now()) < 1
            broken = invariants.violations_of_slow_start(is_cold, server.allowance.level)
            self.trace.report_violations(Guard.START, broken, client_id)

    def _check_write(
        self, context: RequestContext, attempt: Attempt, connection: UpstreamConnection, timeout_ms: float
    ) -> None:
        now, endpoint = self.now(), connection.endpoint
        attempt.zone, attempt.cell = endpoint.zone, endpoint.cell
        client_id = context.client_request_id
        self.trace.add(client_id, "attempt_written", f"{attempt.number} for {timeout_ms:.0f} ms")
        is_ready = self.group.may_send(attempt.endpoint) and self.group.is_current(connection)
        since_end = None
        if not context.awaiting_response:
            since_end = 1000 * (time.monotonic() - context.response_claimed_at)
        facts = invariants.SendFacts(since_end, is_ready, timeout_ms, context.deadline - now)
        self.trace.report_violations(Guard.SEND, invariants.violations_of_send(facts), client_id)
        if attempt.number:
            self._check_retry(context, attempt, now)

    def _check_retry(self, context: RequestContext, attempt: Attempt, now: float) -> None:
        earlier = [
            invariants.EarlierAttempt(
                one.sent_at,
                cast("events.AttemptStatus | None", one.status),  # whose literals are this one's values
                one.zone,
                one.cell,
            )
            for one in context.attempts[: attempt.number]
        ]
        facts = invariants.RetryFacts(now, attempt.zone, attempt.cell, earlier)
        cls = self.settings.classes[context.request.request_class]
        broken = invariants.violations_of_retry(facts, cls, self.settings)
        self.trace.report_violations(Guard.RETRY, broken, context.client_request_id)
