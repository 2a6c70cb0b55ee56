"""Plays a run: one real gateway, backends, sound clients, and a crowd in a process of its own."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import tempfile
from dataclasses import dataclass
from pathlib import Path

from ...fleet.discovery import EndpointEntry
from ..clock import RunClock
from ..discovery_agent import DiscoveryAgent
from ..errors import GatewayError
from ..fleet import CHECKOUT_ROOT
from ..gateway_process import GatewayProcess
from ..memory_watch import MemoryWatch
from ..pipelines.backends import LongValueBackend
from ..pipelines.parameters import PipelineParameters
from ..pipelines.run import gateway_config
from .crowd_process import CROWD_END_S, start_crowd
from .parameters import CrowdParameters, Restart
from .sound_clients import Service, SoundClients

BACKENDS = 14
WORK_MS = 20.0  # of a request, at a backend
LEAD_S = 3.0  # for which sound requests are sent before the crowd comes, and after it has gone
SETTLE_S = 1.0  # after the crowd has gone; later requests count as without it
RESTART_PAUSE_S = 1.0  # from a kill to the next start
KILL_AFTER_S = 3.7  # from SIGTERM: the longest deadline, counted as 3 s, and 0.7 s
FLOOD_SETTLE_S = 10.0  # after which a flood on one connection may not grow the memory any more
# What the incident's issue asks for.
MAX_MEMORY_FRACTION = 0.9
MAX_MORE_UNSERVED = 0.02
MAX_LATER_P99_MS = 100.0


@dataclass(slots=True, frozen=True)
class CrowdReport:
    """What a run showed. Memory is the anonymous resident memory of the gateway's processes, in MB."""

    parameters: CrowdParameters
    memory_at_rest_mb: float
    peak_memory_mb: float
    memory_after_mb: float
    memory_early_mb: float  # the peak until `FLOOD_SETTLE_S` after the crowd came
    connections: int  # that the crowd opened
    before: Service
    beside: Service
    counters: dict[str, int]
    has_ended: bool  # killed for its memory, or exited by itself

    def violations(self) -> list[str]:
        """Return what the run broke of what a gateway owes beside a crowd."""
        broken = []
        limit_mb = self.parameters.memory_mb
        if self.has_ended:
            broken.append(f"the gateway has ended, at {self.peak_memory_mb:.1f} of {limit_mb} MB")
        if self.peak_memory_mb > MAX_MEMORY_FRACTION * limit_mb:
            broken.append(f"memory: {self.peak_memory_mb:.1f} of {limit_mb} MB")
        if self.parameters.restart is Restart.KILL:
            return broken  # what a kill does to requests is not the crowd's doing
        if self.beside.lost or self.before.lost:
            broken.append(f"lost: {self.beside.lost} of {self.beside.requests} sound requests")
        if self.beside.unserved_fraction > self.before.unserved_fraction + MAX_MORE_UNSERVED:
            broken.append(f"not served: {self.beside.unserved_fraction:.3f} of {self.beside.requests}")
        if self.beside.p99_ms > self.before.p99_ms + MAX_LATER_P99_MS:
            broken.append(f"99th percentile: {self.beside.p99_ms:.0f} ms, {self.before.p99_ms:.0f} before")
        return broken


class CrowdRun:
    """One run of a gateway with a crowd."""

    def __init__(self, parameters: CrowdParameters, gateway: GatewayProcess, agent: DiscoveryAgent) -> None:
        """Prepare a run with a gateway that is ready."""
        self._parameters, self._gateway, self._agent = parameters, gateway, agent
        self._older: subprocess.Popen[bytes] | None = None  # beside its successor, in an upgrade
        self._watch = MemoryWatch(gateway.process_ids, parameters.memory_mb)

    async def play(self) -> CrowdReport:
        """Play the run. Cancelling it ends the crowd, not the gateway."""
        parameters, loop = self._parameters, asyncio.get_running_loop()
        at_rest_mb = self._watch.read_mb()
        clients = SoundClients(
            self._gateway.port, parameters.sound_rate, parameters.sound_body_bytes, parameters.seed
        )
        began_at = loop.time()
        watching = loop.create_task(self._watch_memory())
        sending = loop.create_task(clients.run(LEAD_S + parameters.seconds + SETTLE_S))
        await asyncio.sleep(LEAD_S)
        crowd = self._start_crowd()
        crowd_at = loop.time()
        try:
            early_mb = await self._stay_beside_crowd()
            await sending
            output, _ = await asyncio.to_thread(crowd.communicate, timeout=CROWD_END_S)
            connections = int(output or 0)
        finally:
            crowd.kill()
            await asyncio.to_thread(crowd.wait)
            watching.cancel()
            sending.cancel()
        has_ended = not self._gateway.is_running()
        counters = {} if has_ended else await self._read_counters()
        return CrowdReport(
            parameters=parameters,
            memory_at_rest_mb=at_rest_mb,
            peak_memory_mb=self._watch.peak_mb,
            memory_after_mb=self._watch.read_mb(),
            memory_early_mb=early_mb,
            connections=connections,
            before=clients.service(began_at, crowd_at),
            beside=clients.service(crowd_at, crowd_at + parameters.seconds),
            counters=counters,
            has_ended=has_ended,
        )

    def _start_crowd(self) -> subprocess.Popen[bytes]:
        parameters = self._parameters
        if parameters.clients == 0:
            return subprocess.Popen(["true"], stdout=subprocess.PIPE)
        return start_crowd(
            self._gateway.port, parameters.kind, parameters.clients, parameters.seconds, parameters.seed
        )

    async def _watch_memory(self) -> None:
        """Kill the gateway over its limit, as a platform does."""
        await self._watch.run()
        for process in (self._gateway.process, self._older):
            if process is not None:
                process.kill()

    async def _stay_beside_crowd(self) -> float:
        """Wait until the crowd's time is over; return the peak of the memory in its first seconds."""
        parameters = self._parameters
        early_s = min(FLOOD_SETTLE_S, parameters.seconds / 2)
        await asyncio.sleep(early_s)
        early_mb = self._watch.peak_mb
        if parameters.restart is Restart.KILL:
            await self._kill_and_start()
        elif parameters.restart is Restart.UPGRADE:
            await self._upgrade()
        await asyncio.sleep(parameters.seconds - early_s)
        return early_mb

    async def _kill_and_start(self) -> None:
        self._gateway.kill()
        await asyncio.sleep(RESTART_PAUSE_S)
        self._gateway.spawn(self._agent.whole_list())
        await self._gateway.wait_until_ready()

    async def _upgrade(self) -> None:
        self._older = self._gateway.detach()
        assert self._older is not None
        self._gateway.spawn(self._agent.whole_list())
        await self._gateway.wait_until_ready()
        self._older.send_signal(signal.SIGTERM)
        try:
            await asyncio.to_thread(self._older.wait, KILL_AFTER_S)
        except subprocess.TimeoutExpired:
            self._older.kill()
            await asyncio.to_thread(self._older.wait)

    async def _read_counters(self) -> dict[str, int]:
        assert self._gateway.process is not None
        self._gateway.process.send_signal(signal.SIGUSR1)
        await asyncio.sleep(0.3)
        return self._gateway.counters()


async def _play(parameters: CrowdParameters, folder: Path, program: Path) -> CrowdReport:
    backend_parameters = PipelineParameters(
        value_bytes=parameters.value_bytes, work_ms=WORK_MS, is_work_constant=True, seed=parameters.seed
    )
    backends = [LongValueBackend(number, backend_parameters) for number in range(BACKENDS)]
    for backend in backends:
        await backend.start()
    entries = {number: EndpointEntry(number, cell=number // 4) for number in range(BACKENDS)}
    agent = DiscoveryAgent(entries, "", RunClock(), lambda number: backends[number].port, lambda _entry: None)
    config = gateway_config(parameters.memory_mb, parameters.descriptors, parameters.seed, agent.port)
    gateway = GatewayProcess(0, folder, program, config)
    if parameters.restart is Restart.UPGRADE:
        gateway.inherit_listener()
    try:
        gateway.spawn(agent.whole_list())
        await gateway.wait_until_ready()
        return await CrowdRun(parameters, gateway, agent).play()
    finally:
        gateway.kill()
        gateway.close_listener()
        agent.stop()
        for backend in backends:
            backend.stop()


def play(
    parameters: CrowdParameters, folder: Path | None = None, program: Path = CHECKOUT_ROOT
) -> CrowdReport:
    """Play a run; logs and the configuration stay in `folder`, if one is given.

    `program` is the checkout whose gateway runs. Raises `GatewayError` if it does not start.
    """
    import uvloop

    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return uvloop.run(_play(parameters, folder, program))
    with tempfile.TemporaryDirectory() as temporary:
        return uvloop.run(_play(parameters, Path(temporary), program))


__all__ = ["CrowdReport", "GatewayError", "play"]
