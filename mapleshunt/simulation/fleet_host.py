"""What every host of a day shares: its machines, its clients' habits, its quotas, and its faults.

The engine plays a day in virtual time, the rig on sockets. What differs between them is how an attempt
travels and how a machine dies; the rest is here, so that both play the same day by the same rules.
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
from .day import CLASSES, Day
from .quota_accounting import QuotaAccounting
from .records import ClientAttempt, RequestRecord
from .rule_checker import RuleChecker

NOISE_TABLE_SIZE = 4096  # places of the table of attempt noise
MIN_BACKEND_SPEED = 0.3  # speed that no drawn till server is below


class FleetHost:
    """A day's world, drawn. Times in ms since the day began; a subclass has the clock and the wire."""

    def __init__(self, day: Day, words: Any = policy) -> None:
        f, streams = day.parameters, day.streams
        self.day = day
        self.network, self.counter = Network(f, streams), SharedCounter(f)
        self.discovery = Discovery(f, streams.generator("discovery"))
        self.settings = day.settings(words)
        self.client_behaviour = ClientBehaviour(f, self.settings[0].max_retry_after)
        self.rule_checker = RuleChecker(day, self.settings[0])
        self.quota_accounting = QuotaAccounting(day, self.rule_checker.ceiling_exceeded)
        self.classes = [shape.name for shape in f.classes]
        self.effects = [CLASSES[name].get("effect", "safe") for name in self.classes]
        self.deadlines = [CLASSES[name]["deadline"] for name in self.classes]
        self.idempotency_window_ms = max(self.deadlines)
        self.handshake_work = f["handshake_work"]
        noise, spread = streams.generator("noise"), [shape.noise for shape in f.classes]
        self.noise_tables = [
            lognormal(noise, 1.0, cv, NOISE_TABLE_SIZE).tolist() if cv else [1.0] * NOISE_TABLE_SIZE
            for cv in spread
        ]
        self.requests = [RequestRecord(ask) for ask in day.traffic.requests]
        self.last_request_id = 0
        self.gateways_marked_down: set[int] = set()  # gateways that the front sends nothing to
        count = day.scenario.gateways
        self.peer_rate_limiters = [
            MessageRateLimiter(self.settings[0].gossip_intake_per_s) for _ in range(count)
        ]
        # What the score asks for, besides the records.
        self.message_bytes = self.health_checks = self.counter_calls = self.events = 0
        self.total_cpu_ns = self.gateway_cpu_ns = 0
        self.backend_models: dict[int, Backend] = {}
        self.idempotency_stores: list[IdempotencyStore] = []
        speeds, size = streams.generator("speeds"), max(1, round(f["cell_size"]))
        for number in range(day.scenario.servers):
            if number % size == 0:
                self.idempotency_stores.append(IdempotencyStore(self.idempotency_window_ms))
            self._add_backend(number, speeds)
        self.next_server = day.scenario.servers
        self.endpoint_lists: list[dict[int, EndpointEntry]] = [
            dict(self.discovery.entries) for _ in range(count)
        ]

    # The subclass's clock and wire

    def now(self) -> float:
        raise NotImplementedError

    def at(self, when: float, call: Callable[..., None], *arguments: Any) -> None:
        raise NotImplementedError

    def _backend_added(self, till: Backend) -> None:
        """A till server is there, and has its number."""
        raise NotImplementedError

    def _endpoint_delivered(self, gateway: int, entry: EndpointEntry) -> None:
        """News of the list reach a gateway."""
        raise NotImplementedError

    def _crash_backend(self, number: int) -> None:
        """A till server's process ends, and all connections to it break."""
        raise NotImplementedError

    def _silence_backend(self, number: int) -> None:
        raise NotImplementedError

    def _restart_backend(self, number: int) -> None:
        """A till server that was down or silent is back, cold."""
        raise NotImplementedError

    def _kill_gateway(self, number: int) -> None:
        """A gateway dies with all it holds."""
        raise NotImplementedError

    def _restart_gateway(self, number: int) -> None:
        raise NotImplementedError

    # Machines and requests

    def _add_backend(self, number: int, speeds: Rng) -> Backend:
        """A till server of the newest cell, its speed drawn."""
        f, rules, cell = self.day.parameters, self.day.rules, len(self.idempotency_stores) - 1
        speed = max(MIN_BACKEND_SPEED, f["speed"] * (1 + f["speed_cv"] * float(speeds.standard_normal())))
        errors = BufferedDraws(self.day.streams.generator("errors", number).random)
        keys = self.idempotency_stores[cell]
        till = Backend(
            number, f, speed, cell, keys, errors, rules.overload_window_ms, rules.overload_multiple
        )
        self.backend_models[number] = till
        self._backend_added(till)
        self.discovery.entries[number] = EndpointEntry(number, cell)
        return till

    def backend_request(self, one: ClientAttempt, number: int, until: float) -> BackendRequest:
        """An attempt's work at a till server; its gateway waits until then."""
        ask = one.request
        amount = (
            ask.work_ms * self.noise_tables[ask.class_index][(ask.noise_offset + number) % NOISE_TABLE_SIZE]
        )
        key = ask if self.effects[ask.class_index] == "keyed" else None
        return BackendRequest((one.request_id, number), amount, until, key, ask.units, one.gateway)

    def start_attempt(self, record: RequestRecord, number: int) -> ClientAttempt | None:
        """A client's try as the front sends it now; None if no patience is left for it."""
        ask, now = record.request, self.now()
        deadline = self.deadlines[ask.class_index]
        patience = min(ask.timeout_share * deadline, ask.arrives_at + deadline - now)
        if patience <= 1:
            return None
        pick = ask.gateway_draw if number == 1 else self.client_behaviour.retry_gateway_draw(ask, number)
        count = len(self.endpoint_lists)
        gateway = self.day.traffic.pick_gateway(ask.customer, now, pick, count, self.gateways_marked_down)
        self.last_request_id += 1
        record.attempt_count = number
        one = ClientAttempt(self.last_request_id, ask, number, gateway, now, patience)
        self.rule_checker.client_attempts.append(one)
        return one

    def notify_client(
        self, record: RequestRecord, one: ClientAttempt, told: ClientResult, wait: float
    ) -> float | None:
        """A client has its end of a try: after how long it comes again, if it does."""
        one.client_notified = True
        record.last_result, record.ended_at = told, self.now()
        if told == "served" and record.served_at is None:
            record.served_at, record.inside_quota = record.ended_at, bool(one.inside_quota)
        safe = self.effects[one.request.class_index] == "safe"
        return self.client_behaviour.retry_delay(one.request, one.number, told, wait, safe)

    # Faults

    def _inject_fault(self, fault: Fault) -> None:
        getattr(self, f"_on_{fault.kind}")(fault)

    def _publish_endpoint(self, entry: EndpointEntry, silent: bool = False) -> None:
        for at, gateway in self.discovery.apply_change(self.now(), entry, len(self.endpoint_lists), silent):
            self.at(at, self._deliver_endpoint, gateway, entry)

    def _deliver_endpoint(self, gateway: int, entry: EndpointEntry) -> None:
        if entry.state == "gone":
            self.endpoint_lists[gateway].pop(entry.server, None)
        else:
            self.endpoint_lists[gateway][entry.server] = entry
        self._endpoint_delivered(gateway, entry)

    def _remove_backend(self, number: int) -> None:
        self._crash_backend(number)
        self._publish_endpoint(EndpointEntry(number, self.backend_models[number].cell, "gone"))

    def _on_crash(self, fault: Fault) -> None:
        # The list knows whether a process runs: it is told that this one is gone, and then of its start.
        for number in fault.targets:
            self._remove_backend(number)
            if fault.duration:
                self.at(fault.end, self._recover_backend, number)

    def _recover_backend(self, number: int) -> None:
        till = self.backend_models[number]
        if not till.collapsed:
            self._restart_backend(number)
            self._publish_endpoint(EndpointEntry(number, till.cell, "ready", self.now()))

    def backend_collapsed(self, till: Backend) -> None:
        """Pushed over while cold: it stays down."""
        self.rule_checker.backend_collapsed(till)
        self._remove_backend(till.number)

    def _on_silent(self, fault: Fault) -> None:
        for number in fault.targets:
            self._silence_backend(number)
            self._publish_endpoint(
                EndpointEntry(number, self.backend_models[number].cell, "gone"), silent=True
            )
            if fault.duration:
                self.at(fault.end, self._recover_backend, number)

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
            self.at(fault.end + 2 * self.idempotency_window_ms, self._remove_backend, number)

    def _on_add(self, fault: Fault) -> None:
        speeds = self.day.streams.generator("added", int(fault.at))
        for _ in range(int(fault.magnitude)):
            till = self._add_backend(self.next_server, speeds)
            self.next_server += 1
            till.start(self.now())
            self._publish_endpoint(EndpointEntry(till.number, till.cell, "ready", self.now()))

    def _on_restart(self, fault: Fault) -> None:
        for number in fault.targets:
            self._kill_gateway(number)
            self.at(fault.end, self._restart_gateway, number)

    def _on_burst(self, fault: Fault) -> None:
        """Drawn into the traffic."""

    def _on_counter_down(self, fault: Fault, how: Any = "refusing") -> None:
        self.counter.outage = how
        self.at(fault.end, self._counter_back, fault.magnitude > 0.5)

    def _on_counter_silent(self, fault: Fault) -> None:
        self._on_counter_down(fault, "silent")

    def _counter_back(self, empty: bool) -> None:
        self.counter.outage = ""
        if empty:
            self.counter.empty()

    def _on_counter_slow(self, fault: Fault) -> None:
        self.counter.slowdown = fault.magnitude
        self.at(fault.end, setattr, self.counter, "slowdown", 1.0)

    def _on_counter_split(self, fault: Fault) -> None:
        self.counter.split(frozenset(fault.targets))
        self.at(fault.end, self.counter.split, frozenset())

    def _on_cut(self, fault: Fault) -> None:
        self.network.partition = frozenset(fault.targets)
        self.at(fault.end, setattr, self.network, "partition", frozenset())

    def _on_loss(self, fault: Fault) -> None:
        before, self.network.loss_rate = self.network.loss_rate, fault.magnitude
        self.at(fault.end, setattr, self.network, "loss_rate", before)
