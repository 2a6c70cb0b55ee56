"""Updates estimates and ends or retries requests as attempts end."""

from __future__ import annotations

from .concurrency_limit import ConcurrencyLimit
from .customers import PendingRequest
from .endpoints import Endpoint, EndpointTable
from .events import AttemptEnded
from .gossip_codec import endpoint_tag
from .latency import ESTIMATE_SMOOTHING, LatencyEstimates
from .outlier_detection import OutlierDetector
from .quota import QuotaLedger
from .requests import RequestTable
from .retry import Retries
from .slow_start import SlowStart

# Weight of the newest latency in a customer's cost estimate (alpha in Figure 8 of the paper).
COST_SMOOTHING = 0.9


class AttemptResults:
    """Records how attempts ended."""

    __slots__ = (
        "_concurrency",
        "_endpoints",
        "_latency",
        "_outliers",
        "_quota",
        "_requests",
        "_retries",
        "_slow_start",
    )

    def __init__(
        self,
        requests: RequestTable,
        endpoints: EndpointTable,
        quota: QuotaLedger,
        retries: Retries,
        outliers: OutlierDetector,
        latency: LatencyEstimates,
        slow_start: SlowStart,
        concurrency: ConcurrencyLimit,
    ) -> None:
        self._requests, self._endpoints = requests, endpoints
        self._quota, self._retries, self._outliers = quota, retries, outliers
        self._latency, self._slow_start, self._concurrency = latency, slow_start, concurrency

    def record(self, event: AttemptEnded, now: float) -> None:
        """Record how an attempt ended, and retry or end its request."""
        endpoint = self._endpoints.by_number[event.endpoint]
        request = self._requests.open.get(event.request_id)
        endpoint.in_flight.pop((event.request_id, event.attempt), None)
        self._outliers.record_outcome(endpoint, event, now)
        if event.status == "full":
            self._concurrency.shrink(now)
        if request is None:
            return
        request.attempts[event.attempt].status = event.status
        if event.status == "ok":
            self._record_latency(request, event.latency, endpoint, now)
            self._quota.settle(request.customer, request.units, event.cost, now)
        if event.request_completed:
            self._requests.release(request, now)
        elif not request.retry_pending and not request.has_attempt_in_flight():
            self._retries.retry_or_end(request, now)

    def _record_latency(
        self, request: PendingRequest, latency: float, endpoint: Endpoint, now: float
    ) -> None:
        ratio, customer = latency / request.request_class.latency_objective, request.customer
        customer.cost_estimate = COST_SMOOTHING * latency + (1 - COST_SMOOTHING) * customer.cost_estimate
        self._latency.record(request.request_class.name, latency, ratio, now)
        endpoint.latency_ratio += ESTIMATE_SMOOTHING * (ratio - endpoint.latency_ratio)
        self._slow_start.record_answer(endpoint, now)
        self._latency.keep_ratio_for_gossip(endpoint_tag(endpoint.info.endpoint), ratio)
        self._outliers.eject_if_slow(endpoint, latency, now)
        self._concurrency.adapt(now)
