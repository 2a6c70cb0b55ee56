"""An emulated backend: shared cores, a bounded queue, warm-up, and collapse under overload.

A host calls `offer` and `cancel` as requests arrive and are cancelled, and `advance` once `next_event_at`
has come; each returns what follows. Running requests share the cores evenly (processor sharing): one counter
of the work done for each of them advances at a common rate, so a step costs one heap operation.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field
from typing import Literal

from .parameters import Parameters
from .random_streams import BufferedDraws

BackendStatus = Literal["ok", "error", "full"]
WARMUP_STEP_MS = 100.0  # the work rate of a backend that warms up is updated at least so often
SWEEP_INTERVAL_KEYS = 256  # keys that a store holds before expired ones are removed
REPEAT_WORK_MS = 1.0  # work of a request whose result is stored already
WORK_TOLERANCE_MS = 1e-9  # rounding of the work done, within which a request is finished
REPORT_SPAN_PERIODS = 10  # a load report averages over at most so many of its periods
AVOIDABLE_SHARE = (
    2 / 3
)  # share of the overload by gateways that knew of the start, from which it was avoidable


@dataclass(slots=True, eq=False)
class BackendRequest:
    """One attempt at a backend. Times are in ms, `work_ms` is ms of a core at speed 1."""

    token: object  # the host's own reference
    work_ms: float
    expires_at: float = math.inf  # when its gateway stops waiting
    idempotency_key: object = None
    units: float = 1.0
    gateway: int = 0
    cancelled: bool = False
    started: bool = False
    took_effect: bool = False  # it ran, and was no repeat that the idempotency store answers
    work_done_ms: float = 0.0


@dataclass(slots=True)
class IdempotencyStore:
    """The idempotency keys seen by the backends of a cell, each for `window_ms`."""

    window_ms: float
    first_run_at: dict[object, float] = field(default_factory=dict)

    def is_first_run(self, key: object, now: float) -> bool:
        """Return whether this is the key's first run within the window, and record it as such."""
        known = self.first_run_at.get(key)
        if known is not None and now - known <= self.window_ms:
            return False
        held = len(self.first_run_at)
        if held >= SWEEP_INTERVAL_KEYS and held % SWEEP_INTERVAL_KEYS == 0:
            self.first_run_at = {k: at for k, at in self.first_run_at.items() if now - at <= self.window_ms}
        self.first_run_at[key] = now
        return True


@dataclass(slots=True)
class LoadReport:
    """Load as a backend reports it: updated now and then, late, with a little noise."""

    qps: float = 0.0
    latency: float = 0.0  # ms
    inflight: float = 0.0


class Backend:
    """One backend. Times are in ms."""

    def __init__(
        self,
        number: int,
        parameters: Parameters,
        speed: float,
        cell: int,
        idempotency_store: IdempotencyStore,
        error_draws: BufferedDraws,
        overload_window_ms: float = 1000.0,
        overload_multiple: float = 4.0,
    ) -> None:
        """Create a backend that is up and warm.

        Args:
            number: Its number among the backends.
            parameters: The fleet's parameters.
            speed: Its speed, 1 being a standard core's.
            cell: The failure domain that it belongs to.
            idempotency_store: The keys seen in its cell.
            error_draws: Uniform draws for errors and for the noise of load reports.
            overload_window_ms: The window over which arrivals during warm-up are summed.
            overload_multiple: The multiple of its capacity in that window beyond which it collapses.
        """
        p = parameters
        self.number = number
        self.speed = speed
        self.cell = cell
        self.idempotency_store = idempotency_store
        self.error_draws = error_draws
        self.cores = p["cores"]
        self.max_concurrency = max(1, round(p["slots_per_core"] * self.cores))
        self.max_queue_length = round(p["queue_per_core"] * self.cores)
        self.thrash, self.thrash_at = p["thrash"], p["thrash_at"]
        self.initial_capacity_share = p["cold_from"]
        self.warmup_ms = p["cold_ms"]
        self.warms_by_work = p["warm_by_work"] > 0
        self.warmup_work_share = p["warm_work"]
        self.error_rate = p["error_rate"]
        self.drops_cancelled = p["drops_cancelled"] > 0
        self.drops_expired = p["drops_expired"] > 0
        self.max_connections = p["conn_cap_per_core"] * self.cores
        self.connection_overhead = p["conn_tax"]
        self.report_period, self.report_delay = p["report_period_ms"], p["report_delay_ms"]
        self.report_noise = p["report_noise"]
        self.overload_tolerance = p["push_slack"]
        self.overload_window_ms = overload_window_ms
        self.overload_multiple = overload_multiple
        self.up = True
        self.silent = False  # its machine does not respond
        self.collapsed = False
        self.collapse_was_avoidable = False  # most of the overload came from gateways that knew of its start
        self.started_at = 0.0  # 0: long ago
        self.warmup_work_done = math.inf  # work done since the start
        self.connections = 0
        self.work_done_ms = 0.0  # of a core, in all
        self._reset()

    def _reset(self) -> None:
        """Forget what a process holds in memory."""
        # Work done for each running request as of `advanced_to`, and how fast it grows (a ms).
        self.advanced_to, self.work_per_request, self.work_rate = 0.0, 0.0, 0.0
        self.running: list[tuple[float, int, BackendRequest]] = []
        self.queue: deque[BackendRequest] = deque()
        self.running_count = 0
        self.sequence = 0
        self.next_event_at = math.inf
        # Arrivals while it warms up: when, work, whether the sender knew of the start.
        self.warmup_arrivals: deque[tuple[float, float, bool]] = deque()
        self.warmup_arrival_work = 0.0
        self.load_reports: deque[tuple[float, LoadReport]] = deque([(-math.inf, LoadReport())])
        self.completions_since_report = 0
        self.latency_since_report = 0.0
        self.report_interval_start = 0.0

    # Capacity

    def capacity_share(self, now: float) -> float:
        """Return the share of its full capacity that it has now (slow start)."""
        if not self.started_at:
            return 1.0
        progress = (now - self.started_at) / self.warmup_ms
        if self.warms_by_work:  # kept busy it is warm sooner; never later than by time
            full_work = self.warmup_work_share * self.warmup_ms * self.cores
            progress = max(progress, self.warmup_work_done / full_work)
        return min(1.0, self.initial_capacity_share + (1 - self.initial_capacity_share) * progress)

    def capacity(self, now: float) -> float:
        """Return the work it can do now, in ms of a standard core for each ms."""
        free_share = 1 - self.connection_overhead * min(1.0, self.connections / self.max_connections)
        return self.cores * self.speed * self.capacity_share(now) * free_share

    def in_flight(self) -> int:
        """Return how many requests run or are queued."""
        return self.running_count + len(self.queue)

    # Events

    def offer(
        self, now: float, request: BackendRequest, sender_knows_start: bool = True
    ) -> tuple[BackendStatus | None, list[BackendRequest]]:
        """Receive a request.

        Args:
            now: The time.
            request: What arrives.
            sender_knows_start: Its gateway was notified of the backend's last start. Requests that are
                rejected count towards a collapse too.

        Returns:
            "full" if it was rejected and never ran, None if it was accepted; and the requests that finished
            meanwhile.
        """
        finished = self.advance(now)
        if not self.up:
            return "full", finished
        if self.started_at and self.capacity_share(now) < 1:
            self._record_warmup_arrival(now, request.work_ms, sender_knows_start)
            if self.collapsed:
                return "full", finished
        if self.running_count >= self.max_concurrency and len(self.queue) >= self.max_queue_length:
            return "full", finished
        if self.running_count < self.max_concurrency:
            self._start_request(now, request)
        else:
            self.queue.append(request)
        self.reschedule(now)
        return None, finished

    def cancel(self, request: BackendRequest) -> None:
        """Mark a request as cancelled. A running one goes on; a queued one may be dropped later."""
        request.cancelled = True

    def advance(self, now: float) -> list[BackendRequest]:
        """Run until `now` and return the requests that finished, in their order."""
        finished: list[BackendRequest] = []
        while self.next_event_at <= now:
            at = self.next_event_at
            self._run_until(at)
            while self.running and self.running[0][0] <= self.work_per_request + WORK_TOLERANCE_MS:
                request = heapq.heappop(self.running)[2]
                self.running_count -= 1
                self.completions_since_report += 1
                self.work_done_ms += request.work_done_ms
                finished.append(request)
            self._start_queued(at)
            self.reschedule(at)
        self._run_until(now)
        return finished

    def draw_status(self) -> BackendStatus:
        """Draw how a request that ran to its end is answered."""
        return "error" if self.error_rate and self.error_draws.next() < self.error_rate else "ok"

    def add_connection_work(self, now: float, work_ms: float) -> None:
        """Do work beside the queue, such as a handshake; it delays the running requests."""
        self._run_until(now)
        if self.running_count:
            self.work_per_request -= work_ms / self.running_count
        self.work_done_ms += work_ms
        self.reschedule(now)

    def crash(self, now: float) -> list[BackendRequest]:
        """End the process and return the requests that it held."""
        self._run_until(now)
        held = [entry[2] for entry in self.running] + list(self.queue)
        self._reset()
        self.up = False
        self.advanced_to = now
        self.connections = 0
        return held

    def start(self, now: float) -> None:
        """Start the process; it warms up from now on."""
        self.up = True
        self.silent = False
        self.advanced_to = now
        self.started_at = now
        self.warmup_work_done = 0.0

    def load_report(self, now: float) -> LoadReport:
        """Return the load report that a response would carry now."""
        newest = self.load_reports[-1][0]
        if now - newest >= self.report_period:
            self._append_load_report(now)
        while len(self.load_reports) > 1 and now - self.load_reports[1][0] >= self.report_delay:
            self.load_reports.popleft()
        return self.load_reports[0][1]

    # Internals

    def _append_load_report(self, now: float) -> None:
        span = min(REPORT_SPAN_PERIODS * self.report_period, now - self.report_interval_start) or 1.0
        noise = 1 + self.report_noise * (2 * self.error_draws.next() - 1)
        count = self.completions_since_report
        mean_latency = self.latency_since_report / count if count else 0.0
        report = LoadReport(1000 * count / span * noise, mean_latency * noise, float(self.in_flight()))
        self.load_reports.append((now, report))
        self.completions_since_report = 0
        self.latency_since_report = 0.0
        self.report_interval_start = now

    def _start_queued(self, now: float) -> None:
        while self.queue and self.running_count < self.max_concurrency:
            request = self.queue.popleft()
            cancelled = request.cancelled and self.drops_cancelled
            if cancelled or (self.drops_expired and now > request.expires_at):
                continue
            self._start_request(now, request)

    def _start_request(self, now: float, request: BackendRequest) -> None:
        request.started = True
        work_ms = request.work_ms
        key = request.idempotency_key
        if key is not None and not self.idempotency_store.is_first_run(key, now):
            work_ms = min(work_ms, REPEAT_WORK_MS)  # the stored result is sent again
        else:
            request.took_effect = True
        request.work_done_ms = work_ms
        self.sequence += 1
        heapq.heappush(self.running, (self.work_per_request + work_ms, self.sequence, request))
        self.running_count += 1

    def _run_until(self, now: float) -> None:
        if now > self.advanced_to:
            step = self.work_rate * (now - self.advanced_to)
            self.work_per_request += step
            self.warmup_work_done += step * self.running_count
            self.advanced_to = now

    def _work_rate(self, now: float) -> float:
        """Return the work done for each running request in a ms."""
        if not self.running_count:
            return 0.0
        excess = max(0.0, self.in_flight() / self.cores - self.thrash_at)
        share = min(1.0, self.cores / self.running_count)
        return self.capacity(now) / self.cores * share / (1 + self.thrash * excess)

    def reschedule(self, now: float) -> None:
        """Update the work rate, and when the next request finishes or the rate has to be updated again."""
        self.work_rate = self._work_rate(now)
        if not self.running or self.work_rate <= 0:
            self.next_event_at = math.inf
            return
        left = max(0.0, self.running[0][0] - self.work_per_request)
        self.next_event_at = now + left / self.work_rate
        if self.started_at and now - self.started_at < self.warmup_ms:
            self.next_event_at = min(self.next_event_at, now + WARMUP_STEP_MS)

    def _record_warmup_arrival(self, now: float, work_ms: float, sender_knows_start: bool) -> None:
        """Count an arrival during warm-up; over the budget of its window the backend collapses for good."""
        window = self.overload_window_ms
        self.warmup_arrivals.append((now, work_ms, sender_knows_start))
        self.warmup_arrival_work += work_ms
        while self.warmup_arrivals[0][0] < now - window:
            self.warmup_arrival_work -= self.warmup_arrivals.popleft()[1]
        budget = self.overload_multiple * self.capacity(now) * window * (1 + self.overload_tolerance)
        if self.warmup_arrival_work > budget:
            self.collapsed = True
            avoidable_work = sum(work for _, work, knew in self.warmup_arrivals if knew)
            self.collapse_was_avoidable = avoidable_work >= AVOIDABLE_SHARE * self.warmup_arrival_work
