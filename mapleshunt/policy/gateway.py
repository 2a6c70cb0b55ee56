"""The decisions of a gateway. Times are ms on the host's clock, quotas are in units.

The same events and seed give the same actions: the host supplies the clock and the seed of all randomness.
"""

from __future__ import annotations

import random

from .actions import Action, WatchEndpoints
from .admission import Admission
from .attempt_results import AttemptResults
from .concurrency_limit import ConcurrencyLimit
from .customers import CustomerTable
from .dispatch import Dispatcher
from .endpoint_watch import EndpointWatch
from .endpoints import EndpointTable
from .events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointUpdate,
    Event,
    GossipReceived,
    QuotaLeaseGranted,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from .gossip import GossipQueue
from .gossip_codec import tag_of
from .gossip_receiver import GossipReceiver
from .latency import LatencyEstimates
from .load_balancer import LoadBalancer
from .outlier_detection import OutlierDetector
from .quota import QuotaLedger
from .quota_check import QuotaCheck
from .quota_owner import QuotaOwner
from .requests import RequestTable
from .retry import Retries
from .scheduler import Scheduler
from .settings import Settings
from .slow_start import SlowStart
from .timers import TimerQueue


class Gateway:
    """One gateway, which passes each event to the component that handles it.

    Attributes:
        settings: Its settings.
        random: The source of all randomness.
    """

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self._actions: list[Action] = []
        actions, rng = self._actions, self.random
        self.timers = TimerQueue(actions)
        self.endpoints = EndpointTable()
        self.latency = LatencyEstimates(settings.classes)
        self.slow_start = SlowStart(settings, self.endpoints, now)
        self.concurrency = ConcurrencyLimit(settings, self.endpoints, self.slow_start, self.latency)
        self.customers = CustomerTable(settings, self.latency, rng)
        self.gossip = GossipQueue(settings, self.timers, self.latency, actions, now)
        self.quota = QuotaLedger(settings, self.gossip, rng)
        self.requests = RequestTable(settings, self.quota, actions)
        self.scheduler = Scheduler()
        self.retries = Retries(settings, self.requests, self.latency, self.timers, actions)
        self.outliers = OutlierDetector(
            settings, self.endpoints, self.timers, self.latency, self.slow_start, self.gossip, self.retries,
            rng,
        )  # fmt: skip
        self.load_balancer = LoadBalancer(settings, self.endpoints, self.slow_start, self.latency, rng)
        self.dispatcher = Dispatcher(
            self.requests, self.scheduler, self.retries, self.concurrency, self.load_balancer,
            self.slow_start, self.outliers, actions,
        )  # fmt: skip
        self.quota_check = QuotaCheck(
            settings, self.requests, self.quota, self.gossip, self.scheduler, self.timers, rng,
            min(self.latency.mean_by_class.values()),
        )  # fmt: skip
        self.quota_owner = QuotaOwner(self.customers, self.gossip)
        self.admission = Admission(
            settings, self.customers, self.requests, self.scheduler, self.quota_check, self.concurrency,
            self.latency, self.timers,
        )  # fmt: skip
        self.attempt_results = AttemptResults(
            self.requests, self.endpoints, self.quota, self.retries, self.outliers, self.latency,
            self.slow_start, self.concurrency,
        )  # fmt: skip
        self.endpoint_watch = EndpointWatch(
            settings, self.endpoints, self.retries, self.latency, self.timers, rng, actions
        )
        self.gossip_receiver = GossipReceiver(
            settings, self.customers, self.endpoints, self.latency, self.outliers, self.quota_check,
            self.quota_owner,
        )  # fmt: skip

    def start(self) -> list[Action]:
        """Return the actions to carry out at the start."""
        return [WatchEndpoints()] if self.settings.poll_discovery else []

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle an event and return the actions to carry out, in order."""
        actions = self._actions
        actions.clear()
        match event:
            case RequestReceived():
                self.admission.admit(event, now)
            case AttemptEnded():
                self.attempt_results.record(event, now)
            case TimerFired():
                self.timers.record_host_timer_fired(now)
            case GossipReceived():
                self.gossip_receiver.receive(event, now)
            case EndpointUpdate():
                self.endpoint_watch.update_endpoints(event, now)
            case ClientDisconnected(request_id) if request_id in self.requests.open:
                self.requests.release(self.requests.open[request_id], now)
            case QuotaLeaseGranted(name, plan, lease_id, units, expires_at):
                plan_code = self.customers.plan_names.index(plan)
                customer = self.customers.get_or_add(tag_of(name), plan_code, now)
                if customer is not None:
                    customer.leases.grant(lease_id, units, expires_at, now)
            case ResponseStarted(request_id) if request_id in self.requests.open:
                self.requests.open[request_id].response_started = True
        self.timers.run_due_timers(now)  # at every event, as the host's timer may be late
        self.dispatcher.dispatch_waiting(now)
        self.timers.request_host_timer()
        return actions.copy()

    def stats(self, now: float) -> dict[str, float]:
        """Return current counts, limits and estimates, for operators."""
        endpoints, latency = self.endpoints, self.latency
        return {
            "servers_ready": len(endpoints.ready),
            "servers_barred": sum(endpoint.ejected_until > now for endpoint in endpoints.ready),
            "requests_queued": self.scheduler.queued,
            "requests_asking": len(self.requests.awaiting_owner),
            "gossip_queued": sum(map(len, self.gossip.outbox.values())),
            "gossip_dropped": self.gossip.dropped,
            "tries_out": sum(len(endpoint.in_flight) for endpoint in endpoints.by_number.values()),
            "bound": round(self.concurrency.per_endpoint, 3),
            "pace": round(latency.ratio, 3),
            "best": round(latency.best_ratio, 3),
            "answer": round(latency.mean, 1),
        }
