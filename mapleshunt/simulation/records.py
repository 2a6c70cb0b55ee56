"""Records of the traffic on the wire, for score and rules; never a gateway's own view. Times are in ms."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..fleet.backend import BackendRequest
from ..fleet.clients import ClientRequest, ClientResult


@dataclass(slots=True, eq=False)
class UpstreamAttempt:
    """An attempt of a gateway at a backend."""

    endpoint: int
    cell: int
    sent_at: float
    backend_request: BackendRequest
    arrived_at: float | None = None  # when its last byte reached the backend
    status: str | None = None  # None: in flight
    holds_connection: bool = False


@dataclass(slots=True, eq=False)
class ClientAttempt:
    """An attempt of a client: one request sent to one gateway."""

    request_id: int
    request: ClientRequest
    number: int  # of the client's attempts, from 1
    gateway: int
    sent_at: float
    timeout_ms: float
    accepted: bool = False  # the gateway received it
    result: ClientResult | None = None  # as the gateway sent it
    answered_at: float = 0.0  # when the result left the gateway
    client_notified: bool = False  # the client has its result, or stopped waiting for it
    client_left_at: float | None = None  # when the client closed its connection without a result
    inside_quota: bool | None = None  # as charged when its first upstream attempt arrived; None before
    attempts: list[UpstreamAttempt] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class RequestRecord:
    """A request with all attempts of its client."""

    request: ClientRequest
    served_at: float | None = None  # when the client received its response
    inside_quota: bool = False
    attempt_count: int = 0
    ended_at: float = 0.0
    last_result: ClientResult | None = None
