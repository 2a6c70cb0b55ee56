"""A day on loopback: gateways as processes, everything else in this one; judged as the model's days are."""

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
from .clock import DayClock
from .counter_server import CounterServer
from .discovery_agent import DiscoveryAgent
from .errors import GatewayError
from .gateway_process import GatewayProcess
from .gossip_relay import ALL_PEERS, GossipRelay
from .ports import HOST

SOCKET_RULES = RuleLimits(
    answer_slack_ms=58.0, drain_grace_ms=550.0
)  # every limit is 50 ms longer on sockets
USAGE_SAMPLE_INTERVAL_S = 0.5  # s between looks at the gateways' CPU and memory
CHECKOUT_ROOT = Path(__file__).parent.parent.parent


class LoopbackFleet(FleetHost):
    """One run. `program` is the checkout whose gateways run; `env` is added to theirs."""

    backend_class: type[SocketBackend] = SocketBackend
    clients_class: type[SocketClients] = SocketClients

    def __init__(
        self,
        day: ScenarioRun,
        folder: Path,
        program: Path = CHECKOUT_ROOT,
        env: Mapping[str, str] | None = None,
        limits: Mapping[str, float] | None = None,
    ) -> None:
        self.folder, self.clock = folder, DayClock()
        self.backends: dict[int, SocketBackend] = {}
        super().__init__(day)
        self.zone = self.settings[0].zone
        self.by_id: dict[str, tuple[ClientAttempt, RequestRecord]] = {}
        self.in_flight: dict[int, list[InFlightAttempt]] = {}
        self.timed_out: list[ClientAttempt] = []
        self.request_id_base = day.streams.seed_for("ids") >> 8 << 8
        self.unknown_requests = 0  # that arrived at a backend, and that no client has sent
        self.down: set[int] = set()
        self.exited_gateways: list[int] = []
        self.kills: list[tuple[float, int]] = []  # when each was killed
        count = day.scenario.gateways
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
        return self.clock.now()

    def sent_at(self, now: float) -> float:
        """When an attempt was sent that is read now."""
        return now

    def call_at(self, when: float, call: Callable[..., None], *arguments: Any) -> None:
        self.clock.at(when, call, *arguments)

    def _backend_added(self, till: Backend) -> None:
        self.backends[till.number] = self.backend_class(till, self)

    def _config(self, number: int, limits: Mapping[str, float]) -> dict[str, Any]:
        gossip, count = self.gossip, self.scenario_run.scenario.gateways
        f = self.scenario_run.parameters
        settings = init_from_settings(
            self.settings[number], DialTimeout=f["dial_ms"], ConnIdle=f["conn_idle_ms"], MaxOpen=20000
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
        """Play the day. Raises `GatewayError` if a gateway does not start or ends by itself."""
        begun = time.process_time_ns()
        wall = time.perf_counter()
        try:
            for gateway in self.gateways:
                self._hand_list(gateway.number)
                gateway.spawn(self._known(gateway.number))
            await asyncio.gather(*(gateway.wait_until_ready() for gateway in self.gateways))
            self.clock.begin()
            for number in range(len(self.gateways)):
                self._hand_list(number)
            for fault in self.scenario_run.faults:
                self.clock.at(fault.at, self._inject_fault, fault)
            self._begun()
            looking = asyncio.get_running_loop().create_task(self._look())
            await self.clients.run()
            looking.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await looking
        finally:
            await self._stop_gateways()
            self.close()
        self.gateway_cpu_ns = int(1e9 * sum(gateway.cpu_s for gateway in self.gateways))
        self.total_cpu_ns = time.process_time_ns() - begun + self.gateway_cpu_ns
        self.message_bytes = self.gossip.delivered_bytes
        self.events = sum(len(one.attempts) + 1 for one in self.rule_checker.client_attempts)
        if self.exited_gateways:
            raise GatewayError(f"gateways {self.exited_gateways} ended by themselves; see {self.folder}")
        found = score_run(self)
        found.wall_s = time.perf_counter() - wall
        return found

    def _begun(self) -> None:
        """The clock of the day has begun."""

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

    async def _look(self) -> None:
        while True:
            for gateway in self.gateways:
                gateway.sample_usage()
                ended = gateway.process is not None and not gateway.is_running()
                if ended and not self._may_be_down(gateway.number):
                    self.exited_gateways.append(gateway.number)
                    self.down.add(gateway.number)
            await asyncio.sleep(USAGE_SAMPLE_INTERVAL_S)

    def _may_be_down(self, gateway: int) -> bool:
        return gateway in self.down

    def close(self) -> None:
        for till in self.backends.values():
            till.stop()
            till.reset_connections()
        for agent in self.agents:
            agent.stop()
        for counter in self.counters:
            counter.stop()
            counter.close_connections()
        for number in range(len(self.gateways)):
            self.clients.drop(number)
        self.gossip.close()

    def _known(self, number: int) -> dict[str, Any]:
        return self.agents[number].whole_list()

    def _hand_list(self, number: int) -> None:
        self.rule_checker.endpoint_list_delivered(
            number, self.endpoint_lists[number].values(), self.clock.now()
        )

    # What the parts ask

    def command(self, one: ClientAttempt, name: str) -> bytes:
        ask = one.request
        who = self.scenario_run.traffic.customers[ask.customer]
        pairs = (
            f"c={self.classes[ask.class_index]},t={self.scenario_run.parameters.plans[who.plan].name},d={one.timeout_ms:.3f},"
            f"units={ask.estimated_units:.0f},spread={who.gateway_set_size},first={who.first_gateway}"
        )
        if one.number > 1:
            pairs += ",r=1"
        safe = self.effects[ask.class_index] == "safe"
        if not safe:
            pairs += f",k={abs(hash((ask.customer, ask.arrives_at, ask.work_ms))) & (2**64 - 1):016x}"
        words = [b"SVC.QUERY" if safe else b"SVC.SUBMIT", who.name.encode(), name.encode(), pairs.encode()]
        return resp.encode_command(words)

    def ended(self, out: InFlightAttempt) -> None:
        there = self.in_flight.get(out.request.request_id, [])
        if out in there:
            there.remove(out)
        if not there:
            self.in_flight.pop(out.request.request_id, None)

    def cancel(self, in_flight: InFlightAttempt) -> None:
        """Cancel an attempt whose gateway has ended its connection."""
        self.backends[in_flight.attempt.endpoint].cancel(in_flight)

    def unwell(self, gateway: int) -> bool:
        """It has been killed, or told to end: connections that it ends are no loss of its own."""
        return gateway in self.down or not self.gateways[gateway].is_running()

    # Faults

    def _endpoint_delivered(self, gateway: int, entry: EndpointEntry) -> None:
        self.agents[gateway].change(entry)

    def _crash_backend(self, number: int) -> None:
        self.backends[number].crash()

    def _silence_backend(self, number: int) -> None:
        self.backends[number].fall_silent()

    def _restart_backend(self, number: int) -> None:
        self.backends[number].restart()

    def _kill_gateway(self, number: int) -> None:
        self.down.add(number)
        self.gateways[number].kill(wait=False)  # which would hold up all that this process plays
        self.kills.append((self.clock.now(), number))
        self.clients.drop(number)
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
        gateway.spawn(self._known(number))
        self._hand_list(number)

        async def take_in() -> None:
            try:
                await gateway.wait_until_ready()
            except GatewayError:
                self.exited_gateways.append(number)
                return
            self.down.discard(number)
            self.gateways_marked_down.discard(number)

        task = asyncio.get_running_loop().create_task(take_in())
        self.clients.tasks.add(task)
        task.add_done_callback(self.clients.tasks.discard)

    def _on_leave(self, fault: Fault) -> None:
        for number in fault.targets:
            self.gateways[number].terminate()
            self.clock.at(self.clock.now() + 300.0, self.gateways_marked_down.add, number)
            self.clock.at(self.clock.now() + 300.0, self.clients.drop, number)
            stop = self.clock.now() + self.idempotency_window_ms + 1000.0
            self.clock.at(stop, self._kill_gateway, number)
            self.clock.at(stop + fault.duration, self._restart_gateway, number)
            self.down.add(number)

    def _on_counter_down(self, fault: Fault, how: Any = "refusing") -> None:
        super()._on_counter_down(fault, how)
        for server in self.counters:
            server.close_connections()


def on_sockets(day: ScenarioRun) -> ScenarioRun:
    """The day under the rules as they hold on sockets."""
    return replace(day, rules=SOCKET_RULES)


async def _play(
    day: ScenarioRun,
    folder: Path,
    program: Path,
    env: Mapping[str, str] | None,
    limits: Mapping[str, float] | None,
) -> tuple[LoopbackFleet, Score]:
    fleet = LoopbackFleet(on_sockets(day), folder, program, env, limits)
    return fleet, await fleet.run()


def play_day(
    day: ScenarioRun,
    folder: Path | None = None,
    program: Path = CHECKOUT_ROOT,
    env: Mapping[str, str] | None = None,
    limits: Mapping[str, float] | None = None,
) -> tuple[LoopbackFleet, Score]:
    """Play a day on loopback with real gateways; logs and configurations stay in `folder`.

    Raises `GatewayError`.
    """
    import uvloop

    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return uvloop.run(_play(day, folder, program, env, limits))
    with tempfile.TemporaryDirectory() as place:
        return uvloop.run(_play(day, Path(place), program, env, limits))
