"""State and behaviour that all hosts of a run share: machines, clients, quotas and faults.

The engine executes a run in virtual time, the testbed on sockets. They differ in the transport of attempts
and in how machines fail; the rest is here, so that the same rules hold for the same run in both.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .. import policy
from ..fleet.backend import Backend, BackendRequest, IdempotencyStore
from ..fleet.clients import ClientBehaviour, ClientResult
from ..fleet.counter import SharedCounter
from ..fleet.discovery import Discovery, EndpointEntry
from ..fleet.faults import Fault
from ..fleet.network import MessageRateLimiter, Network
from ..fleet.random_streams import BufferedDraws, Rng, lognormal
from .day import CLASSES, ScenarioRun
from .quota_accounting import QuotaAccounting
from .records import ClientAttempt, RequestRecord
from .rule_checker import RuleChecker

NOISE_TABLE_SIZE = 4096  # entries in each class's table of attempt noise
MIN_BACKEND_SPEED = 0.3  # lower bound of a drawn speed
MIN_TIMEOUT_MS = 1  # an attempt with no more time left is not sent


class FleetHost:
    """The machines of a run. Times are in ms since its start; a subclass provides clock and transport."""

    def __init__(self, scenario_run: ScenarioRun, policy_types: Any = policy) -> None:
        """Args: `policy_types` is the package that defines the gateways' types, of any checkout."""
        parameters, streams = scenario_run.parameters, scenario_run.streams
        self.scenario_run = scenario_run
        self.network = Network(parameters, streams)
        self.counter = SharedCounter(parameters)
        self.discovery = Discovery(parameters, streams.generator("discovery"))
        self.settings = scenario_run.settings(policy_types)
        self.client_behaviour = ClientBehaviour(parameters, self.settings[0].max_retry_after)
        self.rule_checker = RuleChecker(scenario_run, self.settings[0])
        self.quota_accounting = QuotaAccounting(scenario_run, self.rule_checker.ceiling_exceeded)
        self.classes = [request_class.name for request_class in parameters.classes]
        self.effects = [CLASSES[name].get("effect", "safe") for name in self.classes]
        deadline_factor = scenario_run.scenario.deadline_factor
        self.deadlines = [deadline_factor * CLASSES[name]["deadline"] for name in self.classes]
        self.idempotency_window_ms = max(self.deadlines)
        self.handshake_work = parameters["handshake_work"]
        self.noise_tables = self._draw_noise(streams.generator("noise"))
        self.requests = [RequestRecord(request) for request in scenario_run.traffic.requests]
        self.last_request_id = 0
        self.gateways_marked_down: set[int] = set()  # gateways to which the front sends nothing
        count = scenario_run.scenario.gateways
        self.peer_rate_limiters = [
            MessageRateLimiter(self.settings[0].gossip_intake_per_s) for _ in range(count)
        ]
        # Totals for the score, in addition to the records.
        self.message_bytes = self.health_checks = self.counter_calls = self.events = 0
        self.total_cpu_ns = self.gateway_cpu_ns = 0
        self.backend_models: dict[int, Backend] = {}
        self.idempotency_stores: list[IdempotencyStore] = []
        self._add_backends(streams.generator("speeds"))
        self.next_backend = scenario_run.scenario.backends
        self.endpoint_lists: list[dict[int, EndpointEntry]] = [
            dict(self.discovery.entries) for _ in range(count)
        ]

    def _draw_noise(self, rng: Rng) -> list[list[float]]:
        """Draw factors of the work of attempts, a table for each class."""
        return [
            lognormal(rng, 1.0, request_class.noise, NOISE_TABLE_SIZE).tolist()
            if request_class.noise
            else [1.0] * NOISE_TABLE_SIZE
            for request_class in self.scenario_run.parameters.classes
        ]

    def _add_backends(self, speeds: Rng) -> None:
        """Add the backends of the run, cell by cell."""
        cell_size = max(1, round(self.scenario_run.parameters["cell_size"]))
        for number in range(self.scenario_run.scenario.backends):
            if number % cell_size == 0:
                self.idempotency_stores.append(IdempotencyStore(self.idempotency_window_ms))
            self._add_backend(number, speeds)

    # Clock and transport of the subclass

    def now(self) -> float:
        """Return the time since the run began (ms)."""
        raise NotImplementedError

    def call_at(self, when: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call; its arguments depend on the function and are untyped."""
        raise NotImplementedError

    def _backend_added(self, backend: Backend) -> None:
        """Set up the subclass's part of a new backend."""
        raise NotImplementedError

    def _endpoint_delivered(self, gateway: int, entry: EndpointEntry) -> None:
        """Deliver a change of the endpoint list to a gateway."""
        raise NotImplementedError

    def _crash_backend(self, number: int) -> None:
        """End a backend's process and break all connections to it."""
        raise NotImplementedError

    def _silence_backend(self, number: int) -> None:
        """Make a backend's machine unresponsive."""
        raise NotImplementedError

    def _restart_backend(self, number: int) -> None:
        """Start a backend that was down or unresponsive; it warms up."""
        raise NotImplementedError

    def _kill_gateway(self, number: int) -> None:
        """Kill a gateway; its state is lost."""
        raise NotImplementedError

    def _restart_gateway(self, number: int) -> None:
        """Start a gateway that was killed."""
        raise NotImplementedError

    # Machines and requests

    def _add_backend(self, number: int, speeds: Rng) -> Backend:
        """Add a backend with a drawn speed to the newest cell."""
        parameters, rules = self.scenario_run.parameters, self.scenario_run.rules
        cell = len(self.idempotency_stores) - 1
        speed = max(
            MIN_BACKEND_SPEED,
            parameters["speed"] * (1 + parameters["speed_cv"] * float(speeds.standard_normal())),
        )
        errors = BufferedDraws(self.scenario_run.streams.generator("errors", number).random)
        keys = self.idempotency_stores[cell]
        backend = Backend(
            number, parameters, speed, cell, keys, errors, rules.overload_window_ms, rules.overload_multiple
        )
        self.backend_models[number] = backend
        self._backend_added(backend)
        self.discovery.entries[number] = EndpointEntry(number, cell)
        return backend

    def backend_request(
        self, client_attempt: ClientAttempt, number: int, expires_at: float
    ) -> BackendRequest:
        """Return an attempt as a backend receives it; its gateway waits until `expires_at`."""
        request = client_attempt.request
        noise = self.noise_tables[request.class_index][(request.noise_offset + number) % NOISE_TABLE_SIZE]
        key = request if self.effects[request.class_index] == "keyed" else None
        token = (client_attempt.request_id, number)
        return BackendRequest(
            token, request.work_ms * noise, expires_at, key, request.units, client_attempt.gateway
        )

    def start_attempt(self, record: RequestRecord, number: int) -> ClientAttempt | None:
        """Return a client's attempt as the front sends it now, or None if no time is left for it."""
        request, now = record.request, self.now()
        deadline = self.deadlines[request.class_index]
        timeout_ms = min(request.timeout_share * deadline, request.arrives_at + deadline - now)
        if timeout_ms <= MIN_TIMEOUT_MS:
            return None
        draw = request.gateway_draw
        if number > 1:
            draw = self.client_behaviour.retry_gateway_draw(request, number)
        count = len(self.endpoint_lists)
        gateway = self.scenario_run.traffic.pick_gateway(
            request.customer, now, draw, count, self.gateways_marked_down
        )
        self.last_request_id += 1
        record.attempt_count = number
        client_attempt = ClientAttempt(self.last_request_id, request, number, gateway, now, timeout_ms)
        self.rule_checker.client_attempts.append(client_attempt)
        return client_attempt

    def notify_client(
        self, record: RequestRecord, client_attempt: ClientAttempt, result: ClientResult, retry_after: float
    ) -> float | None:
        """Record a result at its client; return the delay of its retry (ms), or None for no retry."""
        client_attempt.client_notified = True
        record.last_result, record.ended_at = result, self.now()
        if result == "served" and record.served_at is None:
            record.served_at, record.inside_quota = record.ended_at, bool(client_attempt.inside_quota)
        idempotent = self.effects[client_attempt.request.class_index] == "safe"
        return self.client_behaviour.retry_delay(
            client_attempt.request, client_attempt.number, result, retry_after, idempotent
        )

    # Faults

    def _inject_fault(self, fault: Fault) -> None:
        getattr(self, f"_on_{fault.kind}")(fault)

    def _publish_endpoint(self, entry: EndpointEntry, silent: bool = False) -> None:
        for at, gateway in self.discovery.apply_change(self.now(), entry, len(self.endpoint_lists), silent):
            self.call_at(at, self._deliver_endpoint, gateway, entry)

    def _deliver_endpoint(self, gateway: int, entry: EndpointEntry) -> None:
        if entry.state == "gone":
            self.endpoint_lists[gateway].pop(entry.endpoint, None)
        else:
            self.endpoint_lists[gateway][entry.endpoint] = entry
        self._endpoint_delivered(gateway, entry)

    def _remove_backend(self, number: int) -> None:
        self._crash_backend(number)
        self._publish_endpoint(EndpointEntry(number, self.backend_models[number].cell, "gone"))

    def _on_crash(self, fault: Fault) -> None:
        # Discovery observes processes: it publishes the end, and then the start.
        for number in fault.targets:
            self._remove_backend(number)
            if fault.duration:
                self.call_at(fault.end, self._recover_backend, number)

    def _recover_backend(self, number: int) -> None:
        backend = self.backend_models[number]
        if not backend.collapsed:
            self._restart_backend(number)
            self._publish_endpoint(EndpointEntry(number, backend.cell, "ready", self.now()))

    def backend_collapsed(self, backend: Backend) -> None:
        """Record a backend that collapsed during warm-up; it stays down."""
        self.rule_checker.backend_collapsed(backend)
        self._remove_backend(backend.number)

    def _on_silent(self, fault: Fault) -> None:
        for number in fault.targets:
            self._silence_backend(number)
            self._publish_endpoint(
                EndpointEntry(number, self.backend_models[number].cell, "gone"), silent=True
            )
            if fault.duration:
                self.call_at(fault.end, self._recover_backend, number)

    def _on_drain(self, fault: Fault) -> None:
        for number in fault.targets:
            self._publish_endpoint(
                EndpointEntry(
                    number,
                    self.backend_models[number].cell,
                    "draining",
                    self.backend_models[number].started_at,
                )
            )
            self.call_at(fault.end + 2 * self.idempotency_window_ms, self._remove_backend, number)

    def _on_add(self, fault: Fault) -> None:
        speeds = self.scenario_run.streams.generator("added", int(fault.at))
        for _ in range(int(fault.magnitude)):
            backend = self._add_backend(self.next_backend, speeds)
            self.next_backend += 1
            backend.start(self.now())
            self._publish_endpoint(EndpointEntry(backend.number, backend.cell, "ready", self.now()))

    def _on_restart(self, fault: Fault) -> None:
        for number in fault.targets:
            self._kill_gateway(number)
            self.call_at(fault.end, self._restart_gateway, number)

    def _on_burst(self, fault: Fault) -> None:
        """Do nothing: the drawn traffic contains the burst."""

    def _on_counter_down(self, fault: Fault, outage: Any = "refusing") -> None:
        self.counter.outage = outage
        self.call_at(fault.end, self._restore_counter, fault.magnitude > 0.5)

    def _on_counter_silent(self, fault: Fault) -> None:
        self._on_counter_down(fault, "silent")

    def _restore_counter(self, empty: bool) -> None:
        self.counter.outage = ""
        if empty:
            self.counter.empty()

    def _on_counter_slow(self, fault: Fault) -> None:
        self.counter.slowdown = fault.magnitude
        self.call_at(fault.end, setattr, self.counter, "slowdown", 1.0)

    def _on_counter_split(self, fault: Fault) -> None:
        self.counter.split(frozenset(fault.targets))
        self.call_at(fault.end, self.counter.split, frozenset())

    def _on_cut(self, fault: Fault) -> None:
        self.network.partition = frozenset(fault.targets)
        self.call_at(fault.end, setattr, self.network, "partition", frozenset())

    def _on_loss(self, fault: Fault) -> None:
        previous_rate, self.network.loss_rate = self.network.loss_rate, fault.magnitude
        self.call_at(fault.end, setattr, self.network, "loss_rate", previous_rate)
