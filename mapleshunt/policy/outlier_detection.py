"""Ejection of endpoints that are silent, unreachable or slow."""

from __future__ import annotations

import random

from .endpoints import Endpoint, EndpointTable
from .events import AttemptEnded
from .exponential_decay import ExponentialDecay
from .gossip import GossipQueue
from .gossip_codec import SILENT, endpoint_tag
from .latency import TARGET_LATENCY_RATIO, LatencyEstimates
from .retry import Retries
from .settings import Settings
from .slow_start import SlowStart, answer_span
from .timers import TimerKind, TimerQueue

# Suspecting peers, plus answers expected since an endpoint's last one, that eject it on peers' reports: one
# slow attempt makes a peer suspect it, and among many gateways some always do.
MIN_SUSPICION = 3.0
# Summed waiting time of an endpoint's attempts, in mean latencies, at which it is ejected.
MAX_SILENCE_LATENCIES = 6.0
# Multiple of the best recent latency ratio above which an endpoint is ejected as slow.
SLOW_RATIO_OVER_BEST = 5.0
# Consecutive connection failures that do not eject an endpoint: a single connection may break though its
# endpoint is healthy; when an endpoint crashes, others break or are refused.
MAX_CONNECTION_FAILURES = 1
# Maximum exponent of the backoff, which doubles with each ejection.
MAX_BACKOFF_EXPONENT = 4
# Ends of ejections are spread over gateway_count * `overload_crash_after` divided by this.
SPREAD_PART = 4
# Lower bound of the answers per ms of a warm endpoint, which avoids a division by 0.
MIN_WARM_RATE = 1e-9


class OutlierDetector:
    """Detects endpoints that are silent, unreachable or slow, and ejects them for a while.

    Attributes:
        answers_per_ready_endpoint: Recent answers to this gateway, and reported by peers, per ready endpoint.
    """

    __slots__ = (
        "_endpoints",
        "_gossip",
        "_latency",
        "_random",
        "_retries",
        "_settings",
        "_slow_start",
        "_timers",
        "answers_per_ready_endpoint",
    )

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointTable,
        timers: TimerQueue,
        latency: LatencyEstimates,
        slow_start: SlowStart,
        gossip: GossipQueue,
        retries: Retries,
        rng: random.Random,
    ) -> None:
        self._settings, self._endpoints, self._timers = settings, endpoints, timers
        self._latency, self._slow_start = latency, slow_start
        self._gossip, self._retries, self._random = gossip, retries, rng
        self.answers_per_ready_endpoint = ExponentialDecay(answer_span(settings), 0.0, 0.0)
        timers.on(TimerKind.CHECK_SILENCE, self._check_silence_again)

    def record_outcome(self, endpoint: Endpoint, event: AttemptEnded, now: float) -> None:
        """Update the state of an endpoint by the status of an attempt, and eject it if it is unreachable."""
        status = event.status
        if status in ("ok", "error", "full"):
            endpoint.connection_failures = 0
            if endpoint.ejections:
                endpoint.ejected_until = 0.0
                self._publish(endpoint, endpoint.latency_ratio, now)
            self.mark_healthy(endpoint, now)
        elif status in ("unreachable", "reset"):
            endpoint.connection_failures += 1
            if endpoint.connection_failures > MAX_CONNECTION_FAILURES:
                self.eject(endpoint, now)
        if status == "full":
            # No new attempts until its queue has had time to shrink.
            endpoint.ejected_until = now + self._latency.mean

    def mark_healthy(self, endpoint: Endpoint, now: float) -> None:
        """Record that an endpoint answered this gateway or a peer."""
        endpoint.last_answer_at = now
        endpoint.ejections = 0
        endpoint.suspecting_peers.clear()
        self.answers_per_ready_endpoint.add(now, 1 / max(1, len(self._endpoints.ready)))

    def record_peer_answer(self, endpoint: Endpoint, now: float) -> None:
        """Record that an endpoint answered a peer."""
        if endpoint.ejections:
            endpoint.ejected_until = 0.0
        self.mark_healthy(endpoint, now)

    def mark_suspect(self, endpoint: Endpoint, peer: int, now: float) -> None:
        """Record that a peer reports an endpoint silent, and eject it if the suspicion suffices."""
        silence = now - endpoint.last_answer_at
        endpoint.suspecting_peers.add(peer)
        suspicion = len(endpoint.suspecting_peers) + silence * self.answers_per_ready_endpoint.rate(now)
        if silence <= MAX_SILENCE_LATENCIES / 2 * self._latency.mean:
            return
        if suspicion < min(MIN_SUSPICION, self._settings.gateway_count - 1):
            return
        if self.may_eject(endpoint, now):
            self.eject(endpoint, now, publish=False)

    def eject_if_slow(self, endpoint: Endpoint, latency: float, now: float) -> None:
        """Eject a slow endpoint for `latency` ms: an overloaded one stays slow until its queue is empty."""
        best = self._latency.best_ratio
        limit = max(TARGET_LATENCY_RATIO, SLOW_RATIO_OVER_BEST * best)
        if endpoint.latency_ratio > limit and self.may_eject(endpoint, now):
            endpoint.ejected_until, endpoint.latency_ratio = now + latency, best

    def may_eject(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an endpoint may be ejected as slow or on peers' reports: half of all at most."""
        ready = self._endpoints.ready
        ejected = [other for other in ready if other.ejected_until > now]
        return not any(other is endpoint for other in ejected) and 2 * len(ejected) < len(ready)

    def check_silence(self, endpoint: Endpoint, now: float) -> None:
        """Eject an endpoint whose attempts have waited too long, or check again when they may have."""
        remaining = MAX_SILENCE_LATENCIES * self._latency.mean - endpoint.unanswered_wait(now)
        if remaining <= 0:
            self.eject(endpoint, now)
        elif endpoint.in_flight and not endpoint.silence_check_pending:
            endpoint.silence_check_pending = True
            check_at = now + remaining / len(endpoint.in_flight) + 1
            self._timers.set(check_at, TimerKind.CHECK_SILENCE, endpoint.info.endpoint)

    def _check_silence_again(self, number: int, now: float) -> None:
        endpoint = self._endpoints.by_number.get(number)
        if endpoint is not None:
            endpoint.silence_check_pending = False
            self.check_silence(endpoint, now)

    def eject(self, endpoint: Endpoint, now: float, publish: bool = True) -> None:
        """Eject an endpoint and migrate its attempts; inform all peers, or each would lose attempts to it."""
        if endpoint.ejected_until > now:
            return
        settings, crash_after = self._settings, self._settings.overload_crash_after
        # Many gateways that return at once would overload it. If each sends to it only seldom, their attempts
        # are spread already: the mean interval between a gateway's own is subtracted.
        spread = settings.gateway_count * self._random.random() / SPREAD_PART * crash_after
        spread -= 1 / max(self._slow_start.answers_per_warm_endpoint.rate(now), MIN_WARM_RATE)
        backoff = 2.0 ** min(endpoint.ejections, MAX_BACKOFF_EXPONENT) * crash_after / 2
        endpoint.ejected_until = now + max(backoff, spread)
        endpoint.ejections += 1
        self._retries.migrate_attempts(endpoint, now)
        if publish:
            self._publish(endpoint, SILENT, now)

    def _publish(self, endpoint: Endpoint, ratio: float, now: float) -> None:
        self._gossip.publish_health(endpoint_tag(endpoint.info.endpoint), ratio, now)
