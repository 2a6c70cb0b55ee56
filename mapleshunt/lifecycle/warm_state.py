"""The warm state that one process of a gateway hands over to the next: quotas, limits, endpoint estimates.

No I/O and no clock. `capture` reads it from the policy, `encode` and `decode` convert it to and from JSON,
and `restore` puts it into the policy of the next process. Times are wall clock times of the host, in ms since
1970; they differ between the processes if the wall clock was stepped in between. `monotonic`, in ms, is the
machine's monotonic clock, which is never stepped.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from ..policy.customers import Customer
from ..policy.endpoints import Endpoint
from ..policy.gateway import Gateway

VERSION: Literal[1] = 1
MAX_CUSTOMERS = 4000
MAX_ENCODED_BYTES = 1 << 20
# An older warm state is refused: by then estimates are outdated and every quota has refilled.
MAX_AGE_MS = 10_000.0
# A report on a token bucket from another gateway that is older than this counts as none.
MAX_NOTIFICATION_AGE_MS = 100_000.0
MIN_RECENT_USE_UNITS = 0.01  # below it a customer with a full token bucket is left out
MIN_LATENCY_RATIO = 1e-6


class WarmStateError(ValueError):
    """A warm state that cannot be restored: malformed, too old, or of other settings."""


class CustomerState(msgspec.Struct, array_like=True, frozen=True):
    """The state of one customer; stored as an array, so that only the order of the fields matters."""

    tag: int
    plan: int  # its index in the sorted names of the plans
    tokens: float  # units in its token bucket
    recent_use: float  # units used recently
    notified_ago: float  # ms since another gateway last reported the bucket's level; below 0 for never
    demand_ratio: float
    cost_estimate: float  # smoothed, ms


class EndpointState(msgspec.Struct, array_like=True, frozen=True):
    """The state of one endpoint; stored as an array, so that only the order of the fields matters."""

    server: int
    started: float  # its start time in the endpoint list
    latency_ratio: float
    ejected_for: float  # ms for which it is still ejected
    ejections: int
    silent_for: float  # ms since its last response
    slow_start_budget: float  # attempts that it may get while it is warming up


class WarmState(msgspec.Struct, frozen=True):
    """The state that one process hands over to the next. The fields' stored names are those of version 1."""

    version: Literal[1]
    captured_at: float = msgspec.field(name="at")  # ms since 1970
    plans: tuple[str, ...]
    concurrency_limit: float = msgspec.field(name="bound")
    latency_ratio: float = msgspec.field(name="pace")
    best_latency_ratio: float = msgspec.field(name="best")  # the lowest recent ratio
    response_time: float = msgspec.field(name="answer")  # smoothed over all classes, ms
    owner_reply_time: float = msgspec.field(name="word_ms")  # smoothed, of quota owners, ms
    warm_response_rate: float = msgspec.field(name="warm")  # recent responses of one warm endpoint
    response_rate: float = msgspec.field(name="alive")  # recent responses of one ready endpoint
    response_time_by_class: dict[str, float] = msgspec.field(name="mean")
    grant_ratios: tuple[float, ...] = msgspec.field(name="shares")  # by plan: part that quota owners granted
    customers: tuple[CustomerState, ...]
    endpoints: tuple[EndpointState, ...] = msgspec.field(name="servers")
    captured_monotonic: float | None = msgspec.field(name="monotonic", default=None)  # older versions omit it

    def age(self, now: float, monotonic: float | None) -> float:
        """Return the ms since it was captured, by the monotonic clock if both processes have recorded it."""
        if monotonic is None or self.captured_monotonic is None:
            return now - self.captured_at
        return monotonic - self.captured_monotonic


def capture(gateway: Gateway, now: float, monotonic: float | None = None) -> WarmState:
    """Return the warm state at `now`.

    Customers with a full token bucket and no recent use are left out. If there are more than `MAX_CUSTOMERS`,
    those with the least recent use are left out too.
    """
    return WarmState(
        version=VERSION,
        captured_at=now,
        plans=tuple(gateway.customers.plan_names),
        concurrency_limit=gateway.concurrency.per_endpoint,
        latency_ratio=gateway.latency.ratio,
        best_latency_ratio=gateway.latency.best_ratio,
        response_time=gateway.latency.mean,
        owner_reply_time=gateway.quota_check.reply_wait,
        warm_response_rate=gateway.slow_start.answers_per_warm_endpoint.add(now),
        response_rate=gateway.outliers.answers_per_ready_endpoint.add(now),
        response_time_by_class=dict(gateway.latency.mean_by_class),
        grant_ratios=tuple(gateway.quota_check.granted_parts),
        customers=_capture_customers(gateway, now),
        endpoints=tuple(
            _capture_endpoint(endpoint, now) for endpoint in gateway.endpoints.by_number.values()
        ),
        captured_monotonic=monotonic,
    )


def _capture_customers(gateway: Gateway, now: float) -> tuple[CustomerState, ...]:
    customers = gateway.customers.by_tag.values()
    active = [
        customer
        for customer in customers
        if customer.bucket.refill(now) < customer.bucket.burst
        or customer.recent_use.add(now) > MIN_RECENT_USE_UNITS
    ]
    active.sort(key=lambda customer: customer.recent_use.value, reverse=True)
    return tuple(_capture_customer(customer, now) for customer in active[:MAX_CUSTOMERS])


def _capture_customer(customer: Customer, now: float) -> CustomerState:
    notified_ago = now - customer.owner_replied_at
    return CustomerState(
        tag=customer.tag,
        plan=customer.plan_code,
        tokens=customer.bucket.level,
        recent_use=customer.recent_use.value,
        notified_ago=notified_ago if notified_ago < MAX_NOTIFICATION_AGE_MS else -1.0,
        demand_ratio=customer.demand_ratio,
        cost_estimate=customer.cost_estimate,
    )


def _capture_endpoint(endpoint: Endpoint, now: float) -> EndpointState:
    return EndpointState(
        server=endpoint.info.endpoint,
        started=endpoint.started,
        latency_ratio=endpoint.latency_ratio,
        ejected_for=max(0.0, endpoint.ejected_until - now),
        ejections=endpoint.ejections,
        silent_for=max(0.0, now - endpoint.last_answer_at),
        slow_start_budget=endpoint.allowance.level,
    )


def encode(warm_state: WarmState) -> bytes:
    """Return the warm state as JSON, its stored format."""
    return msgspec.json.encode(warm_state)


def decode(data: bytes) -> WarmState:
    """Return the warm state that `encode` wrote.

    Raises:
        ValueError: the data is incomplete, malformed, too long, or of another version.
    """
    if len(data) > MAX_ENCODED_BYTES:
        raise WarmStateError(f"the warm state must have at most {MAX_ENCODED_BYTES} bytes, got {len(data)}")
    return msgspec.json.decode(data, type=WarmState)


def restore(gateway: Gateway, warm_state: WarmState, now: float, monotonic: float | None = None) -> None:
    """Put a warm state into a policy that has the endpoint list and has received no request yet.

    No token bucket gets more than it had, or than the current settings allow.

    Raises:
        WarmStateError: it is too old or of other plans; nothing is changed.
    """
    age = warm_state.age(now, monotonic)
    _check(gateway, warm_state, age)
    gateway.concurrency.restore(warm_state.concurrency_limit)
    latency = gateway.latency
    latency.ratio, latency.best_ratio = warm_state.latency_ratio, warm_state.best_latency_ratio
    latency.mean = warm_state.response_time
    gateway.quota_check.reply_wait = warm_state.owner_reply_time
    gateway.slow_start.answers_per_warm_endpoint.add(now, max(0.0, warm_state.warm_response_rate))
    gateway.outliers.answers_per_ready_endpoint.add(now, max(0.0, warm_state.response_rate))
    for name in gateway.latency.mean_by_class:
        response_time = warm_state.response_time_by_class.get(name, 0.0)
        if response_time > 0:
            gateway.latency.mean_by_class[name] = response_time
    gateway.quota_check.granted_parts = list(warm_state.grant_ratios)
    for customer in warm_state.customers[:MAX_CUSTOMERS]:
        _restore_customer(gateway, customer, now, age)
    for endpoint in warm_state.endpoints:
        _restore_endpoint(gateway, endpoint, now)


def _check(gateway: Gateway, warm_state: WarmState, age: float) -> None:
    if not -MAX_AGE_MS <= age <= MAX_AGE_MS:
        raise WarmStateError(
            f"the warm state was captured {age:.0f} ms ago, at most {MAX_AGE_MS:.0f} are allowed"
        )
    plans = warm_state.plans
    if plans != tuple(gateway.customers.plan_names) or len(warm_state.grant_ratios) != len(plans):
        raise WarmStateError("the warm state has other plans than the settings")
    if any(not 0 <= customer.plan < len(plans) for customer in warm_state.customers):
        raise WarmStateError("the warm state has a customer with a plan index that no plan has")
    means = (
        warm_state.concurrency_limit,
        warm_state.latency_ratio,
        warm_state.best_latency_ratio,
        warm_state.response_time,
        warm_state.owner_reply_time,
    )
    if min(means) <= 0:
        raise WarmStateError(f"the means of the warm state must be above 0, got {min(means)}")


def _restore_customer(gateway: Gateway, state: CustomerState, now: float, age: float) -> None:
    customer = gateway.customers.get_or_add(state.tag, state.plan, now)
    if customer is None:
        return
    captured_at = min(now - age, now)
    customer.bucket.level = min(customer.bucket.burst, state.tokens)
    customer.bucket.updated_at = captured_at
    customer.recent_use.value, customer.recent_use.updated_at = max(0.0, state.recent_use), captured_at
    if state.notified_ago >= 0:
        customer.owner_replied_at = now - state.notified_ago
    customer.demand_ratio = max(0.0, state.demand_ratio)
    customer.cost_estimate = max(0.0, state.cost_estimate)


def _restore_endpoint(gateway: Gateway, state: EndpointState, now: float) -> None:
    endpoint = gateway.endpoints.by_number.get(state.server)
    if endpoint is None or endpoint.started != state.started:
        return  # it was removed or has restarted
    endpoint.latency_ratio = max(MIN_LATENCY_RATIO, state.latency_ratio)
    endpoint.ejections = max(0, state.ejections)
    endpoint.ejected_until = now + state.ejected_for if state.ejected_for > 0 else 0.0
    endpoint.last_answer_at = now - max(0.0, state.silent_for)
    endpoint.allowance.level = min(endpoint.allowance.burst, state.slow_start_budget)


def charge_usage(gateway: Gateway, tag: int, units: float, now: float) -> None:
    """Charge a customer for `units` that the other process of this gateway used after handing over its state.

    That process has notified the customer's quota owner itself; here only this gateway's view of the token
    bucket and of the recent use is updated.
    """
    customer = gateway.customers.by_tag.get(tag)
    if customer is None:
        return
    customer.bucket.level = customer.bucket.refill(now) - units
    if not customer.quota_owners or customer.quota_owners[0] == gateway.settings.gateway_index:
        customer.recent_use.add(now, units)
