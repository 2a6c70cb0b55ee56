"""Fault injection of the soak test, into gateways, backends, discovery, peer traffic and by clients."""

from __future__ import annotations

import asyncio
import random
from typing import cast

from ...fleet.faults import Fault
from ..answer_modes import LATE_ANSWER_S, AnswerMode
from ..crowds.crowd_process import CROWD_END_S, start_crowd
from ..crowds.parameters import CrowdKind
from ..fault_proxy import FaultProxy
from .backends import Misbehaviour, SoakBackend
from .clients import SoakClients
from .discovery_agent import SoakDiscoveryAgent
from .maintenance import MachineWork
from .process_faults import ProcessFaultsFleet
from .replicas import SoakReplicas
from .schedule import ScheduledFault

UNFINISHED_CLIENTS = 340  # a third of the descriptors of a gateway with a memory limit
UNFINISHED_KINDS = (
    CrowdKind.STOPPED_CLOSING,
    CrowdKind.STOPPED,
    CrowdKind.SLOW,
    CrowdKind.MANY_FIELDS,
    CrowdKind.MIXED,
)
MAX_IDLE_CLIENT_TARGETS = 2  # gateways per fault
CALLING_IDLE_FRACTION = 0.3  # of the idle clients that send one command
IMPAIRED_MODE_FACTOR = 4.0  # of the duration: a change has to be known while discovery answers in a mode
IMPAIRED_MODES = tuple(mode for mode in AnswerMode if mode is not AnswerMode.PROMPT)
# A gateway counts as notified this long after discovery was slow or refused calls, or while answers are late.
NOTIFIED_WITHIN_MS = 6000.0
IDLE_CLIENTS = 150  # that connect to a gateway at once, above its limit of client connections


class FaultInjectedFleet(ProcessFaultsFleet):
    """A fleet into which faults are injected; times are in ms since the soak started."""

    fault_random: random.Random
    discovery_down_since: dict[int, float]  # by gateway, while its discovery is down
    discovery_impairments: dict[int, int]  # by gateway: faults that slow or refuse its discovery
    discovery_repaired_at: dict[int, float]  # by gateway: end of the last such fault
    discovery_delayed_until: dict[int, float]  # by gateway: changes until then have to be known 6 s later
    replicas: SoakReplicas

    def _replica_proxies(self, fault: ScheduledFault) -> list[FaultProxy]:
        return self.replicas.proxies_of([f"n{number}" for number in fault.targets])

    def _inject_links_cut(self, fault: ScheduledFault) -> None:
        for proxy in self._replica_proxies(fault):
            proxy.cut()
            self._call_later(fault.duration_s, proxy.heal)

    def _inject_links_reset(self, fault: ScheduledFault) -> None:
        for proxy in self._replica_proxies(fault):
            proxy.from_target.bytes_to_reset = self.fault_random.randint(1, 4000)
            self._call_later(fault.duration_s, proxy.heal)

    def _inject_roll(self, fault: ScheduledFault) -> None:
        self.report.rolls += 1
        name = f"roll-{self.report.rolls}"
        work = MachineWork(
            self.replicas.client(name, 0), self._restart_for_maintenance, self._set_takes_clients
        )
        self._start_task(work.roll(name, [f"n{number}" for number in fault.targets]))

    async def _restart_for_maintenance(self, name: str) -> None:
        """Restart a gateway for work on its machine, and wait until it is back."""
        number = int(name.removeprefix("n"))
        while not self._is_available(number):
            await asyncio.sleep(0.02)
        self._terminate(number)
        while number in self.terminating or number in self.down:
            await asyncio.sleep(0.02)

    def _set_takes_clients(self, name: str, takes_clients: bool) -> None:
        """Set whether the front sends clients to a gateway, as maintenance drains or returns it."""
        number = int(name.removeprefix("n"))
        if not takes_clients:
            self.drained.add(number)
            self.gateways_marked_down.add(number)
        elif number in self.drained:
            self.drained.discard(number)
            if self._is_available(number):
                self.gateways_marked_down.discard(number)

    def _healthy_backends(self, fault: ScheduledFault) -> list[SoakBackend]:
        backends = (self.backends[number] for number in fault.targets if number in self.backends)
        return [
            cast(SoakBackend, backend)
            for backend in backends
            if backend.machine.up and not backend.machine.silent
        ]

    def _ready_backend_numbers(self, fault: ScheduledFault) -> tuple[int, ...]:
        ready = {number for number, entry in self.discovery.entries.items() if entry.state == "ready"}
        return tuple(
            backend.machine.number
            for backend in self._healthy_backends(fault)
            if backend.machine.number in ready
        )

    def _inject_backend_crash(self, fault: ScheduledFault) -> None:
        self._on_crash(
            Fault(self.now(), "crash", 1000 * fault.duration_s, self._ready_backend_numbers(fault))
        )

    def _inject_backend_drain(self, fault: ScheduledFault) -> None:
        targets = self._ready_backend_numbers(fault)
        self._on_drain(Fault(self.now(), "drain", 1000 * fault.duration_s, targets))
        self._on_add(Fault(self.now(), "add", magnitude=len(targets)))

    def _inject_backend_add(self, fault: ScheduledFault) -> None:
        self._on_add(Fault(self.now(), "add", magnitude=min(3, len(fault.targets))))

    def _inject_backend_hang(self, fault: ScheduledFault) -> None:
        for backend in self._healthy_backends(fault):
            backend.hang()
            self._call_later(fault.duration_s, backend.resume)

    def _inject_backend_unreachable(self, fault: ScheduledFault) -> None:
        for backend in self._healthy_backends(fault):
            backend.stop_accepting()
            self._call_later(fault.duration_s, backend.accept_again)

    def _set_misbehaviour(self, fault: ScheduledFault, misbehaviour: Misbehaviour) -> None:
        for backend in self._healthy_backends(fault):
            backend.misbehaviour = misbehaviour
            self._call_later(fault.duration_s, setattr, backend, "misbehaviour", Misbehaviour())

    def _inject_backend_resets(self, fault: ScheduledFault) -> None:
        self._set_misbehaviour(fault, Misbehaviour(reset=0.3))

    def _inject_backend_spoils(self, fault: ScheduledFault) -> None:
        self._set_misbehaviour(fault, Misbehaviour(truncated=0.1, duplicate=0.2))

    def _inject_backend_forgets(self, fault: ScheduledFault) -> None:
        self._set_misbehaviour(fault, Misbehaviour(forget_after_s=0.2))

    def _inject_backend_closes_idle(self, fault: ScheduledFault) -> None:
        for backend in self._healthy_backends(fault):
            for repetition in range(5):
                self._call_later(fault.duration_s * repetition / 5, backend.close_idle)

    def _discovery_proxies(self, fault: ScheduledFault) -> list[FaultProxy]:
        return [self.current_agents[number].proxy for number in fault.targets]

    def _inject_discovery_down(self, fault: ScheduledFault) -> None:
        duration_s = 2 * fault.duration_s
        for number in [target for target in fault.targets if target not in self.discovery_down_since]:
            self.discovery_down_since[number] = self.now()
            for agent in (cast(SoakDiscoveryAgent, self.agents[number]), self.spare_agents[number]):
                agent.proxy.cut()
            self._call_later(duration_s, self._restore_discovery, number)

    def _restore_discovery(self, number: int) -> None:
        self.discovery_down_since.pop(number, None)
        for agent in (cast(SoakDiscoveryAgent, self.agents[number]), self.spare_agents[number]):
            agent.proxy.heal()

    def _inject_discovery_resets(self, fault: ScheduledFault) -> None:
        for proxy in self._discovery_proxies(fault):
            proxy.reset()
            self._call_later(0.5 * fault.magnitude, proxy.reset)

    def _impair_discovery(self, number: int) -> None:
        self.discovery_impairments[number] = self.discovery_impairments.get(number, 0) + 1

    def _repair_discovery(self, number: int) -> None:
        self.discovery_impairments[number] -= 1
        if not self.discovery_impairments[number]:
            del self.discovery_impairments[number]
            self.discovery_repaired_at[number] = self.now()

    def _inject_discovery_slow(self, fault: ScheduledFault) -> None:
        for number in fault.targets:
            self._impair_discovery(number)
            proxy = self.current_agents[number].proxy
            proxy.from_target.delay_s, proxy.from_target.piece_bytes = 0.3 * fault.magnitude, 100
            self._call_later(fault.duration_s, self._end_slow_discovery, number, proxy)

    def _end_slow_discovery(self, number: int, proxy: FaultProxy) -> None:
        proxy.from_target.delay_s, proxy.from_target.piece_bytes = 0.0, 65536
        self._repair_discovery(number)

    def _inject_discovery_late(self, fault: ScheduledFault) -> None:
        self._impair_answers(fault, AnswerMode.LATE)

    def _inject_discovery_answers(self, fault: ScheduledFault) -> None:
        self._impair_answers(fault, IMPAIRED_MODES[int(fault.magnitude * len(IMPAIRED_MODES))])

    def _impair_answers(self, fault: ScheduledFault, mode: AnswerMode) -> None:
        """Have discovery answer in a mode; unlike while it is slow, changes have to be known meanwhile.

        Where it does so in another mode already, that mode goes on for longer.
        """
        duration_s = IMPAIRED_MODE_FACTOR * fault.duration_s
        for number in fault.targets:
            current = self.agents[number].answers.mode
            if current is AnswerMode.PROMPT:
                current = mode
                self._set_answer_mode(number, mode)
            recovery_ms = NOTIFIED_WITHIN_MS if current.loses_calls else 1000 * LATE_ANSWER_S
            delayed_until = self.now() + 1000 * duration_s + recovery_ms
            known_until = self.discovery_delayed_until.get(number, delayed_until)
            self.discovery_delayed_until[number] = max(delayed_until, known_until)
            self._call_later(duration_s, self._end_answer_mode, number, delayed_until)

    def _end_answer_mode(self, number: int, delayed_until: float) -> None:
        if delayed_until >= self.discovery_delayed_until[number]:  # else another such fault goes on
            self._set_answer_mode(number, AnswerMode.PROMPT)

    def _set_answer_mode(self, number: int, mode: AnswerMode) -> None:
        for agent in (self.agents[number], self.spare_agents[number]):
            agent.answers.set_mode(mode)

    def _inject_discovery_refuses(self, fault: ScheduledFault) -> None:
        for number in fault.targets:
            self._impair_discovery(number)
            proxy = self.current_agents[number].proxy
            proxy.refuse()
            proxy.reset()
            self._call_later(fault.duration_s, self._end_discovery_refusal, number, proxy)

    def _end_discovery_refusal(self, number: int, proxy: FaultProxy) -> None:
        self._repair_discovery(number)
        self._start_task(proxy.accept_again())

    def _inject_peers_cut(self, fault: ScheduledFault) -> None:
        self._on_cut(Fault(self.now(), "cut", 1000 * fault.duration_s, fault.targets))

    def _inject_peers_lose(self, fault: ScheduledFault) -> None:
        self._on_loss(Fault(self.now(), "loss", 1000 * fault.duration_s, magnitude=0.5))

    @property
    def _soak_clients(self) -> SoakClients:
        return cast(SoakClients, self.clients)

    def _inject_bad_clients(self, fault: ScheduledFault) -> None:
        partial_commands = (b"*2\r\n$4\r\nPI", b"*1\r\n$9\r\nSVC.", b"*5\r\n$10\r\nSVC.SUBMIT\r\n$16\r\n0000")
        for number in [target for target in fault.targets if self._is_available(target)]:
            self._start_task(
                self._soak_clients.send_partial_command(number, self.fault_random.choice(partial_commands))
            )

    def _inject_floods(self, fault: ScheduledFault) -> None:
        for number in [target for target in fault.targets if self._is_available(target)]:
            self._start_task(self._soak_clients.flood(number, self.fault_random.choice([100, 1000, 10000])))

    def _inject_resting_clients(self, fault: ScheduledFault) -> None:
        for number in [target for target in fault.targets if self._is_available(target)][
            :MAX_IDLE_CLIENT_TARGETS
        ]:
            for _ in range(IDLE_CLIENTS):
                duration_s = self.fault_random.uniform(0.1, 4.0)
                calls = self.fault_random.random() < CALLING_IDLE_FRACTION
                self._call_later(
                    self.fault_random.uniform(0.0, 0.5), self._open_idle_connection, number, duration_s, calls
                )

    def _inject_unfinished_clients(self, fault: ScheduledFault) -> None:
        for number in [target for target in fault.targets if self._is_available(target)][:1]:
            kind = UNFINISHED_KINDS[int(fault.magnitude * len(UNFINISHED_KINDS))]
            self._start_task(self._play_crowd(number, kind, fault.duration_s))

    async def _play_crowd(self, number: int, kind: CrowdKind, seconds: float) -> None:
        """Run a crowd in a process of its own at a gateway, also through its restarts."""
        seed = self.fault_random.randrange(1 << 30)
        crowd = start_crowd(self.gateways[number].port, kind, UNFINISHED_CLIENTS, seconds, seed)
        try:
            await asyncio.to_thread(crowd.communicate, timeout=seconds + CROWD_END_S)
        finally:
            crowd.kill()
            await asyncio.to_thread(crowd.wait)

    def _open_idle_connection(self, number: int, duration_s: float, calls: bool) -> None:
        self._start_task(self._soak_clients.stay_idle(number, duration_s, calls))
