"""Plays a run: one real gateway, backends with long values, clients with pipelines."""

from __future__ import annotations

import asyncio
import statistics
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ...fleet.discovery import EndpointEntry
from ...platform_terms import init_from_settings
from ..clock import RunClock
from ..discovery_agent import DiscoveryAgent
from ..errors import GatewayError
from ..fleet import CHECKOUT_ROOT
from ..gateway_process import GatewayProcess
from ..memory_watch import MemoryWatch
from ..ports import HOST
from .backends import LongValueBackend
from .clients import LOST_KINDS, ClientLoad
from .parameters import PipelineParameters, gateway_settings

BACKENDS = 14
LEAD_S = 1.0  # for which sound requests are sent before the pipelines, and after them
SETTLE_S = 1.0  # after the last request, until memory that is still held counts as kept


@dataclass(slots=True, frozen=True)
class PipelineReport:
    """What a run showed. Memory is the gateway's anonymous resident memory, in MB."""

    parameters: PipelineParameters
    memory_at_rest_mb: float
    peak_memory_mb: float
    memory_after_mb: float
    was_killed: bool  # over its memory limit, as a platform does
    pipelined: dict[str, int]
    sound: dict[str, int]
    sound_median_ms: float
    sound_worst_ms: float
    cpu_s: float

    def violations(self) -> list[str]:
        """Return the rules that the run broke."""
        broken = []
        limit_mb = self.parameters.memory_mb
        if self.peak_memory_mb > limit_mb:
            broken.append(f"over the memory limit: {self.peak_memory_mb:.0f} of {limit_mb} MB")
        for name, kinds in (("pipelined", self.pipelined), ("sound", self.sound)):
            lost = {str(kind): kinds[kind] for kind in LOST_KINDS if kinds.get(kind)}
            if lost:
                broken.append(f"lost: {lost} of {sum(kinds.values())} {name} requests")
        return broken


async def _play(parameters: PipelineParameters, folder: Path, program: Path) -> PipelineReport:
    backends = [LongValueBackend(number, parameters) for number in range(BACKENDS)]
    for backend in backends:
        await backend.start()
    entries = {number: EndpointEntry(number, cell=number // 4) for number in range(BACKENDS)}
    agent = DiscoveryAgent(entries, "", RunClock(), lambda number: backends[number].port, lambda _entry: None)
    gateway = GatewayProcess(
        0,
        folder,
        program,
        gateway_config(parameters.memory_mb, parameters.descriptors, parameters.seed, agent.port),
    )
    try:
        gateway.spawn(agent.whole_list())
        await gateway.wait_until_ready()
        return await _load(parameters, gateway)
    finally:
        gateway.kill()
        agent.stop()
        for backend in backends:
            backend.stop()


def gateway_config(memory_mb: int, descriptors: int, seed: int, discovery_port: int) -> dict[str, Any]:
    """Return the configuration file of a gateway, without its own addresses."""
    limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptors}
    return {
        "name": "n0",
        "discovery": f"{HOST}:{discovery_port}",
        "seed": seed,
        "limits": limits,
        "settings": init_from_settings(gateway_settings(), DialTimeout=250, ConnIdle=30000, MaxOpen=20000),
    }


async def _load(parameters: PipelineParameters, gateway: GatewayProcess) -> PipelineReport:
    if gateway.process is None:
        raise GatewayError("the gateway is not running")
    process_id = gateway.process.pid
    watch = MemoryWatch(lambda: [process_id], parameters.memory_mb)
    load = ClientLoad(gateway.port, parameters)
    at_rest_mb = watch.read_mb()
    loop = asyncio.get_running_loop()
    watching, sound = loop.create_task(watch.run()), loop.create_task(load.send_sound_requests())
    await asyncio.sleep(LEAD_S)
    pipelines = loop.create_task(load.send_pipelines())
    exceeded = loop.create_task(watch.exceeded.wait())
    await asyncio.wait([pipelines, exceeded], return_when=asyncio.FIRST_COMPLETED)
    was_killed = watch.exceeded.is_set()
    if was_killed:
        gateway.kill()
    await asyncio.sleep(LEAD_S)
    await _cancel([sound, pipelines, exceeded])
    if not was_killed and not gateway.is_running():
        raise GatewayError(f"the gateway exited; its log is {gateway.log}")
    await asyncio.sleep(SETTLE_S)
    gateway.sample_usage()
    after_mb = watch.read_mb()
    await _cancel([watching])
    waits_ms = [1000 * wait for wait in load.sound_waits_s] or [0.0]
    return PipelineReport(
        parameters=parameters,
        memory_at_rest_mb=at_rest_mb,
        peak_memory_mb=watch.peak_mb,
        memory_after_mb=after_mb,
        was_killed=was_killed,
        pipelined=_by_name(load.pipelined),
        sound=_by_name(load.sound),
        sound_median_ms=statistics.median(waits_ms),
        sound_worst_ms=max(waits_ms),
        cpu_s=gateway.cpu_s,
    )


async def _cancel(tasks: list[asyncio.Task[Any]]) -> None:
    """Cancel tasks that have not ended, and wait for them."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _by_name(kinds: Counter[Any]) -> dict[str, int]:
    return {str(kind): count for kind, count in sorted(kinds.items())}


def play(
    parameters: PipelineParameters, folder: Path | None = None, program: Path = CHECKOUT_ROOT
) -> PipelineReport:
    """Play a run; logs and the configuration stay in `folder`, if one is given.

    `program` is the checkout whose gateway runs. Raises `GatewayError` if it does not start or exits.
    """
    import uvloop

    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return uvloop.run(_play(parameters, folder, program))
    with tempfile.TemporaryDirectory() as temporary:
        return uvloop.run(_play(parameters, Path(temporary), program))
