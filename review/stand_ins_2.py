"""Stand-ins of the second review: discovery, backends, clients, peers' mail, and gateways as processes.

Only the standard library is used, so that each script runs with the Python that the deploy file builds.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
import traceback
import urllib.parse
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TextIO

HOST = "127.0.0.1"
PORTS = (20_000, 32_000)  # below the range from which connections get their own port
ROOT = Path(__file__).resolve().parent.parent
RULE_HELD, RULE_BROKEN, CANNOT_RUN = 0, 1, 2
STOP_TIMEOUT_S = 8.0
READY_TIMEOUT_S = 15.0


class CannotRunError(Exception):
    """The case could not run; nothing is said about the rule."""


class Record:
    """The file in which a case writes what was sent, answered and run, with times in s since its start."""

    def __init__(self, folder: Path) -> None:
        self._file: TextIO = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the time in s since the case began."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()


def has_trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


_given_ports: set[int] = set()  # by `free_port`, in this process


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that nobody uses now, of those that the system gives to no connection by itself."""
    while True:
        port = random.randrange(*PORTS)
        if port in _given_ports:
            continue
        with socket.socket(socket.AF_INET, kind) as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            _given_ports.add(port)
            return port


def encode_command(words: list[bytes]) -> bytes:
    """Encode a RESP2 command."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


async def read_line(reader: asyncio.StreamReader) -> bytes:
    """Return a line without its end. Raises ConnectionResetError at the end of the stream."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        raise ConnectionResetError
    return line[:-2]


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Return the words of a RESP2 command."""
    count = int((await read_line(reader))[1:])
    words = []
    for _ in range(count):
        size = int((await read_line(reader))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


async def read_reply(reader: asyncio.StreamReader) -> Any:
    """Return a RESP2 reply: bytes for a bulk string, text for a line, a list, or None."""
    line = await read_line(reader)
    kind, rest = line[:1], line[1:]
    if kind == b"$":
        return (await reader.readexactly(int(rest) + 2))[:-2] if int(rest) >= 0 else None
    if kind == b"*":
        return [await read_reply(reader) for _ in range(int(rest))]
    return line.decode("latin-1")


class Server:
    """A TCP server on a free port that ends its connections when it is stopped."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection to its end."""
        raise NotImplementedError

    def stop_listening(self) -> None:
        """Accept no new connection."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def stop(self) -> None:
        """Accept no new connection and close the open ones."""
        self.stop_listening()
        for writer in list(self.writers):
            writer.close()


class Members:
    """The list that discovery has; each change has a revision of its own."""

    def __init__(self, rows: list[dict[str, Any]]) -> None:
        self.revision = 41
        self.rows = {row["id"]: row for row in rows}
        self.changed_at = dict.fromkeys(self.rows, self.revision)
        self.changed = asyncio.Event()

    def set_phase(self, name: str, phase: str) -> None:
        """Change the phase of a backend."""
        self.revision += 1
        self.rows[name] = {**self.rows[name], "phase": phase}
        self.changed_at[name] = self.revision
        self.changed.set()
        self.changed = asyncio.Event()

    def answer(self, index: int | None) -> dict[str, Any]:
        """Return the whole list, or what changed after `index`."""
        rows = [row for name, row in self.rows.items() if index is None or self.changed_at[name] > index]
        if index is None:
            rows = [row for row in rows if row["phase"] != "Gone"]
        return {"revision": self.revision, "complete": index is None, "members": rows}


class Discovery(Server):
    """Discovery over HTTP/1.1, as the protocol page has it. `delay_s` is what it takes for each answer."""

    def __init__(self, members: Members, record: Record) -> None:
        super().__init__()
        self.members, self.record = members, record
        self.delay_s = 0.0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call after another."""
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            path = head.split(" ")[1]
            query = urllib.parse.parse_qs(urllib.parse.urlsplit(path).query)
            self.record.write(f"discovery {self.port}: call {path}")
            await asyncio.sleep(self.delay_s)
            index = int(query["index"][0]) if "index" in query else None
            if index is not None and index >= self.members.revision:
                wait_s = min(60.0, float(query.get("wait", ["0"])[0]) / 1000)
                try:
                    async with asyncio.timeout(wait_s):
                        await self.members.changed.wait()
                except TimeoutError:
                    pass
            answer = self.members.answer(index)
            await self.send(writer, json.dumps(answer).encode())
            names = ",".join(f"{row['id']}={row['phase']}" for row in answer["members"])
            self.record.write(
                f"discovery {self.port}: answered {path} at {answer['revision']}: {names or '-'}"
            )

    async def send(self, writer: asyncio.StreamWriter, body: bytes) -> None:
        """Write an answer."""
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()


class Backend(Server):
    """A till server that answers each request after `work_s`; while it drains it turns new work away."""

    def __init__(self, name: str, record: Record, zone: str = "pier_1", cell: int = 1) -> None:
        super().__init__()
        self.name, self.record, self.zone, self.cell = name, record, zone, cell
        self.work_s = 0.05
        self.draining = False
        self.arrivals: list[tuple[float, str]] = []  # time and request id of each attempt

    def row(self) -> dict[str, Any]:
        """Return its entry in discovery's list."""
        return {
            "id": self.name, "host_port": f"{HOST}:{self.port}", "locality": self.zone, "flavor": "std-3core",
            "cell": self.cell, "phase": "Ready", "size": 1.0, "up_since_ms": 0,
        }  # fmt: skip

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one command after another."""
        while True:
            words = await read_command(reader)
            if words[0] not in (b"SVC.QUERY", b"SVC.SUBMIT"):
                writer.write(b"+PONG\r\n" if words[0] == b"PING" else b"-ERR unknown\r\n")
                continue
            wire_id = words[2].decode()
            self.arrivals.append((self.record.now(), wire_id))
            self.record.write(f"backend {self.name}: got {wire_id} {words[3].decode()}")
            await self.answer(writer, words)
            await writer.drain()

    async def answer(self, writer: asyncio.StreamWriter, words: list[bytes]) -> None:
        """Write the reply to a request."""
        if self.draining:
            writer.write(b"-BUSY\r\n")
            return
        await asyncio.sleep(self.work_s)
        value = words[2] + b" by " + self.name.encode()
        report = b"qps=10,latency_ms=%d,inflight=1" % (1000 * self.work_s)
        writer.write(
            b"*3\r\n$%d\r\n%s\r\n$6\r\ncost=1\r\n$%d\r\n%s\r\n" % (len(value), value, len(report), report)
        )


class _Relay(asyncio.DatagramProtocol):
    def __init__(self, on_mail: Callable[[bytes], None]) -> None:
        self.on_mail = on_mail

    def datagram_received(self, data: bytes, _addr: Any) -> None:
        self.on_mail(data)


class Mail:
    """Carries datagrams between gateways, from the address by which the receiver knows the sender."""

    def __init__(self, ports: list[int]) -> None:
        self.ports = ports  # on which the gateways receive
        self.sockets: dict[tuple[int, int], asyncio.DatagramTransport] = {}

    async def start(self) -> None:
        """Open an address for each gateway at each gateway, and one for all."""
        loop = asyncio.get_running_loop()
        count = len(self.ports)
        for sender in range(count):
            for to in range(-1, count):
                transport, _ = await loop.create_datagram_endpoint(
                    lambda sender=sender, to=to: _Relay(lambda data: self._carry(sender, to, data)),
                    local_addr=(HOST, 0),
                )
                self.sockets[sender, to] = transport

    def _carry(self, sender: int, to: int, data: bytes) -> None:
        for receiver in range(len(self.ports)) if to < 0 else [to]:
            if receiver != sender:
                self.sockets[receiver, sender].sendto(data, (HOST, self.ports[receiver]))

    def address(self, gateway: int, peer: int) -> str:
        """Return the address by which `gateway` knows `peer`, or all for -1."""
        host, port = self.sockets[gateway, peer].get_extra_info("sockname")[:2]
        return f"{host}:{port}"

    def stop(self) -> None:
        """Close all addresses."""
        for transport in self.sockets.values():
            transport.close()


# Figures of deploy/sites/tanga-kiosk, with quotas that never bind.
TANGA_KIOSK: dict[str, Any] = {
    "Zone": "pier_1",
    "Quantum": 2.0,
    "Discovery": "on_request",
    "RequestClasses": [
        {"Name": "stock_look.v2", "Slo": 500.0, "Deadline": 900.0, "Effect": "idempotent", "Worth": 1.0},
        {"Name": "till_pay", "Slo": 700.0, "Deadline": 1400.0, "Effect": "at_most_once", "Worth": 3.0},
        {
            "Name": "refund", "Slo": 900.0, "Deadline": 3000.0, "Effect": "deduplicated", "Group": "zone",
            "Window": 700.0, "Worth": 2.0,
        },
    ],
    "Packages": [{"Name": "enterprise", "QuotaRate": 5000.0, "Burst": 5000.0, "ValueFactor": 1.0}],
    "PolicyLimits": {
        "MaxAttempts": 2, "RetryAfter": False, "MaxRetryAfter": 500.0, "MayCancel": False,
        "SecondCopies": False, "PeerMessages": True, "Probes": True, "DialTimeout": 1200.0,
        "ConnIdle": 4000.0, "MaxOpen": 2000, "StreamsPerConn": 3,
    },
    "Invariants": {
        "AnswerSlack": 8.0, "AskWithin": 6000.0, "ColdFrom": 0.25, "Cold": 15000.0, "DrainGrace": 400.0,
        "FallMultiple": 1.6, "TipAfter": 1500.0,
    },
    "Specifics": {"CostAfter": True, "Largest": 5, "MailPerS": 12.0, "MayCount": True},
}  # fmt: skip


class Gateway:
    """A gateway, started with the command of the deploy file."""

    def __init__(
        self, name: str, folder: Path, config: dict[str, Any], env: dict[str, str] | None = None
    ) -> None:
        self.name, self.folder, self.config, self.env = name, folder, config, env or {}
        self.port = free_port()
        self.config_path = folder / f"{name}.json"
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self) -> None:
        """Replace the file of the configuration."""
        self.config["name"], self.config["listen"] = self.name, f"{HOST}:{self.port}"
        part = self.config_path.with_suffix(".part")
        part.write_text(json.dumps(self.config), encoding="utf-8")
        part.replace(self.config_path)

    async def start(self) -> None:
        """Start the process."""
        self.write_config()
        temporary = self.folder / f"tmp-{self.name}"
        shutil.rmtree(temporary, ignore_errors=True)
        temporary.mkdir()
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
        env = {
            **os.environ, "PROXY_CONFIG": str(self.config_path), "PROXY_NAME": self.name,
            "PROXY_LISTEN": f"{HOST}:{self.port}", "PROXY_DISCOVERY": self.config["discovery"],
            "TMPDIR": str(temporary), **self.env,
        }  # fmt: skip
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()

    async def wait_until_ready(self) -> None:
        """Wait until the gateway answers PING with yes. Raises CannotRunError."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.process is not None and self.process.returncode is not None:
                raise CannotRunError(f"{self.name} ended: {self.log()[-2000:]}")
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(encode_command([b"PING"]))
                async with asyncio.timeout(1.0):
                    answer = await read_reply(reader)
                writer.close()
                if answer == "+PONG":
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready: {self.log()[-2000:]}")

    def log(self) -> str:
        """Return what the process has written."""
        return (self.folder / f"{self.name}.log").read_text(encoding="utf-8", errors="replace")

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()


class Clients:
    """A front that deals requests out to the gateways; it keeps its connections."""

    def __init__(self, gateways: list[Gateway], record: Record) -> None:
        self.gateways, self.record = gateways, record
        self.idle: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {
            gateway.name: [] for gateway in gateways
        }
        self.sent = 0
        self.results: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def ask(self, request_class: str, timeout_ms: int) -> None:
        """Send a request in a task of its own."""
        task = asyncio.get_running_loop().create_task(self._ask(self.sent, request_class, timeout_ms))
        self.sent += 1
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, number: int, request_class: str, timeout_ms: int) -> None:
        gateway = self.gateways[number % len(self.gateways)]
        wire_id = f"{0x9B1F03AA00000000 + number:016x}"
        effect = next(
            c["Effect"] for c in gateway.config["settings"]["RequestClasses"] if c["Name"] == request_class
        )
        pairs = f"c={request_class},t=enterprise,d={timeout_ms},units=1,spread={len(self.gateways)},first=0"
        if effect == "deduplicated":
            pairs += f",k={number:016x}"
        verb = b"SVC.QUERY" if effect == "idempotent" else b"SVC.SUBMIT"
        words = [verb, f"{0xB4D65521 + number % 7:016x}".encode(), wire_id.encode(), pairs.encode()]
        self.record.write(f"client: sends {wire_id} {pairs} to {gateway.name}")
        result = "failed"
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                result = await self._exchange(gateway, words)
        except TimeoutError:
            result = "no answer in time"
        except (OSError, ValueError, asyncio.IncompleteReadError):
            result = "connection ended"
        self.results[result] = self.results.get(result, 0) + 1
        self.record.write(f"client: {wire_id} {result}")

    async def _exchange(self, gateway: Gateway, words: list[bytes]) -> str:
        pool = self.idle[gateway.name]
        while pool:
            reader, writer = pool.pop()
            if not (reader.at_eof() or writer.is_closing()):
                break
        else:
            reader, writer = await asyncio.open_connection(HOST, gateway.port)
        try:
            writer.write(encode_command(words))
            answer = await read_reply(reader)
        except BaseException:
            writer.close()
            raise
        pool.append((reader, writer))
        if isinstance(answer, bytes):
            return "served" if answer.startswith(words[2]) else "served with a foreign value"
        return "refused" if str(answer).startswith("-BUSY") else "failed"

    async def finish(self) -> None:
        """Wait for the requests that are open, and close all connections."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=5.0)
        for pool in self.idle.values():
            for _, writer in pool:
                writer.close()


class Deployment:
    """Gateways, backends and mail between the gateways, with the settings of a small deployment."""

    def __init__(self, record: Record, folder: Path, gateways: int, backends: list[Backend]) -> None:
        self.record, self.folder = record, folder
        self.backends = backends
        self.members = Members([])
        self.gateways: list[Gateway] = []
        self.count = gateways
        self.mail = Mail([free_port(socket.SOCK_DGRAM) for _ in range(gateways)])

    async def start(self, settings: dict[str, Any], discovery: Callable[[int], str]) -> None:
        """Start all; `discovery` returns the address of a gateway's discovery. Raises CannotRunError."""
        await self.mail.start()
        for number in range(self.count):
            config = {
                "discovery": discovery(number), "seed": f"8c1f30d27a5be96{number}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "peer_listen": f"{HOST}:{self.mail.ports[number]}",
                "peers": [self.mail.address(number, peer) for peer in range(self.count)],
                "peers_all": self.mail.address(number, -1), "counter": f"{HOST}:{free_port()}",
                "known": {**self.members.answer(None)},
                "settings": {**settings, "Me": number, "NInstances": self.count},
            }  # fmt: skip
            self.gateways.append(Gateway(f"n{number}", self.folder, config))
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        await asyncio.gather(*(gateway.wait_until_ready() for gateway in self.gateways))

    async def stop(self) -> None:
        """End all."""
        await asyncio.gather(*(gateway.stop() for gateway in self.gateways))
        for backend in self.backends:
            backend.stop()
        self.mail.stop()


def run_case(folder: Path, case: Callable[[Record, Path], Awaitable[int]]) -> int:
    """Run a case in a temporary folder; return its exit status."""
    record = Record(folder)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            status = asyncio.run(case(record, Path(temporary)))
        except Exception:  # whatever fails in the case itself says nothing about the rule
            text = traceback.format_exc()
            record.write(f"cannot run: {text}")
            print(f"cannot run: {text}")
            return CANNOT_RUN
    record.write(f"exit status {status}")
    return status
