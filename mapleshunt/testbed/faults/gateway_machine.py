"""A gateway with replicas on a machine of its own: its folder, its process, and their faults."""

from __future__ import annotations

import contextlib
import json
import resource
import shutil
import signal
import socket
import subprocess
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..gateway_process import launch_gateway
from ..ports import HOST, free_port
from ..replica_client import Address
from ..replication_settings import PeerAddress, ReplicationSettings
from .process_faults import (
    FAULTS_FILE_VARIABLE,
    FAULTY_GATEWAY_MODULE,
    ProcessFaults,
    write_process_faults,
)

FULL_DISK_SPACE_BYTES = 128 * 1024  # left on a full disk beyond the size of the log
STOP_TIMEOUT_S = 8.0  # after a signal, until the process is killed


class GatewayMachine:
    """A gateway with its own folder and replication port, which stay the same across restarts."""

    def __init__(
        self,
        name: str,
        folder: Path,
        program: Path,
        gateway_config: dict[str, Any],  # JSON of the configuration file
        settings: ReplicationSettings,
        peers_of: Callable[[str], list[PeerAddress]],
    ) -> None:
        """`program` is the checkout that runs; `peers_of` returns the peers of a gateway by its name."""
        self.name, self.folder, self.program = name, folder, program
        self.port = free_port(socket.SOCK_STREAM)  # of replication
        self.client_port = 0  # of the process that was started last
        self.process: subprocess.Popen[bytes] | None = None
        self.paused = False
        self._gateway_config, self._settings, self._peers_of = gateway_config, settings, peers_of
        self._saved_store: Path | None = None
        self._faults: ProcessFaults | None = None  # last given to the process

    @property
    def address(self) -> Address:
        """The address of its replication port."""
        return HOST, self.port

    @property
    def log(self) -> Path:
        """The log of all its processes."""
        return self.folder / "log"

    @property
    def store(self) -> Path:
        """The folder of its replicas' stores."""
        return self.folder / "disk"

    def is_running(self) -> bool:
        """Return whether its process has not ended; a paused one counts as running."""
        return self.process is not None and self.process.poll() is None

    # The process

    def start(self) -> None:
        """Start a process with the current settings, unless one runs."""
        if self.is_running():
            return
        self._write_configuration()
        # It reads its faults at startup: SIGUSR2 before its handler is installed would kill it.
        self._faults = None
        self.set_faults(ProcessFaults())
        env = {
            "PROXY_CONFIG": str(self.folder / "config.json"),
            "PROXY_OPERATORS": str(self.folder / "operators.sexp"),
            FAULTS_FILE_VARIABLE: str(self.folder / "faults"),
        }
        self.process = launch_gateway(self.program, env, self.log, FAULTY_GATEWAY_MODULE)
        self.paused = False

    def _write_configuration(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        operators = self._settings.render(self.store, self._peers_of(self.name))
        (self.folder / "operators.sexp").write_text(operators)
        self.client_port = free_port(socket.SOCK_STREAM)
        config = {**self._gateway_config, "name": self.name, "listen": f"{HOST}:{self.client_port}"}
        (self.folder / "config.json").write_text(json.dumps(config))

    def kill(self, first_signal: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal, and SIGKILL if the process has not ended 8 s later; block until it has."""
        if self.process is not None:
            self.resume()
            self.process.send_signal(first_signal)
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.process.wait(STOP_TIMEOUT_S)
            self.process.kill()
            self.process.wait()
            self.process = None

    def pause(self) -> None:
        """Suspend the process without ending it."""
        if self.process is not None and not self.paused:
            self.process.send_signal(signal.SIGSTOP)
            self.paused = True

    def resume(self) -> None:
        """Continue a paused process."""
        if self.process is not None and self.paused:
            self.process.send_signal(signal.SIGCONT)
        self.paused = False

    def set_faults(self, faults: ProcessFaults) -> None:
        """Replace the faults of the process."""
        if faults == self._faults:
            return
        self._faults = faults
        write_process_faults(self.folder / "faults", faults)
        if self.process is not None and self.is_running():
            self.process.send_signal(signal.SIGUSR2)

    # The disk

    def fill_disk(self) -> None:
        """Limit the files of this process to little more than the size of its log.

        SQLite's write-ahead log, which reuses its space every thousand pages, soon exceeds that.
        """
        if self.process is not None:
            size = self.log.stat().st_size + FULL_DISK_SPACE_BYTES
            _, hard_limit = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (size, hard_limit))

    def free_disk(self) -> None:
        """Remove the limit set by `fill_disk`."""
        if self.process is not None and self.is_running():
            _, hard_limit = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (hard_limit, hard_limit))

    def lose_store(self) -> None:
        """Kill the process and delete its store, as when a machine is lost with its disk and replaced."""
        self.kill()
        shutil.rmtree(self.store, ignore_errors=True)

    def save_store(self) -> None:
        """Kill the process and save a copy of its store."""
        self.kill()
        self._saved_store = self.folder / "saved"
        shutil.rmtree(self._saved_store, ignore_errors=True)
        shutil.copytree(self.store, self._saved_store)

    def restore_saved_store(self) -> None:
        """Kill the process and replace its store by the saved copy, if there is one."""
        self.kill()
        if self._saved_store is not None:
            shutil.rmtree(self.store, ignore_errors=True)
            shutil.copytree(self._saved_store, self.store)
