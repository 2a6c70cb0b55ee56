"""Time from the loss of all watches until each gateway is notified by a discovery that serves calls in turn.

Virtual time. `silent`: all watches fall silent at once; `reset`: all are reset; `moved`: a new configuration
names another agent. Where lists are pushed, the agent on each machine answers by itself.

    .venv/bin/python -m benchmarks.told [SEEDS]
"""

from __future__ import annotations

import heapq
import random
import statistics
import sys
from dataclasses import dataclass

from mapleshunt.net.discovery.backoff import (
    NOTIFICATION_BUDGET_MS,
    SERVICE_TIME_MS,
    WATCH_WAIT_MS,
    Backoff,
)
from mapleshunt.net.discovery.call_schedule import Call, CallSchedule


@dataclass(slots=True)
class WatchingGateway:
    """A gateway whose watch is lost."""

    schedule: CallSchedule
    is_notified: bool = False


def notification_times(
    gateways: int, service_time_ms: float, loss: str, seed: int
) -> tuple[list[float], int]:
    """Return the time (ms) until each gateway was notified, and the most calls started within a second.

    `service_time_ms` is that of a call, 0 where lists are pushed.
    """
    rng = random.Random(seed)
    fleet = [
        WatchingGateway(_lost_watch(Backoff(gateways if service_time_ms else 0, rng), loss, rng))
        for _ in range(gateways)
    ]
    due = [(gateway.schedule.next_event_at_ms(), number) for number, gateway in enumerate(fleet)]
    heapq.heapify(due)
    answers: list[tuple[float, int, Call]] = []  # time, gateway and call
    service_free_at, notified_at, started_at = 0.0, list[float](), list[float]()
    while len(notified_at) < gateways:
        if answers and answers[0][0] <= due[0][0]:
            now, number, call = heapq.heappop(answers)
            gateway = fleet[number]
            if not gateway.is_notified and call in gateway.schedule.calls:
                gateway.is_notified = True
                notified_at.append(now)
            continue
        now, number = heapq.heappop(due)
        gateway = fleet[number]
        if gateway.is_notified:
            continue
        schedule = gateway.schedule
        schedule.take_late(now)
        schedule.take_expired(now)
        if schedule.is_due(now):
            call = schedule.begin(now, 1)
            schedule.connected(call, now)
            started_at.append(now)
            service_free_at = (max(service_free_at, now) if service_time_ms else now) + service_time_ms
            heapq.heappush(answers, (service_free_at, number, call))
        heapq.heappush(due, (schedule.next_event_at_ms(), number))
    started_at.sort()
    calls_per_s = max(sum(start <= other < start + 1000 for other in started_at) for start in started_at)
    return notified_at, calls_per_s


def _lost_watch(backoff: Backoff, loss: str, rng: random.Random) -> CallSchedule:
    """Return the calls of a gateway whose watch was answered last up to 1 s ago, and is lost at 0 ms."""
    schedule = CallSchedule(backoff)
    last_answer_at = -rng.uniform(0.0, WATCH_WAIT_MS)
    call = schedule.begin(last_answer_at, 1)
    schedule.connected(call, last_answer_at)
    schedule.answered(call, last_answer_at)
    schedule.repeat(call, last_answer_at, 1)
    if loss == "reset":
        schedule.failed(call, 0.0)
    elif loss == "moved":
        schedule.follow(0.0)
    return schedule


def main() -> None:
    """Print the times and rates by fleet, service time and kind of loss."""
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 20)
    print(
        "gateways, ms per call, loss: ms until notified: median, 90th percentile, last; "
        "fraction late; calls in a second at most"
    )
    for gateways in (2, 40, 200):
        for service_time_ms in (0.0, 10.0, SERVICE_TIME_MS):
            for loss in ("silent", "reset", "moved"):
                results = [notification_times(gateways, service_time_ms, loss, seed) for seed in seeds]
                times = sorted(time_ms for notified_at, _ in results for time_ms in notified_at)
                deadline_ms = 4000.0 if loss == "moved" else NOTIFICATION_BUDGET_MS
                late_fraction = sum(time_ms > deadline_ms for time_ms in times) / len(times)
                max_calls, percentile_90 = (
                    max(calls_per_s for _, calls_per_s in results),
                    times[int(0.9 * len(times))],
                )
                name, median = f"{gateways:4} {service_time_ms:2.0f} {loss:6}", statistics.median(times)
                print(
                    f"{name}: {median:.0f} {percentile_90:.0f} {times[-1]:.0f}; "
                    f"{late_fraction:.3f}; {max_calls}"
                )


if __name__ == "__main__":
    main()
