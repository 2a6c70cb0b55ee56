"""Actions that `Gateway.handle` returns and its host carries out in order.

Times are milliseconds on the host's clock.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, field


class RejectReason(enum.StrEnum):
    """The reason for a rejection. The values are the suffixes of the counters `rejected_*`."""

    UNSPECIFIED = ""
    TIME_TOO_SHORT = "patience"  # too little time remains to answer it
    QUEUE_TOO_LONG = "queue"  # its wait for a slot would be too long
    OVER_QUOTA = "quota"  # its customer's quota or limit on open requests is used up
    NO_QUOTA_REPLY = "word"  # no owner of its customer's quota replied in time
    NO_SLOT = "slot"  # no slot became free in time
    TOO_MANY_CUSTOMERS = (
        "customers"  # its customer is new, and as many as there may be have their quota in use
    )
    ATTEMPTS_FAILED = "tries"  # its attempts failed and may safely be repeated


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Start an attempt. A request's attempts are numbered 0, 1, ... in the order of their `StartAttempt`.

    Attributes:
        request_id: The request.
        endpoint: The number of the endpoint to send it to.
        timeout: ms after which the attempt times out; 0 means the remaining time of the request.
        send_before: No byte of it may be sent from this time on, because it has to arrive within the
            idempotency window.
    """

    request_id: int
    endpoint: int
    timeout: float = 0.0
    send_before: float = math.inf


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Final answer: rejected; the client may safely retry.

    Attributes:
        request_id: The request.
        retry_after: ms after which the client may retry; 0 means unspecified.
        reason: The reason, for counters and traces.
    """

    request_id: int
    retry_after: float = 0.0
    reason: RejectReason = field(default=RejectReason.UNSPECIFIED, compare=False)


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Final answer: failed; the request may have run."""

    request_id: int


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop waiting for an attempt's answer."""

    request_id: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Deliver a `TimerFired` with this token at this time."""

    at: float
    token: int


@dataclass(slots=True, frozen=True)
class SendGossip:
    """Send a message to another gateway; peer -1 means all of them."""

    peer: int
    data: str


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Watch the endpoint list in discovery from now on."""


Action = StartAttempt | RejectRequest | FailRequest | CancelAttempt | SetTimer | SendGossip | WatchEndpoints
