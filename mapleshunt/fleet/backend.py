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
WARMUP_STEP_MS = 100.0  # longest time between updates of a warming backend's work rate
SWEEP_INTERVAL_KEYS = 256  # expired keys are removed at each multiple of this number of stored keys
REPEAT_WORK_MS = 1.0  # work of a request whose result is already stored
WORK_TOLERANCE_MS = 1e-9  # rounding tolerance within which a request's work is finished
REPORT_SPAN_PERIODS = 10  # upper limit of a load report's averaging time, in report periods
# A collapse was avoidable if gateways notified of the start sent at least this share of the overload.
AVOIDABLE_SHARE = 2 / 3


@dataclass(slots=True, eq=False)
class BackendRequest:
    """One attempt at a backend. Times are in ms, `work_ms` is ms of a core at speed 1."""

    token: object  # identifies the request to the host
    work_ms: float
    expires_at: float = math.inf  # when its gateway stops waiting
    idempotency_key: object = None
    units: float = 1.0
    gateway: int = 0
    cancelled: bool = False
    started: bool = False
    took_effect: bool = False  # it ran, and was not answered from the idempotency store
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
        stored_count = len(self.first_run_at)
        if stored_count >= SWEEP_INTERVAL_KEYS and stored_count % SWEEP_INTERVAL_KEYS == 0:
            self.first_run_at = {
                stored_key: at for stored_key, at in self.first_run_at.items() if now - at <= self.window_ms
            }
        self.first_run_at[key] = now
        return True


@dataclass(slots=True)
class LoadReport:
    """Load as a backend reports it: updated periodically, with a delay and noise."""

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
            speed: Its speed relative to a standard core.
            cell: The failure domain that it belongs to.
            idempotency_store: The keys seen in its cell.
            error_draws: Uniform draws for errors and for the noise of load reports.
            overload_window_ms: The window over which arrivals during warm-up are summed.
            overload_multiple: The multiple of its capacity in that window above which it collapses.
        """
        values = parameters
        self.number = number
        self.speed = speed
        self.cell = cell
        self.idempotency_store = idempotency_store
        self.error_draws = error_draws
        self.cores = values["cores"]
        self.max_concurrency = max(1, round(values["slots_per_core"] * self.cores))
        self.max_queue_length = round(values["queue_per_core"] * self.cores)
        self.slowdown_per_excess, self.slowdown_from = values["thrash"], values["thrash_at"]
        self.initial_capacity_share = values["cold_from"]
        self.warmup_ms = values["cold_ms"]
        self.warms_by_work = values["warm_by_work"] > 0
        self.warmup_work_share = values["warm_work"]
        self.error_rate = values["error_rate"]
        self.drops_cancelled = values["drops_cancelled"] > 0
        self.drops_expired = values["drops_expired"] > 0
        self.max_connections = values["conn_cap_per_core"] * self.cores
        self.connection_overhead = values["conn_tax"]
        self.report_period, self.report_delay = values["report_period_ms"], values["report_delay_ms"]
        self.report_noise = values["report_noise"]
        self.overload_tolerance = values["push_slack"]
        self.overload_window_ms = overload_window_ms
        self.overload_multiple = overload_multiple
        self.up = True
        self.silent = False  # its machine does not respond
        self.collapsed = False
        self.collapse_was_avoidable = False  # see AVOIDABLE_SHARE
        self.started_at = 0.0  # 0: before the run, so it is warm
        self.warmup_work_done = math.inf  # work done since the start
        self.connections = 0
        self.work_done_ms = 0.0  # total, of a core
        self._reset()

    def _reset(self) -> None:
        """Clear the state that a process holds in memory."""
        # Work done for each running request as of `advanced_to`, and its growth per ms.
        self.advanced_to, self.work_per_request, self.work_rate = 0.0, 0.0, 0.0
        self.running: list[tuple[float, int, BackendRequest]] = []
        self.queue: deque[BackendRequest] = deque()
        self.running_count = 0
        self.sequence = 0
        self.next_event_at = math.inf
        # Arrivals during warm-up: time, work, whether the sender was notified of the start.
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
        if self.warms_by_work:  # work can only shorten the warm-up
            full_work = self.warmup_work_share * self.warmup_ms * self.cores
            progress = max(progress, self.warmup_work_done / full_work)
        return min(1.0, self.initial_capacity_share + (1 - self.initial_capacity_share) * progress)

    def capacity(self, now: float) -> float:
        """Return the work it can do now, in ms of a standard core per ms."""
        free_share = 1 - self.connection_overhead * min(1.0, self.connections / self.max_connections)
        return self.cores * self.speed * self.capacity_share(now) * free_share

    def in_flight(self) -> int:
        """Return the number of running and queued requests."""
        return self.running_count + len(self.queue)

    # Events

    def offer(
        self, now: float, request: BackendRequest, sender_knows_start: bool = True
    ) -> tuple[BackendStatus | None, list[BackendRequest]]:
        """Receive a request. During warm-up, rejected requests count towards a collapse too.

        Args:
            now: The time.
            request: The request that arrives.
            sender_knows_start: Whether its gateway was notified of the backend's last start.

        Returns:
            "full" if it was rejected and never ran, None if it was accepted; and the requests that finished
            by now.
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
        """Mark a request as cancelled. A running one continues; a queued one may be dropped later."""
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
        """Draw the status of a request that ran to completion."""
        return "error" if self.error_rate and self.error_draws.next() < self.error_rate else "ok"

    def add_connection_work(self, now: float, work_ms: float) -> None:
        """Add work outside the queue, such as a handshake; it delays the running requests."""
        self._run_until(now)
        if self.running_count:
            self.work_per_request -= work_ms / self.running_count
        self.work_done_ms += work_ms
        self.reschedule(now)

    def crash(self, now: float) -> list[BackendRequest]:
        """End the process and return its running and queued requests."""
        self._run_until(now)
        interrupted = [entry[2] for entry in self.running] + list(self.queue)
        self._reset()
        self.up = False
        self.advanced_to = now
        self.connections = 0
        return interrupted

    def start(self, now: float) -> None:
        """Start the process and its warm-up."""
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
            work_ms = min(work_ms, REPEAT_WORK_MS)  # only sends the stored result
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
        """Return the work done for each running request per ms."""
        if not self.running_count:
            return 0.0
        excess = max(0.0, self.in_flight() / self.cores - self.slowdown_from)
        core_share = min(1.0, self.cores / self.running_count)
        return self.capacity(now) / self.cores * core_share / (1 + self.slowdown_per_excess * excess)

    def reschedule(self, now: float) -> None:
        """Update the work rate and the time of the next event: a completion or a rate update."""
        self.work_rate = self._work_rate(now)
        if not self.running or self.work_rate <= 0:
            self.next_event_at = math.inf
            return
        remaining_work = max(0.0, self.running[0][0] - self.work_per_request)
        self.next_event_at = now + remaining_work / self.work_rate
        if self.started_at and now - self.started_at < self.warmup_ms:
            self.next_event_at = min(self.next_event_at, now + WARMUP_STEP_MS)

    def _record_warmup_arrival(self, now: float, work_ms: float, sender_knows_start: bool) -> None:
        """Record an arrival during warm-up; beyond the window's budget the backend collapses for good."""
        window = self.overload_window_ms
        self.warmup_arrivals.append((now, work_ms, sender_knows_start))
        self.warmup_arrival_work += work_ms
        while self.warmup_arrivals[0][0] < now - window:
            self.warmup_arrival_work -= self.warmup_arrivals.popleft()[1]
        budget = self.overload_multiple * self.capacity(now) * window * (1 + self.overload_tolerance)
        if self.warmup_arrival_work > budget:
            self.collapsed = True
            avoidable_work = sum(work for _, work, knows_start in self.warmup_arrivals if knows_start)
            self.collapse_was_avoidable = avoidable_work >= AVOIDABLE_SHARE * self.warmup_arrival_work
