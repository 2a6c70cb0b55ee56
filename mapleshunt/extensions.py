"""What the operators' file switches on: the recorder, replication with its leases, and maintenance.

Imported only where `PROXY_OPERATORS` names a file; the libraries that it needs come with the extra 'tools'.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from .net import log
from .net.blocking import run_in_thread
from .net.config import Config, ConfigError
from .net.counters import Counters
from .net.maintenance import GatewayControls, MaintenanceHost
from .net.policy_driver import PolicyDriver
from .net.replication.host import ReplicationHost, ReplicationInUseError, open_store
from .net.replication.leases import LeaseClient
from .recording.writer import Recorder
from .settings import operators
from .storage.durable_store import DurableStore, StoreUnavailableError
from .transient_errors import is_transient

STORE_RETRY_DELAY_S = 0.5  # until a store that could not be opened is tried again


class Extensions:
    """The parts that the operators' file asks for. Without replication of their own they do nothing else."""

    def __init__(
        self, config: Config, driver: PolicyDriver, counters: Counters, hands: GatewayControls
    ) -> None:
        """Reads the file. Raises `ConfigError`, and OSError where another attempt may succeed."""
        self.config, self.driver, self.counters, self.hands = config, driver, counters, hands
        self.copies: ReplicationHost | None = None
        self.leases: LeaseClient | None = None
        self.maintenance: MaintenanceHost | None = None
        self.recorder: Recorder | None = None
        self.opening: asyncio.Task[None] | None = None
        try:
            self.chosen = operators.load(Path(os.environ[operators.VARIABLE]))
            if self.chosen.record is not None:
                self._record(self.chosen.record)
            if self.chosen.copies is not None:
                ReplicationHost.check(self.chosen.copies, config.name)
        except ValueError as error:
            raise ConfigError(str(error)) from None

    def _record(self, section: operators.Record) -> None:
        size, salt = int(section.size_mb * (1 << 20)), section.salt.encode()
        path = Path(section.file.replace("{name}", self.config.name))
        try:
            self.recorder = Recorder(path, size, salt, self.config.settings, self.driver.now())
        except OSError as error:
            if not is_transient(error):
                raise ConfigError(str(error)) from None
            log.log_event("record_failed", path=path, why=error)
            return
        self.recorder.start()
        self.driver.on_request_released = self.recorder.seen
        log.log_event("recording", path=path, bytes=size)

    def start(self) -> None:
        """Open the store and take part in replication. Raises `ConfigError`.

        A store that cannot be opened now is tried again in the background: the gateway serves without it. So
        is one that an older process of this gateway has, beside which this one is started.
        """
        if (section := self.chosen.copies) is None:
            return
        try:
            self._start_copies(section, open_store(section, self.config.name))
        except (StoreUnavailableError, ReplicationInUseError) as error:
            if isinstance(error, ReplicationInUseError) and self.config.accept_fd is None:
                raise
            self._store_unavailable(error)
            self.opening = asyncio.get_running_loop().create_task(self._open_store(section))

    async def _open_store(self, section: operators.Copies) -> None:
        """Try again until the store is open. Cancelling it leaves the gateway without its copies."""
        while self.copies is None:
            await asyncio.sleep(STORE_RETRY_DELAY_S)
            try:
                disk = await run_in_thread(lambda: open_store(section, self.config.name))
                self._start_copies(section, disk)
            except (StoreUnavailableError, ConfigError) as error:
                self._store_unavailable(error)
            except Exception:  # a defect must not leave the gateway without its replicas for good
                self.counters.add("exceptions")
                log.log_exception("copies_exception")

    def _store_unavailable(self, error: Exception) -> None:
        self.counters.add("copies_store_unavailable")
        log.log_event("copies_store_unavailable", why=error)

    def _start_copies(self, section: operators.Copies, disk: DurableStore) -> None:
        copies = ReplicationHost(section, self.config.name, disk, self.counters, self.config.seed)
        copies.start()
        self.copies = copies
        if section.lease:
            self.leases = LeaseClient(copies, self.driver, self.counters)
            self.leases.start()
        if self.chosen.maintenance is not None:
            self.maintenance = MaintenanceHost(copies, self.chosen.maintenance, self.hands, self.counters)
            self.maintenance.start()

    def reload(self) -> None:
        """Read the file again: the budget of maintenance holds from now on. A bad file changes nothing."""
        if self.chosen.maintenance is None:
            return
        try:
            chosen = operators.load(Path(os.environ[operators.VARIABLE]))
        except (ValueError, OSError) as error:
            self.counters.add("reloads_failed")
            log.log_event("reload_failed", why=error)
            return
        if chosen.maintenance is not None:
            self.chosen = chosen
            if self.maintenance is not None:
                self.maintenance.reload(chosen.maintenance)

    def close(self) -> None:
        if self.opening is not None:
            self.opening.cancel()
        for part in (self.maintenance, self.leases, self.copies, self.recorder):
            if part is not None:
                part.close()
