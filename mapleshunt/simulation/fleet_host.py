"""What every host of a day shares: its machines, its clients' habits, its quotas, and its faults.

The engine plays a day in virtual time, the rig on sockets. What differs between them is how an attempt
travels and how a machine dies; the rest is here, so that both play the same day by the same rules.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .. import policy
from ..fleet.backend import Backend, BackendRequest, IdempotencyStore
from ..fleet.clients import ClientBehaviour
from ..fleet.counter import SharedCounter
from ..fleet.discovery import Discovery, EndpointEntry
from ..fleet.faults import Fault
from ..fleet.network import MessageRateLimiter, Network
from ..fleet.random_streams import BufferedDraws, Rng, lognormal
from .day import CLASSES, Day
from .records import ClientAttempt, ClientResult, QuotaLedger, RequestRecord
from .rule_checker import RuleChecker

NOISE_TABLE_SIZE = 4096  # places of the table of attempt noise
MIN_BACKEND_SPEED = 0.3  # speed that no drawn till server is below


class FleetHost:
    """A day's world, drawn. Times in ms since the day began; a subclass has the clock and the wire."""

    def __init__(self, day: Day, words: Any = policy) -> None:
        f, streams = day.figures, day.streams
        self.day = day
        self.network, self.counter = Network(f, streams), SharedCounter(f)
        self.discovery = Discovery(f, streams.of("discovery"))
        self.settings = day.settings(words)
        self.habits = ClientBehaviour(f, self.settings[0].max_retry_after)
        self.watchman, self.books = RuleChecker(day, self.settings[0]), QuotaLedger(day)
        self.books.passed = self.watchman.ceiling
        self.classes = [shape.name for shape in f.classes]
        self.effects = [CLASSES[name].get("effect", "safe") for name in self.classes]
        self.deadlines = [CLASSES[name]["deadline"] for name in self.classes]
        self.window = max(self.deadlines)
        self.handshake = f["handshake_work"]
        noise, spread = streams.of("noise"), [shape.noise for shape in f.classes]
        self.noise = [
            lognormal(noise, 1.0, cv, NOISE_TABLE_SIZE).tolist() if cv else [1.0] * NOISE_TABLE_SIZE
            for cv in spread
        ]
        self.asks = [RequestRecord(ask) for ask in day.traffic.asks]
        self.refs = 0
        self.seen_down: set[int] = set()  # gateways that the front sends nothing to
        count = day.scenario.gateways
        self.intakes = [MessageRateLimiter(self.settings[0].gossip_intake_per_s) for _ in range(count)]
        # What the score asks for, besides the records.
        self.message_bytes = self.probes = self.counts = self.events = 0
        self.cpu_ns = self.gateway_ns = 0
        self.tills: dict[int, Backend] = {}
        self.cells: list[IdempotencyStore] = []
        speeds, size = streams.of("speeds"), max(1, round(f["cell_size"]))
        for number in range(day.scenario.servers):
            if number % size == 0:
                self.cells.append(IdempotencyStore(self.window))
            self._add_till(number, speeds)
        self.next_server = day.scenario.servers
        self.lists: list[dict[int, EndpointEntry]] = [dict(self.discovery.entries) for _ in range(count)]

    # The subclass's clock and wire

    def now(self) -> float:
        raise NotImplementedError

    def at(self, when: float, call: Callable[..., None], *arguments: Any) -> None:
        raise NotImplementedError

    def _take_in(self, till: Backend) -> None:
        """A till server is there, and has its number."""
        raise NotImplementedError

    def _told(self, gateway: int, entry: EndpointEntry) -> None:
        """News of the list reach a gateway."""
        raise NotImplementedError

    def _die(self, number: int) -> None:
        """A till server's process ends, and all connections to it break."""
        raise NotImplementedError

    def _fall_silent(self, number: int) -> None:
        raise NotImplementedError

    def _start_again(self, number: int) -> None:
        """A till server that was down or silent is back, cold."""
        raise NotImplementedError

    def _kill(self, number: int) -> None:
        """A gateway dies with all it holds."""
        raise NotImplementedError

    def _revive(self, number: int) -> None:
        raise NotImplementedError

    # Machines and requests

    def _add_till(self, number: int, speeds: Rng) -> Backend:
        """A till server of the newest cell, its speed drawn."""
        f, rules, cell = self.day.figures, self.day.rules, len(self.cells) - 1
        speed = max(MIN_BACKEND_SPEED, f["speed"] * (1 + f["speed_cv"] * float(speeds.standard_normal())))
        errors = BufferedDraws(self.day.streams.of("errors", number).random)
        keys = self.cells[cell]
        till = Backend(number, f, speed, cell, keys, errors, rules.tip_after, rules.fall_multiple)
        self.tills[number] = till
        self._take_in(till)
        self.discovery.entries[number] = EndpointEntry(number, cell)
        return till

    def work(self, one: ClientAttempt, number: int, until: float) -> BackendRequest:
        """An attempt's work at a till server; its gateway waits until then."""
        ask = one.ask
        amount = ask.work * self.noise[ask.cls][(ask.noise + number) % NOISE_TABLE_SIZE]
        key = ask if self.effects[ask.cls] == "keyed" else None
        return BackendRequest((one.ref, number), amount, until, key, ask.units, one.gateway)

    def new_try(self, record: RequestRecord, number: int) -> ClientAttempt | None:
        """A client's try as the front sends it now; None if no patience is left for it."""
        ask, now = record.ask, self.now()
        deadline = self.deadlines[ask.cls]
        patience = min(ask.patience * deadline, ask.at + deadline - now)
        if patience <= 1:
            return None
        pick = ask.pick if number == 1 else self.habits.elsewhere_pick(ask, number)
        count = len(self.lists)
        gateway = self.day.traffic.gateway(ask.customer, now, pick, count, self.seen_down)
        self.refs += 1
        record.tries = number
        one = ClientAttempt(self.refs, ask, number, gateway, now, patience)
        self.watchman.tries.append(one)
        return one

    def client_told(
        self, record: RequestRecord, one: ClientAttempt, told: ClientResult, wait: float
    ) -> float | None:
        """A client has its end of a try: after how long it comes again, if it does."""
        one.known = True
        record.last, record.ended = told, self.now()
        if told == "served" and record.served is None:
            record.served, record.inside = record.ended, bool(one.inside)
        safe = self.effects[one.ask.cls] == "safe"
        return self.habits.next_try(one.ask, one.number, told, wait, safe)

    # Faults

    def _strike(self, fault: Fault) -> None:
        getattr(self, f"_on_{fault.kind}")(fault)

    def _change(self, entry: EndpointEntry, silent: bool = False) -> None:
        for at, gateway in self.discovery.change(self.now(), entry, len(self.lists), silent):
            self.at(at, self._news, gateway, entry)

    def _news(self, gateway: int, entry: EndpointEntry) -> None:
        if entry.state == "gone":
            self.lists[gateway].pop(entry.server, None)
        else:
            self.lists[gateway][entry.server] = entry
        self._told(gateway, entry)

    def _gone(self, number: int) -> None:
        self._die(number)
        self._change(EndpointEntry(number, self.tills[number].cell, "gone"))

    def _on_crash(self, fault: Fault) -> None:
        # The list knows whether a process runs: it is told that this one is gone, and then of its start.
        for number in fault.who:
            self._gone(number)
            if fault.lasts:
                self.at(fault.end, self._come_back, number)

    def _come_back(self, number: int) -> None:
        till = self.tills[number]
        if not till.fallen:
            self._start_again(number)
            self._change(EndpointEntry(number, till.cell, "ready", self.now()))

    def fell(self, till: Backend) -> None:
        """Pushed over while cold: it stays down."""
        self.watchman.pushed_over(till)
        self._gone(till.number)

    def _on_silent(self, fault: Fault) -> None:
        for number in fault.who:
            self._fall_silent(number)
            self._change(EndpointEntry(number, self.tills[number].cell, "gone"), silent=True)
            if fault.lasts:
                self.at(fault.end, self._come_back, number)

    def _on_drain(self, fault: Fault) -> None:
        for number in fault.who:
            self._change(
                EndpointEntry(number, self.tills[number].cell, "draining", self.tills[number].started)
            )
            self.at(fault.end + 2 * self.window, self._gone, number)

    def _on_add(self, fault: Fault) -> None:
        speeds = self.day.streams.of("added", int(fault.at))
        for _ in range(int(fault.size)):
            till = self._add_till(self.next_server, speeds)
            self.next_server += 1
            till.start(self.now())
            self._change(EndpointEntry(till.number, till.cell, "ready", self.now()))

    def _on_restart(self, fault: Fault) -> None:
        for number in fault.who:
            self._kill(number)
            self.at(fault.end, self._revive, number)

    def _on_burst(self, fault: Fault) -> None:
        """Drawn into the traffic."""

    def _on_counter_down(self, fault: Fault, how: Any = "refusing") -> None:
        self.counter.down = how
        self.at(fault.end, self._counter_back, fault.size > 0.5)

    def _on_counter_silent(self, fault: Fault) -> None:
        self._on_counter_down(fault, "silent")

    def _counter_back(self, empty: bool) -> None:
        self.counter.down = ""
        if empty:
            self.counter.empty()

    def _on_counter_slow(self, fault: Fault) -> None:
        self.counter.slower = fault.size
        self.at(fault.end, setattr, self.counter, "slower", 1.0)

    def _on_counter_split(self, fault: Fault) -> None:
        self.counter.split(frozenset(fault.who))
        self.at(fault.end, self.counter.split, frozenset())

    def _on_cut(self, fault: Fault) -> None:
        self.network.split = frozenset(fault.who)
        self.at(fault.end, setattr, self.network, "split", frozenset())

    def _on_loss(self, fault: Fault) -> None:
        before, self.network.loss = self.network.loss, fault.size
        self.at(fault.end, setattr, self.network, "loss", before)
