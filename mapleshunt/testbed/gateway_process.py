"""Real gateway processes: their configurations, starts, ends, logs and CPU."""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, TextIO

from .backends import HOST

BACKLOG = 512
READY_CALL = b"GET /_ready HTTP/1.1\r\nHost: gateway\r\n\r\n"
READY_TIMEOUT_S = 10.0  # s within which a gateway must answer PING


class GatewayError(Exception):
    """A gateway did not start, or ended by itself; its text is for the operator."""


PORTS = range(20000, 32000)  # below those that the system gives to outgoing connections


_drawn_ports: set[int] = set()  # by this process, whose own locks do not keep it away
_lock_files: list[TextIO] = []


def _lock_port(port: int) -> bool:
    """Take it from all other rigs, for as long as this process lives: what is drawn is bound only later."""
    if not _lock_files:
        _lock_files.append((Path(tempfile.gettempdir()) / "mapleshunt-rig-ports").open("a"))
    try:
        fcntl.lockf(_lock_files[0], fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def free_port(kind: socket.SocketKind) -> int:
    """A port that nobody holds now, and no rig draws again. Raises `GatewayError`."""
    for port in random.sample(PORTS, 1000):
        if port in _drawn_ports or not _lock_port(port):
            continue
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            _drawn_ports.add(port)
            return port
    raise GatewayError("no port is free")


def launch_gateway(
    program: Path,
    env: Mapping[str, str],
    log: Path,
    module: str = "mapleshunt",
    pass_fds: Sequence[int] = (),
) -> subprocess.Popen[bytes]:
    """A gateway of that checkout; of the variables that it reads it has those of `env` alone."""
    clean = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
    with log.open("ab") as file:
        return subprocess.Popen(
            [sys.executable, "-m", module],
            cwd=program,
            env={**clean, **env},
            stdout=file,
            stderr=file,
            stdin=subprocess.DEVNULL,
            pass_fds=pass_fds,
        )


class GatewayProcess:
    """One gateway: `program` is the checkout it runs, `folder` where its configuration and log are."""

    def __init__(
        self,
        number: int,
        folder: Path,
        program: Path,
        config: dict[str, Any],
        env: Mapping[str, str] | None = None,
    ) -> None:
        self.number, self.folder, self.program, self.config = number, folder, program, config
        self.env = dict(env or {})
        self.port = free_port(socket.SOCK_STREAM)
        self.peer_port = free_port(socket.SOCK_DGRAM)
        self.listener: socket.socket | None = None  # that its processes inherit
        self.admin_port = 0  # of the process that was started last, where it inherits the listener
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.ended_cpu_s = 0.0  # s of CPU of processes that have ended
        self.running_cpu_s = 0.0  # of the one that runs, as last read
        self.peak_memory_kb = 0  # kB, the most seen

    @property
    def log(self) -> Path:
        return self.folder / f"gateway-{self.number}.log"

    def inherit_listener(self) -> None:
        """Hold the listening socket here from now on, as a platform does that starts a second process of a
        gateway beside the first.
        """
        self.listener = socket.create_server((HOST, self.port), backlog=BACKLOG)
        shared = self.folder / f"shared-{self.number}"
        shared.mkdir(exist_ok=True)
        self.env |= {"TMPDIR": str(shared), "PROXY_ACCEPT_FD": str(self.listener.fileno())}

    def close_listener(self) -> None:
        if self.listener is not None:
            self.listener.close()

    def detach(self) -> subprocess.Popen[bytes] | None:
        """The process that runs, which is the caller's to end from now on."""
        process, self.process = self.process, None
        return process

    def spawn(self, known: Mapping[str, Any]) -> None:
        self.starts += 1
        config = {
            **self.config, "listen": f"{HOST}:{self.port}", "peer_listen": f"{HOST}:{self.peer_port}",
            "known": known, "seed": f"{(self.config['seed'] + 7919 * self.starts) & (2**63 - 1):016x}",
        }  # fmt: skip
        pass_fds: list[int] = []
        if self.listener is not None:
            self.admin_port = free_port(socket.SOCK_STREAM)
            config["management"] = f"{HOST}:{self.admin_port}"
            pass_fds = [self.listener.fileno()]
        path = self.folder / f"gateway-{self.number}.json"
        path.write_text(json.dumps(config))
        env = {"PROXY_CONFIG": str(path), **self.env}
        self.process = launch_gateway(self.program, env, self.log, pass_fds=pass_fds)

    async def wait_until_ready(self) -> None:
        """Wait until it takes clients: the process that was started last, where another may answer PING on
        the same socket. Raises `GatewayError`.
        """
        deadline = asyncio.get_running_loop().time() + READY_TIMEOUT_S
        while asyncio.get_running_loop().time() < deadline:
            if self.process is None or self.process.poll() is not None:
                last = self.log.read_text(errors="replace").strip().splitlines()[-1:]
                raise GatewayError(f"gateway {self.number} ended at its start: {' '.join(last)}")
            if await self._accepts_requests():
                return
            await asyncio.sleep(0.02)
        raise GatewayError(f"gateway {self.number} does not answer PING")

    async def _accepts_requests(self) -> bool:
        port, question, answer = self.port, b"*1\r\n$4\r\nPING\r\n", b"+PONG\r\n"
        if self.listener is not None:
            port, question, answer = self.admin_port, READY_CALL, b"HTTP/1.1 200 OK\r\n"
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(question)
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return line == answer

    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def sample_usage(self) -> None:
        """Read its CPU and memory."""
        if not self.is_running() or self.process is None:
            return
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
            self.running_cpu_s = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS"):
                    self.peak_memory_kb = max(self.peak_memory_kb, int(line.split()[1]))
        except (OSError, IndexError, ValueError):
            return

    @property
    def cpu_s(self) -> float:
        return self.ended_cpu_s + self.running_cpu_s

    def _forget_process(self) -> None:
        self.ended_cpu_s, self.running_cpu_s = self.ended_cpu_s + self.running_cpu_s, 0.0
        self.process = None

    def kill(self, wait: bool = True) -> None:
        """SIGKILL, and wait for its end; else whoever starts the next process reaps it."""
        if self.process is not None:
            self.sample_usage()
            self.process.kill()
            if wait:
                self.process.wait()
            self._forget_process()

    def terminate(self) -> None:
        if self.is_running() and self.process is not None:
            self.process.send_signal(signal.SIGTERM)

    async def stop(self, grace_s: float = 8.0) -> None:
        """SIGTERM, then SIGKILL if it has not ended by then."""
        self.sample_usage()
        self.terminate()
        deadline = asyncio.get_running_loop().time() + grace_s
        while self.is_running() and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.02)
        self.kill()

    def counters(self) -> dict[str, int]:
        """The counters it last printed."""
        for line in reversed(self.log.read_text(errors="replace").splitlines()):
            if "event=counters" in line:
                pairs = dict(item.partition("=")[::2] for item in line.split())
                return {name: int(value) for name, value in pairs.items() if value.isdigit()}
        return {}
