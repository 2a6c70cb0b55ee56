"""Stand-ins for the review's cases: discovery, till servers, clients, and gateways as processes.

They need nothing beyond the standard library. Every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
READY_LIMIT_S = 30.0  # the pages give a gateway this long to be ready
# The rule on lost requests: an answer counts up to half a second after the client's time; on sockets every
# time limit is 50 ms longer.
ANSWER_SLACK_S = 0.5 + 0.05
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not run; this says nothing about the rule."""


def trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a loopback port that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        """Begin a new record at that path."""
        self._file = path.open("w", encoding="utf-8")
        self._begun = time.monotonic()

    def add(self, event: str, **values: object) -> None:
        """Write a line: seconds since the beginning, the event, and its values."""
        pairs = " ".join(f"{name}={value}" for name, value in values.items())
        self._file.write(f"{time.monotonic() - self._begun:9.3f} {event} {pairs}\n")

    def say(self, text: str) -> None:
        """Write a line and print it."""
        self._file.write(f"{time.monotonic() - self._begun:9.3f} {text}\n")
        self._file.flush()
        print(text, flush=True)

    def close(self) -> None:
        """Write what is buffered."""
        self._file.close()


def encode_command(*words: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Read a command. Raises `asyncio.IncompleteReadError` at the end of the stream."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


async def read_reply(reader: asyncio.StreamReader) -> bytes:
    """Read a client's reply: an error or simple line, or a bulk string with its framing."""
    line = await reader.readuntil(b"\r\n")
    if line[:1] == b"$" and line != b"$-1\r\n":
        return line + await reader.readexactly(int(line[1:]) + 2)
    return line


# Till servers


@dataclass
class Run:
    """A command that arrived whole at a till server."""

    server: str
    request_id: str
    key: str
    timeout_ms: float
    began_at: float
    turned_away: bool = False


class TillServer:
    """A till server that answers each command after `work_s`, as the protocol page says."""

    def __init__(
        self,
        name: str,
        record: Record,
        work_s: float,
        cell: int = 0,
        zone: str = "",
        slots: int = 8,
        queue: int = 34,
    ) -> None:
        """Prepare a server of so many slots and waiting places; `start` begins to listen."""
        self.name, self.record, self.work_s = name, record, work_s
        self.slots, self.places, self.in_hand = asyncio.Semaphore(slots), slots + queue, 0
        self.work_by_class: dict[str, float] = {}  # seconds, in place of `work_s`
        self.cell, self.zone, self.phase = cell, zone, "Ready"
        self.port = 0
        self.runs: list[Run] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, backlog=1024)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def member(self) -> dict[str, Any]:
        """Return its entry in discovery's list."""
        return {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": self.zone,
            "flavor": "gen-a",
            "cell": self.cell,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                words = await read_command(reader)
                if words[0] == b"PING":
                    writer.write(b"+PONG\r\n")
                    continue
                pairs = dict(item.split("=", 1) for item in words[3].decode().split(","))
                run = Run(
                    self.name, words[2].decode(), pairs.get("k", ""), float(pairs["d"]), time.monotonic()
                )
                self.runs.append(run)
                self.record.add("run", server=self.name, id=run.request_id, d=pairs["d"], key=run.key or "-")
                if self.in_hand >= self.places:  # the queue is full
                    run.turned_away = True
                    self.record.add("turned_away", server=self.name, id=run.request_id)
                    writer.write(b"-BUSY\r\n")
                    continue
                await self._work(self.work_by_class.get(pairs["c"], self.work_s))
                value = self.value(words[2])
                writer.write(b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the connection has ended, or the case has
        finally:
            self._writers.discard(writer)
            writer.close()

    def value(self, request_id: bytes) -> bytes:
        """Return the value for a request."""
        return b"%s did %s" % (self.name.encode(), request_id)

    async def _work(self, seconds: float) -> None:
        self.in_hand += 1
        try:
            async with self.slots:
                await asyncio.sleep(seconds)
        finally:
            self.in_hand -= 1

    def stop(self) -> None:
        """Stop listening and reset all connections, as when the process dies."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


# Discovery


class Discovery:
    """The agent beside a gateway: it answers at once with what it has, and a watch at the next change."""

    def __init__(self, servers: list[TillServer], record: Record) -> None:
        """Prepare an agent that lists these servers."""
        self.servers, self.record = servers, record
        self.revision = 41
        self.port = 0
        self.changes: list[tuple[int, dict[str, Any]]] = []  # revision and entry
        self.delay_s = 0.0  # of each answer
        self.calls = 0
        self.given_up = 0  # calls whose gateway had closed the connection before the answer
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list."""
        members = [server.member() for server in self.servers if server.phase != "Gone"]
        return {"revision": self.revision, "complete": True, "members": members}

    def change(self, server: TillServer, phase: str) -> None:
        """Change a server's phase, and answer the watches that wait."""
        server.phase = phase
        self.revision += 1
        self.changes.append((self.revision, server.member()))
        self.record.add("discovery_has", server=server.name, phase=phase, revision=self.revision)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                target = head.split(" ", 2)[1]
                self.calls += 1
                self.record.add("discovery_called", target=target)
                body = json.dumps(await self._answer(target)).encode()
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if reader.at_eof() or writer.is_closing():
                    self.given_up += 1
                    self.record.add("discovery_given_up", target=target)
                    return
                await self._write(writer, body)
                self.record.add("discovery_answered", target=target, bytes=len(body))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the connection has ended, or the case has
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _write(self, writer: asyncio.StreamWriter, body: bytes) -> None:
        head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()

    async def _answer(self, target: str) -> dict[str, Any]:
        query = dict(item.split("=", 1) for item in target.partition("?")[2].split("&") if item)
        if "index" not in query:
            return self.whole_list()
        since, wait_s = int(query["index"]), min(60.0, float(query.get("wait", 0)) / 1000)
        if since >= self.revision and wait_s:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
        entries = [entry for revision, entry in self.changes if revision > since]
        return {"revision": self.revision, "complete": False, "members": entries}

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


# Gateways


def run_command() -> str:
    """Return the command that the deploy file gives for one gateway."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)["run"])


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, config: dict[str, Any], folder: Path) -> None:
        """Prepare a gateway; the folder gets its configuration, log and temporary files."""
        self.name = str(config["name"])
        self.port = free_port()
        self.config = {**config, "listen": f"{HOST}:{self.port}"}
        self._folder = folder
        self._path = folder / f"{self.name}.json"
        self.log = folder / f"{self.name}.log"
        self._temporary = folder / f"{self.name}.tmp"
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self) -> None:
        """Replace the configuration file."""
        partial = self._path.with_suffix(".part")
        partial.write_text(json.dumps(self.config))
        partial.replace(self._path)

    def start(self) -> None:
        """Start the process."""
        self._temporary.mkdir(exist_ok=True)
        self.write_config()
        env = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
        env |= {"PROXY_CONFIG": str(self._path), "TMPDIR": str(self._temporary)}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run_command()],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self) -> None:
        """Wait until it answers PING with yes, as the front does. Raises `NotRunError`."""
        deadline = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < deadline:
            if not self.is_running():
                raise NotRunError(f"gateway {self.name} ended while it started")
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(HOST, self.port)
                    writer.write(encode_command(b"PING"))
                    line = await reader.readuntil(b"\r\n")
                    writer.close()
                    if line == b"+PONG\r\n":
                        return
            await asyncio.sleep(0.05)
        raise NotRunError(f"gateway {self.name} was not ready in time")

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def memory_mb(self) -> float:
        """Return the memory of its own that the process holds, without the files that it maps."""
        if self.process is None:
            return 0.0
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process that `run` became."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """End the process, if it is still running."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()


# Clients


@dataclass
class Request:
    """A request of a sound client, and what became of it."""

    request_id: str
    timeout_s: float
    sent_at: float = 0.0
    answered_at: float = 0.0
    answer: bytes = b""
    end: str = ""  # "answered", "late", "unanswered", "refused", "closed"

    @property
    def is_lost(self) -> bool:
        """Return whether it was taken and had no final answer in time."""
        return self.end in ("late", "unanswered")


@dataclass
class Client:
    """Sends requests of one class, each on a connection of its own, and waits for the final answers."""

    port: int
    record: Record
    verb: bytes
    pairs: str  # without the time and the key
    timeout_s: float
    keyed: bool = False
    body: bytes = b""
    requests: list[Request] = field(default_factory=list)
    _number: int = 0

    async def ask(self, customer: int) -> Request:
        """Send one request and wait for its final answer, at most until it counts as lost."""
        self._number += 1
        request_id = f"{(id(self) & 0xFFFFFFFF) << 32 | self._number:016x}"
        request = Request(request_id, self.timeout_s)
        self.requests.append(request)
        key = f",k={request_id}" if self.keyed else ""
        words = [
            self.verb,
            f"{customer:016x}".encode(),
            request_id.encode(),
            f"{self.pairs},d={1000 * self.timeout_s:.0f}{key}".encode(),
        ]
        command = encode_command(*words, *([self.body] if self.body else []))
        try:
            async with asyncio.timeout(self.timeout_s):
                reader, writer = await asyncio.open_connection(HOST, self.port)
        except (OSError, TimeoutError):
            request.end = "refused"  # it was not taken
            self.record.add("not_connected", id=request_id)
            return request
        try:
            await self._exchange(request, reader, writer, command)
        finally:
            writer.close()
        waited = time.monotonic() - request.sent_at
        answer = request.answer[:40].decode("latin-1").strip().replace("\r\n", " ")
        self.record.add(
            "client", id=request_id, end=request.end, waited=f"{waited:.3f}", answer=answer or "-"
        )
        return request

    async def _exchange(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, command: bytes
    ) -> None:
        request.sent_at = time.monotonic()
        self.record.add("sent", id=request.request_id, d=f"{self.timeout_s:.3f}")
        writer.write(command)
        try:
            async with asyncio.timeout(self.timeout_s + ANSWER_SLACK_S):
                request.answer = await read_reply(reader)
            request.answered_at = time.monotonic()
            request.end = "answered"
        except TimeoutError:
            request.end = "unanswered"
        except (asyncio.IncompleteReadError, ConnectionError):
            request.end = "closed"


# Settings


def settings(  # noqa: PLR0913
    index: int,
    count: int,
    classes: list[dict[str, Any]],
    *,
    discovery: str,
    second_copies: bool,
    max_attempts: int,
    dial_timeout_ms: float,
    idle_ms: float,
    drain_grace_ms: float,
    quantum_ms: float = 4.0,
    zone: str = "",
    zones: tuple[str, ...] = (),
    fall_multiple: float = 2.5,
    tip_after_ms: float = 2000.0,
) -> dict[str, Any]:
    """Return a settings object with the names of the pages; plans are those of durban-yard."""
    plan = {
        "AtOnce": 0,
        "BeyondEarns": 0.0,
        "ExcessCost": 1.0,
        "HardBurst": 0.0,
        "HardRate": 0.0,
        "Tolerance": 0.0,
        "ValueFactor": 1.0,
    }
    return {
        "ClientHabits": {"MarksRetry": True},
        "Discovery": discovery,
        "DomainType": "gate",
        "Invariants": {
            "AnswerSlack": 8.0,
            "AskWithin": 10000.0,
            "Cold": 15000.0,
            "ColdFrom": 0.3,
            "DrainGrace": drain_grace_ms,
            "FallMultiple": fall_multiple,
            "TipAfter": tip_after_ms,
        },
        "Kinds": ["gen-a"],
        "Layer": 0,
        "Me": index,
        "NInstances": count,
        "Packages": [
            {"Name": name, "QuotaRate": rate, "Burst": burst, **plan}
            for name, rate, burst in (("basic", 0.8, 3.6), ("standard", 3.0, 12.0), ("full", 12.0, 24.0))
        ],
        "PolicyLimits": {
            "ConnIdle": idle_ms,
            "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 500000,
            "DialTimeout": dial_timeout_ms,
            "MaxAttempts": max_attempts,
            "MaxOpen": 20000,
            "MaxRetryAfter": 500.0,
            "MayCancel": True,
            "PeerMessages": False,
            "Probes": False,
            "RetryAfter": True,
            "SecondCopies": second_copies,
            "StreamsPerConn": 100,
        },
        "Quantum": quantum_ms,
        "Report": {"How": "none", "Names": []},
        "RequestClasses": classes,
        "Specifics": {
            "CostAfter": False,
            "CountWait": 30.0,
            "CounterPrice": 0.01,
            "Largest": 1,
            "MailPerS": 40.0,
            "MayCount": True,
            "Metering": 0.0,
        },
        "Stages": ["guide-fleet"],
        "Weights": "nominal",
        "Zone": zone,
        "Zones": list(zones),
    }


def request_class(
    name: str,
    effect: str,
    slo_ms: float,
    deadline_ms: float,
    worth: float,
    group: str = "all",
    window_ms: float = 5000.0,
) -> dict[str, Any]:
    """Return a class of the settings."""
    return {
        "Deadline": deadline_ms,
        "Effect": effect,
        "Group": group,
        "LateValue": 0.0,
        "Name": name,
        "Slo": slo_ms,
        "Stream": False,
        "Window": window_ms,
        "Worth": worth,
    }


def durban_settings(index: int, count: int = 3) -> dict[str, Any]:
    """Return settings within the ranges of the site durban-yard."""
    classes = [
        request_class("berth-find", "idempotent", 900, 2000, 5),
        request_class("load-plan", "deduplicated", 1200, 3000, 2, "cell", 1500),
        request_class("gate-pass", "at_most_once", 2000, 4500, 2),
    ]
    return settings(
        index,
        count,
        classes,
        discovery="pushed",
        second_copies=True,
        max_attempts=4,
        dial_timeout_ms=150,
        idle_ms=30000,
        drain_grace_ms=1000,
        zone="quay-n",
        zones=("quay-n", "quay-s"),
    )


def gateway_config(
    name: str,
    settings_object: dict[str, Any],
    discovery: Discovery,
    *,
    sockets: int = 1024,
    memory_mb: int = 192,
    seed: str = "8c1f30d27a5be964",
) -> dict[str, Any]:
    """Return a gateway's configuration, with the list that the agent has now as the known one."""
    return {
        "name": name,
        "discovery": f"{HOST}:{discovery.port}",
        "seed": seed,
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "peers": [],
        "counter": f"{HOST}:{free_port()}",
        "known": discovery.whole_list(),
        "settings": settings_object,
    }


# Running a case


def run_case(play: Callable[[Record, Path], Awaitable[bool]], folder: Path, limit_s: float = 110.0) -> None:
    """Run a case and exit: `play` returns whether the rule held. The record is written into `folder`."""
    record = Record(folder / "record.txt")
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    status = EXIT_NOT_RUN
    try:
        held = asyncio.run(_play_within(play, record, temporary, limit_s))
        status = EXIT_HELD if held else EXIT_BROKEN
        record.say("the rule held" if held else "THE RULE WAS BROKEN")
    except Exception as error:
        record.say(f"the case could not run: {error!r}")
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
        record.close()
    sys.exit(status)


async def _play_within(
    play: Callable[[Record, Path], Awaitable[bool]], record: Record, temporary: Path, limit_s: float
) -> bool:
    soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    record.say(f"trouble={int(trouble())} descriptors={soft}")
    async with asyncio.timeout(limit_s):
        return await play(record, temporary)
