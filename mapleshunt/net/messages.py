"""Types passed between a client's protocol, the stages of a request and an endpoint's protocol."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from .reasons import AttemptStatus


class RequestMessage(Protocol):
    """A request as its client encoded it, to be forwarded."""

    def encode(self, timeout_ms: int) -> bytes:
        """Return the bytes for an endpoint, with the time for which the gateway waits."""


class ResponseSink(Protocol):
    """The receiver of the one final response to a request; each protocol encodes it in its own way."""

    def serve(self, value: memoryview) -> None:
        """Send the value that an endpoint returned."""

    def reject(self, retry_after_ms: float) -> None:
        """Reject the request, which is safe to retry after `retry_after_ms`; 0 if no time is given."""

    def fail(self) -> None:
        """Report failure; the request may or may not have run."""


@dataclass(slots=True, frozen=True)
class ParsedRequest:
    """The fields of a request, parsed but not yet checked against the settings."""

    request_id: str  # the client's id of it
    request_class: str
    plan: str
    customer: str
    timeout_ms: float
    units: float
    gateway_set_size: int  # number of gateways that share the customer's requests
    gateway_set_offset: int  # the first of these gateways
    is_retry: bool
    has_idempotency_key: bool
    is_query: bool  # sent with the command for requests that are safe to repeat
    message: RequestMessage


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """How an attempt ended; `value` is set only with `AttemptStatus.OK`."""

    status: AttemptStatus
    value: memoryview | None = None
    cost: float = 0.0  # true units reported by the endpoint; 0 if it reported none
