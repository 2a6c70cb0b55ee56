"""What all gateways together send to a backend that is warming up, against the bound for it.

Runs the policy without sockets in virtual time: warm backends under an even load, one that starts, and
gateways that keep their state or all restart at that moment. For each window of `overload_crash_after`, the
number of attempts sent is compared with N + 2 * sqrt(N) + 2, where N is `overload_crash_multiple` times
what the backend is expected to complete by then.

    .venv/bin/python -m benchmarks.cold_servers [SEEDS]
"""

from __future__ import annotations

import heapq
import itertools
import random
import statistics
import sys
from dataclasses import dataclass

from mapleshunt import (
    Action,
    AttemptEnded,
    EndpointInfo,
    EndpointUpdate,
    Event,
    Gateway,
    Plan,
    RequestClass,
    RequestReceived,
    SetTimer,
    Settings,
    StartAttempt,
    TimerFired,
)

MEAN_WORK_MS = 120.0  # of a request on one of `CORES` cores
CORES = 2
BACKENDS = 10
WARM_UP_MS = 8_000.0  # before the additional backend starts
SLOW_START_MS = 10_000.0  # until that backend is warm
MIN_WARMTH = 0.25


@dataclass(frozen=True)
class Case:
    """A fleet; `multiple` and `window` (ms) are the overload at which a backend crashes."""

    gateway_count: int
    load: float = 0.9  # of the warm backends
    restarted: bool = False
    multiple: float = 2.5
    window: float = 2000.0


def promised_attempts(case: Case, age: float) -> float:
    """Return N for the window that ends at that age (ms): multiple x capacity then x window."""
    per_ms = CORES / MEAN_WORK_MS * case.multiple
    middle = max(0.0, age - case.window / 2)
    return (
        per_ms
        * min(1.0, MIN_WARMTH + (1 - MIN_WARMTH) * middle / SLOW_START_MS)
        * min(case.window, max(age, 1.0))
    )


def attempt_ages_at_warming_backend(case: Case, seed: int) -> list[float]:
    """Return the age (ms) of the starting backend at each attempt sent to it while it warmed up."""
    rng = random.Random(seed)
    settings = Settings(
        gateway_index=0,
        gateway_count=case.gateway_count,
        classes={"look": RequestClass("look", latency_objective=1200, deadline=5000)},
        plans={"open": Plan("open")},
        slow_start_min_capacity=MIN_WARMTH,
        slow_start_duration=SLOW_START_MS,
        overload_crash_after=case.window,
        overload_crash_multiple=case.multiple,
    )
    entries = tuple(EndpointInfo(cell + 1, cell=cell) for cell in range(BACKENDS - 1))
    gateways = [Gateway(settings, rng.getrandbits(32), 0.0) for _ in range(case.gateway_count)]
    sequence, request_ids, sent = itertools.count(), itertools.count(), list[float]()
    event_queue: list[tuple[float, int, int, Event]] = []

    def schedule_event(at: float, number: int, event: Event) -> None:
        heapq.heappush(event_queue, (at, next(sequence), number, event))

    def apply_actions(now: float, number: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                schedule_event(action.at, number, TimerFired(action.token))
            elif isinstance(action, StartAttempt):
                if action.endpoint == 0:
                    sent.append(now - WARM_UP_MS)
                duration_ms = rng.expovariate(1 / MEAN_WORK_MS)
                schedule_event(
                    now + duration_ms,
                    number,
                    AttemptEnded(action.request_id, "ok", True, 0, action.endpoint, duration_ms),
                )

    # Requests per ms at each gateway.
    rate = case.load * (BACKENDS - 1) * CORES / MEAN_WORK_MS / case.gateway_count
    for number in range(case.gateway_count):
        schedule_event(0.0, number, EndpointUpdate("complete", entries))
        schedule_event(
            rng.expovariate(rate),
            number,
            RequestReceived(next(request_ids), "look", "open", f"{number:016x}", 5000),
        )
    started = 0
    while event_queue and event_queue[0][0] < WARM_UP_MS + SLOW_START_MS:
        now, _, number, event = heapq.heappop(event_queue)
        if not started and now >= WARM_UP_MS:
            started, starting = 1, EndpointInfo(0, cell=99, started=WARM_UP_MS)
            for index in range(case.gateway_count):
                if case.restarted:
                    gateways[index] = Gateway(settings, rng.getrandbits(32), now)
                    apply_actions(
                        now, index, gateways[index].handle(now, EndpointUpdate("complete", entries))
                    )
                apply_actions(now, index, gateways[index].handle(now, EndpointUpdate("partial", (starting,))))
        if isinstance(event, RequestReceived):
            next_request = RequestReceived(next(request_ids), "look", "open", event.customer, 5000)
            schedule_event(now + rng.expovariate(rate), number, next_request)
        if not isinstance(event, AttemptEnded) or (event.request_id in gateways[number].requests.open):
            apply_actions(now, number, gateways[number].handle(now, event))
    return sent


def worst(case: Case, seed: int) -> tuple[float, float]:
    """Return the largest ratio over all windows of the attempts sent to the bound, and to N alone."""
    sent = attempt_ages_at_warming_backend(case, seed)
    ratios = [(0.0, 0.0)]
    for end in range(int(case.window), int(SLOW_START_MS), 100):
        count, promised = (
            sum(end - case.window < at <= end for at in sent),
            promised_attempts(case, float(end)),
        )
        ratios.append((count / (promised + 2 * promised**0.5 + 2), count / promised))
    return max(ratios)


def main() -> None:
    """Print the ratios for several fleets, loads and states of the gateways."""
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 10)
    print(
        "gateways, state, load: attempts / (N + 2 sqrt N + 2) in the worst window: "
        "mean, sd, largest; attempts / N: largest"
    )
    for gateway_count in (2, 20, 30, 200):
        for restarted in (False, True):
            for load in (0.6, 0.9):
                results = [worst(Case(gateway_count, load, restarted), seed) for seed in seeds]
                ratios = [result[0] for result in results]
                mean, spread, largest = statistics.mean(ratios), statistics.pstdev(ratios), max(ratios)
                name = f"{gateway_count:4} {'restarted' if restarted else 'running':9} {load}"
                largest_of_n = max(of_n for _, of_n in results)
                print(f"{name}: {mean:.2f} {spread:.2f} {largest:.2f}; {largest_of_n:.2f}", flush=True)


if __name__ == "__main__":
    main()
