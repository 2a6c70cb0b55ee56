"""The state of a request and of its attempts, independent of the client's protocol."""

from __future__ import annotations

import asyncio
import math
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from ...policy import RequestReceived, events
from ..messages import RequestMessage, ResponseSink
from ..reasons import AttemptStatus, RequestResult, UpstreamCloseReason
from .client_ids import ClientRequestIds

if TYPE_CHECKING:  # a protocol class costs memory in every gateway

    class AttemptConnection(Protocol):
        """The connection that carries an attempt."""

        def close(self, reason: UpstreamCloseReason) -> None:
            """Close the connection, which ends the attempt on it."""


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at one endpoint. Times are ms on the driver's clock."""

    number: int
    endpoint: int
    sent_at: float
    deadline: float  # when the gateway stops waiting
    send_before: float = math.inf  # from then on no byte of it may be sent
    connection: AttemptConnection | None = None
    cancel_status: AttemptStatus | None = None
    task: asyncio.Task[None] | None = None
    status: AttemptStatus | None = None  # None while it is in flight
    zone: str = ""  # of its endpoint; set when the attempt is written
    cell: int = 0
    latency_ms: float = 0.0
    cost: float = 0.0  # true units reported by the endpoint

    def cancel(self, status: AttemptStatus) -> None:
        """Stop waiting for the reply. `status` is `CANCELLED`, `TIMEOUT` or `RESET`.

        The connection is closed: a late reply on it would be taken for that of the next attempt.
        """
        if self.cancel_status is None:
            self.cancel_status = status
            if self.connection is not None:
                self.connection.close(UpstreamCloseReason(status))


@dataclass(slots=True)
class RequestContext:
    """A request, from its parsing until its response is sent and its attempts have ended."""

    request_id: int  # unique in this process; identifies the request to the policy
    request: RequestReceived
    message: RequestMessage | None  # None once the response is claimed: no attempt begins after that
    response_sink: ResponseSink
    received_at: float  # ms on the driver's clock
    client_request_id: str = ""
    client_ids: ClientRequestIds = field(default_factory=ClientRequestIds)  # of all requests
    attempts: list[Attempt] = field(default_factory=list)
    deadline_timer: asyncio.TimerHandle | None = None
    awaiting_response: bool = True
    final_result: RequestResult = RequestResult.CLIENT_GONE
    released_at: float = 0.0  # ms on the driver's clock; set only if requests are recorded
    response_claimed_at: float = math.inf  # s, monotonic; response sent or client disconnected

    @property
    def deadline(self) -> float:
        """Return when the client stops waiting, in ms on the driver's clock."""
        return self.received_at + self.request.remaining_time

    def may_have_run(self) -> bool:
        """Return whether an attempt has been made that may run, or has run."""
        return any(attempt.status not in events.NEVER_RAN for attempt in self.attempts)

    def claim_response(self) -> bool:
        """Claim the right to send the final response; return False if it was claimed before."""
        was_awaiting = self.awaiting_response
        self.awaiting_response = False
        self.message = None
        if was_awaiting:
            self.client_ids.discard(self.client_request_id)
            if self.may_have_run():
                self.client_ids.keep(self.client_request_id, self.deadline, self.received_at)
            self.response_claimed_at = time.monotonic()
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
            self.deadline_timer = None
        return was_awaiting
