"""CPU of the simulation beside that of the policy, with 3 and 200 gateways; its event queue beside SimPy's.

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


def measure_fraction() -> None:
    """Print the CPU of the policy and of the simulation in some scenarios."""
    print("scenario, 3 x 14, 48 s: CPU of Gateway.handle, of the simulation, ratio (median of three), wall")
    for name in ("quiet", "busy", "overload", "worst"):
        ratios, wall_times_s = [], []
        for seed in range(REPEATS):
            begun = time.perf_counter()
            engine = Engine(draw_run(resized(SCENARIOS[name], seconds=48), seed), Gateway)
            engine.run()
            wall_times_s.append(time.perf_counter() - begun)
            fleet_cpu_ns = engine.total_cpu_ns - engine.gateway_cpu_ns
            ratios.append(fleet_cpu_ns / engine.gateway_cpu_ns)
        print(
            f"{name:10} {engine.gateway_cpu_ns / 1e9:6.2f} s {fleet_cpu_ns / 1e9:6.2f} s "
            f"{statistics.median(ratios):5.2f}  {statistics.median(wall_times_s):5.2f} s"
        )


class NullPolicy:
    """A policy that costs almost nothing: it sends each request to the next backend."""

    def __init__(self, settings, seed, now):  # type: ignore[no-untyped-def]
        from mapleshunt import policy

        self.policy, self.endpoints, self.next = policy, [0], seed

    def start(self):  # type: ignore[no-untyped-def]
        """Return no actions."""
        return ()

    def handle(self, now, event):  # type: ignore[no-untyped-def]
        """Start an attempt for each request, and fail it if the attempt fails."""
        policy = self.policy
        if type(event) is policy.RequestReceived:
            self.next += 1
            return (policy.StartAttempt(event.request_id, self.endpoints[self.next % len(self.endpoints)]),)
        if type(event) is policy.AttemptEnded:
            return () if event.request_completed else (policy.FailRequest(event.request_id),)
        if type(event) is policy.EndpointUpdate and event.kind != "partial":
            self.endpoints = [entry.endpoint for entry in event.endpoints]
        return ()


def measure_event_cost() -> None:
    """Print the CPU per event of the simulation for a small and a large fleet."""
    print("\nCPU of the simulation per event, with a policy that costs almost nothing (median of three)")
    costs = {}
    for gateways, backends, seconds in ((3, 30, 40.0), (200, 2000, 0.6)):
        cpu_us = []
        for seed in range(REPEATS):
            engine = Engine(
                draw_run(resized(SCENARIOS["busy"], gateways, backends, seconds=seconds), seed), NullPolicy
            )
            engine.run()
            cpu_us.append((engine.total_cpu_ns - engine.gateway_cpu_ns) / engine.events / 1000)
        costs[gateways] = statistics.median(cpu_us)
        print(
            f"{gateways:4} gateways x {backends:4} backends: {costs[gateways]:5.2f} us per event"
            f" ({engine.events} events)"
        )
    print(f"ratio {costs[200] / costs[3]:.2f} (limit 1.5)")


def compare_event_queues(count: int = 200_000) -> None:
    """Print the CPU per event of the event queue and of SimPy."""

    def run_event_queue() -> float:
        queue = EventQueue()
        remaining = [count]

        def step(n: int) -> None:
            remaining[0] -= 1
            if remaining[0] > 0:
                queue.schedule(queue.now + 1.0 + n % 7, step, n + 1)

        begun = time.process_time()
        for n in range(50):
            queue.schedule(float(n), step, n)
        queue.run_until(1e12)
        return time.process_time() - begun

    def run_simpy() -> float:
        env = simpy.Environment()
        remaining = [count]

        def process(n: int):  # type: ignore[no-untyped-def]
            while remaining[0] > 0:
                remaining[0] -= 1
                yield env.timeout(1.0 + n % 7)
                n += 1

        begun = time.process_time()
        for n in range(50):
            env.process(process(n))
        env.run()
        return time.process_time() - begun

    own_s, simpy_s = min(run_event_queue() for _ in range(REPEATS)), min(run_simpy() for _ in range(REPEATS))
    print(
        f"\nCPU per event: EventQueue {1e6 * own_s / count:.2f} us, "
        f"SimPy {1e6 * simpy_s / count:.2f} us: ratio {simpy_s / own_s:.1f}"
    )


if __name__ == "__main__":
    measure_fraction()
    measure_event_cost()
    compare_event_queues()
