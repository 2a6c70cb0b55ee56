"""Time from the loss of all watches until each gateway is notified by a discovery that serves calls in turn.

Virtual time. `silent`: all watches fall silent at once; `reset`: all are reset; `moved`: a new configuration
names another agent. Where lists are pushed, the agent on each machine answers by itself. A call that times
out has taken up the service_time_ms all the same.

    .venv/bin/python -m benchmarks.told [SEEDS]
"""

from __future__ import annotations

import heapq
import random
import statistics
import sys

from mapleshunt.net.discovery.backoff import (
    NOTIFICATION_BUDGET_MS,
    SERVICE_TIME_MS,
    SILENCE_TIMEOUT_MS,
    WATCH_WAIT_MS,
    Backoff,
)


def notification_times(
    gateways: int, service_time_ms: float, loss: str, seed: int
) -> tuple[list[float], int]:
    """Return the time (ms) until each gateway was notified, and the most calls started within a second.

    `service_time_ms` is that of a call, 0 where lists are pushed.
    """
    rng = random.Random(seed)
    backoffs = [Backoff(gateways if service_time_ms else 0, rng) for _ in range(gateways)]
    calls: list[tuple[float, int, float]] = []  # start, gateway, and time of its last answer
    for number, backoff in enumerate(backoffs):
        last_answer_at = -rng.uniform(0.0, WATCH_WAIT_MS)
        if loss == "moved":
            at = backoff.initial_delay_ms()
        else:
            noticed_at = last_answer_at + WATCH_WAIT_MS + SILENCE_TIMEOUT_MS if loss == "silent" else 0.0
            at = noticed_at + backoff.next_delay_ms(noticed_at - last_answer_at)
        calls.append((at, number, last_answer_at))
    heapq.heapify(calls)
    service_free_at, notified_at, started_at = 0.0, list[float](), list[float]()
    while calls:
        at, number, last_answer_at = heapq.heappop(calls)
        started_at.append(at)
        service_free_at = (max(service_free_at, at) if service_time_ms else at) + service_time_ms
        if service_free_at - at <= backoffs[number].answer_timeout_ms:
            notified_at.append(service_free_at)
        else:
            timeout_at = at + backoffs[number].answer_timeout_ms
            heapq.heappush(
                calls,
                (
                    timeout_at + backoffs[number].next_delay_ms(timeout_at - last_answer_at),
                    number,
                    last_answer_at,
                ),
            )
    started_at.sort()
    calls_per_s = max(sum(start <= other < start + 1000 for other in started_at) for start in started_at)
    return notified_at, calls_per_s


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
