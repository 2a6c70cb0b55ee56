"""Actions that `Gateway.handle` returns, for its host to carry out in their order.

Times are milliseconds on the host's clock.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, field


class RejectReason(enum.StrEnum):
    """Why a request was rejected. The values are the words of the counters `rejected_*`."""

    UNSPECIFIED = ""
    TIME_TOO_SHORT = "patience"  # too little time remains for an answer
    QUEUE_TOO_LONG = "queue"  # it would wait too long for a slot
    OVER_QUOTA = "quota"  # its customer's quota, or limit on open requests, is used up
    NO_QUOTA_REPLY = "word"  # no owner of its customer's quota replied in time
    NO_SLOT = "slot"  # no slot came free in time
    ATTEMPTS_FAILED = "tries"  # its attempts failed, and may be repeated


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Start an attempt; attempts of a request number 0, 1, ... in the order of their `StartAttempt`.

    Attributes:
        request_id: The request.
        endpoint: The number of the endpoint to send it to.
        timeout: ms after which the attempt is given up; 0 for the time that remains.
        send_before: Not one byte of it goes out from then on: the idempotency window has to cover its
            arrival.
    """

    request_id: int
    endpoint: int
    timeout: float = 0.0
    send_before: float = math.inf


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Final answer: declined, a retry does no harm.

    Attributes:
        request_id: The request.
        retry_after: ms after which the client may retry; 0 says nothing.
        reason: Why, for counters and traces.
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
    """Hand in a `TimerFired` with this token at this time."""

    at: float
    token: int


@dataclass(slots=True, frozen=True)
class SendGossip:
    """Send a message to another gateway; peer -1 is all of them."""

    peer: int
    data: str


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Ask discovery for endpoint updates from now on."""


Action = StartAttempt | RejectRequest | FailRequest | CancelAttempt | SetTimer | SendGossip | WatchEndpoints
