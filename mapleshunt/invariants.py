"""Invariants of a gateway: what must hold whenever it sends, retries, closes or starts.

The guards restate the rules of the protocol from facts alone and share no code with the policy, so that a
defect there does not hide itself here. No I/O and no clock: times are ms, facts are arguments. Each guard
returns the violations by the names that counters and log lines have; usually there are none.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from .policy import NEVER_RAN, AttemptStatus, RequestClass, Settings

# ms after a request was answered or its client left in which an attempt of it may still begin.
MAX_SEND_AFTER_END_MS = 100.0
# ms by which the timeout passed to an endpoint may exceed the client's remaining time.
DEADLINE_SLACK_MS = 150.0
# Maximum duration of a start, ms: 9 of 10 restarted processes must be ready by then.
MAX_START_MS = 10_000.0
# Attempts by which the allowance of an endpoint in slow start may be exceeded by rounding errors.
ALLOWANCE_TOLERANCE = 1e-6
# Reasons for which a client connection may end with requests unanswered, all caused by its client.
CLIENT_REASONS = frozenset({"client_closed", "client_reset", "slow_client"})
# Time that a client has to read a response before its connection may end over a part of it, ms.
MIN_RESPONSE_READ_MS = 3000.0
# Reasons for which it may end earlier: its client ended it, or the process stops.
RESPONSE_LOSS_REASONS = frozenset({"client_closed", "client_reset", "stopped"})


class Guard(enum.Enum):
    """Where an invariant is checked. The values appear in counters and log lines."""

    SEND = "send"
    RETRY = "repeat"
    CLOSE = "close"
    START = "start"


@dataclass(slots=True, frozen=True)
class SendFacts:
    """An attempt whose first byte is about to be written.

    Attributes:
        since_request_end: ms since its request was answered or its client left; None while it is open.
        endpoint_ready: The endpoint list has the endpoint as ready, at this address and with this start.
        timeout: ms that are passed to the endpoint as its timeout.
        remaining_time: ms until the client's deadline.
    """

    since_request_end: float | None
    endpoint_ready: bool
    timeout: float
    remaining_time: float


@dataclass(slots=True, frozen=True)
class EarlierAttempt:
    """An attempt of the same request before the one to be sent; `status` is None while it is in flight."""

    sent_at: float
    status: AttemptStatus | None
    zone: str
    cell: int


@dataclass(slots=True, frozen=True)
class RetryFacts:
    """A retry that is about to be sent at `now` to an endpoint in this zone and cell."""

    now: float
    zone: str
    cell: int
    earlier: Sequence[EarlierAttempt]


def violations_of_send(facts: SendFacts) -> list[str]:
    """Return the rules that sending this attempt violates."""
    violations = []
    if facts.since_request_end is not None and facts.since_request_end > MAX_SEND_AFTER_END_MS:
        violations.append("sent_after_end")
    if not facts.endpoint_ready:
        violations.append("sent_to_unavailable_server")
    if facts.timeout > facts.remaining_time + DEADLINE_SLACK_MS:
        violations.append("deadline_exceeds_client")
    return violations


def violations_of_retry(facts: RetryFacts, request_class: RequestClass, settings: Settings) -> list[str]:
    """Return the rules that this retry violates."""
    violations = []
    if len(facts.earlier) >= settings.max_attempts:
        violations.append("too_many_attempts")
    if not settings.allow_hedging and any(attempt.status is None for attempt in facts.earlier):
        violations.append("two_attempts_out")
    may_have_run = [attempt for attempt in facts.earlier if attempt.status not in NEVER_RAN]
    if may_have_run and request_class.effect == "unsafe":
        violations.append("unsafe_request_repeated")
    if may_have_run and request_class.effect == "keyed":
        violations += _violations_of_keyed_retry(facts, may_have_run, request_class)
    return violations


def _violations_of_keyed_retry(
    facts: RetryFacts, may_have_run: Sequence[EarlierAttempt], request_class: RequestClass
) -> list[str]:
    violations = []
    if facts.now > may_have_run[0].sent_at + request_class.idempotency_window:
        violations.append("repeated_after_window")
    if request_class.retry_scope == "cell" and any(attempt.cell != facts.cell for attempt in may_have_run):
        violations.append("repeated_outside_cell")
    if request_class.retry_scope == "zone" and any(attempt.zone != facts.zone for attempt in may_have_run):
        violations.append("repeated_outside_zone")
    return violations


@dataclass(slots=True, frozen=True)
class CloseFacts:
    """A client connection that is about to be closed.

    Attributes:
        reason: Why it is closed.
        unanswered: Requests that were read from it and not answered.
        has_unread_bytes: Whether bytes have arrived on it that were not read.
        unsent_for: ms since the last response on it, of which a part was refused or is not in the kernel yet;
            None if all responses are in the kernel.
    """

    reason: str
    unanswered: int
    has_unread_bytes: bool
    unsent_for: float | None


def violations_of_close(facts: CloseFacts) -> list[str]:
    """Return the rules that closing a client connection violates."""
    violations = []
    is_read_in_time = facts.unsent_for is not None and facts.unsent_for < MIN_RESPONSE_READ_MS
    if is_read_in_time and facts.reason not in RESPONSE_LOSS_REASONS:
        violations.append("closed_over_unsent_responses")
    if facts.reason in CLIENT_REASONS:
        return violations
    if facts.unanswered:
        violations.append("closed_with_requests_unanswered")
    if facts.has_unread_bytes:
        violations.append("closed_over_unread_bytes")
    return violations


def violations_of_start(start_ms: float, has_accepted: bool) -> list[str]:
    """Return the rules that a start violates.

    Args:
        start_ms: Its duration.
        has_accepted: Whether connections were accepted before it was complete.
    """
    violations = ["start_took_too_long"] if start_ms > MAX_START_MS else []
    return [*violations, "accepted_before_start"] if has_accepted else violations


def violations_of_slow_start(is_warming_up: bool, allowance: float) -> list[str]:
    """Return the rules that an attempt violates that leaves its endpoint with this allowance."""
    return ["slow_start_exceeded"] if is_warming_up and allowance < -ALLOWANCE_TOLERANCE else []
