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
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TextIO

from .tills import HOST

READY = 10.0  # s within which a gateway must answer PING


class GatewayFailed(Exception):
    """A gateway did not start, or ended by itself; its text is for the operator."""


PORTS = range(20000, 32000)  # below those that the system gives to outgoing connections


_drawn: set[int] = set()  # by this process, whose own locks do not keep it away
_locks: list[TextIO] = []


def _mine(port: int) -> bool:
    """Take it from all other rigs, for as long as this process lives: what is drawn is bound only later."""
    if not _locks:
        _locks.append((Path(tempfile.gettempdir()) / "mapleshunt-rig-ports").open("a"))
    try:
        fcntl.lockf(_locks[0], fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def free_port(kind: socket.SocketKind) -> int:
    """A port that nobody holds now, and no rig draws again. Raises `GatewayFailed`."""
    for port in random.sample(PORTS, 1000):
        if port in _drawn or not _mine(port):
            continue
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            _drawn.add(port)
            return port
    raise GatewayFailed("no port is free")


def launch(
    program: Path, env: Mapping[str, str], log: Path, module: str = "mapleshunt"
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
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.ticks = 0.0  # s of CPU of processes that have ended
        self.last = 0.0  # of the one that runs, as last read
        self.memory = 0  # kB, the most seen

    @property
    def log(self) -> Path:
        return self.folder / f"gateway-{self.number}.log"

    def spawn(self, known: Mapping[str, Any]) -> None:
        self.starts += 1
        config = {
            **self.config, "listen": f"{HOST}:{self.port}", "peer_listen": f"{HOST}:{self.peer_port}",
            "known": known, "seed": f"{(self.config['seed'] + 7919 * self.starts) & (2**63 - 1):016x}",
        }  # fmt: skip
        path = self.folder / f"gateway-{self.number}.json"
        path.write_text(json.dumps(config))
        self.process = launch(self.program, {"PROXY_CONFIG": str(path), **self.env}, self.log)

    async def ready(self) -> None:
        """Wait until it answers PING. Raises `GatewayFailed`."""
        deadline = asyncio.get_running_loop().time() + READY
        while asyncio.get_running_loop().time() < deadline:
            if self.process is None or self.process.poll() is not None:
                last = self.log.read_text(errors="replace").strip().splitlines()[-1:]
                raise GatewayFailed(f"gateway {self.number} ended at its start: {' '.join(last)}")
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                async with asyncio.timeout(1.0):
                    line = await reader.readline()
                writer.close()
                if line == b"+PONG\r\n":
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise GatewayFailed(f"gateway {self.number} does not answer PING")

    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def look(self) -> None:
        """Read its CPU and memory."""
        if not self.alive() or self.process is None:
            return
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
            self.last = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS"):
                    self.memory = max(self.memory, int(line.split()[1]))
        except (OSError, IndexError, ValueError):
            return

    @property
    def cpu(self) -> float:
        return self.ticks + self.last

    def _over(self) -> None:
        self.ticks, self.last = self.ticks + self.last, 0.0
        self.process = None

    def kill(self) -> None:
        """SIGKILL, and wait for its end."""
        if self.process is not None:
            self.look()
            self.process.kill()
            self.process.wait()
            self._over()

    def term(self) -> None:
        if self.alive() and self.process is not None:
            self.process.send_signal(signal.SIGTERM)

    async def stop(self, patience: float = 8.0) -> None:
        """SIGTERM, then SIGKILL if it has not ended by then."""
        self.look()
        self.term()
        deadline = asyncio.get_running_loop().time() + patience
        while self.alive() and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.02)
        self.kill()

    def counters(self) -> dict[str, int]:
        """The counters it last printed."""
        for line in reversed(self.log.read_text(errors="replace").splitlines()):
            if "event=counters" in line:
                pairs = dict(item.partition("=")[::2] for item in line.split())
                return {name: int(value) for name, value in pairs.items() if value.isdigit()}
        return {}
