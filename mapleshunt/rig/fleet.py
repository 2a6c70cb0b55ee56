"""A day on loopback: gateways as processes, everything else in this one; judged as the model's days are."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from ..model.day import CLASSES, Day, Rules
from ..model.record import AskRecord, Books, TryRecord
from ..model.rules import Watchman
from ..model.score import Score, score
from ..terms import wire_of
from ..world.chance import Draws, lognormal
from ..world.clients import Habits
from ..world.counter import Counter
from ..world.discovery import Discovery, Entry
from ..world.faults import Fault
from ..world.network import Intake, Network
from ..world.till import Cell, TillServer, Work
from .clients import Clients
from .clock import Clock
from .gateways import GatewayFailed, GatewayProcess
from .services import Agent, CounterServer, Paths
from .tills import HOST, Out, Till

SOCKET_RULES = Rules(answer_slack=58.0, drain_grace=550.0)  # every limit is 50 ms longer on sockets
NOISE = 4096
LOOK = 0.5  # s between looks at the gateways' CPU and memory
HERE = Path(__file__).parent.parent.parent


class Fleet:
    """One run. `program` is the checkout whose gateways run; `env` is added to theirs."""

    def __init__(
        self,
        day: Day,
        folder: Path,
        program: Path = HERE,
        env: Mapping[str, str] | None = None,
        limits: Mapping[str, float] | None = None,
    ) -> None:
        f, streams = day.figures, day.streams
        self.day, self.folder = day, folder
        self.clock = Clock()
        self.network, self.counter = Network(f, streams), Counter(f)
        self.discovery = Discovery(f, streams.of("discovery"))
        self.settings = day.settings()
        self.zone = self.settings[0].zone
        self.habits = Habits(f, self.settings[0].max_retry_after)
        self.watchman, self.books = Watchman(day, self.settings[0]), Books(day)
        self.books.passed = self.watchman.ceiling
        self.classes = [shape.name for shape in f.classes]
        self.effects = [CLASSES[name].get("effect", "safe") for name in self.classes]
        self.deadlines = [CLASSES[name]["deadline"] for name in self.classes]
        self.window = max(self.deadlines)
        self.handshake = f["handshake_work"]
        noise = streams.of("noise")
        self.noise = [lognormal(noise, 1.0, shape.noise, NOISE).tolist() for shape in f.classes]
        self.asks = [AskRecord(ask) for ask in day.traffic.asks]
        self.by_id: dict[str, tuple[TryRecord, AskRecord]] = {}
        self.out: dict[int, list[Out]] = {}
        self.late: list[TryRecord] = []
        self.mark = streams.integer("ids") >> 8 << 8
        self.message_bytes = self.probes = self.counts = self.events = 0
        self.strangers = self.too_long = 0
        self.cpu_ns = self.gateway_ns = 0
        count = day.scenario.gateways
        self.intakes = [Intake(self.settings[0].mail_per_s) for _ in range(count)]
        self.lists: list[dict[int, Entry]] = []
        self.down: set[int] = set()
        self.ended_by_themselves: list[int] = []
        # Machines, on sockets.
        self.tills: dict[int, TillServer] = {}
        self.tills_on: dict[int, Till] = {}
        self.cells: list[Cell] = []
        speeds, size = streams.of("speeds"), max(1, round(f["cell_size"]))
        for number in range(day.scenario.servers):
            if number % size == 0:
                self.cells.append(Cell(self.window))
            speed = max(0.3, f["speed"] * (1 + f["speed_cv"] * float(speeds.standard_normal())))
            self._add_till(number, speed, len(self.cells) - 1)
        self.next_server = day.scenario.servers
        self.lists = [dict(self.discovery.entries) for _ in range(count)]
        self.agents = [Agent(self, number) for number in range(count)]
        self.counters = [CounterServer(self, number) for number in range(count)]
        self.paths = Paths(self, count)
        self.gateways = [
            GatewayProcess(number, folder, program, self._config(number, limits or {}), env)
            for number in range(count)
        ]
        for gateway in self.gateways:
            self.paths.home[gateway.number] = (HOST, gateway.peer_port)
        self.clients = Clients(self)

    def _add_till(self, number: int, speed: float, cell: int) -> Till:
        errors = self.day.streams.of("errors", number)
        machine = TillServer(
            number,
            self.day.figures,
            speed,
            cell,
            self.cells[cell],
            Draws(errors.random),
            self.day.rules.tip_after,
            self.day.rules.fall_multiple,
        )
        self.tills[number] = machine
        till = self.tills_on[number] = Till(machine, self)
        self.discovery.entries[number] = Entry(number, cell)
        return till

    def _config(self, number: int, limits: Mapping[str, float]) -> dict[str, Any]:
        paths, count = self.paths, self.day.scenario.gateways
        f = self.day.figures
        settings = wire_of(
            self.settings[number], DialTimeout=f["dial_ms"], ConnIdle=f["conn_idle_ms"], MaxOpen=20000
        )
        return {
            "name": f"n{number}", "discovery": f"{HOST}:{self.agents[number].port}",
            "seed": self.day.streams.integer("gateway", number),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits},
            "peers": [paths.address(number, peer) for peer in range(count)],
            "peers_all": paths.address(number, -1), "counter": f"{HOST}:{self.counters[number].port}",
            "settings": settings,
        }  # fmt: skip

    # Running

    async def run(self) -> Score:
        """Play the day. Raises `GatewayFailed` if a gateway does not start or ends by itself."""
        begun = time.process_time_ns()
        wall = time.perf_counter()
        try:
            for gateway in self.gateways:
                self._told(gateway.number)
                gateway.spawn(self._known(gateway.number))
            await asyncio.gather(*(gateway.ready() for gateway in self.gateways))
            self.clock.begin()
            for number in range(len(self.gateways)):
                self._told(number)
            for fault in self.day.faults:
                self.clock.at(fault.at, self._strike, fault)
            looking = asyncio.get_running_loop().create_task(self._look())
            await self.clients.run()
            looking.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await looking
        finally:
            await asyncio.gather(*(gateway.stop() for gateway in self.gateways))
            self.close()
        self.gateway_ns = int(1e9 * sum(gateway.cpu for gateway in self.gateways))
        self.cpu_ns = time.process_time_ns() - begun + self.gateway_ns
        self.events = sum(len(one.attempts) + 1 for one in self.watchman.tries)
        if self.ended_by_themselves:
            raise GatewayFailed(f"gateways {self.ended_by_themselves} ended by themselves; see {self.folder}")
        found = score(self)
        found.wall_s = time.perf_counter() - wall
        return found

    async def _look(self) -> None:
        while True:
            for gateway in self.gateways:
                gateway.look()
                if gateway.process is not None and not gateway.alive() and gateway.number not in self.down:
                    self.ended_by_themselves.append(gateway.number)
                    self.down.add(gateway.number)
            await asyncio.sleep(LOOK)

    def close(self) -> None:
        for till in self.tills_on.values():
            till.stop()
            till.close_all()
        for agent in self.agents:
            agent.server.stop()
        for counter in self.counters:
            counter.stop()
            counter.refuse()
        for number in range(len(self.gateways)):
            self.clients.drop(number)
        self.paths.close()

    def _known(self, number: int) -> dict[str, Any]:
        rows = [self.agents[number].row(entry) for entry in self.lists[number].values()]
        return {"revision": self.agents[number].revision, "complete": True, "members": rows}

    def _told(self, number: int) -> None:
        self.watchman.told_list(number, self.lists[number].values(), self.clock.now())

    # What the parts ask

    def command(self, one: TryRecord, name: str) -> bytes:
        ask = one.ask
        who = self.day.traffic.customers[ask.customer]
        pairs = (
            f"c={self.classes[ask.cls]},t={self.day.figures.plans[who.plan].name},d={one.patience:.3f},"
            f"units={ask.guess:.0f},spread={who.spread},first={who.first}"
        )
        if one.number > 1:
            pairs += ",r=1"
        safe = self.effects[ask.cls] == "safe"
        if not safe:
            pairs += f",k={abs(hash((ask.customer, ask.at, ask.work))) & (2**64 - 1):016x}"
        words = [b"SVC.QUERY" if safe else b"SVC.SUBMIT", who.name.encode(), name.encode(), pairs.encode()]
        return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)

    def work(self, one: TryRecord, number: int) -> Work:
        ask = one.ask
        amount = ask.work * self.noise[ask.cls][(ask.noise + number) % NOISE]
        key = ask if self.effects[ask.cls] == "keyed" else None
        return Work((one.ref, number), amount, one.sent + one.patience, key, ask.units, one.gateway)

    def ended(self, out: Out) -> None:
        there = self.out.get(out.one.ref, [])
        if out in there:
            there.remove(out)
        if not there:
            self.out.pop(out.one.ref, None)

    def give_up(self, out: Out) -> None:
        self.tills_on[out.attempt.server].give_up(out)

    def unwell(self, gateway: int) -> bool:
        """It has been killed, or told to end: connections that it ends are no loss of its own."""
        return gateway in self.down or not self.gateways[gateway].alive()

    # Faults

    def _strike(self, fault: Fault) -> None:
        getattr(self, f"_on_{fault.kind}")(fault)

    def _change(self, entry: Entry, silent: bool = False) -> None:
        for at, gateway in self.discovery.change(self.clock.now(), entry, len(self.gateways), silent):
            self.clock.at(at, self._news, gateway, entry)

    def _news(self, gateway: int, entry: Entry) -> None:
        if entry.state == "gone":
            self.lists[gateway].pop(entry.server, None)
        else:
            self.lists[gateway][entry.server] = entry
        self.agents[gateway].change(entry)

    def _on_crash(self, fault: Fault) -> None:
        for number in fault.who:
            till = self.tills_on[number]
            till.die()
            self._change(Entry(number, till.machine.cell, "gone"))
            if fault.lasts:
                self.clock.at(fault.end, self._come_back, number)

    def _come_back(self, number: int) -> None:
        till = self.tills_on[number]
        if not till.machine.fallen:
            till.come_back()
            self._change(Entry(number, till.machine.cell, "ready", self.clock.now()))

    def fell(self, till: Till) -> None:
        """Pushed over while cold: it stays down."""
        self.watchman.pushed_over(till.machine)
        till.die()
        self._change(Entry(till.machine.number, till.machine.cell, "gone"))

    def _on_silent(self, fault: Fault) -> None:
        for number in fault.who:
            self.tills_on[number].fall_silent()
            self._change(Entry(number, self.tills[number].cell, "gone"), silent=True)
            if fault.lasts:
                self.clock.at(fault.end, self._come_back, number)

    def _on_drain(self, fault: Fault) -> None:
        for number in fault.who:
            self._change(Entry(number, self.tills[number].cell, "draining", self.tills[number].started))
            self.clock.at(fault.end + 2 * self.window, self._gone, number)

    def _gone(self, number: int) -> None:
        self.tills_on[number].die()
        self._change(Entry(number, self.tills[number].cell, "gone"))

    def _on_add(self, fault: Fault) -> None:
        speeds, f = self.day.streams.of("added", int(fault.at)), self.day.figures
        for _ in range(int(fault.size)):
            number, self.next_server = self.next_server, self.next_server + 1
            speed = max(0.3, f["speed"] * (1 + f["speed_cv"] * float(speeds.standard_normal())))
            till = self._add_till(number, speed, len(self.cells) - 1)
            till.machine.start(self.clock.now())
            self._change(Entry(number, till.machine.cell, "ready", self.clock.now()))

    def _on_restart(self, fault: Fault) -> None:
        for number in fault.who:
            self._kill(number)
            self.clock.at(fault.end, self._revive, number)

    def _kill(self, number: int) -> None:
        self.down.add(number)
        self.gateways[number].kill()
        self.watchman.killed(number)
        self.clients.drop(number)
        self.clock.at(self.clock.now() + self.day.figures["front_notice_ms"], self._front_sees, number)

    def _front_sees(self, number: int) -> None:
        if number in self.down:
            self.clients.seen_down.add(number)

    def _revive(self, number: int) -> None:
        gateway = self.gateways[number]
        gateway.spawn(self._known(number))
        self._told(number)

        async def take_in() -> None:
            try:
                await gateway.ready()
            except GatewayFailed:
                self.ended_by_themselves.append(number)
                return
            self.down.discard(number)
            self.clients.seen_down.discard(number)

        task = asyncio.get_running_loop().create_task(take_in())
        self.clients.tasks.add(task)
        task.add_done_callback(self.clients.tasks.discard)

    def _on_leave(self, fault: Fault) -> None:
        for number in fault.who:
            self.gateways[number].term()
            self.clock.at(self.clock.now() + 300.0, self.clients.seen_down.add, number)
            self.clock.at(self.clock.now() + 300.0, self.clients.drop, number)
            stop = self.clock.now() + self.window + 1000.0
            self.clock.at(stop, self._kill, number)
            self.clock.at(stop + fault.lasts, self._revive, number)
            self.down.add(number)

    def _on_burst(self, fault: Fault) -> None:
        """Drawn into the traffic."""

    def _on_counter_down(self, fault: Fault, how: Any = "refusing") -> None:
        self.counter.down = how
        for server in self.counters:
            server.refuse()
        self.clock.at(fault.end, self._counter_back, fault.size > 0.5)

    def _on_counter_silent(self, fault: Fault) -> None:
        self._on_counter_down(fault, "silent")

    def _counter_back(self, empty: bool) -> None:
        self.counter.down = ""
        if empty:
            self.counter.empty()

    def _on_counter_slow(self, fault: Fault) -> None:
        self.counter.slower = fault.size
        self.clock.at(fault.end, self._set_slower, 1.0)

    def _set_slower(self, times: float) -> None:
        self.counter.slower = times

    def _on_counter_split(self, fault: Fault) -> None:
        self.counter.split(frozenset(fault.who))
        self.clock.at(fault.end, self.counter.split, frozenset())

    def _on_loss(self, fault: Fault) -> None:
        before, self.network.loss = self.network.loss, fault.size
        self.clock.at(fault.end, self._set_loss, before)

    def _set_loss(self, loss: float) -> None:
        self.network.loss = loss


def on_sockets(day: Day) -> Day:
    """The day under the rules as they hold on sockets."""
    return Day(day.scenario, day.seed, day.streams, day.figures, day.traffic, day.faults, SOCKET_RULES)


async def _play(
    day: Day, folder: Path, program: Path, env: Mapping[str, str] | None, limits: Mapping[str, float] | None
) -> tuple[Fleet, Score]:
    fleet = Fleet(on_sockets(day), folder, program, env, limits)
    return fleet, await fleet.run()


def play(
    day: Day,
    folder: Path | None = None,
    program: Path = HERE,
    env: Mapping[str, str] | None = None,
    limits: Mapping[str, float] | None = None,
) -> tuple[Fleet, Score]:
    """Play a day on loopback with real gateways; logs and configurations stay in `folder`.

    Raises `GatewayFailed`.
    """
    import uvloop

    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return uvloop.run(_play(day, folder, program, env, limits))
    with tempfile.TemporaryDirectory() as place:
        return uvloop.run(_play(day, Path(place), program, env, limits))
