"""The soak test: a few dozen real gateways on loopback, faults that overlap, judged by the invariants.

All that is not a gateway runs in this process: backends, discovery behind fault-injecting proxies, paths
between gateways, clients. Each gateway has the library of failing system calls in it. At the end all is
healed, and nothing may be left over: no open request, no attempt that is out, no connection of a client.
"""

from __future__ import annotations

import asyncio
import gc
import random
import resource
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any, cast

from ...fleet.discovery import EndpointEntry
from ...simulation.day import RuleLimits, Scenario, ScenarioRun, draw_run
from ...simulation.records import ClientAttempt
from ..discovery_agent import DiscoveryAgent
from ..errors import GatewayError
from ..fleet import CHECKOUT_ROOT
from ..maintenance_work import grants_of_two_machines
from ..ports import HOST
from ..syscall_faults import SyscallFaultControl, SyscallFaultRates, build_library
from . import schedule
from .backends import SoakBackend
from .clients import LATEST_MS, SoakClients
from .discovery_agent import SoakDiscoveryAgent
from .fault_injection import KILL_TAKES_MS, LATE_START_MS, FaultInjectedFleet
from .replicas import SoakReplicas
from .report import SoakReport
from .schedule import ScheduledFault

SOAK_RULES = RuleLimits(answer_slack_ms=LATEST_MS + 8.0, drain_grace_ms=550.0)
TOLD_MS = 6000.0  # after discovery has a change and can be reached, at which it counts as told
MOVED_MS = 4000.0  # after a new configuration, at which what the new agent has counts as told
CALM_S = 4.0  # of traffic without faults at the end
SETTLE_S = 4.5  # after the last client has gone, until nothing may be left over
INHERITED_FIRST, INHERITED_EACH = 1, 3  # gateways whose listening socket this process holds
SOCKETS = 200  # descriptors that a gateway may hold by its configuration
FAULTS_END_TIMEOUT_S = 60.0  # within which all faults are over once calls succeed again
LAG_EVERY_S = 0.01
LAG_KEPT_S = 0.5
MIN_CALM_SHARE = 0.5  # of first tries that are served in the calm at the end
SPARE_AGENT_REVISION = 500  # from which the agents count that a reload moves to
LEFT_OVER = ("open", "tries_out", "requests_queued", "requests_asking", "client_connections_now")
FORBIDDEN_LOG = ("Traceback", "Exception in callback", "never retrieved", "event=invariant_violated")


class SoakFleet(FaultInjectedFleet):
    """One soak. Times in ms since it began."""

    backend_class = SoakBackend
    clients_class = SoakClients

    def __init__(
        self,
        day: ScenarioRun,
        folder: Path,
        faults: Sequence[ScheduledFault],
        program: Path,
        replicas: int = 0,
    ) -> None:
        """The first `replicas` gateways hold replicas."""
        self.faults = faults
        self.chance = random.Random(f"{day.seed} soak")
        self.leaving, self.deaths, self.absences = {}, {}, {}
        self.down_since, self.impaired, self.repaired_at, self.moved_at = {}, {}, {}, {}
        self.rates, self.upgrading, self.drained = {}, set(), set()
        self.lags: list[tuple[float, float]] = []
        self.last_beat = time.monotonic()  # of what measures this process's lateness
        self.report = SoakReport(day.seed, day.scenario.gateways, faults=[str(fault) for fault in faults])
        self.extra = set()
        count = day.scenario.gateways
        library = build_library(folder)
        self.controls = [
            SyscallFaultControl(library, folder / f"faults-{number}", day.seed * 1000 + number)
            for number in range(count)
        ]
        super().__init__(day, folder, program, limits={"sockets": SOCKETS})
        self.replicas = SoakReplicas(folder, replicas, day.seed)
        self.spare = [self._agent_from(number, SPARE_AGENT_REVISION) for number in range(count)]
        self.current = list(cast("list[SoakDiscoveryAgent]", self.agents))
        for gateway in self.gateways[INHERITED_FIRST::INHERITED_EACH]:
            gateway.inherit_listener()
        for gateway, control in zip(self.gateways, self.controls, strict=True):
            if gateway.number < replicas:
                control.folder = self.replicas.store(f"n{gateway.number}")
                gateway.env.update(self.replicas.environment(f"n{gateway.number}"))
            gateway.env.update(control.environment())

    def _make_agent(self, number: int) -> DiscoveryAgent:
        return self._agent_from(number, 0)

    def _agent_from(self, number: int, first_revision: int) -> SoakDiscoveryAgent:
        return SoakDiscoveryAgent(
            self.endpoint_lists[number], self.zone, self.clock, self._backend_port, first_revision
        )

    def _config(self, number: int, limits: Mapping[str, float]) -> dict[str, Any]:
        agent = cast(SoakDiscoveryAgent, self.agents[number])
        return {**super()._config(number, limits), "discovery": f"{HOST}:{agent.proxy.port}"}

    def _on_clock_started(self) -> None:
        self.replicas.start_clients()
        for fault in self.faults:
            self.clock.at(1000 * fault.begins_at_s, self.inject, fault)

    # Judging

    def lag(self) -> float:
        """s by which this process was late of late."""
        now = time.monotonic()
        overdue = now - self.last_beat - LAG_EVERY_S
        return max([overdue, 0.0, *(late for at, late in self.lags if now - at <= LAG_KEPT_S)])

    def sent_at(self, now: float) -> float:
        return now - 1000 * self.lag()

    async def _measure_lag(self) -> None:
        while True:
            begun = time.monotonic()
            await asyncio.sleep(LAG_EVERY_S)
            self.last_beat = now = time.monotonic()
            late = max(0.0, now - begun - LAG_EVERY_S)
            self.lags = [one for one in self.lags if now - one[0] <= LAG_KEPT_S] + [(now, late)]
            self.report.lag_ms = max(self.report.lag_ms, 1000 * late)

    def killed_since(self, gateway: int, when: float) -> bool:
        """Was it killed after then, without having been told to end in good time before?"""
        for killed, told in self.deaths.get(gateway, []):
            if killed >= when - KILL_TAKES_MS and (told is None or when > told + LATE_START_MS):
                return True
        return False

    def unanswered(self, one: ClientAttempt, what: str) -> None:
        """A request that was taken has no answer."""
        if self.killed_since(one.gateway, one.sent_at) or self.absent(one.gateway, one.sent_at):
            return
        left = self.leaving.get(one.gateway)
        since = f", {one.sent_at - left:.0f} ms after SIGTERM" if left is not None else ""
        tried = " ".join(f"{a.endpoint}:{a.status}" for a in one.attempts) or "none"
        name = f"{self.request_id_base + one.request_id:016x}"
        self.break_rule(
            "lost",
            f"{what}: request {one.request_id} ({name}) sent at {one.sent_at:.0f} to gateway {one.gateway}"
            f"{since}, patience {one.timeout_ms:.0f}, now {self.clock.now():.0f}, attempts {tried}",
        )

    # Discovery

    def _endpoint_delivered(self, gateway: int, entry: EndpointEntry) -> None:
        for agent in (cast(SoakDiscoveryAgent, self.agents[gateway]), self.spare[gateway]):
            agent.change(entry)
        if entry.state == "ready":
            self.rule_checker.endpoint_notified(
                gateway, entry, self.now()
            )  # it may be sent to as soon as anybody can know it
        else:
            self._count_as_told(gateway, entry, self.now())

    def _count_as_told(self, gateway: int, entry: EndpointEntry, since: float) -> None:
        """What the agent has counts at once, whether or not a watch is open or its answer arrives.

        What it gets while it is down counts at its return, what it has while it is slow or refuses calls 6 s
        after it does so no more, and what a new agent has 4 s after the move.
        """
        now = self.now()
        if gateway in self.down_since or gateway in self.impaired:
            return self.call_at(now + 10.0, self._count_as_told, gateway, entry, since)
        moved, repaired = self.moved_at.get(gateway, -MOVED_MS), self.repaired_at.get(gateway, -TOLD_MS)
        due = max(since, moved + MOVED_MS, repaired + TOLD_MS if repaired >= since else since)
        if now < due:
            return self.call_at(due, self._count_as_told, gateway, entry, since)
        held = self.endpoint_lists[gateway].get(entry.endpoint)
        if held is entry or (held is None and entry.state == "gone"):
            self.rule_checker.endpoint_notified(gateway, entry, now)

    # Running

    async def soak(self) -> SoakReport:
        """Play it to its end, heal all, and look for what is left over."""
        for agent in [*cast("list[SoakDiscoveryAgent]", self.agents), *self.spare]:
            await agent.proxy.start()
        await self.replicas.start()
        measuring = asyncio.create_task(self._measure_lag())
        try:
            await self.run()
        except GatewayError as error:
            self.break_rule("ended", str(error))
        finally:
            measuring.cancel()
            self.injected = [control.counts() for control in self.controls]
            for control in self.controls:
                control.close()
            for agent in [*cast("list[SoakDiscoveryAgent]", self.agents), *self.spare]:
                await agent.proxy.close()
            await self.replicas.close()
        self._judge()
        return self.report

    async def _stop_gateways(self) -> None:
        """Let all that is owed end, look for what is left over, and end all."""
        for number, control in enumerate(self.controls):
            step = self.rates.get(number, SyscallFaultRates()).clock_step
            control.set(SyscallFaultRates(clock_step=step))
        await self._wait_for_faults_to_end()
        for number in range(len(self.gateways)):
            self.clients.close_idle_connections(number)
        await asyncio.sleep(SETTLE_S)
        for gateway in self.gateways:
            if gateway.is_running() and gateway.process is not None:
                gateway.process.send_signal(signal.SIGUSR1)
        await asyncio.sleep(0.5)
        if self.replicas.names:
            stories = await self.replicas.violations()
            for story in [*stories, *await self.replicas.unhealthy_groups(), *self.replicas.damaged_stores()]:
                self.break_rule("replication", story)
            logs = {f"n{one.number}": one.log for one in self.gateways}
            for fence, names in grants_of_two_machines(logs).items():
                self.break_rule("maintenance", f"{sorted(names)} under grant {fence}")
            self.report.replica_calls = self.replicas.calls
        for gateway in self.gateways:
            left = {name: n for name, n in gateway.counters().items() if name in LEFT_OVER and n}
            if left:
                self.break_rule("left_over", f"gateway {gateway.number}: {left}")
        await super()._stop_gateways()
        for gateway in self.gateways:
            gateway.close_listener()

    async def _wait_for_faults_to_end(self) -> None:
        """Wait until what was begun is over: processes that end or start, machines that are worked on."""
        deadline = time.monotonic() + FAULTS_END_TIMEOUT_S
        while self.leaving or self.upgrading or any(not task.done() for task in self.extra):
            if time.monotonic() > deadline:
                self.break_rule("not_over", f"after {FAULTS_END_TIMEOUT_S:g} s: {self.extra}")
                return
            await asyncio.sleep(0.05)

    def _judge(self) -> None:
        report, tries = self.report, self.rule_checker.client_attempts
        report.requests = len(tries)
        report.answers = dict(Counter(str(one.result) for one in tries))
        report.habits, report.left = self._soak_clients.habits, self._soak_clients.left
        report.resent = self._soak_clients.resent
        report.violations += self.rule_checker.descriptions
        injected: Counter[str] = Counter()
        for counts in self.injected:
            injected.update(counts)
        report.injected = dict(injected)
        report.memory_mb = sum(gateway.peak_memory_kb for gateway in self.gateways) / 1024
        calm = [
            one
            for one in self.requests
            if one.request.arrives_at > self.scenario_run.length_ms - 1000 * CALM_S
        ]
        report.calm_share = sum(one.served_at is not None for one in calm) / max(1, len(calm))
        if report.calm_share < MIN_CALM_SHARE:
            self.break_rule(
                "recovery", f"{report.calm_share:.2f} of {len(calm)} served in the calm at the end"
            )
        if report.starts and report.slow_starts > report.starts / 10:
            self.break_rule("start", f"{report.slow_starts} of {report.starts} starts took over 10 s")
        for gateway in self.gateways:
            text = gateway.log.read_text(errors="replace")
            for word in [word for word in FORBIDDEN_LOG if word in text]:
                line = next(line for line in text.splitlines() if word in line)
                self.break_rule("log", f"gateway {gateway.number}: {line[:200]}")


def scenario(gateways: int, backends: int, rate: float, seconds: float) -> Scenario:
    """A usual day of that size."""
    return Scenario(
        "soak", "real processes, overlapping faults", (0.5, 0.6), gateways=gateways, backends=backends,
        seconds=seconds, rate=rate,
    )  # fmt: skip


async def _play(
    seed: int, folder: Path, gateways: int, backends: int, rate: float, seconds: float,
    only: Sequence[schedule.FaultKind], program: Path, replicas: int,
) -> SoakReport:  # fmt: skip
    begun = time.monotonic()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    gc.collect()
    gc.disable()  # a collection holds up all that this process plays, and what it keeps is needed to the end
    try:
        day = draw_run(scenario(gateways, backends, rate, seconds), seed)
        faults = schedule.draw_schedule(seed, seconds - CALM_S, gateways, backends, replicas, only)
        fleet = SoakFleet(replace(day, rules=SOAK_RULES), folder, faults, program, replicas)
        report = await fleet.soak()
    finally:
        gc.enable()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    report.seconds = round(time.monotonic() - begun, 1)
    return report


def play(
    seed: int,
    folder: Path | None = None,
    gateways: int = 24,
    backends: int = 30,
    rate: float = 200.0,
    seconds: float = 30.0,
    only: Sequence[schedule.FaultKind] = (),
    program: Path = CHECKOUT_ROOT,
    replicas: int = 0,
) -> SoakReport:
    """Soak for so long; logs and configurations stay in `folder`, if one is named. Raises `FileExistsError`
    if there is something in it: stores of another soak would be taken for this one's.
    """
    import uvloop

    with tempfile.TemporaryDirectory() as spare:
        place = folder or Path(spare)
        place.mkdir(parents=True, exist_ok=True)
        if any(place.iterdir()):
            raise FileExistsError(f"{place} is not empty")
        return uvloop.run(_play(seed, place, gateways, backends, rate, seconds, only, program, replicas))
