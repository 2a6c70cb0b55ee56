"""What the gateway holds of one request, whatever protocol it came in."""

from __future__ import annotations

import asyncio
import math
import time
from dataclasses import dataclass, field
from typing import Protocol

from ...policy import AttemptStatus, RequestReceived


class RequestMessage(Protocol):
    """The request as its client worded it, to be passed on."""

    def encode(self, wait: int) -> bytes:
        """What goes to a till server, told that the gateway waits `wait` ms."""


class ResponseSink(Protocol):
    """Where the one final answer goes. Each protocol words the three answers in its own way."""

    def serve(self, value: memoryview) -> None: ...

    def reject(self, wait: float) -> None: ...

    def fail(self) -> None: ...


class AttemptConnection(Protocol):
    """What a try is out on."""

    def close(self, reason: str) -> None: ...


@dataclass(slots=True, frozen=True)
class ParsedRequest:
    """What a request says of itself, read but not yet checked against the settings."""

    request_id: str  # as its client named it
    cls: str
    plan: str
    customer: str
    timeout_ms: float
    units: float
    spread: int
    first: int
    is_retry: bool
    has_idempotency_key: bool  # it carries an idempotency key
    is_query: bool  # it says that it may be repeated
    message: RequestMessage


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """How a try ended; `value` only with "ok"."""

    status: AttemptStatus
    value: memoryview | None = None
    cost: float = 0.0


@dataclass(slots=True)
class Attempt:
    number: int
    server: int
    sent_at: float  # on the driver's clock
    deadline: float  # when the gateway stops waiting
    send_before: float = math.inf  # from then on none of its bytes may go out
    connection: AttemptConnection | None = None
    cancel_status: AttemptStatus | None = None
    task: asyncio.Task[None] | None = None
    status: AttemptStatus | None = None  # how it ended; None while it is out
    zone: str = ""  # of its server, known once its bytes go out
    cell: int = 0
    latency_ms: float = 0.0  # ms
    cost: float = 0.0  # true units, as told

    def cancel(self, status: AttemptStatus) -> None:
        """Stop waiting. The connection ends too: an answer still to come on it would be the next try's."""
        if self.cancel_status is None:
            self.cancel_status = status
            if self.connection is not None:
                self.connection.close(status)


@dataclass(slots=True)
class RequestContext:
    request_id: int
    request: RequestReceived
    message: RequestMessage
    response_sink: ResponseSink
    received_at: float  # on the driver's clock
    client_request_id: str = ""
    open_client_ids: set[str] = field(default_factory=set)  # of all requests that are open
    attempts: list[Attempt] = field(default_factory=list)
    deadline_timer: asyncio.TimerHandle | None = None
    awaiting_response: bool = True  # the final answer is still owed
    final_result: str = "gone"  # served, refused or failed once it was given
    released_at: float = 0.0  # on the driver's clock; known where requests are recorded
    response_claimed_at: float = math.inf  # s, monotonic: when its final answer was given or its client left

    @property
    def deadline(self) -> float:
        return self.received_at + self.request.remaining_time

    def claim_response(self) -> bool:
        """Claim the right to give the final answer; False if that has been done."""
        was, self.awaiting_response = self.awaiting_response, False
        if was:
            self.open_client_ids.discard(self.client_request_id)
            self.response_claimed_at = time.monotonic()
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
            self.deadline_timer = None
        return was
