"""What passes between a client's protocol, the stages of a request and an endpoint's protocol."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from .reasons import AttemptStatus


class RequestMessage(Protocol):
    """A request as its client worded it, to be forwarded."""

    def encode(self, timeout_ms: int) -> bytes:
        """Return the bytes for an endpoint, which tell it for how long the gateway waits."""


class ResponseSink(Protocol):
    """Where the one final response to a request goes, worded by each protocol in its own way."""

    def serve(self, value: memoryview) -> None:
        """Send the value that an endpoint answered with."""

    def reject(self, retry_after_ms: float) -> None:
        """Decline the request; a retry after that time does no harm. 0 names no time."""

    def fail(self) -> None:
        """Report failure without any promise."""


@dataclass(slots=True, frozen=True)
class ParsedRequest:
    """What a request says of itself, read but not yet checked against the settings."""

    request_id: str  # as its client named it
    request_class: str
    plan: str
    customer: str
    timeout_ms: float
    units: float
    gateway_set_size: int  # how many gateways share the customer's requests
    gateway_set_offset: int  # the first of these
    is_retry: bool
    has_idempotency_key: bool
    is_query: bool  # sent by the command for requests that may be repeated
    message: RequestMessage


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """How an attempt ended; `value` only with `AttemptStatus.OK`."""

    status: AttemptStatus
    value: memoryview | None = None
    cost: float = 0.0  # true units as the endpoint reported them; 0 if it did not
