"""Faults of gateway processes in the soak test: signals, kills, upgrades, reloads, pauses, failing calls."""

from __future__ import annotations

import asyncio
import json
import math
import signal
import subprocess
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, cast

from ..errors import GatewayError
from ..fleet import LoopbackFleet
from ..gateway_process import GatewayProcess
from ..ports import HOST
from ..syscall_faults import SyscallFaultControl, SyscallFaultRates
from . import schedule
from .discovery_agent import SoakDiscoveryAgent
from .report import SoakReport
from .schedule import ScheduledFault

TERMINATION_MARGIN_MS = 700.0  # from SIGTERM; requests sent within it may be unanswered at SIGKILL
MAX_DRAIN_MS = 3000.0  # SIGKILL does not wait longer for requests sent before that margin
ACCEPT_AFTER_SIGTERM_MS = 400.0  # a gateway accepts new connections this long after SIGTERM
KILL_DURATION_MS = 100.0  # a client may use a connection this long while its gateway is being killed
MARKED_DOWN_AFTER_MS = 300.0  # the front sends nothing more this long after SIGTERM
MAX_READY_S = 10.0
MAX_SIGNAL_INTERVAL_S = 0.4  # between two signals in series


@dataclass(slots=True)
class AcceptGap:
    """A span in ms in which no process accepts new connections of a gateway."""

    started_at: float
    ended_at: float = math.inf


class ProcessFaultsFleet(LoopbackFleet):
    """A fleet whose gateway processes are faulted; times are in ms since the soak started."""

    report: SoakReport
    terminating: dict[int, float]  # gateways with a SIGTERM and no SIGKILL yet, and when
    kill_times: dict[int, list[tuple[float, float | None]]]  # of SIGKILL, and of SIGTERM if there was one
    discovery_moved_at: dict[int, float]  # by gateway: last reload with another agent
    fault_rates: dict[int, SyscallFaultRates]
    upgrading: set[int]  # gateways that have two processes
    drained: set[int]  # gateways that the front sends no clients because of maintenance
    # Only of gateways whose listening socket this process holds, so that clients wait in its backlog.
    accept_gaps: dict[int, list[AcceptGap]]
    background_tasks: set[asyncio.Task[None]]
    fault_controls: list[SyscallFaultControl]
    spare_agents: list[SoakDiscoveryAgent]  # that a reload switches to and from
    current_agents: list[SoakDiscoveryAgent]

    def record_violation(self, rule: str, description: str) -> None:
        """Add a violation to the report, which keeps the first 50."""
        if len(self.report.violations) < 50:
            self.report.violations.append(f"{rule}: {description}")

    def inject(self, fault: ScheduledFault) -> None:
        """Inject a fault by the method of its kind."""
        getattr(self, f"_inject_{fault.kind}")(fault)

    def _call_later(self, seconds: float, call: Any, *arguments: Any) -> None:
        self.call_at(self.now() + 1000 * seconds, call, *arguments)

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    def _is_expected_down(self, gateway: int) -> bool:
        return gateway in self.terminating or super()._is_expected_down(gateway)

    def _is_available(self, gateway: int) -> bool:
        unavailable = gateway in self.down or gateway in self.terminating or gateway in self.upgrading
        return not unavailable and self.gateways[gateway].is_running()

    def was_not_accepting(self, gateway: int, when: float) -> bool:
        """Whether no process accepted new connections at that time, so that they waited in the backlog."""
        return any(gap.started_at <= when <= gap.ended_at for gap in self.accept_gaps.get(gateway, ()))

    def _begin_accept_gap(self, gateway: int, started_at: float) -> None:
        if self.gateways[gateway].listener is not None:
            self.accept_gaps.setdefault(gateway, []).append(AcceptGap(started_at))

    def _inject_term(self, fault: ScheduledFault) -> None:
        for number in [target for target in fault.targets if self._is_available(target)]:
            self._terminate(number)

    # Signals in series; the second comes within the grace of the first.

    def _inject_reload_then_term(self, fault: ScheduledFault) -> None:
        self._inject_reload(fault)
        self._call_later(MAX_SIGNAL_INTERVAL_S * fault.magnitude, self._inject_term, fault)

    def _inject_term_twice(self, fault: ScheduledFault) -> None:
        for number in [target for target in fault.targets if self._is_available(target)]:
            process = self.gateways[number].process
            self._terminate(number)
            self._call_later(MAX_SIGNAL_INTERVAL_S * fault.magnitude, self._signal_term, process)

    @staticmethod
    def _signal_term(process: subprocess.Popen[bytes] | None) -> None:
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGTERM)

    def _inject_term_in_start(self, fault: ScheduledFault) -> None:
        for number in [target for target in fault.targets if self._is_available(target)]:
            self.kill_times.setdefault(number, []).append((self.now(), None))
            self._begin_accept_gap(number, self.now() - KILL_DURATION_MS)
            self._kill_gateway(number)
            self._start_task(self._terminate_in_start(number, MAX_SIGNAL_INTERVAL_S * fault.magnitude))

    async def _terminate_in_start(self, number: int, delay_s: float) -> None:
        """Start a process that gets SIGTERM before it may be ready, and another once that has ended."""
        self._spawn(number)
        await asyncio.sleep(delay_s)
        process, sigterm_at = self.gateways[number].detach(), self.now()
        assert process is not None
        self._signal_term(process)
        while process.poll() is None and self.now() < sigterm_at + self._termination_ms():
            await asyncio.sleep(0.02)
        self.kill_times.setdefault(number, []).append((self.now(), sigterm_at))
        if process.poll() is None:
            process.kill()
        await asyncio.to_thread(process.wait)
        self._restart_gateway(number)

    def _inject_upgrade_then_term(self, fault: ScheduledFault) -> None:
        self._inject_upgrade(fault)
        for number in fault.targets:
            if number in self.upgrading:
                self._start_task(self._terminate_after_upgrade(number))

    async def _terminate_after_upgrade(self, number: int) -> None:
        while number in self.upgrading:
            await asyncio.sleep(0.02)
        if self._is_available(number):
            self._terminate(number)

    def _termination_ms(self) -> float:
        """Return the time in ms from SIGTERM to SIGKILL."""
        drain_ms: float = min(self.idempotency_window_ms, MAX_DRAIN_MS)
        return drain_ms + TERMINATION_MARGIN_MS

    def _terminate(self, number: int) -> None:
        self.terminating[number] = self.now()
        self.gateways[number].terminate()
        # The front opens no new connections to a gateway that is drained.
        self._begin_accept_gap(
            number, self.now() + (0.0 if number in self.drained else ACCEPT_AFTER_SIGTERM_MS)
        )
        self.call_at(self.now() + MARKED_DOWN_AFTER_MS, self.gateways_marked_down.add, number)
        self.call_at(self.now() + self._termination_ms(), self._finish_termination, number)

    def _finish_termination(self, number: int) -> None:
        sigterm_at = self.terminating.pop(number)
        self.down.add(number)
        if self.gateways[number].is_running():
            self.kill_times.setdefault(number, []).append((self.now(), sigterm_at))
        self.gateways[number].kill(wait=False)
        self.clients.close_idle_connections(number)
        self._call_later(0.3, self._restart_gateway, number)

    def _inject_kill(self, fault: ScheduledFault) -> None:
        for number in [target for target in fault.targets if self._is_available(target)]:
            self.kill_times.setdefault(number, []).append((self.now(), None))
            self._begin_accept_gap(number, self.now() - KILL_DURATION_MS)
            self._kill_gateway(number)
            self._call_later(fault.duration_s, self._restart_gateway, number)

    def _spawn(self, number: int) -> GatewayProcess:
        """Start a process of the gateway with its current agent and endpoint list."""
        gateway = self.gateways[number]
        gateway.config["discovery"] = f"{HOST}:{self.current_agents[number].proxy.port}"
        gateway.spawn(self._initial_endpoint_list(number))
        self._record_endpoint_list(number)
        return gateway

    def _restart_gateway(self, number: int) -> None:
        self.report.starts += 1
        self._start_task(self._wait_until_back(self._spawn(number), time.monotonic()))

    async def _wait_until_back(self, gateway: GatewayProcess, started_at: float) -> None:
        try:
            await gateway.wait_until_ready()
        except GatewayError as error:
            self.record_violation("start", str(error))
            return
        if time.monotonic() - started_at > MAX_READY_S:
            self.report.slow_starts += 1
        for gap in self.accept_gaps.get(gateway.number, ()):
            gap.ended_at = min(gap.ended_at, self.now())
        self.down.discard(gateway.number)
        if gateway.number not in self.drained:
            self.gateways_marked_down.discard(gateway.number)

    def _inject_upgrade(self, fault: ScheduledFault) -> None:
        for number in [target for target in fault.targets if self._is_available(target)]:
            if self.gateways[number].listener is not None:
                self.upgrading.add(number)
                self._start_task(self._upgrade(number))

    async def _upgrade(self, number: int) -> None:
        """Start a second process, and end the first once the second is ready."""
        older = self.gateways[number].detach()
        assert older is not None
        gateway = self._spawn(number)
        self.report.upgrades += 1
        try:
            await gateway.wait_until_ready()
        except GatewayError as error:
            self.record_violation("start", f"second process of gateway {number}: {error}")
        await self._end_older_process(number, older)
        self.upgrading.discard(number)

    async def _end_older_process(self, number: int, older: subprocess.Popen[bytes]) -> None:
        sigterm_at = self.now()
        older.send_signal(signal.SIGTERM)
        sigkill_at = sigterm_at + self._termination_ms()
        while older.poll() is None and self.now() < sigkill_at:
            await asyncio.sleep(0.02)
        if older.poll() is None:
            self.kill_times.setdefault(number, []).append((self.now(), sigterm_at))
            older.kill()
        await asyncio.to_thread(older.wait)

    def _initial_endpoint_list(self, number: int) -> dict[str, Any]:
        return self.current_agents[number].whole_list()

    def _inject_reload(self, fault: ScheduledFault) -> None:
        for number in [target for target in fault.targets if self._is_available(target)]:
            self._move_discovery(number)

    def _inject_reload_twice(self, fault: ScheduledFault) -> None:
        self._inject_reload(fault)
        self._call_later(0.3 * fault.magnitude, self._inject_reload, fault)

    def _move_discovery(self, number: int) -> None:
        gateway, agents = self.gateways[number], (self.agents[number], self.spare_agents[number])
        self.current_agents[number] = cast(
            SoakDiscoveryAgent, agents[self.current_agents[number] is agents[0]]
        )
        gateway.config["discovery"] = f"{HOST}:{self.current_agents[number].proxy.port}"
        path = self.folder / f"gateway-{number}.json"
        path.write_text(
            json.dumps({**json.loads(path.read_text()), "discovery": gateway.config["discovery"]})
        )
        self.discovery_moved_at[number] = self.now()
        if gateway.is_running() and gateway.process is not None:
            gateway.process.send_signal(signal.SIGHUP)

    def _inject_pause(self, fault: ScheduledFault) -> None:
        for number in fault.targets:
            process = self.gateways[number].process
            # A hold and a pause would add up to more than the protocol allows.
            is_held = self.fault_rates.get(number, SyscallFaultRates()).hold_s > 0.0
            if process is not None and process.poll() is None and not is_held:
                process.send_signal(signal.SIGSTOP)
                self._call_later(0.02 + 0.06 * fault.magnitude, self._continue, process)

    @staticmethod
    def _continue(process: Any) -> None:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    def _set_syscall_faults(self, fault: ScheduledFault) -> None:
        for number in fault.targets:
            self.fault_rates[number] = schedule.syscall_fault_rates(
                fault, self.fault_rates.get(number, SyscallFaultRates())
            )
            self.fault_controls[number].set(self.fault_rates[number])
        self._call_later(fault.duration_s, self._end_syscall_faults, fault.targets)

    def _end_syscall_faults(self, targets: Sequence[int]) -> None:
        for number in targets:
            step = self.fault_rates.get(number, SyscallFaultRates()).clock_step  # a clock step is permanent
            self.fault_rates[number] = SyscallFaultRates(clock_step=step)
            self.fault_controls[number].set(self.fault_rates[number])

    _inject_clock_step = _inject_calls_fail = _inject_short_io = _inject_hold = _set_syscall_faults
    _inject_hold_peek = _inject_hold_read = _inject_hold_write = _inject_hold_shutdown = _set_syscall_faults
    _inject_hold_close = _inject_hold_accept = _inject_hold_clock = _set_syscall_faults
    _inject_disk_fails = _inject_disk_slow = _set_syscall_faults
