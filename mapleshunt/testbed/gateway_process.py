"""A real gateway as a process: its configuration, start, end, log, and use of CPU and memory."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from .errors import GatewayError
from .ports import HOST, free_port

BACKLOG = 512  # of a listener that this process holds
READY_REQUEST = b"GET /_ready HTTP/1.1\r\nHost: gateway\r\n\r\n"
READY_RESPONSE = b"HTTP/1.1 200 OK\r\n"
PING_REQUEST = b"*1\r\n$4\r\nPING\r\n"
PING_RESPONSE = b"+PONG\r\n"
READY_TIMEOUT_S = 10.0  # within which a gateway must be ready
READY_CALL_TIMEOUT_S = 1.0
STOP_TIMEOUT_S = 8.0  # after SIGTERM, until SIGKILL
POLL_INTERVAL_S = 0.02
SEED_STEP = 7919  # between the seeds of two processes of a gateway
SEED_MASK = 2**63 - 1


def launch_gateway(
    program: Path,
    env: Mapping[str, str],
    log: Path,
    module: str = "mapleshunt",
    pass_fds: Sequence[int] = (),
) -> subprocess.Popen[bytes]:
    """Start a gateway of that checkout. Of the PROXY_ variables it gets only those in `env`."""
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
    with log.open("ab") as file:
        return subprocess.Popen(
            [sys.executable, "-m", module],
            cwd=program,
            env={**inherited, **env},
            stdout=file,
            stderr=file,
            stdin=subprocess.DEVNULL,
            pass_fds=pass_fds,
        )


class GatewayProcess:
    """One gateway across restarts of its process; its ports stay the same."""

    def __init__(
        self,
        number: int,
        folder: Path,
        program: Path,
        config: dict[str, Any],
        env: Mapping[str, str] | None = None,
    ) -> None:
        """`program` is the checkout that it runs, `folder` the place of its configuration and log.

        `config` is the JSON of its configuration file, without its addresses.
        """
        self.number, self.folder, self.program, self.config = number, folder, program, config
        self.env = dict(env or {})
        self.port = free_port(socket.SOCK_STREAM)
        self.peer_port = free_port(socket.SOCK_DGRAM)
        self.listener: socket.socket | None = None  # that its processes inherit
        self.process: subprocess.Popen[bytes] | None = None
        self._detached: subprocess.Popen[bytes] | None = None  # the one that was detached last
        self.starts = 0
        self.peak_memory_kb = 0
        self._admin_port = 0  # of the process that was started last, if it inherits the listener
        self._ended_cpu_s = 0.0  # of processes that have ended
        self._running_cpu_s = 0.0  # of the running process, as last sampled

    @property
    def log(self) -> Path:
        """The log of all its processes."""
        return self.folder / f"gateway-{self.number}.log"

    def inherit_listener(self) -> None:
        """Hold the listening socket in this process from now on, for its processes to inherit.

        A platform does so for a hot restart, when it starts a second process beside the first.
        """
        self.listener = socket.create_server((HOST, self.port), backlog=BACKLOG)
        shared = self.folder / f"shared-{self.number}"
        shared.mkdir(exist_ok=True)
        self.env |= {"TMPDIR": str(shared), "PROXY_ACCEPT_FD": str(self.listener.fileno())}

    def close_listener(self) -> None:
        """Close the listening socket, if this process holds it."""
        if self.listener is not None:
            self.listener.close()

    def detach(self) -> subprocess.Popen[bytes] | None:
        """Return the running process, which the caller has to end from now on."""
        process, self.process = self.process, None
        self._detached = process
        return process

    def process_ids(self) -> list[int]:
        """Return the ids of its processes that run: the last one, and one that was detached before it."""
        processes = (self.process, self._detached)
        return [process.pid for process in processes if process is not None and process.poll() is None]

    def spawn(self, known_endpoints: Mapping[str, Any]) -> None:
        """Start a process with the endpoint list (JSON) that it uses until discovery answers."""
        self.starts += 1
        config = {
            **self.config,
            "listen": f"{HOST}:{self.port}",
            "peer_listen": f"{HOST}:{self.peer_port}",
            "known": known_endpoints,
            "seed": f"{(self.config['seed'] + SEED_STEP * self.starts) & SEED_MASK:016x}",
        }
        pass_fds: list[int] = []
        if self.listener is not None:
            self._admin_port = free_port(socket.SOCK_STREAM)
            config["management"] = f"{HOST}:{self._admin_port}"
            pass_fds = [self.listener.fileno()]
        path = self.folder / f"gateway-{self.number}.json"
        path.write_text(json.dumps(config))
        env = {"PROXY_CONFIG": str(path), **self.env}
        self.process = launch_gateway(self.program, env, self.log, pass_fds=pass_fds)

    async def wait_until_ready(self) -> None:
        """Wait until the process that was started last is ready for clients.

        Another process may answer PING on an inherited socket: the admin endpoint is polled instead. Raises
        `GatewayError`; a cancelled wait leaves the process running.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + READY_TIMEOUT_S
        while loop.time() < deadline:
            if self.process is None or self.process.poll() is not None:
                last_line = self.log.read_text(errors="replace").strip().splitlines()[-1:]
                raise GatewayError(f"gateway {self.number} exited at startup: {' '.join(last_line)}")
            if await self._accepts_requests():
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise GatewayError(f"gateway {self.number} was not ready after {READY_TIMEOUT_S:g} s")

    async def _accepts_requests(self) -> bool:
        port, request, expected = self.port, PING_REQUEST, PING_RESPONSE
        if self.listener is not None:
            port, request, expected = self._admin_port, READY_REQUEST, READY_RESPONSE
        try:
            async with asyncio.timeout(READY_CALL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(request)
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return line == expected

    def is_running(self) -> bool:
        """Return whether it has a process that has not ended."""
        return self.process is not None and self.process.poll() is None

    def sample_usage(self) -> None:
        """Sample the CPU and memory that its process uses, unless it has ended."""
        if not self.is_running() or self.process is None:
            return
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
            self._running_cpu_s = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS"):
                    self.peak_memory_kb = max(self.peak_memory_kb, int(line.split()[1]))
        except (OSError, IndexError, ValueError):
            return

    @property
    def cpu_s(self) -> float:
        """CPU time of all its processes (s), as last sampled."""
        return self._ended_cpu_s + self._running_cpu_s

    def _forget_process(self) -> None:
        self._ended_cpu_s, self._running_cpu_s = self._ended_cpu_s + self._running_cpu_s, 0.0
        self.process = None

    def kill(self, wait: bool = True) -> None:
        """Send SIGKILL. With `wait`, block until it ends; otherwise the next start reaps it."""
        if self.process is not None:
            self.sample_usage()
            self.process.kill()
            if wait:
                self.process.wait()
            self._forget_process()

    def terminate(self) -> None:
        """Send SIGTERM, on which it drains and exits."""
        if self.is_running() and self.process is not None:
            self.process.send_signal(signal.SIGTERM)

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Send SIGTERM, and SIGKILL if it has not ended in time or this call is cancelled."""
        self.sample_usage()
        self.terminate()
        try:
            await self._wait_for_end(timeout_s)
        finally:
            self.kill()

    async def _wait_for_end(self, timeout_s: float) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while True:
            if not self.is_running() or loop.time() >= deadline:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def counters(self) -> dict[str, int]:
        """Return the counters that it logged last; an empty dict before the first."""
        for line in reversed(self.log.read_text(errors="replace").splitlines()):
            if "event=counters" in line:
                pairs = dict(item.partition("=")[::2] for item in line.split())
                return {name: int(value) for name, value in pairs.items() if value.isdigit()}
        return {}
