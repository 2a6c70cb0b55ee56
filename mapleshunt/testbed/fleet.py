"""A run on loopback: gateways as processes, everything else in this one; scored as in the simulation."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

from ..fleet.backend import Backend
from ..fleet.discovery import EndpointEntry
from ..fleet.faults import Fault
from ..net.protocol import resp
from ..platform_terms import init_from_settings
from ..simulation.day import RuleLimits, ScenarioRun
from ..simulation.fleet_host import FleetHost
from ..simulation.records import ClientAttempt, RequestRecord
from ..simulation.score import Score, score_run
from .backends import InFlightAttempt, SocketBackend
from .clients import SocketClients
from .clock import RunClock
from .counter_server import CounterServer
from .discovery_agent import DiscoveryAgent
from .errors import GatewayError
from .gateway_process import GatewayProcess
from .gossip_relay import ALL_PEERS, GossipRelay
from .ports import HOST

# Every limit is 50 ms longer on sockets.
SOCKET_RULES = RuleLimits(answer_slack_ms=58.0, drain_grace_ms=550.0)
USAGE_SAMPLE_INTERVAL_S = 0.5  # between samples of the gateways' CPU and memory
CHECKOUT_ROOT = Path(__file__).parent.parent.parent


class LoopbackFleet(FleetHost):
    """One run. `program` is the checkout whose gateways run; `env` is added to their environment."""

    backend_class: type[SocketBackend] = SocketBackend
    clients_class: type[SocketClients] = SocketClients

    def __init__(
        self,
        scenario_run: ScenarioRun,
        folder: Path,
        program: Path = CHECKOUT_ROOT,
        env: Mapping[str, str] | None = None,
        limits: Mapping[str, float] | None = None,
    ) -> None:
        self.folder, self.clock = folder, RunClock()
        self.backends: dict[int, SocketBackend] = {}
        super().__init__(scenario_run)
        self.zone = self.settings[0].zone
        self.attempts_by_wire_id: dict[str, tuple[ClientAttempt, RequestRecord]] = {}
        self.in_flight: dict[int, list[InFlightAttempt]] = {}
        self.timed_out: list[ClientAttempt] = []
        self.request_id_base = scenario_run.streams.seed_for("ids") >> 8 << 8
        self.unknown_requests = 0  # attempts at a backend with an id that no client sent
        self.down: set[int] = set()
        self.exited_gateways: list[int] = []
        self.kills: list[tuple[float, int]] = []  # time (ms) and gateway of each
        count = scenario_run.scenario.gateways
        self.agents = [self._make_agent(number) for number in range(count)]
        self.counters = [
            CounterServer(self.counter, self.clock, number, self._count_addition) for number in range(count)
        ]
        self.gossip = GossipRelay(count, self.network, self.peer_rate_limiters, self.clock)
        self.gateways = [
            GatewayProcess(number, folder, program, self._config(number, limits or {}), env)
            for number in range(count)
        ]
        for gateway in self.gateways:
            self.gossip.addresses[gateway.number] = (HOST, gateway.peer_port)
        self.clients = self.clients_class(self)

    def now(self) -> float:
        """Return the time since the run began (ms)."""
        return self.clock.now()

    def sent_at(self, now: float) -> float:
        """Return when an attempt that is read at `now` was sent."""
        return now

    def call_at(self, when: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call at a time of the run (ms)."""
        self.clock.at(when, call, *arguments)

    def _backend_added(self, backend: Backend) -> None:
        self.backends[backend.number] = self.backend_class(backend, self)

    def _config(self, number: int, limits: Mapping[str, float]) -> dict[str, Any]:
        gossip, count = self.gossip, self.scenario_run.scenario.gateways
        parameters = self.scenario_run.parameters
        settings = init_from_settings(
            self.settings[number],
            DialTimeout=parameters["dial_ms"],
            ConnIdle=parameters["conn_idle_ms"],
            MaxOpen=20000,
        )
        return {
            "name": f"n{number}", "discovery": f"{HOST}:{self.agents[number].port}",
            "seed": self.scenario_run.streams.seed_for("gateway", number),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits},
            "peers": [gossip.address(number, peer) for peer in range(count)],
            "peers_all": gossip.address(number, ALL_PEERS), "counter": f"{HOST}:{self.counters[number].port}",
            "settings": settings,
        }  # fmt: skip

    # Running

    async def run(self) -> Score:
        """Run to the end. Raises `GatewayError` if a gateway does not start or exits unexpectedly."""
        cpu_before_ns = time.process_time_ns()
        started_at = time.perf_counter()
        try:
            for gateway in self.gateways:
                self._record_endpoint_list(gateway.number)
                gateway.spawn(self._initial_endpoint_list(gateway.number))
            await asyncio.gather(*(gateway.wait_until_ready() for gateway in self.gateways))
            self.clock.begin()
            for number in range(len(self.gateways)):
                self._record_endpoint_list(number)
            for fault in self.scenario_run.faults:
                self.clock.at(fault.at, self._inject_fault, fault)
            self._on_clock_started()
            sampling = asyncio.get_running_loop().create_task(self._sample_gateways())
            await self.clients.run()
            sampling.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sampling
        finally:
            await self._stop_gateways()
            self.close()
        self.gateway_cpu_ns = int(1e9 * sum(gateway.cpu_s for gateway in self.gateways))
        self.total_cpu_ns = time.process_time_ns() - cpu_before_ns + self.gateway_cpu_ns
        self.message_bytes = self.gossip.delivered_bytes
        self.events = sum(len(attempt.attempts) + 1 for attempt in self.rule_checker.client_attempts)
        if self.exited_gateways:
            raise GatewayError(
                f"gateways {self.exited_gateways} exited unexpectedly; logs are in {self.folder}"
            )
        score = score_run(self)
        score.wall_s = time.perf_counter() - started_at
        return score

    def _on_clock_started(self) -> None:
        """Do nothing; a subclass acts here when the run's clock has started."""

    async def _stop_gateways(self) -> None:
        await asyncio.gather(*(gateway.stop() for gateway in self.gateways))

    def _make_agent(self, number: int) -> DiscoveryAgent:
        return DiscoveryAgent(
            self.endpoint_lists[number],
            self.zone,
            self.clock,
            self._backend_port,
            partial(self._list_sent, number),
        )

    def _backend_port(self, number: int) -> int:
        return self.backends[number].port

    def _list_sent(self, gateway: int, entry: EndpointEntry) -> None:
        self.rule_checker.endpoint_notified(gateway, entry, self.clock.now())

    def _count_addition(self) -> None:
        self.counter_calls += 1

    async def _sample_gateways(self) -> None:
        while True:
            for gateway in self.gateways:
                gateway.sample_usage()
                ended = gateway.process is not None and not gateway.is_running()
                if ended and not self._is_expected_down(gateway.number):
                    self.exited_gateways.append(gateway.number)
                    self.down.add(gateway.number)
            await asyncio.sleep(USAGE_SAMPLE_INTERVAL_S)

    def _is_expected_down(self, gateway: int) -> bool:
        return gateway in self.down

    def close(self) -> None:
        """Close all sockets of this process."""
        for backend in self.backends.values():
            backend.stop()
            backend.reset_connections()
        for agent in self.agents:
            agent.stop()
        for counter in self.counters:
            counter.stop()
            counter.close_connections()
        for number in range(len(self.gateways)):
            self.clients.close_idle_connections(number)
        self.gossip.close()

    def _initial_endpoint_list(self, number: int) -> dict[str, Any]:
        return self.agents[number].whole_list()

    def _record_endpoint_list(self, number: int) -> None:
        self.rule_checker.endpoint_list_delivered(
            number, self.endpoint_lists[number].values(), self.clock.now()
        )

    # For clients and backends

    def command(self, attempt: ClientAttempt, wire_id: str) -> bytes:
        """Return the command (RESP) that a client sends for an attempt."""
        request = attempt.request
        customer = self.scenario_run.traffic.customers[request.customer]
        pairs = (
            f"c={self.classes[request.class_index]},t={self.scenario_run.parameters.plans[customer.plan].name},"
            f"d={attempt.timeout_ms:.3f},units={request.estimated_units:.0f},"
            f"spread={customer.gateway_set_size},first={customer.first_gateway}"
        )
        if attempt.number > 1:
            pairs += ",r=1"
        idempotent = self.effects[request.class_index] == "safe"
        if not idempotent:
            pairs += (
                f",k={abs(hash((request.customer, request.arrives_at, request.work_ms))) & (2**64 - 1):016x}"
            )
        words = [
            b"SVC.QUERY" if idempotent else b"SVC.SUBMIT",
            customer.name.encode(),
            wire_id.encode(),
            pairs.encode(),
        ]
        return resp.encode_command(words)

    def remove_in_flight(self, ended: InFlightAttempt) -> None:
        """Remove an attempt that has ended from those in flight."""
        attempts = self.in_flight.get(ended.request.request_id, [])
        if ended in attempts:
            attempts.remove(ended)
        if not attempts:
            self.in_flight.pop(ended.request.request_id, None)

    def cancel(self, in_flight: InFlightAttempt) -> None:
        """Cancel an attempt whose gateway closed its connection."""
        self.backends[in_flight.attempt.endpoint].cancel(in_flight)

    def is_gateway_down(self, gateway: int) -> bool:
        """Return whether a gateway was killed or is being ended: requests on its connections are not lost."""
        return gateway in self.down or not self.gateways[gateway].is_running()

    # Faults

    def _endpoint_delivered(self, gateway: int, entry: EndpointEntry) -> None:
        self.agents[gateway].change(entry)

    def _crash_backend(self, number: int) -> None:
        self.backends[number].crash()

    def _silence_backend(self, number: int) -> None:
        self.backends[number].stop_responding()

    def _restart_backend(self, number: int) -> None:
        self.backends[number].restart()

    def _kill_gateway(self, number: int) -> None:
        self.down.add(number)
        self.gateways[number].kill(wait=False)  # waiting would stall everything that this process emulates
        self.kills.append((self.clock.now(), number))
        self.clients.close_idle_connections(number)
        self.clock.at(
            self.clock.now() + self.scenario_run.parameters["front_notice_ms"],
            self._mark_gateway_down,
            number,
        )

    def _mark_gateway_down(self, number: int) -> None:
        if number in self.down:
            self.gateways_marked_down.add(number)

    def _restart_gateway(self, number: int) -> None:
        gateway = self.gateways[number]
        gateway.spawn(self._initial_endpoint_list(number))
        self._record_endpoint_list(number)

        async def mark_up_when_ready() -> None:
            try:
                await gateway.wait_until_ready()
            except GatewayError:
                self.exited_gateways.append(number)
                return
            self.down.discard(number)
            self.gateways_marked_down.discard(number)

        task = asyncio.get_running_loop().create_task(mark_up_when_ready())
        self.clients.tasks.add(task)
        task.add_done_callback(self.clients.tasks.discard)

    def _on_leave(self, fault: Fault) -> None:
        for number in fault.targets:
            self.gateways[number].terminate()
            self.clock.at(self.clock.now() + 300.0, self.gateways_marked_down.add, number)
            self.clock.at(self.clock.now() + 300.0, self.clients.close_idle_connections, number)
            stop = self.clock.now() + self.idempotency_window_ms + 1000.0
            self.clock.at(stop, self._kill_gateway, number)
            self.clock.at(stop + fault.duration, self._restart_gateway, number)
            self.down.add(number)

    def _on_counter_down(self, fault: Fault, how: Any = "refusing") -> None:
        super()._on_counter_down(fault, how)
        for server in self.counters:
            server.close_connections()


def with_socket_rules(scenario_run: ScenarioRun) -> ScenarioRun:
    """Return the drawn run with the rules' limits for sockets."""
    return replace(scenario_run, rules=SOCKET_RULES)


async def _run(
    scenario_run: ScenarioRun,
    folder: Path,
    program: Path,
    env: Mapping[str, str] | None,
    limits: Mapping[str, float] | None,
) -> tuple[LoopbackFleet, Score]:
    fleet = LoopbackFleet(with_socket_rules(scenario_run), folder, program, env, limits)
    return fleet, await fleet.run()


def run_on_loopback(
    scenario_run: ScenarioRun,
    folder: Path | None = None,
    program: Path = CHECKOUT_ROOT,
    env: Mapping[str, str] | None = None,
    limits: Mapping[str, float] | None = None,
) -> tuple[LoopbackFleet, Score]:
    """Run on loopback with real gateways; logs and configurations stay in `folder`, if one is given.

    Raises `GatewayError`.
    """
    import uvloop

    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return uvloop.run(_run(scenario_run, folder, program, env, limits))
    with tempfile.TemporaryDirectory() as temporary:
        return uvloop.run(_run(scenario_run, Path(temporary), program, env, limits))
