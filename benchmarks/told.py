"""From the loss of all watches to the news at each gateway, with one service that takes calls in turn.

Virtual time. `silent`: all watches fall silent at once; `reset`: all are reset; `moved`: a new configuration
names another agent. Where lists are pushed the agent on each machine answers by itself. A call that is not
answered in its time is given up, and has cost the service its turn all the same.

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


def told(gateways: int, service: float, lost: str, seed: int) -> tuple[list[float], int]:
    """ms until each gateway was told, and the most calls that began within a second. `service`: ms a call, 0
    where lists are pushed.
    """
    chance = random.Random(seed)
    backoffs = [Backoff(gateways if service else 0, chance) for _ in range(gateways)]
    calls: list[tuple[float, int, float]] = []  # when, by whom, and when its last answer came
    for number, backoff in enumerate(backoffs):
        heard = -chance.uniform(0.0, WATCH_WAIT_MS)
        if lost == "moved":
            at = backoff.initial_delay_ms()
        else:
            noticed = heard + WATCH_WAIT_MS + SILENCE_TIMEOUT_MS if lost == "silent" else 0.0
            at = noticed + backoff.next_delay_ms(noticed - heard)
        calls.append((at, number, heard))
    heapq.heapify(calls)
    free, found, made = 0.0, list[float](), list[float]()
    while calls:
        at, number, heard = heapq.heappop(calls)
        made.append(at)
        free = (max(free, at) if service else at) + service
        if free - at <= backoffs[number].answer_timeout_ms:
            found.append(free)
        else:
            end = at + backoffs[number].answer_timeout_ms
            heapq.heappush(calls, (end + backoffs[number].next_delay_ms(end - heard), number, heard))
    made.sort()
    peak = max(sum(one <= other < one + 1000 for other in made) for one in made)
    return found, peak


def main() -> None:
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 20)
    print("gateways, ms a call, lost: ms until told: median, nine in ten, last; part late; calls in a second")
    for gateways in (2, 40, 200):
        for service in (0.0, 10.0, SERVICE_TIME_MS):
            for lost in ("silent", "reset", "moved"):
                plays = [told(gateways, service, lost, seed) for seed in seeds]
                times = sorted(one for found, _ in plays for one in found)
                bound = 4000.0 if lost == "moved" else NOTIFICATION_BUDGET_MS
                late = sum(one > bound for one in times) / len(times)
                most, nine = max(peak for _, peak in plays), times[int(0.9 * len(times))]
                name, middle = f"{gateways:4} {service:2.0f} {lost:6}", statistics.median(times)
                print(f"{name}: {middle:.0f} {nine:.0f} {times[-1]:.0f}; {late:.3f}; {most}")


if __name__ == "__main__":
    main()
