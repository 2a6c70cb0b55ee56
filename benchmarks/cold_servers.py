"""What all gateways together send to a cold till server, against what the rules let it bear.

Decisions without sockets in virtual time: warm till servers under an even load, one that starts cold, and
gateways with full memory or all restarted in that moment. For each window of the settings' time the sum of
what was sent is set against N + 2 x root of N + 2, N being the multiple of what it is promised to do by then.

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

WORK = 120.0  # ms of mean work on one of two cores
CORES = 2
SERVERS = 10
WARM_UP = 8_000.0  # ms before the cold one starts
COLD = 10_000.0  # ms until it is warm
COLD_FROM = 0.25


@dataclass(frozen=True)
class Case:
    """`multiple` and `window` (ms) are the settings' figures for a fall; `load` is that of warm servers."""

    instances: int
    load: float = 0.9
    restarted: bool = False
    multiple: float = 2.5
    window: float = 2000.0


def allowed(case: Case, age: float) -> float:
    """N for the window that ends at that age (ms): multiple x capacity then x window."""
    per_ms = CORES / WORK * case.multiple
    middle = max(0.0, age - case.window / 2)
    return per_ms * min(1.0, COLD_FROM + (1 - COLD_FROM) * middle / COLD) * min(case.window, max(age, 1.0))


def sent_to_cold(case: Case, seed: int) -> list[float]:
    """ms after its start at which each request was sent to the cold server, while it was cold."""
    chance = random.Random(seed)
    settings = Settings(
        gateway_index=0,
        gateway_count=case.instances,
        classes={"look": RequestClass("look", latency_objective=1200, deadline=5000)},
        plans={"open": Plan("open")},
        slow_start_min_capacity=COLD_FROM,
        slow_start_duration=COLD,
        overload_crash_after=case.window,
        overload_crash_multiple=case.multiple,
    )
    entries = tuple(EndpointInfo(n + 1, cell=n) for n in range(SERVERS - 1))
    gateways = [Gateway(settings, chance.getrandbits(32), 0.0) for _ in range(case.instances)]
    order, refs, sent = itertools.count(), itertools.count(), list[float]()
    agenda: list[tuple[float, int, int, Event]] = []

    def put(at: float, number: int, event: Event) -> None:
        heapq.heappush(agenda, (at, next(order), number, event))

    def take(now: float, number: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                put(action.at, number, TimerFired(action.token))
            elif isinstance(action, StartAttempt):
                if action.endpoint == 0:
                    sent.append(now - WARM_UP)
                took = chance.expovariate(1 / WORK)
                put(now + took, number, AttemptEnded(action.request_id, "ok", True, 0, action.endpoint, took))

    rate = case.load * (SERVERS - 1) * CORES / WORK / case.instances  # requests a ms at each
    for number in range(case.instances):
        put(0.0, number, EndpointUpdate("complete", entries))
        put(
            chance.expovariate(rate),
            number,
            RequestReceived(next(refs), "look", "open", f"{number:016x}", 5000),
        )
    born = 0
    while agenda and agenda[0][0] < WARM_UP + COLD:
        now, _, number, event = heapq.heappop(agenda)
        if not born and now >= WARM_UP:
            born, cold = 1, EndpointInfo(0, cell=99, started=WARM_UP)
            for n in range(case.instances):
                if case.restarted:
                    gateways[n] = Gateway(settings, chance.getrandbits(32), now)
                    take(now, n, gateways[n].handle(now, EndpointUpdate("complete", entries)))
                take(now, n, gateways[n].handle(now, EndpointUpdate("partial", (cold,))))
        if isinstance(event, RequestReceived):
            again = RequestReceived(next(refs), "look", "open", event.customer, 5000)
            put(now + chance.expovariate(rate), number, again)
        if not isinstance(event, AttemptEnded) or (event.request_id in gateways[number].requests.open):
            take(now, number, gateways[number].handle(now, event))
    return sent


def worst(case: Case, seed: int) -> tuple[float, float]:
    """The largest part of the bound that a window held, and of N alone."""
    sent = sent_to_cold(case, seed)
    found = [(0.0, 0.0)]
    for end in range(int(case.window), int(COLD), 100):
        held, n = sum(end - case.window < at <= end for at in sent), allowed(case, float(end))
        found.append((held / (n + 2 * n**0.5 + 2), held / n))
    return max(found)


def main() -> None:
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 10)
    print("gateways memory load: worst window over N + 2 root N + 2: mean, spread, largest; over N: largest")
    for instances in (2, 20, 30, 200):
        for restarted in (False, True):
            for load in (0.6, 0.9):
                got = [worst(Case(instances, load, restarted), seed) for seed in seeds]
                parts = [one[0] for one in got]
                mean, spread, most = statistics.mean(parts), statistics.pstdev(parts), max(parts)
                name = f"{instances:4} {'empty' if restarted else 'full':5} {load}"
                alone = max(of_n for _, of_n in got)
                print(f"{name}: {mean:.2f} {spread:.2f} {most:.2f}; {alone:.2f}", flush=True)


if __name__ == "__main__":
    main()
