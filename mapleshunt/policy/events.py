"""Events that the host passes to `Gateway.handle`.

Times are milliseconds on the host's clock; customers and names are opaque.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

EndpointState = Literal["ready", "draining", "gone"]
# A "partial" update changes the list, "complete" and "persisted" ones replace it, "error" is a failed watch.
UpdateKind = Literal["partial", "complete", "persisted", "error"]
AttemptStatus = Literal["ok", "error", "full", "timeout", "unreachable", "reset", "cancelled", "unsent"]
# Statuses that prove that the attempt never ran.
NEVER_RAN = ("full", "unreachable", "unsent")


@dataclass(slots=True, frozen=True)
class EndpointInfo:
    """An endpoint's entry in the endpoint list.

    Attributes:
        endpoint: Its number.
        zone: The zone that it runs in.
        cell: The cell whose endpoints share idempotency keys.
        state: Whether it takes new attempts.
        started: When it started, which identifies the start; 0 for long ago.
        age: Upper bound of its uptime, ms, where the host has a better one than `started`: wall clocks may
            have been stepped since.
    """

    endpoint: int
    zone: str = ""
    cell: int = 0
    state: EndpointState = "ready"
    started: float = 0.0
    age: float | None = field(default=None, compare=False)

    def up_since(self, now: float) -> float:
        """Return its start on the host's clock, never in the future; 0 for long ago."""
        if not self.started:
            return 0.0
        started_at = self.started if self.age is None else now - self.age
        return max(min(started_at, now), 1e-3)


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """A watch event of the endpoint list."""

    kind: UpdateKind
    endpoints: tuple[EndpointInfo, ...] = ()


@dataclass(slots=True, frozen=True)
class RequestReceived:
    """A client's request, which gets exactly one final answer within its remaining time.

    Attributes:
        request_id: The host's number for the request.
        request_class: The name of its class.
        plan: The name of its customer's plan.
        customer: Its customer.
        remaining_time: ms until its client gives up.
        units: Its expected cost.
        gateway_set_size: Number of gateways that the customer's requests are spread over.
        gateway_set_offset: The first gateway of that set.
        is_retry: Whether the client has sent it before.
    """

    request_id: int
    request_class: str
    plan: str
    customer: str
    remaining_time: float
    units: float = 1.0
    gateway_set_size: int = 1
    gateway_set_offset: int = 0
    is_retry: bool = False


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """A streamed response has started: its request is no longer retried or ended at its deadline."""

    request_id: int
    attempt: int
    endpoint: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended.

    Attributes:
        request_id: The request that it belongs to.
        status: How it ended.
        request_completed: Whether the request has its final answer.
        attempt: The attempt's number, from 0.
        endpoint: The endpoint that it was sent to.
        latency: Its duration, ms.
        cost: Its actual cost in units; 0 if unknown.
    """

    request_id: int
    status: AttemptStatus
    request_completed: bool
    attempt: int
    endpoint: int
    latency: float
    cost: float = 0.0


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """A request's client has disconnected: no answer is needed any more."""

    request_id: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that was set has fired."""

    token: int


@dataclass(slots=True, frozen=True)
class GossipReceived:
    """A message from another gateway."""

    sender: int
    data: str


@dataclass(slots=True, frozen=True)
class QuotaLeaseGranted:
    """A lease on units of a customer's quota: until `expires_at` only leased units may be used here.

    Lease 0 has no units; it shows that the replicas answer.
    """

    customer: str
    plan: str
    lease_id: int
    units: float
    expires_at: float


Event = (
    EndpointUpdate
    | RequestReceived
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | GossipReceived
    | QuotaLeaseGranted
)
