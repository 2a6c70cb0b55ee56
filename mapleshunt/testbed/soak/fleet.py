"""The soak test: a few dozen real gateways on loopback under overlapping faults, checked by the invariants.

Everything but the gateways runs in this process: backends, discovery behind fault-injecting proxies, gossip
paths and clients. Each gateway has the library of failing system calls preloaded. At the end all faults are
healed and nothing may be left open: no request, no attempt in flight, no client connection.
"""

from __future__ import annotations

import asyncio
import gc
import math
import os
import random
import re
import resource
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any, cast

from ...fleet.clients import mean_work
from ...fleet.discovery import EndpointEntry
from ...simulation.day import RuleLimits, Scenario, ScenarioRun, draw_run, fleet_capacity
from ...simulation.records import ClientAttempt
from ..answer_modes import AnswerSender
from ..discovery_agent import DiscoveryAgent
from ..errors import GatewayError
from ..fleet import CHECKOUT_ROOT
from ..gateway_process import GatewayProcess
from ..maintenance_work import grants_of_two_machines
from ..memory_watch import MemoryWatch
from ..ports import HOST
from ..syscall_faults import SyscallFaultControl, SyscallFaultRates, build_library
from . import schedule
from .backends import SoakBackend
from .clients import LATE_ANSWER_LIMIT_MS, SoakClients
from .discovery_agent import SoakDiscoveryAgent
from .fault_injection import NOTIFIED_WITHIN_MS, FaultInjectedFleet
from .process_faults import KILL_DURATION_MS, TERMINATION_MARGIN_MS
from .replicas import SoakReplicas
from .report import SoakReport
from .schedule import ScheduledFault

SOAK_RULES = RuleLimits(answer_slack_ms=LATE_ANSWER_LIMIT_MS + 8.0, drain_grace_ms=550.0)
NOTIFIED_AFTER_MOVE_MS = 4000.0  # a gateway counts as notified this long after it moved to another agent
FAULT_FREE_S = 4.0  # of traffic at the end, in which no fault begins
SETTLE_S = 4.5  # from the close of the last client connection until nothing may be open
FIRST_INHERITED, INHERITED_STEP = 1, 3  # range of gateways whose listening socket this process holds
SOCKETS_WITH_MEMORY_LIMIT = 1024
MEMORY_PAUSE_S = 1.0  # after a kill for memory, until the memory is watched again
MAX_SOCKETS = 200  # that a gateway's configuration allows it
FAULTS_END_TIMEOUT_S = 60.0  # for all faults to end once system calls no longer fail
LAG_SAMPLE_INTERVAL_S = 0.01
LAG_WINDOW_S = 0.5
MAX_LOAD = 0.8  # of the backends' capacity; above it requests cannot be served however gateways behave
MIN_SERVED_FRACTION = 0.5  # of the requests of the fault-free time at the end
SPARE_AGENT_REVISION = 500  # first revision of the agents that a reload moves to
OPEN_WORK_GAUGES = ("open", "tries_out", "requests_queued", "requests_asking", "client_connections_now")
CROSSING_PATTERN = re.compile(r"event=request_crossed_end reason=(\w+)")
FORBIDDEN_LOG_TEXTS = ("Traceback", "Exception in callback", "never retrieved", "event=invariant_violated")


class SoakFleet(FaultInjectedFleet):
    """The fleet of a soak; times are in ms since it started."""

    backend_class = SoakBackend
    clients_class = SoakClients

    def __init__(
        self,
        scenario_run: ScenarioRun,
        folder: Path,
        faults: Sequence[ScheduledFault],
        program: Path,
        replicas: int = 0,
        memory_mb: int | None = None,
    ) -> None:
        """Prepare a soak whose first `replicas` gateways hold replicas.

        With `memory_mb` each gateway has that limit on memory, over which it is killed.
        """
        self._memory_mb = memory_mb
        self.faults = faults
        self._discovery_turn = asyncio.Lock()  # of all agents: discovery is one service
        self.fault_random = random.Random(f"{scenario_run.seed} soak")
        self.terminating, self.kill_times, self.accept_gaps = {}, {}, {}
        (
            self.discovery_down_since,
            self.discovery_impairments,
            self.discovery_repaired_at,
            self.discovery_delayed_until,
            self.discovery_moved_at,
        ) = {}, {}, {}, {}, {}
        self.fault_rates, self.upgrading, self.drained = {}, set(), set()
        self.lag_samples: list[tuple[float, float]] = []
        self.last_lag_sample_at = time.monotonic()  # see `_measure_lag`
        self.report = SoakReport(
            scenario_run.seed, scenario_run.scenario.gateways, faults=[str(fault) for fault in faults]
        )
        self.background_tasks = set()
        count = scenario_run.scenario.gateways
        library = build_library(folder)
        self.fault_controls = [
            SyscallFaultControl(library, folder / f"faults-{number}", scenario_run.seed * 1000 + number)
            for number in range(count)
        ]
        super().__init__(scenario_run, folder, program, limits=_limits(memory_mb))
        self.replicas = SoakReplicas(folder, replicas, scenario_run.seed)
        self.spare_agents = [self._agent_from(number, SPARE_AGENT_REVISION) for number in range(count)]
        self.current_agents = list(cast("list[SoakDiscoveryAgent]", self.agents))
        for gateway in self.gateways[FIRST_INHERITED::INHERITED_STEP]:
            gateway.inherit_listener()
        for gateway, control in zip(self.gateways, self.fault_controls, strict=True):
            if gateway.number < replicas:
                control.folder = self.replicas.store(f"n{gateway.number}")
                gateway.env.update(self.replicas.environment(f"n{gateway.number}"))
            gateway.env.update(control.environment())

    def _make_agent(self, number: int) -> DiscoveryAgent:
        return self._agent_from(number, 0)

    def _agent_from(self, number: int, first_revision: int) -> SoakDiscoveryAgent:
        return SoakDiscoveryAgent(
            self.endpoint_lists[number],
            self.zone,
            self.clock,
            self._backend_port,
            first_revision,
            AnswerSender(self._discovery_turn),
        )

    def _config(self, number: int, limits: Mapping[str, float]) -> dict[str, Any]:
        agent = cast(SoakDiscoveryAgent, self.agents[number])
        return {**super()._config(number, limits), "discovery": f"{HOST}:{agent.proxy.port}"}

    def _on_clock_started(self) -> None:
        self.replicas.start_clients()
        for fault in self.faults:
            self.clock.at(1000 * fault.begins_at_s, self.inject, fault)

    # Checks

    def lag(self) -> float:
        """Return the largest lateness (s) of this process within the last `LAG_WINDOW_S`."""
        now = time.monotonic()
        overdue = now - self.last_lag_sample_at - LAG_SAMPLE_INTERVAL_S
        return max([overdue, 0.0, *(lag for at, lag in self.lag_samples if now - at <= LAG_WINDOW_S)])

    def sent_at(self, now: float) -> float:
        """Return the earliest time at which an attempt that is read now may have been sent."""
        return now - 1000 * self.lag()

    async def _measure_lag(self) -> None:
        while True:
            started_at = time.monotonic()
            await asyncio.sleep(LAG_SAMPLE_INTERVAL_S)
            self.last_lag_sample_at = now = time.monotonic()
            lag = max(0.0, now - started_at - LAG_SAMPLE_INTERVAL_S)
            self.lag_samples = [sample for sample in self.lag_samples if now - sample[0] <= LAG_WINDOW_S] + [
                (now, lag)
            ]
            self.report.lag_ms = max(self.report.lag_ms, 1000 * lag)

    def was_killed_since(self, gateway: int, when: float) -> bool:
        """Whether a process of a gateway got SIGKILL while a request sent at that time could be open."""
        return any(
            sigkill_at >= when - KILL_DURATION_MS for sigkill_at, _ in self.kill_times.get(gateway, [])
        )

    def killed_since(self, gateway: int, when: float) -> bool:
        """Whether a kill excuses that a request sent at that time has no answer.

        After a SIGTERM it does so only for requests sent within `TERMINATION_MARGIN_MS` of it.
        """
        for sigkill_at, sigterm_at in self.kill_times.get(gateway, []):
            if sigkill_at >= when - KILL_DURATION_MS and (
                sigterm_at is None or when <= sigterm_at + TERMINATION_MARGIN_MS
            ):
                return True
        return False

    def record_unanswered(self, attempt: ClientAttempt, reason: str) -> None:
        """Record an accepted request without an answer as lost, unless its gateway was killed or absent."""
        if self.killed_since(attempt.gateway, attempt.sent_at) or self.was_not_accepting(
            attempt.gateway, attempt.sent_at
        ):
            return
        sigterm_at = self.terminating.get(attempt.gateway)
        since = f", {attempt.sent_at - sigterm_at:.0f} ms after SIGTERM" if sigterm_at is not None else ""
        upstream = " ".join(f"{sent.endpoint}:{sent.status}" for sent in attempt.attempts) or "none"
        wire_id = f"{self.request_id_base + attempt.request_id:016x}"
        self.record_violation(
            "lost",
            f"{reason}: request {attempt.request_id} ({wire_id}) sent at {attempt.sent_at:.0f} ms to gateway "
            f"{attempt.gateway}{since}, timeout {attempt.timeout_ms:.0f}, now {self.clock.now():.0f}, "
            f"attempts {upstream}",
        )

    async def _watch_memory(self, gateway: GatewayProcess) -> None:
        """Kill the processes of a gateway over its limit on memory, as a platform does."""
        while self._memory_mb is not None:
            watch = MemoryWatch(gateway.process_ids, self._memory_mb)
            await watch.run()
            self.record_violation(
                "memory", f"gateway {gateway.number} used {watch.peak_mb:.1f} of {self._memory_mb} MB"
            )
            for process_id in gateway.process_ids():
                os.kill(process_id, signal.SIGKILL)
            await asyncio.sleep(MEMORY_PAUSE_S)

    # Discovery

    def _endpoint_delivered(self, gateway: int, entry: EndpointEntry) -> None:
        for agent in (cast(SoakDiscoveryAgent, self.agents[gateway]), self.spare_agents[gateway]):
            agent.change(entry)
        if entry.state == "ready":
            # Attempts may be sent to it as soon as it is in discovery.
            self.rule_checker.endpoint_notified(gateway, entry, self.now())
        else:
            self._record_notified(gateway, entry, self.now())

    def _record_notified(self, gateway: int, entry: EndpointEntry, since: float) -> None:
        """Count a gateway as notified of an entry at once, even if no watch is open or no answer arrives.

        A change during an outage of discovery counts at its end, one while discovery is slow or refuses calls
        6 s after the end of that, one while answers are late or lost after 6 s, and the entries of another
        agent count 4 s after the move to it.
        """
        now = self.now()
        if gateway in self.discovery_down_since or gateway in self.discovery_impairments:
            return self.call_at(now + 10.0, self._record_notified, gateway, entry, since)
        moved, repaired = (
            self.discovery_moved_at.get(gateway, -NOTIFIED_AFTER_MOVE_MS),
            self.discovery_repaired_at.get(gateway, -NOTIFIED_WITHIN_MS),
        )
        is_delayed = since <= self.discovery_delayed_until.get(gateway, -math.inf)
        due = max(
            since + NOTIFIED_WITHIN_MS if is_delayed else since,
            moved + NOTIFIED_AFTER_MOVE_MS,
            repaired + NOTIFIED_WITHIN_MS if repaired >= since else since,
        )
        if now < due:
            return self.call_at(due, self._record_notified, gateway, entry, since)
        entry_of_agent = self.endpoint_lists[gateway].get(entry.endpoint)
        if entry_of_agent is entry or (entry_of_agent is None and entry.state == "gone"):
            self.rule_checker.endpoint_notified(gateway, entry, now)

    # Running

    async def soak(self) -> SoakReport:
        """Run the soak, heal all faults and check what is left open."""
        for agent in [*cast("list[SoakDiscoveryAgent]", self.agents), *self.spare_agents]:
            await agent.proxy.start()
        await self.replicas.start()
        lag_measurement = asyncio.create_task(self._measure_lag())
        watches = [asyncio.create_task(self._watch_memory(gateway)) for gateway in self.gateways]
        try:
            await self.run()
        except GatewayError as error:
            self.record_violation("ended", str(error))
        finally:
            lag_measurement.cancel()
            for watch in watches:
                watch.cancel()
            self.injected = [control.counts() for control in self.fault_controls]
            for control in self.fault_controls:
                control.close()
            for agent in [*cast("list[SoakDiscoveryAgent]", self.agents), *self.spare_agents]:
                await agent.proxy.close()
            await self.replicas.close()
        self._complete_report()
        return self.report

    async def _stop_gateways(self) -> None:
        """Wait until faults and work have ended, check what is left open, and stop the gateways."""
        for number, control in enumerate(self.fault_controls):
            step = self.fault_rates.get(number, SyscallFaultRates()).clock_step
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
            descriptions = await self.replicas.violations()
            for description in [
                *descriptions,
                *await self.replicas.unhealthy_groups(),
                *self.replicas.damaged_stores(),
            ]:
                self.record_violation("replication", description)
            logs = {f"n{process.number}": process.log for process in self.gateways}
            for fencing_token, names in grants_of_two_machines(logs).items():
                self.record_violation(
                    "maintenance", f"machines {sorted(names)} share the fencing token {fencing_token}"
                )
            self.report.replica_calls = self.replicas.calls
        for gateway in self.gateways:
            open_work = {
                name: count
                for name, count in gateway.counters().items()
                if name in OPEN_WORK_GAUGES and count
            }
            if open_work:
                self.record_violation("left_over", f"gateway {gateway.number}: {open_work}")
        await super()._stop_gateways()
        for gateway in self.gateways:
            gateway.close_listener()

    async def _wait_for_faults_to_end(self) -> None:
        """Wait until no process is ending or starting and no maintenance or partial command is open."""
        deadline = time.monotonic() + FAULTS_END_TIMEOUT_S
        while self.terminating or self.upgrading or any(not task.done() for task in self.background_tasks):
            if time.monotonic() > deadline:
                self.record_violation(
                    "not_over", f"faults still open after {FAULTS_END_TIMEOUT_S:g} s: {self.background_tasks}"
                )
                return
            await asyncio.sleep(0.05)

    def _complete_report(self) -> None:
        report, attempts = self.report, self.rule_checker.client_attempts
        report.requests = len(attempts)
        report.answers = dict(Counter(str(attempt.result) for attempt in attempts))
        report.habits, report.left = self._soak_clients.habits, self._soak_clients.left
        report.resent = self._soak_clients.crossings
        report.resent_late = self._soak_clients.excused_crossings
        report.violations += self.rule_checker.descriptions
        injected: Counter[str] = Counter()
        for counts in self.injected:
            injected.update(counts)
        report.injected = dict(injected)
        report.memory_mb = sum(gateway.peak_memory_kb for gateway in self.gateways) / 1024
        last_requests = [
            record
            for record in self.requests
            if record.request.arrives_at > self.scenario_run.length_ms - 1000 * FAULT_FREE_S
        ]
        report.calm_share = sum(record.served_at is not None for record in last_requests) / max(
            1, len(last_requests)
        )
        if report.calm_share < MIN_SERVED_FRACTION:
            self.record_violation(
                "recovery",
                f"{report.calm_share:.2f} of {len(last_requests)} requests served in "
                f"the fault-free time at the end, at least {MIN_SERVED_FRACTION} must be",
            )
        if report.starts and report.slow_starts > report.starts / 10:
            self.record_violation(
                "start", f"{report.slow_starts} of {report.starts} starts took over 10 s, at most a tenth may"
            )
        crossed: Counter[str] = Counter()
        for gateway in self.gateways:
            text = gateway.log.read_text(errors="replace")
            crossed.update(CROSSING_PATTERN.findall(text))
            for forbidden in [forbidden for forbidden in FORBIDDEN_LOG_TEXTS if forbidden in text]:
                line = next(line for line in text.splitlines() if forbidden in line)
                self.record_violation("log", f"gateway {gateway.number}: {line[:200]}")
        report.crossed = dict(crossed)


def _limits(memory_mb: int | None) -> dict[str, float]:
    """Return the limits of a gateway's configuration: few descriptors, or a limit on memory and many."""
    if memory_mb is None:
        return {"sockets": MAX_SOCKETS}
    return {"sockets": SOCKETS_WITH_MEMORY_LIMIT, "memory_mb": memory_mb}


def soak_scenario(
    gateways: int, backends: int, rate: float, seconds: float, deadline_factor: float = 1.0
) -> Scenario:
    """Return the scenario of a soak: usual traffic for a fleet of that size."""
    return Scenario(
        "soak", "real processes, overlapping faults", (0.5, 0.6), gateways=gateways, backends=backends,
        seconds=seconds, rate=rate, deadline_factor=deadline_factor,
    )  # fmt: skip


def _check_load(scenario_run: ScenarioRun, rate: float, backends: int) -> None:
    """Raise ValueError if the backends cannot serve the requests while some of them are replaced."""
    drawn = scenario_run.parameters
    load = rate * mean_work(drawn) / fleet_capacity(drawn, backends)
    if load > MAX_LOAD:
        raise ValueError(
            f"{rate:g} requests a second are {load:.2f} of what {backends} backends serve, at most {MAX_LOAD}"
        )


async def _run_soak(
    seed: int, folder: Path, gateways: int, backends: int, rate: float, seconds: float,
    only: Sequence[schedule.FaultKind], program: Path, replicas: int, memory_mb: int | None,
) -> SoakReport:  # fmt: skip
    started_at = time.monotonic()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    gc.collect()
    gc.disable()  # a collection would stall all emulated parts, and their data is needed until the end
    try:
        variant = schedule.draw_variant(seed)
        scenario = soak_scenario(gateways, backends, rate, seconds, variant.deadline_factor)
        scenario_run = draw_run(scenario, seed)
        _check_load(scenario_run, rate, backends)
        faults = schedule.draw_schedule(seed, seconds - FAULT_FREE_S, gateways, backends, replicas, only)
        if variant.has_crowd:
            faults = schedule.with_crowd(faults, seed, seconds - FAULT_FREE_S, gateways)
        fleet = SoakFleet(
            replace(scenario_run, rules=SOAK_RULES), folder, faults, program, replicas, memory_mb
        )
        report = await fleet.soak()
    finally:
        gc.enable()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    report.seconds = round(time.monotonic() - started_at, 1)
    return report


def run_soak(
    seed: int,
    folder: Path | None = None,
    gateways: int = 24,
    backends: int = 30,
    rate: float = 200.0,
    seconds: float = 30.0,
    only: Sequence[schedule.FaultKind] = (),
    program: Path = CHECKOUT_ROOT,
    replicas: int = 0,
    memory_mb: int | None = None,
) -> SoakReport:
    """Run a soak and return its report; logs and configurations stay in `folder` if one is given.

    Raises:
        FileExistsError: the folder is not empty; stores of another soak would be mistaken for this one's.
        ValueError: the rate is too high for the backends.
    """
    import uvloop

    with tempfile.TemporaryDirectory() as temporary_folder:
        run_folder = folder or Path(temporary_folder)
        run_folder.mkdir(parents=True, exist_ok=True)
        if any(run_folder.iterdir()):
            raise FileExistsError(f"{run_folder} must be empty")
        return uvloop.run(
            _run_soak(seed, run_folder, gateways, backends, rate, seconds, only, program, replicas, memory_mb)
        )
