"""Real gateways with copies on loopback, faults between and in them by seed, and whether every promise held.

What breaks next depends on the seed and on what has happened (calls answered, who leads), not on wall time.
At the end all is mended, and every call has to be answered.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import resource
import shutil
import signal
import socket
import subprocess
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from ...platform_terms import wire_of
from ...policy import Plan, RequestClass, Settings
from ...simulation.history_checker import HistoryEvent, find_violations
from ..backends import HOST
from ..fault_proxy import Direction, FaultProxy
from ..gateway_process import GatewayError, free_port, launch_gateway
from ..replica_client import Address, ReplicaClient, gateway_statuses, leader_status, query_operator_port
from ..replica_workload import BURST, RATE, read_final_state, run_workload
from . import faulty_gateway as faulty

FLEET = "faults"
FAULTS = (
    "kill_leader", "kill", "kill_two", "pause_leader", "cut_leader", "deafen_leader", "mute_leader", "delay",
    "reset", "wipe_follower", "wipe_leader", "old_disk", "kill_all", "transfer", "term", "disk_full",
    "start_again", "die", "die", "slow_disk", "clocks",
)  # fmt: skip
ROOM = 128 * 1024  # bytes that a full disk has left
CALM = 20.0  # s within which all has to be answered once nothing is broken any more


@dataclass
class Report:
    seed: int
    gateways: int
    faults: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    calls: dict[str, int] = field(default_factory=dict)
    repeats: int = 0
    leaderless_s: list[float] = field(default_factory=list)  # from a leader's kill until another answers
    seconds: float = 0.0


class Machine:
    """A gateway with a folder of its own."""

    def __init__(self, fleet: Faults, name: str) -> None:
        self.fleet, self.name = fleet, name
        self.port, self.folder = free_port(socket.SOCK_STREAM), fleet.folder / name
        self.process: subprocess.Popen[bytes] | None = None
        self.paused = False
        self.saved: Path | None = None
        self.program = fleet.program
        self.listen = 0
        self.plan: faulty.Plan | None = None

    @property
    def where(self) -> Address:
        return HOST, self.port

    def write(self) -> None:
        peers = []
        for other in self.fleet.machines.values():
            # The lower name dials: through the proxy of that pair.
            proxy = self.fleet.proxies.get((self.name, other.name))
            port = proxy.port if proxy is not None else other.port
            peers.append(f'(peer (name "{other.name}") (address "127.0.0.1:{port}") (zone "{other.name}"))')
        text = (
            f'(copies (fleet "{FLEET}") (folder "{self.folder / "disk"}") (groups {self.fleet.groups})'
            f" (size {self.fleet.size}) (lease {'true' if self.fleet.lease else 'false'})"
            f" (election-ms {self.fleet.election_ms})"
            f" (replace-after-s {self.fleet.replace_after}) (settle-after-s {self.fleet.settle_after})"
            f" {' '.join(peers)})\n{self.fleet.further}\n"
        )
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "operators.sexp").write_text(text)
        self.listen = free_port(socket.SOCK_STREAM)
        config = {**self.fleet.config, "name": self.name, "listen": f"127.0.0.1:{self.listen}"}
        (self.folder / "config.json").write_text(json.dumps(config))

    def start(self) -> None:
        if self.process is not None and self.process.poll() is None:
            return
        self.write()
        env = {
            "PROXY_CONFIG": str(self.folder / "config.json"),
            "PROXY_OPERATORS": str(self.folder / "operators.sexp"),
        }
        self.plan = None  # it reads at its start: a signal before it listens for one would end it
        self.tell(faulty.Plan())
        env[faulty.VARIABLE] = str(self.folder / "faults")
        self.process = launch_gateway(self.program, env, self.folder / "log", faulty.__name__)
        self.paused = False

    def tell(self, plan: faulty.Plan) -> None:
        """What its process is to do wrong from now on."""
        if plan == self.plan:
            return
        self.plan = plan
        (self.folder / "faults").write_bytes(msgspec.json.encode(plan))
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGUSR2)

    def kill(self, how: signal.Signals = signal.SIGKILL) -> None:
        if self.process is not None:
            self.go_on()
            self.process.send_signal(how)
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.process.wait(8)
            self.process.kill()
            self.process.wait()
            self.process = None

    def pause(self) -> None:
        if self.process is not None and not self.paused:
            self.process.send_signal(signal.SIGSTOP)
            self.paused = True

    def go_on(self) -> None:
        if self.process is not None and self.paused:
            self.process.send_signal(signal.SIGCONT)
        self.paused = False

    def fill_disk(self) -> None:
        """From now on no file of this process can grow past a little more than its log has: SQLite's
        write-ahead log, whose space is used anew each thousand pages, soon wants more.
        """
        if self.process is not None:
            size = (self.folder / "log").stat().st_size + ROOM
            _, most = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (size, most))

    def make_room(self) -> None:
        if self.process is not None and self.process.poll() is None:
            _, most = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (most, most))

    def wipe(self) -> None:
        """The machine is lost with its disk, and another stands in its place."""
        self.kill()
        shutil.rmtree(self.folder / "disk", ignore_errors=True)

    def save(self) -> None:
        """Keep a copy of the disk as it is, taken while nobody writes to it."""
        self.kill()
        self.saved = self.folder / "saved"
        shutil.rmtree(self.saved, ignore_errors=True)
        shutil.copytree(self.folder / "disk", self.saved)

    def put_back(self) -> None:
        self.kill()
        if self.saved is not None:
            shutil.rmtree(self.folder / "disk", ignore_errors=True)
            shutil.copytree(self.saved, self.folder / "disk")


def replicas_only_config() -> dict[str, Any]:
    """A gateway's configuration with nobody around it: only its copies are played with."""
    settings = Settings(
        gateway_index=0,
        gateway_count=1,
        classes={"look": RequestClass("look", latency_objective=500, deadline=2000)},
        plans={"plan": Plan("plan", rate=RATE, burst=BURST)},
    )
    return {
        "name": "g0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "settings": wire_of(settings),
    }


class Faults:
    def __init__(
        self,
        folder: Path,
        config: dict[str, Any],
        gateways: int = 3,
        seed: int = 1,
        size: int = 3,
        election_ms: float = 400.0,
        program: Path | None = None,
    ) -> None:
        self.folder, self.config, self.seed, self.size = folder, config, seed, size
        self.groups = 1
        self.election_ms, self.replace_after, self.settle_after = election_ms, 600.0, 600.0
        self.program = program or Path(__file__).parents[3]
        self.random = random.Random(seed)
        self.proxies: dict[tuple[str, str], FaultProxy] = {}
        self.machines: dict[str, Machine] = {}
        for number in range(gateways):
            self.machines[f"g{number}"] = Machine(self, f"g{number}")
        self.history: list[HistoryEvent] = []
        self.report = Report(seed, gateways)
        self.origin = time.monotonic()
        self.further = ""  # sections of the operators' file besides
        self.lease = True  # gateways lease what their own clients may use
        self.over = False

    def now(self) -> float:
        return time.monotonic() - self.origin

    @property
    def answered(self) -> int:
        return sum(bool(event.ended) for event in self.history)

    # What is seen from outside

    async def statuses(self) -> dict[str, dict[str, Any]]:
        up = {one.name: one.where for one in self.machines.values() if one.process and not one.paused}
        told = await gateway_statuses(up, FLEET)
        return {name: status for name, status in told.items() if status is not None}

    async def leader(self, but: str = "", patience: float = CALM) -> Machine:
        """Whoever leads the group, in the highest term that is told. Raises `GatewayError`."""
        end = time.monotonic() + patience
        while time.monotonic() < end:
            leads = leader_status(await self.statuses(), 0)
            if leads is not None and leads["leader"] != but:
                return self.machines[leads["leader"]]
            await asyncio.sleep(0.03)
        raise GatewayError(f"nobody leads after {patience:g} s")

    async def whole(self, patience: float = CALM) -> None:
        """Wait until all are here, and the group's voters are of the present incarnations."""
        end = time.monotonic() + patience
        while time.monotonic() < end:
            told = await self.statuses()
            present = {f"{name}/{status['incarnation']}" for name, status in told.items()}
            leads = leader_status(told, 0)
            voters = set(leads["voters"]) if leads is not None else set()
            if len(told) == len(self.machines) and voters <= present and len(voters) == self.size:
                return
            await asyncio.sleep(0.05)
        raise GatewayError(f"the group is not whole after {patience:g} s: {await self.statuses()}")

    # Faults

    def ways(self, source: Machine | None, to: Machine | None) -> list[Direction]:
        """The directions from one machine to another; None is any."""
        found = []
        for (lower, higher), proxy in self.proxies.items():
            for a, b, way in (lower, higher, proxy.there), (higher, lower, proxy.back):
                if (source is None or source.name == a) and (to is None or to.name == b):
                    found.append(way)
        return found

    def mend(self) -> None:
        for way in self.ways(None, None):
            way.delay, way.left = 0.0, None
            way.open.set()
        for machine in self.machines.values():
            machine.tell(faulty.Plan())
            machine.make_room()
            machine.go_on()
            machine.start()

    async def more(self, calls: int, patience: float = 3.0) -> None:
        """Let so many more calls be answered, or that much time pass: nobody may be able to."""
        target, end = self.answered + calls, time.monotonic() + patience
        while self.answered < target and time.monotonic() < end:
            await asyncio.sleep(0.01)

    async def fault(self, what: str) -> None:
        leader = await self.leader()
        others = [one for one in self.machines.values() if one is not leader]
        other = self.random.choice(others)
        calls = self.random.randint(0, 30)
        match what:
            case "kill_leader" | "term":
                begun = time.monotonic()
                leader.kill(signal.SIGTERM if what == "term" else signal.SIGKILL)
                await self.leader(but=leader.name)
                if what == "kill_leader":
                    self.report.leaderless_s.append(time.monotonic() - begun)
            case "kill":
                other.kill()
                await self.more(calls)
            case "kill_two":
                for one in [leader, other] if len(self.machines) >= 5 and self.size >= 5 else [other]:
                    one.kill()
                await self.more(calls)
            case "pause_leader":
                leader.pause()
                await self.leader(but=leader.name)
                await self.more(calls)
                leader.go_on()  # it believes that it still leads
            case "cut_leader" | "deafen_leader" | "mute_leader":
                cut = self.ways(None, leader) if what != "mute_leader" else []
                cut += self.ways(leader, None) if what != "deafen_leader" else []
                for way in cut:
                    way.open.clear()
                await self.more(calls)
            case "delay":
                for way in self.random.sample(self.ways(None, None), 2):
                    way.delay = self.random.uniform(0.01, 0.2)
                await self.more(calls)
            case "reset":
                for way in self.ways(leader, None):
                    way.left = self.random.randint(1, 4000)
                await self.more(calls)
            case "wipe_follower" | "wipe_leader":
                lost = leader if what == "wipe_leader" else other
                lost.wipe()
                await self.more(self.random.choice([0, 0, calls]))
                lost.start()  # at once, under its name
                await self.whole()
            case "old_disk":
                other.save()
                other.start()
                await self.whole()
                await self.more(10 + calls)
                other.put_back()
                other.start()
                await self.whole()
            case "kill_all":
                order = list(self.machines.values())
                self.random.shuffle(order)
                for one in order:
                    one.kill()
                self.random.shuffle(order)
                for one in order:
                    one.start()
                    await asyncio.sleep(self.random.choice([0.0, 0.0, 0.3]))
            case "disk_full":
                leader.fill_disk()
                await self.leader(but=leader.name)  # it hands over what it cannot write
                await self.more(calls)
            case "start_again":  # in good order, one after another, each once the one before is back
                for one in self.machines.values():
                    one.kill(signal.SIGTERM)
                    one.start()
                    await self.whole()
            case "die":
                step, after = self.random.choice(faulty.STEPS), self.random.randint(1, 6)
                dies = self.random.choice([leader, other])
                dies.tell(faulty.Plan(die_at=step, after=after))
                await self.more(30 + calls)
            case "slow_disk":
                for one in [leader, *self.random.sample(others, 1)]:
                    one.tell(faulty.Plan(slow=self.random.choice([0.02, 0.1])))
                await self.more(calls)
            case "clocks":
                for one, off in (leader, 5.0), (other, -5.0):
                    one.tell(faulty.Plan(clock=off))
                await self.more(calls)
            case "transfer":
                await query_operator_port(leader.where, FLEET, "transfer", 0)
                await self.more(calls)

    async def up(self) -> None:
        """Start all, every pair through a proxy, until the group is whole."""
        for lower in self.machines:
            for higher in self.machines:
                if lower < higher:
                    self.proxies[lower, higher] = FaultProxy(self.machines[higher].port)
                    await self.proxies[lower, higher].start()
        for machine in self.machines.values():
            machine.start()
        await self.whole()

    async def down(self) -> None:
        for machine in self.machines.values():
            machine.kill()
        for proxy in self.proxies.values():
            await proxy.close()

    async def play(self, faults: int = 6, callers: int = 4, schedule: Sequence[str] = ()) -> Report:
        """So many faults as the seed draws them, or those of the schedule."""
        begun = time.monotonic()
        tasks: list[asyncio.Task[None]] = []
        some: list[ReplicaClient] = []
        try:
            await self.up()
            for number in range(callers):
                some.append(self.caller(number))
                tasks.append(asyncio.create_task(run_workload(some[-1], lambda: self.over)))
            await self.more(20, CALM)
            for what in schedule or self.random.choices(FAULTS, k=faults):
                self.report.faults.append(what)
                await self.fault(what)
                self.mend()
                await self.whole()
                await self.more(20, CALM)
            self.over = True
            await asyncio.wait_for(asyncio.gather(*tasks), CALM)
            self.report.broken = find_violations(self.history, await read_final_state(some[0], CALM), BURST)
        except (GatewayError, TimeoutError) as error:
            stuck = [f"{e.session} {e.number}" for e in self.history if not e.ended][:3]
            self.report.broken.append(f"not mended in time: {error!r} {stuck}")
        finally:
            for task in tasks:
                task.cancel()
            for caller in some:
                caller.close()
            await self.down()
        kinds = Counter(e.operation.split()[0] if isinstance(e.operation, str) else type(e.operation).__name__
                        for e in self.history)  # fmt: skip
        self.report.calls = dict(sorted(kinds.items()))
        self.report.repeats = sum(caller.repeats for caller in some)
        self.report.seconds = round(time.monotonic() - begun, 2)
        return self.report

    def caller(self, number: int) -> ReplicaClient:
        where = {name: machine.where for name, machine in self.machines.items()}
        chance = random.Random(self.seed * 1000 + number)
        return ReplicaClient(f"s{number}", where, FLEET, 0, self.history, self.now, chance)
