"""The faults of the soak test as they are injected: gateways, backends, discovery, peers, bad clients."""

from __future__ import annotations

import asyncio
import json
import math
import random
import signal
import subprocess
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, cast

from ...fleet.faults import Fault
from ..errors import GatewayError
from ..fault_proxy import FaultProxy
from ..fleet import LoopbackFleet
from ..gateway_process import GatewayProcess
from ..ports import HOST
from ..syscall_faults import SyscallFaultControl, SyscallFaultRates
from . import schedule
from .backends import Misbehaviour, SoakBackend
from .clients import SoakClients
from .discovery_agent import SoakDiscoveryAgent
from .maintenance import MachineWork
from .replicas import SoakReplicas
from .report import SoakReport
from .schedule import ScheduledFault

LATE_START_MS = 700.0  # after SIGTERM, from which on what SIGKILL finds unanswered is no loss
LONGEST_MS = 3000.0  # as which longer deadlines count between SIGTERM and SIGKILL
NEW_CONNECTIONS_MS = 400.0  # after SIGTERM, for which new connections are taken
KILL_TAKES_MS = 100.0  # for which a client may go on with a connection whose gateway is being killed
SEEN_DOWN_MS = 300.0  # after SIGTERM, from which on the front sends nothing more
MAX_READY_S = 10.0
MAX_CROWDED = 2  # gateways at a time
RESTING_CLIENTS = 150  # that come to a gateway at once: more than it has places for


@dataclass(slots=True)
class Absence:
    """From when to when, in ms, no process accepts new connections of a gateway."""

    begun: float
    ended: float = math.inf


class FaultInjectedFleet(LoopbackFleet):
    """A fleet into which faults are injected. Times in ms since the soak began."""

    report: SoakReport
    chance: random.Random
    leaving: dict[int, float]  # gateways that were told to end, and when
    deaths: dict[int, list[tuple[float, float | None]]]  # kills, and when each was told to end
    down_since: dict[int, float]  # gateways whose discovery is down
    impaired: dict[int, int]  # gateways whose discovery is slow or refuses: by how many faults
    repaired_at: dict[int, float]  # when it was no more
    moved_at: dict[int, float]
    rates: dict[int, SyscallFaultRates]
    upgrading: set[int]  # gateways that have two processes
    drained: set[int]  # gateways that the front sends no clients, for work on their machines
    # By gateway whose listening socket is held here: spans in which no process accepts from it.
    absences: dict[int, list[Absence]]
    extra: set[asyncio.Task[None]]
    controls: list[SyscallFaultControl]
    replicas: SoakReplicas
    spare: list[SoakDiscoveryAgent]  # that a reload moves to
    current: list[SoakDiscoveryAgent]

    def break_rule(self, rule: str, story: str) -> None:
        if len(self.report.violations) < 50:
            self.report.violations.append(f"{rule}: {story}")

    def inject(self, fault: ScheduledFault) -> None:
        getattr(self, f"_inject_{fault.kind}")(fault)

    def _later(self, seconds: float, call: Any, *arguments: Any) -> None:
        self.call_at(self.now() + 1000 * seconds, call, *arguments)

    def _task(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.extra.add(task)
        task.add_done_callback(self.extra.discard)

    def _is_expected_down(self, gateway: int) -> bool:
        return gateway in self.leaving or super()._is_expected_down(gateway)

    def _up(self, gateway: int) -> bool:
        busy = gateway in self.down or gateway in self.leaving or gateway in self.upgrading
        return not busy and self.gateways[gateway].is_running()

    def absent(self, gateway: int, when: float) -> bool:
        """Did new connections only wait in the backlog then?"""
        return any(one.begun <= when <= one.ended for one in self.absences.get(gateway, ()))

    def _begin_absence(self, gateway: int, begun: float) -> None:
        if self.gateways[gateway].listener is not None:
            self.absences.setdefault(gateway, []).append(Absence(begun))

    def _inject_term(self, fault: ScheduledFault) -> None:
        for number in [one for one in fault.targets if self._up(one)]:
            self._tell_to_end(number)

    def _until_kill(self) -> float:
        """ms from SIGTERM to SIGKILL."""
        longest: float = min(self.idempotency_window_ms, LONGEST_MS)
        return longest + LATE_START_MS

    def _tell_to_end(self, number: int) -> None:
        self.leaving[number] = self.now()
        self.gateways[number].terminate()
        # The front sends no new connections to one that is drained.
        self._begin_absence(number, self.now() + (0.0 if number in self.drained else NEW_CONNECTIONS_MS))
        self.call_at(self.now() + SEEN_DOWN_MS, self.gateways_marked_down.add, number)
        self.call_at(self.now() + self._until_kill(), self._end_leaving, number)

    def _end_leaving(self, number: int) -> None:
        told = self.leaving.pop(number)
        self.down.add(number)
        if self.gateways[number].is_running():
            self.deaths.setdefault(number, []).append((self.now(), told))
        self.gateways[number].kill(wait=False)
        self.clients.close_idle_connections(number)
        self._later(0.3, self._restart_gateway, number)

    def _inject_kill(self, fault: ScheduledFault) -> None:
        for number in [one for one in fault.targets if self._up(one)]:
            self.deaths.setdefault(number, []).append((self.now(), None))
            self._begin_absence(number, self.now() - KILL_TAKES_MS)
            self._kill_gateway(number)
            self._later(fault.duration_s, self._restart_gateway, number)

    def _spawn(self, number: int) -> GatewayProcess:
        """Start a process of the gateway, with the agent and the list that it would have now."""
        gateway = self.gateways[number]
        gateway.config["discovery"] = f"{HOST}:{self.current[number].proxy.port}"
        gateway.spawn(self._initial_endpoint_list(number))
        self._record_endpoint_list(number)
        return gateway

    def _restart_gateway(self, number: int) -> None:
        self.report.starts += 1
        self._task(self._take_in_again(self._spawn(number), time.monotonic()))

    async def _take_in_again(self, gateway: GatewayProcess, begun: float) -> None:
        try:
            await gateway.wait_until_ready()
        except GatewayError as error:
            self.break_rule("start", str(error))
            return
        if time.monotonic() - begun > MAX_READY_S:
            self.report.slow_starts += 1
        for absence in self.absences.get(gateway.number, ()):
            absence.ended = min(absence.ended, self.now())
        self.down.discard(gateway.number)
        if gateway.number not in self.drained:
            self.gateways_marked_down.discard(gateway.number)

    def _inject_upgrade(self, fault: ScheduledFault) -> None:
        for number in [one for one in fault.targets if self._up(one)]:
            if self.gateways[number].listener is not None:
                self.upgrading.add(number)
                self._task(self._upgrade(number))

    async def _upgrade(self, number: int) -> None:
        """Start a second process beside the first, which is told to end once the second takes clients."""
        older = self.gateways[number].detach()
        assert older is not None
        gateway = self._spawn(number)
        self.report.upgrades += 1
        try:
            await gateway.wait_until_ready()
        except GatewayError as error:
            self.break_rule("start", f"of a second process: {error}")
        await self._end_older(number, older)
        self.upgrading.discard(number)

    async def _end_older(self, number: int, older: subprocess.Popen[bytes]) -> None:
        told = self.now()
        older.send_signal(signal.SIGTERM)
        kill_at = told + self._until_kill()
        while older.poll() is None and self.now() < kill_at:
            await asyncio.sleep(0.02)
        if older.poll() is None:
            self.deaths.setdefault(number, []).append((self.now(), told))
            older.kill()
        await asyncio.to_thread(older.wait)

    def _initial_endpoint_list(self, number: int) -> dict[str, Any]:
        return self.current[number].whole_list()

    def _inject_reload(self, fault: ScheduledFault) -> None:
        for number in [one for one in fault.targets if self._up(one)]:
            self._move_discovery(number)

    def _inject_reload_twice(self, fault: ScheduledFault) -> None:
        self._inject_reload(fault)
        self._later(0.3 * fault.magnitude, self._inject_reload, fault)

    def _move_discovery(self, number: int) -> None:
        gateway, agents = self.gateways[number], (self.agents[number], self.spare[number])
        self.current[number] = cast(SoakDiscoveryAgent, agents[self.current[number] is agents[0]])
        gateway.config["discovery"] = f"{HOST}:{self.current[number].proxy.port}"
        path = self.folder / f"gateway-{number}.json"
        path.write_text(
            json.dumps({**json.loads(path.read_text()), "discovery": gateway.config["discovery"]})
        )
        self.moved_at[number] = self.now()
        if gateway.is_running() and gateway.process is not None:
            gateway.process.send_signal(signal.SIGHUP)

    def _inject_pause(self, fault: ScheduledFault) -> None:
        for number in fault.targets:
            process = self.gateways[number].process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGSTOP)
                self._later(0.02 + 0.06 * fault.magnitude, self._continue, process)

    @staticmethod
    def _continue(process: Any) -> None:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    def _calls(self, fault: ScheduledFault) -> None:
        for number in fault.targets:
            self.rates[number] = schedule.syscall_fault_rates(
                fault, self.rates.get(number, SyscallFaultRates())
            )
            self.controls[number].set(self.rates[number])
        self._later(fault.duration_s, self._calls_succeed, fault.targets)

    def _calls_succeed(self, who: Sequence[int]) -> None:
        for number in who:
            step = self.rates.get(number, SyscallFaultRates()).clock_step  # a clock that was stepped stays so
            self.rates[number] = SyscallFaultRates(clock_step=step)
            self.controls[number].set(self.rates[number])

    _inject_clock_step = _inject_calls_fail = _inject_short_io = _inject_hold = _calls
    _inject_disk_fails = _inject_disk_slow = _calls

    def _links(self, fault: ScheduledFault) -> list[FaultProxy]:
        return self.replicas.proxies_of([f"n{number}" for number in fault.targets])

    def _inject_links_cut(self, fault: ScheduledFault) -> None:
        for proxy in self._links(fault):
            proxy.cut()
            self._later(fault.duration_s, proxy.heal)

    def _inject_links_reset(self, fault: ScheduledFault) -> None:
        for proxy in self._links(fault):
            proxy.from_target.bytes_to_reset = self.chance.randint(1, 4000)
            self._later(fault.duration_s, proxy.heal)

    def _inject_roll(self, fault: ScheduledFault) -> None:
        self.report.rolls += 1
        name = f"roll-{self.report.rolls}"
        work = MachineWork(self.replicas.client(name, 0), self._restart, self._take_clients)
        self._task(work.roll(name, [f"n{number}" for number in fault.targets]))

    async def _restart(self, name: str) -> None:
        """End a gateway as operators do who work on its machine, and wait until it is back."""
        number = int(name.removeprefix("n"))
        while not self._up(number):
            await asyncio.sleep(0.02)
        self._tell_to_end(number)
        while number in self.leaving or number in self.down:
            await asyncio.sleep(0.02)

    def _take_clients(self, name: str, takes: bool) -> None:
        """What the front reads of a gateway that is drained, or takes clients again."""
        number = int(name.removeprefix("n"))
        if not takes:
            self.drained.add(number)
            self.gateways_marked_down.add(number)
        elif number in self.drained:
            self.drained.discard(number)
            if self._up(number):
                self.gateways_marked_down.discard(number)

    def _backends(self, fault: ScheduledFault) -> list[SoakBackend]:
        there = (self.backends[number] for number in fault.targets if number in self.backends)
        return [cast(SoakBackend, one) for one in there if one.machine.up and not one.machine.silent]

    def _numbers(self, fault: ScheduledFault) -> tuple[int, ...]:
        ready = {n for n, entry in self.discovery.entries.items() if entry.state == "ready"}
        return tuple(one.machine.number for one in self._backends(fault) if one.machine.number in ready)

    def _inject_backend_crash(self, fault: ScheduledFault) -> None:
        self._on_crash(Fault(self.now(), "crash", 1000 * fault.duration_s, self._numbers(fault)))

    def _inject_backend_drain(self, fault: ScheduledFault) -> None:
        who = self._numbers(fault)
        self._on_drain(Fault(self.now(), "drain", 1000 * fault.duration_s, who))
        self._on_add(Fault(self.now(), "add", magnitude=len(who)))

    def _inject_backend_add(self, fault: ScheduledFault) -> None:
        self._on_add(Fault(self.now(), "add", magnitude=min(3, len(fault.targets))))

    def _inject_backend_hang(self, fault: ScheduledFault) -> None:
        for backend in self._backends(fault):
            backend.hang()
            self._later(fault.duration_s, backend.resume)

    def _inject_backend_unreachable(self, fault: ScheduledFault) -> None:
        for backend in self._backends(fault):
            backend.stop_accepting()
            self._later(fault.duration_s, backend.accept_again)

    def _misbehave(self, fault: ScheduledFault, how: Misbehaviour) -> None:
        for backend in self._backends(fault):
            backend.misbehaviour = how
            self._later(fault.duration_s, setattr, backend, "misbehaviour", Misbehaviour())

    def _inject_backend_resets(self, fault: ScheduledFault) -> None:
        self._misbehave(fault, Misbehaviour(reset=0.3))

    def _inject_backend_spoils(self, fault: ScheduledFault) -> None:
        self._misbehave(fault, Misbehaviour(truncated=0.1, second=0.2))

    def _inject_backend_forgets(self, fault: ScheduledFault) -> None:
        self._misbehave(fault, Misbehaviour(forget_after=0.2))

    def _inject_backend_closes_idle(self, fault: ScheduledFault) -> None:
        for backend in self._backends(fault):
            for step in range(5):
                self._later(fault.duration_s * step / 5, backend.close_idle)

    def _proxies(self, fault: ScheduledFault) -> list[FaultProxy]:
        return [self.current[number].proxy for number in fault.targets]

    def _inject_discovery_down(self, fault: ScheduledFault) -> None:
        lasts = 2 * fault.duration_s
        for number in [one for one in fault.targets if one not in self.down_since]:
            self.down_since[number] = self.now()
            for agent in (cast(SoakDiscoveryAgent, self.agents[number]), self.spare[number]):
                agent.proxy.cut()
            self._later(lasts, self._discovery_back, number)

    def _discovery_back(self, number: int) -> None:
        self.down_since.pop(number, None)
        for agent in (cast(SoakDiscoveryAgent, self.agents[number]), self.spare[number]):
            agent.proxy.heal()

    def _inject_discovery_resets(self, fault: ScheduledFault) -> None:
        for proxy in self._proxies(fault):
            proxy.reset()
            self._later(0.5 * fault.magnitude, proxy.reset)

    def _impair(self, number: int) -> None:
        self.impaired[number] = self.impaired.get(number, 0) + 1

    def _repair(self, number: int) -> None:
        self.impaired[number] -= 1
        if not self.impaired[number]:
            del self.impaired[number]
            self.repaired_at[number] = self.now()

    def _inject_discovery_slow(self, fault: ScheduledFault) -> None:
        for number in fault.targets:
            self._impair(number)
            proxy = self.current[number].proxy
            proxy.from_target.delay_s, proxy.from_target.piece_bytes = 0.3 * fault.magnitude, 100
            self._later(fault.duration_s, self._discovery_fast, number, proxy)

    def _discovery_fast(self, number: int, proxy: FaultProxy) -> None:
        proxy.from_target.delay_s, proxy.from_target.piece_bytes = 0.0, 65536
        self._repair(number)

    def _inject_discovery_refuses(self, fault: ScheduledFault) -> None:
        for number in fault.targets:
            self._impair(number)
            proxy = self.current[number].proxy
            proxy.refuse()
            proxy.reset()
            self._later(fault.duration_s, self._accept_again, number, proxy)

    def _accept_again(self, number: int, proxy: FaultProxy) -> None:
        self._repair(number)
        self._task(proxy.accept_again())

    def _inject_peers_cut(self, fault: ScheduledFault) -> None:
        self._on_cut(Fault(self.now(), "cut", 1000 * fault.duration_s, fault.targets))

    def _inject_peers_lose(self, fault: ScheduledFault) -> None:
        self._on_loss(Fault(self.now(), "loss", 1000 * fault.duration_s, magnitude=0.5))

    @property
    def _soak_clients(self) -> SoakClients:
        return cast(SoakClients, self.clients)

    def _inject_bad_clients(self, fault: ScheduledFault) -> None:
        starts = (b"*2\r\n$4\r\nPI", b"*1\r\n$9\r\nSVC.", b"*5\r\n$10\r\nSVC.SUBMIT\r\n$16\r\n0000")
        for number in [one for one in fault.targets if self._up(one)]:
            self._task(self._soak_clients.stop_halfway(number, self.chance.choice(starts)))

    def _inject_floods(self, fault: ScheduledFault) -> None:
        for number in [one for one in fault.targets if self._up(one)]:
            self._task(self._soak_clients.flood(number, self.chance.choice([100, 1000, 10000])))

    def _inject_resting_clients(self, fault: ScheduledFault) -> None:
        for number in [one for one in fault.targets if self._up(one)][:MAX_CROWDED]:
            for _ in range(RESTING_CLIENTS):
                stay = self.chance.uniform(0.1, 4.0)
                self._later(self.chance.uniform(0.0, 0.5), self._rest, number, stay)

    def _rest(self, number: int, stay: float) -> None:
        self._task(self._soak_clients.rest(number, stay))
