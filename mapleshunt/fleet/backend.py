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
    work: float
    expires: float = math.inf
    key: object = None  # idempotency key
    units: float = 1.0
    gateway: int = 0
    cancelled: bool = False
    begun: bool = False
    effect: bool = False  # it ran, and was no repeat that the cell drops
    done: float = 0.0  # work spent on it


@dataclass(slots=True)
class IdempotencyStore:
    """Till servers that share which keys they have seen."""

    window: float
    seen: dict[object, float] = field(default_factory=dict)

    def first(self, key: object, now: float) -> bool:
        """Is this the key's first run within the window? Then it is one from now on."""
        known = self.seen.get(key)
        if known is not None and now - known <= self.window:
            return False
        if len(self.seen) >= SWEEP_INTERVAL_KEYS and len(self.seen) % SWEEP_INTERVAL_KEYS == 0:
            self.seen = {k: at for k, at in self.seen.items() if now - at <= self.window}
        self.seen[key] = now
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
        self.number, self.speed, self.cell, self.keys, self.chance = number, speed, cell, keys, chance
        self.cores = f["cores"]
        self.slots = max(1, round(f["slots_per_core"] * self.cores))
        self.room = round(f["queue_per_core"] * self.cores)
        self.thrash, self.thrash_at = f["thrash"], f["thrash_at"]
        self.cold_from, self.cold_ms, self.by_work = f["cold_from"], f["cold_ms"], f["warm_by_work"] > 0
        self.warm_work = f["warm_work"]
        self.error_rate = f["error_rate"]
        self.drops_cancelled, self.drops_expired = f["drops_cancelled"] > 0, f["drops_expired"] > 0
        self.conn_cap, self.conn_tax = f["conn_cap_per_core"] * self.cores, f["conn_tax"]
        self.report_period, self.report_delay = f["report_period_ms"], f["report_delay_ms"]
        self.report_noise, self.push_slack = f["report_noise"], f["push_slack"]
        self.tip_after, self.fall_multiple = tip_after, fall_multiple
        self.up, self.silent, self.fallen = True, False, False
        self.fault = (
            False  # it fell, and two thirds of what pushed it came from gateways that knew of its start
        )
        self.started = 0.0  # 0: long ago
        self.warmed = math.inf  # work done since the start
        self.connections = 0
        self.spent = 0.0  # ms of a core, in all
        self._reset()

    def _reset(self) -> None:
        self.at, self.passed, self.pace = 0.0, 0.0, 0.0  # work done for each in work, as of `at`; per ms
        self.working: list[tuple[float, int, BackendRequest]] = []
        self.waiting: deque[BackendRequest] = deque()
        self.count = self.order = 0
        self.due = math.inf
        self.pushes: deque[tuple[float, float, bool]] = (
            deque()
        )  # sent while cold: when, work, sender was told
        self.pushed = 0.0
        self.reports: deque[tuple[float, LoadReport]] = deque([(-math.inf, LoadReport())])
        self.served, self.took, self.since = 0, 0.0, 0.0

    # Capacity

    def ramp(self, now: float) -> float:
        """The part of its full capacity that it has now."""
        if not self.started:
            return 1.0
        by_time = (now - self.started) / self.cold_ms
        if self.by_work:  # kept busy it is warm sooner; never later than by time
            by_time = max(by_time, self.warmed / (self.warm_work * self.cold_ms * self.cores))
        return min(1.0, self.cold_from + (1 - self.cold_from) * by_time)

    def capacity(self, now: float) -> float:
        """Work it can do now, in ms of a standard core for each ms."""
        full = 1 - self.conn_tax * min(1.0, self.connections / self.conn_cap)
        return self.cores * self.speed * self.ramp(now) * full

    def held(self) -> int:
        return self.count + len(self.waiting)

    def _pace(self, now: float) -> float:
        if not self.count:
            return 0.0
        over = max(0.0, self.held() / self.cores - self.thrash_at)
        share = min(1.0, self.cores / self.count)
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
        if self.started and self.ramp(now) < 1:
            self._push(now, work.work, told)
            if self.fallen:
                return "full", ended
        if self.count >= self.slots and len(self.waiting) >= self.room:
            return "full", ended
        if self.count < self.slots:
            self._begin(now, work)
        else:
            self.waiting.append(work)
        self._plan(now)
        return None, ended

    def cancel(self, now: float, work: BackendRequest) -> None:
        """Its gateway has given it up. Work begun goes on; waiting work is dropped on some days."""
        work.cancelled = True

    def advance(self, now: float) -> list[BackendRequest]:
        """Go on to now; the attempts that are done, in their order."""
        ended: list[BackendRequest] = []
        while self.due <= now:
            self._go(self.due)
            at = self.due
            while self.working and self.working[0][0] <= self.passed + 1e-9:
                work = heapq.heappop(self.working)[2]
                self.count -= 1
                self.served += 1
                self.spent += work.done
                ended.append(work)
            while self.waiting and self.count < self.slots:
                work = self.waiting.popleft()
                if (work.cancelled and self.drops_cancelled) or (self.drops_expired and at > work.expires):
                    continue
                self._begin(at, work)
            self._plan(at)
        self._go(now)
        return ended

    def answer(self, work: BackendRequest) -> BackendStatus:
        return "error" if self.error_rate and self.chance.next() < self.error_rate else "ok"

    def extra(self, now: float, work: float) -> None:
        """Work beside the queue, such as a handshake: it delays what is in work."""
        self._go(now)
        if self.count:
            self.passed -= work / self.count
        self.spent += work
        self._plan(now)

    def crash(self, now: float) -> list[BackendRequest]:
        """The process dies; what it held is returned."""
        self._go(now)
        held = [one[2] for one in self.working] + list(self.waiting)
        spent = self.spent
        self._reset()
        self.up, self.at, self.spent, self.connections = False, now, spent, 0
        return held

    def start(self, now: float) -> None:
        """The process is back, cold."""
        self.up, self.silent, self.at = True, False, now
        self.started, self.warmed = now, 0.0

    def report(self, now: float) -> LoadReport:
        """The load it would tell in an answer now."""
        newest = self.reports[-1][0]
        if now - newest >= self.report_period:
            span = min(10 * self.report_period, now - self.since) or 1.0
            noise = 1 + self.report_noise * (2 * self.chance.next() - 1)
            took = self.took / self.served if self.served else 0.0
            self.reports.append(
                (now, LoadReport(1000 * self.served / span * noise, took * noise, float(self.held())))
            )
            self.served, self.took, self.since = 0, 0.0, now
        while len(self.reports) > 1 and now - self.reports[1][0] >= self.report_delay:
            self.reports.popleft()
        return self.reports[0][1]

    # Inside

    def _begin(self, now: float, work: BackendRequest) -> None:
        work.begun = True
        need = work.work
        if work.key is not None and not self.keys.first(work.key, now):
            need = min(need, 1.0)  # a repeat: what was done is told again
        else:
            work.effect = True
        work.done = need
        self.order += 1
        heapq.heappush(self.working, (self.passed + need, self.order, work))
        self.count += 1

    def _go(self, now: float) -> None:
        if now > self.at:
            step = self.pace * (now - self.at)
            self.passed += step
            self.warmed += step * self.count
            self.at = now

    def _plan(self, now: float) -> None:
        self.pace = self._pace(now)
        if not self.working or self.pace <= 0:
            self.due = math.inf
            return
        self.due = now + max(0.0, self.working[0][0] - self.passed) / self.pace
        if self.started and now - self.started < self.cold_ms:
            self.due = min(self.due, now + WARMUP_STEP_MS)

    def _push(self, now: float, work: float, told: bool) -> None:
        """Count what is sent to a cold server; over its budget of the last second it falls and stays down."""
        window, multiple = self.tip_after, self.fall_multiple
        self.pushes.append((now, work, told))
        self.pushed += work
        while self.pushes[0][0] < now - window:
            self.pushed -= self.pushes.popleft()[1]
        budget = multiple * self.capacity(now) * window * (1 + self.push_slack)
        if self.pushed > budget:
            self.fallen = True
            self.fault = sum(w for _, w, t in self.pushes if t) >= 2 / 3 * self.pushed
