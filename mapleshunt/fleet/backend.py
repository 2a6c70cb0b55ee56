"""A till server: cores shared by the requests in work, a bounded waiting room, cold starts and falling over.

A host calls `offer` and `cancel` as things arrive, and `advance` once `due` has come; each returns what
follows. Requests in work share the cores evenly (processor sharing): one counter of work done for each of
them advances at a common pace, so a step costs a heap operation however many are in work.
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
WARMUP_STEP_MS = 100.0  # ms after which a cold server's pace is looked at anew
SWEEP_INTERVAL_KEYS = 256  # keys that a cell holds before old ones are forgotten


@dataclass(slots=True, eq=False)
class BackendRequest:
    """One attempt at a till server. `work` is ms of a core at speed 1; `expires` the end of its time-out."""

    token: object  # the host's
    work_ms: float
    expires_at: float = math.inf
    idempotency_key: object = None  # idempotency key
    units: float = 1.0
    gateway: int = 0
    cancelled: bool = False
    started: bool = False
    took_effect: bool = False  # it ran, and was no repeat that the cell drops
    work_done_ms: float = 0.0  # work spent on it


@dataclass(slots=True)
class IdempotencyStore:
    """Till servers that share which keys they have seen."""

    window_ms: float
    first_run_at: dict[object, float] = field(default_factory=dict)

    def is_first_run(self, key: object, now: float) -> bool:
        """Is this the key's first run within the window? Then it is one from now on."""
        known = self.first_run_at.get(key)
        if known is not None and now - known <= self.window_ms:
            return False
        if (
            len(self.first_run_at) >= SWEEP_INTERVAL_KEYS
            and len(self.first_run_at) % SWEEP_INTERVAL_KEYS == 0
        ):
            self.first_run_at = {k: at for k, at in self.first_run_at.items() if now - at <= self.window_ms}
        self.first_run_at[key] = now
        return True


@dataclass(slots=True)
class LoadReport:
    """Load as a till server tells it: refreshed now and then, late, a little noisy."""

    qps: float = 0.0
    latency: float = 0.0
    inflight: float = 0.0


class Backend:
    """See the module. Times in ms."""

    def __init__(
        self,
        number: int,
        figures: Parameters,
        speed: float,
        cell: int,
        keys: IdempotencyStore,
        chance: BufferedDraws,
        tip_after: float = 1000.0,
        fall_multiple: float = 4.0,
    ) -> None:
        f = figures
        self.number, self.speed, self.cell, self.idempotency_store, self.error_draws = (
            number,
            speed,
            cell,
            keys,
            chance,
        )
        self.cores = f["cores"]
        self.max_concurrency = max(1, round(f["slots_per_core"] * self.cores))
        self.max_queue_length = round(f["queue_per_core"] * self.cores)
        self.thrash, self.thrash_at = f["thrash"], f["thrash_at"]
        self.initial_capacity_share, self.warmup_ms, self.warms_by_work = (
            f["cold_from"],
            f["cold_ms"],
            f["warm_by_work"] > 0,
        )
        self.warmup_work_share = f["warm_work"]
        self.error_rate = f["error_rate"]
        self.drops_cancelled, self.drops_expired = f["drops_cancelled"] > 0, f["drops_expired"] > 0
        self.max_connections, self.connection_overhead = f["conn_cap_per_core"] * self.cores, f["conn_tax"]
        self.report_period, self.report_delay = f["report_period_ms"], f["report_delay_ms"]
        self.report_noise, self.push_slack = f["report_noise"], f["push_slack"]
        self.overload_window_ms, self.overload_multiple = tip_after, fall_multiple
        self.up, self.silent, self.collapsed = True, False, False
        self.collapse_was_avoidable = (
            False  # it fell, and two thirds of what pushed it came from gateways that knew of its start
        )
        self.started_at = 0.0  # 0: long ago
        self.warmup_work_done = math.inf  # work done since the start
        self.connections = 0
        self.work_done_ms = 0.0  # ms of a core, in all
        self._reset()

    def _reset(self) -> None:
        self.advanced_to, self.work_per_request, self.work_rate = (
            0.0,
            0.0,
            0.0,
        )  # work done for each in work, as of `at`; per ms
        self.running: list[tuple[float, int, BackendRequest]] = []
        self.queue: deque[BackendRequest] = deque()
        self.running_count = self.sequence = 0
        self.next_event_at = math.inf
        self.warmup_arrivals: deque[tuple[float, float, bool]] = (
            deque()
        )  # sent while cold: when, work, sender was told
        self.warmup_arrival_work = 0.0
        self.load_reports: deque[tuple[float, LoadReport]] = deque([(-math.inf, LoadReport())])
        self.completions_since_report, self.latency_since_report, self.report_interval_start = 0, 0.0, 0.0

    # Capacity

    def capacity_share(self, now: float) -> float:
        """The part of its full capacity that it has now."""
        if not self.started_at:
            return 1.0
        by_time = (now - self.started_at) / self.warmup_ms
        if self.warms_by_work:  # kept busy it is warm sooner; never later than by time
            by_time = max(
                by_time, self.warmup_work_done / (self.warmup_work_share * self.warmup_ms * self.cores)
            )
        return min(1.0, self.initial_capacity_share + (1 - self.initial_capacity_share) * by_time)

    def capacity(self, now: float) -> float:
        """Work it can do now, in ms of a standard core for each ms."""
        full = 1 - self.connection_overhead * min(1.0, self.connections / self.max_connections)
        return self.cores * self.speed * self.capacity_share(now) * full

    def in_flight(self) -> int:
        return self.running_count + len(self.queue)

    def _pace(self, now: float) -> float:
        if not self.running_count:
            return 0.0
        over = max(0.0, self.in_flight() / self.cores - self.thrash_at)
        share = min(1.0, self.cores / self.running_count)
        return self.capacity(now) / self.cores * share / (1 + self.thrash * over)

    # Events

    def offer(
        self, now: float, work: BackendRequest, told: bool = True
    ) -> tuple[BackendStatus | None, list[BackendRequest]]:
        """Take an attempt in. "full": turned away, never begun; None: taken. Also those that ended meanwhile.

        `told`: its gateway knows of the server's start. Work that is turned away pushes a cold server too.
        """
        ended = self.advance(now)
        if not self.up:
            return "full", ended
        if self.started_at and self.capacity_share(now) < 1:
            self._push(now, work.work_ms, told)
            if self.collapsed:
                return "full", ended
        if self.running_count >= self.max_concurrency and len(self.queue) >= self.max_queue_length:
            return "full", ended
        if self.running_count < self.max_concurrency:
            self._begin(now, work)
        else:
            self.queue.append(work)
        self._plan(now)
        return None, ended

    def cancel(self, now: float, work: BackendRequest) -> None:
        """Its gateway has given it up. Work begun goes on; waiting work is dropped on some days."""
        work.cancelled = True

    def advance(self, now: float) -> list[BackendRequest]:
        """Go on to now; the attempts that are done, in their order."""
        ended: list[BackendRequest] = []
        while self.next_event_at <= now:
            self._go(self.next_event_at)
            at = self.next_event_at
            while self.running and self.running[0][0] <= self.work_per_request + 1e-9:
                work = heapq.heappop(self.running)[2]
                self.running_count -= 1
                self.completions_since_report += 1
                self.work_done_ms += work.work_done_ms
                ended.append(work)
            while self.queue and self.running_count < self.max_concurrency:
                work = self.queue.popleft()
                if (work.cancelled and self.drops_cancelled) or (self.drops_expired and at > work.expires_at):
                    continue
                self._begin(at, work)
            self._plan(at)
        self._go(now)
        return ended

    def draw_status(self, work: BackendRequest) -> BackendStatus:
        return "error" if self.error_rate and self.error_draws.next() < self.error_rate else "ok"

    def add_connection_work(self, now: float, work: float) -> None:
        """Work beside the queue, such as a handshake: it delays what is in work."""
        self._go(now)
        if self.running_count:
            self.work_per_request -= work / self.running_count
        self.work_done_ms += work
        self._plan(now)

    def crash(self, now: float) -> list[BackendRequest]:
        """The process dies; what it held is returned."""
        self._go(now)
        held = [one[2] for one in self.running] + list(self.queue)
        spent = self.work_done_ms
        self._reset()
        self.up, self.advanced_to, self.work_done_ms, self.connections = False, now, spent, 0
        return held

    def start(self, now: float) -> None:
        """The process is back, cold."""
        self.up, self.silent, self.advanced_to = True, False, now
        self.started_at, self.warmup_work_done = now, 0.0

    def load_report(self, now: float) -> LoadReport:
        """The load it would tell in an answer now."""
        newest = self.load_reports[-1][0]
        if now - newest >= self.report_period:
            span = min(10 * self.report_period, now - self.report_interval_start) or 1.0
            noise = 1 + self.report_noise * (2 * self.error_draws.next() - 1)
            took = (
                self.latency_since_report / self.completions_since_report
                if self.completions_since_report
                else 0.0
            )
            self.load_reports.append(
                (
                    now,
                    LoadReport(
                        1000 * self.completions_since_report / span * noise,
                        took * noise,
                        float(self.in_flight()),
                    ),
                )
            )
            self.completions_since_report, self.latency_since_report, self.report_interval_start = 0, 0.0, now
        while len(self.load_reports) > 1 and now - self.load_reports[1][0] >= self.report_delay:
            self.load_reports.popleft()
        return self.load_reports[0][1]

    # Inside

    def _begin(self, now: float, work: BackendRequest) -> None:
        work.started = True
        need = work.work_ms
        if work.idempotency_key is not None and not self.idempotency_store.is_first_run(
            work.idempotency_key, now
        ):
            need = min(need, 1.0)  # a repeat: what was done is told again
        else:
            work.took_effect = True
        work.work_done_ms = need
        self.sequence += 1
        heapq.heappush(self.running, (self.work_per_request + need, self.sequence, work))
        self.running_count += 1

    def _go(self, now: float) -> None:
        if now > self.advanced_to:
            step = self.work_rate * (now - self.advanced_to)
            self.work_per_request += step
            self.warmup_work_done += step * self.running_count
            self.advanced_to = now

    def _plan(self, now: float) -> None:
        self.work_rate = self._pace(now)
        if not self.running or self.work_rate <= 0:
            self.next_event_at = math.inf
            return
        self.next_event_at = now + max(0.0, self.running[0][0] - self.work_per_request) / self.work_rate
        if self.started_at and now - self.started_at < self.warmup_ms:
            self.next_event_at = min(self.next_event_at, now + WARMUP_STEP_MS)

    def _push(self, now: float, work: float, told: bool) -> None:
        """Count what is sent to a cold server; over its budget of the last second it falls and stays down."""
        window, multiple = self.overload_window_ms, self.overload_multiple
        self.warmup_arrivals.append((now, work, told))
        self.warmup_arrival_work += work
        while self.warmup_arrivals[0][0] < now - window:
            self.warmup_arrival_work -= self.warmup_arrivals.popleft()[1]
        budget = multiple * self.capacity(now) * window * (1 + self.push_slack)
        if self.warmup_arrival_work > budget:
            self.collapsed = True
            self.collapse_was_avoidable = (
                sum(w for _, w, t in self.warmup_arrivals if t) >= 2 / 3 * self.warmup_arrival_work
            )
