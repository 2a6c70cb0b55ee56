"""What the model costs beside the decisions, at 3 and at 200 gateways; SimPy's event list beside ours.

python -m benchmarks.model_speed
"""

from __future__ import annotations

import statistics
import time

import simpy

from mapleshunt.policy.gateway import Gateway
from mapleshunt.simulation.day import draw_run, resized
from mapleshunt.simulation.engine import Engine
from mapleshunt.simulation.event_queue import EventQueue
from mapleshunt.simulation.scenarios import SCENARIOS

REPEATS = 3


def share() -> None:
    print("scenario, 3 x 14, 48 s: CPU of Gateway.handle, of the model, ratio (median of three), wall")
    for name in ("quiet", "busy", "overload", "worst"):
        ratios, walls = [], []
        for seed in range(REPEATS):
            begun = time.perf_counter()
            engine = Engine(draw_run(resized(SCENARIOS[name], seconds=48), seed), Gateway)
            engine.run()
            walls.append(time.perf_counter() - begun)
            fleet_cpu_ns = engine.total_cpu_ns - engine.gateway_cpu_ns
            ratios.append(fleet_cpu_ns / engine.gateway_cpu_ns)
        print(
            f"{name:10} {engine.gateway_cpu_ns / 1e9:6.2f} s {fleet_cpu_ns / 1e9:6.2f} s "
            f"{statistics.median(ratios):5.2f}  {statistics.median(walls):5.2f} s"
        )


class Quick:
    """Stands in for the decisions: sends to the next server, and costs next to nothing."""

    def __init__(self, settings, seed, now):  # type: ignore[no-untyped-def]
        from mapleshunt import policy

        self.policy, self.servers, self.next = policy, [0], seed

    def start(self):  # type: ignore[no-untyped-def]
        return ()

    def handle(self, now, event):  # type: ignore[no-untyped-def]
        policy = self.policy
        if type(event) is policy.RequestReceived:
            self.next += 1
            return (policy.StartAttempt(event.request_id, self.servers[self.next % len(self.servers)]),)
        if type(event) is policy.AttemptEnded:
            return () if event.request_completed else (policy.FailRequest(event.request_id),)
        if type(event) is policy.EndpointUpdate and event.kind != "partial":
            self.servers = [entry.endpoint for entry in event.endpoints]
        return ()


def size() -> None:
    print("\nthe model's own CPU an event, with decisions that cost nothing (median of three)")
    costs = {}
    for gateways, servers, seconds in ((3, 30, 40.0), (200, 2000, 0.6)):
        found = []
        for seed in range(REPEATS):
            engine = Engine(
                draw_run(resized(SCENARIOS["busy"], gateways, servers, seconds=seconds), seed), Quick
            )
            engine.run()
            found.append((engine.total_cpu_ns - engine.gateway_cpu_ns) / engine.events / 1000)
        costs[gateways] = statistics.median(found)
        print(
            f"{gateways:4} gateways x {servers:4} servers: {costs[gateways]:5.2f} us an event"
            f" ({engine.events} events)"
        )
    print(f"ratio {costs[200] / costs[3]:.2f} (at most 1.5 wanted)")


def lists(count: int = 200_000) -> None:
    def ours() -> float:
        agenda = EventQueue()
        left = [count]

        def step(n: int) -> None:
            left[0] -= 1
            if left[0] > 0:
                agenda.at(agenda.now + 1.0 + n % 7, step, n + 1)

        begun = time.process_time()
        for n in range(50):
            agenda.at(float(n), step, n)
        agenda.run(1e12)
        return time.process_time() - begun

    def theirs() -> float:
        env = simpy.Environment()
        left = [count]

        def process(n: int):  # type: ignore[no-untyped-def]
            while left[0] > 0:
                left[0] -= 1
                yield env.timeout(1.0 + n % 7)
                n += 1

        begun = time.process_time()
        for n in range(50):
            env.process(process(n))
        env.run()
        return time.process_time() - begun

    a, b = min(ours() for _ in range(REPEATS)), min(theirs() for _ in range(REPEATS))
    print(
        f"\nan event of ours {1e6 * a / count:.2f} us, of SimPy {1e6 * b / count:.2f} us: ratio {b / a:.1f}"
    )


if __name__ == "__main__":
    share()
    size()
    lists()
