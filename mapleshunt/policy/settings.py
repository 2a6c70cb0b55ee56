"""Settings of the decisions: request classes, plans and the limits of the platform.

Times are milliseconds, rates are units per second.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Literal

# "safe" requests are idempotent, "keyed" ones carry an idempotency key, "unsafe" ones may run once only.
Effect = Literal["safe", "keyed", "unsafe"]
# Group of endpoints in which repeats of a request with an idempotency key are recognized.
RetryScope = Literal["all", "zone", "cell"]


def _require(valid: bool, name: str, accepted: str, value: object) -> None:
    if not valid:
        raise ValueError(f"{name} must be {accepted}, not {value!r}")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests: its latency objective, and whether a request may run more than once.

    Attributes:
        name: The class's name in requests.
        latency_objective: ms within which an answer earns its full value.
        deadline: ms after which an answer is worth nothing.
        effect: Whether a request may run more than once.
        retry_scope: Group of endpoints within which a keyed request may be retried.
        idempotency_window: ms after a keyed request's first attempt for which repeats are recognized.
        late_priority_weight: Weight of an answer between the objective and the deadline.
        streaming: Whether the answer is a stream.
        priority_weight: Weight of a request relative to other classes.

    Raises:
        ValueError: A number is out of range, or a string is not one of those accepted.
    """

    name: str
    latency_objective: float
    deadline: float
    effect: Effect = "safe"
    retry_scope: RetryScope = "all"
    idempotency_window: float = 0.0
    late_priority_weight: float = 0.0
    streaming: bool = False
    priority_weight: float = 1.0

    def __post_init__(self) -> None:
        prefix = f"class {self.name!r}: "
        objective, window = self.latency_objective, self.idempotency_window
        _require(objective > 0, prefix + "latency_objective", "above 0 ms", objective)
        _require(self.deadline > 0, prefix + "deadline", "above 0 ms", self.deadline)
        effects, scopes = ("safe", "keyed", "unsafe"), ("all", "zone", "cell")
        _require(self.effect in effects, prefix + "effect", "'safe', 'keyed' or 'unsafe'", self.effect)
        _require(
            self.retry_scope in scopes, prefix + "retry_scope", "'all', 'zone' or 'cell'", self.retry_scope
        )
        _require(self.priority_weight > 0, prefix + "priority_weight", "above 0", self.priority_weight)
        _require(window >= 0, prefix + "idempotency_window", "0 ms or more", window)


@dataclass(slots=True, frozen=True)
class Plan:
    """A plan's quotas, each for one customer across all gateways; a rate or limit of 0 means none.

    Attributes:
        name: The plan's name in requests.
        rate: Units per second that a customer may use.
        burst: Units that a customer may use at once.
        max_open_requests: Maximum number of a customer's open requests.
        ceiling_rate: Units per second that must never be exceeded.
        ceiling_burst: Units at once that must never be exceeded.

    Raises:
        ValueError: A number is below 0, or a rate has no burst.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    max_open_requests: int = 0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0

    def __post_init__(self) -> None:
        for name in ("rate", "burst", "max_open_requests", "ceiling_rate", "ceiling_burst"):
            value = getattr(self, name)
            _require(value >= 0, f"plan {self.name!r}: {name}", "0 or more", value)
        has_burst = self.rate == 0 or self.burst > 0
        _require(has_burst, f"plan {self.name!r}: burst", "above 0 with a rate", self.burst)


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one gateway.

    Attributes:
        gateway_index: This gateway's number in the fleet, from 0.
        gateway_count: Number of gateways in the fleet.
        classes: Request classes by name.
        plans: Plans by name.
        zone: The zone that this gateway runs in.
        tick: ms between two ticks of the host's clock.
        poll_discovery: Whether endpoint updates arrive only after a `WatchEndpoints`.
        discovery_poll_within: ms within which discovery is polled again after an error.
        max_attempts: Maximum attempts of a request.
        max_retry_after: Maximum Retry-After of a rejection, ms.
        allow_retry_after: Whether a rejection may carry a Retry-After.
        allow_hedging: Whether a second attempt may be in flight beside the first.
        can_cancel: Whether attempts can be cancelled.
        gossip_enabled: Whether gateways may send each other messages.
        gossip_intake_per_s: Messages per second that a gateway can receive.
        gossip_message_bytes: Maximum size of a message, bytes.
        cost_known_after: Whether the actual cost of a request is known once it is answered.
        max_request_units: Maximum units of a request.
        slow_start_min_capacity: Fraction of its full capacity that an endpoint has at its start.
        slow_start_duration: ms until an endpoint that has started has its full capacity.
        overload_crash_after: ms of overload after which an endpoint in slow start crashes.
        overload_crash_multiple: Load that such an endpoint survives, as a multiple of its current capacity.

    Raises:
        ValueError: A number is out of range.
    """

    gateway_index: int
    gateway_count: int
    classes: Mapping[str, RequestClass]
    plans: Mapping[str, Plan]
    zone: str = ""
    tick: float = 1.0
    poll_discovery: bool = False
    discovery_poll_within: float = 10000.0
    max_attempts: int = 3
    max_retry_after: float = 1000.0
    allow_retry_after: bool = True
    allow_hedging: bool = False
    can_cancel: bool = True
    gossip_enabled: bool = False
    gossip_intake_per_s: float = 60.0
    gossip_message_bytes: int = 256
    cost_known_after: bool = False
    max_request_units: float = 1.0
    slow_start_min_capacity: float = 1.0
    slow_start_duration: float = 0.0
    overload_crash_after: float = 1000.0
    overload_crash_multiple: float = 2.5

    def __post_init__(self) -> None:
        index, count, part = self.gateway_index, self.gateway_count, self.slow_start_min_capacity
        _require(count >= 1, "gateway_count", "1 or more", count)
        _require(0 <= index < count, "gateway_index", f"from 0 to {count - 1}", index)
        _require(self.max_attempts >= 1, "max_attempts", "1 or more", self.max_attempts)
        _require(self.tick >= 0, "tick", "0 ms or more", self.tick)
        _require(0 < part <= 1, "slow_start_min_capacity", "above 0 and at most 1", part)
        _require(self.gossip_intake_per_s > 0, "gossip_intake_per_s", "above 0", self.gossip_intake_per_s)
        for name in (
            "slow_start_duration",
            "overload_crash_after",
            "overload_crash_multiple",
            "max_request_units",
            "max_retry_after",
        ):
            _require(getattr(self, name) >= 0, name, "0 or more", getattr(self, name))
