"""Start of attempts as slots become free: retries first, then waiting requests in deficit rounds."""

from __future__ import annotations

from .actions import Action, StartAttempt
from .concurrency_limit import ConcurrencyLimit
from .customers import Attempt, PendingRequest
from .load_balancer import LoadBalancer
from .outlier_detection import OutlierDetector
from .requests import RequestTable
from .retry import Retries
from .scheduler import Scheduler
from .slow_start import SlowStart


class Dispatcher:
    """Starts attempts within the concurrency limit."""

    __slots__ = (
        "_actions",
        "_concurrency",
        "_load_balancer",
        "_outliers",
        "_requests",
        "_retries",
        "_scheduler",
        "_slow_start",
    )

    def __init__(
        self,
        requests: RequestTable,
        scheduler: Scheduler,
        retries: Retries,
        concurrency: ConcurrencyLimit,
        load_balancer: LoadBalancer,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        actions: list[Action],
    ) -> None:
        self._requests, self._scheduler, self._retries = requests, scheduler, retries
        self._concurrency, self._load_balancer = concurrency, load_balancer
        self._slow_start, self._outliers, self._actions = slow_start, outliers, actions

    def dispatch_waiting(self, now: float) -> None:
        """Start waiting attempts, retries first, while slots are free."""
        open_requests = self._requests.open
        if len(self._retries):
            for request in self._retries.take_waiting():
                if request.request_id not in open_requests or not request.retry_pending:
                    continue
                if not self._start_attempt(request, now):
                    self._retries.requeue_or_end(request, now)
        self._scheduler.dispatch(open_requests, self._start_attempt, now)

    def _start_attempt(self, request: PendingRequest, now: float) -> bool:
        """Start an attempt; return False if there is no free slot or no permitted endpoint."""
        used, slots = self._concurrency.slots(now)
        if used >= slots:
            return False
        endpoint_filter = self._retries.permission(request, now).endpoint_filter
        if endpoint_filter is None:
            return False
        endpoint = self._load_balancer.choose(request, endpoint_filter, now)
        if endpoint is None:
            return False
        endpoint.in_flight[request.request_id, len(request.attempts)] = now
        send_before = request.idempotency_window_end() - self._requests.margin
        self._actions.append(
            StartAttempt(request.request_id, endpoint.info.endpoint, send_before=send_before)
        )
        request.attempts.append(Attempt(endpoint, now))
        request.retry_pending = False
        if endpoint.up_since:
            self._slow_start.record_sent(endpoint, now)
        self._outliers.check_silence(endpoint, now)
        return True
