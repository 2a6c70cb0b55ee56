"""Extensions that the operators' file turns on: the recorder, replication with its leases, and maintenance.

Imported only if `PROXY_OPERATORS` names a file; the libraries that it needs come with the extra 'tools'.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from .net import log
from .net.blocking import run_in_thread
from .net.config import Config, ConfigError
from .net.counters import Counters
from .net.maintenance.controls import GatewayControls
from .net.maintenance.host import MaintenanceHost
from .net.policy_driver import PolicyDriver
from .net.replication.host import ReplicationHost
from .net.replication.leases import LeaseClient
from .net.replication.store_access import ReplicationInUseError, open_store, peer_addresses
from .recording.writer import Recorder
from .settings import operators
from .storage.durable_store import DurableStore
from .storage.errors import StoreUnavailableError
from .transient_errors import is_transient

STORE_RETRY_DELAY_S = 0.5  # between attempts to open the store
BYTES_PER_MB = 1 << 20


class Extensions:
    """The parts that the operators' file turns on; the others are not created."""

    def __init__(
        self, config: Config, driver: PolicyDriver, counters: Counters, controls: GatewayControls
    ) -> None:
        """Read the file and start the recorder.

        Raises:
            ConfigError: the file is invalid.
            OSError: another attempt may succeed.
        """
        self.recorder: Recorder | None = None
        self.replication: ReplicationHost | None = None
        self._leases: LeaseClient | None = None
        self._maintenance: MaintenanceHost | None = None
        self._config = config
        self._driver = driver
        self._counters = counters
        self._controls = controls
        self._open_task: asyncio.Task[None] | None = None
        try:
            self._settings = _load_settings()
            if self._settings.record is not None:
                self._start_recorder(self._settings.record)
            if self._settings.copies is not None:
                peer_addresses(self._settings.copies, config.name)
        except ValueError as error:
            raise ConfigError(str(error)) from None

    def _start_recorder(self, section: operators.RecordingSettings) -> None:
        size, salt = int(section.size_mb * BYTES_PER_MB), section.salt.encode()
        path = Path(section.file.replace("{name}", self._config.name))
        try:
            self.recorder = Recorder(path, size, salt, self._config.settings, self._driver.now())
        except OSError as error:
            if not is_transient(error):
                raise ConfigError(str(error)) from None
            log.log_event("record_failed", path=path, why=error)
            return
        self.recorder.start()
        self._driver.on_request_released = self.recorder.record
        log.log_event("recording", path=path, bytes=size)

    def start(self) -> None:
        """Open the store and start replication.

        A store that cannot be opened now is retried in the background, while the gateway serves without it.
        So is one that an older process of this gateway holds during a hot restart.

        Raises:
            ConfigError: the store or its address cannot be used.
        """
        if (section := self._settings.copies) is None:
            return
        try:
            self._start_replication(section, open_store(section, self._config.name))
        except (StoreUnavailableError, ReplicationInUseError) as error:
            if isinstance(error, ReplicationInUseError) and self._config.accept_fd is None:
                raise
            self._report_unavailable(error)
            self._open_task = asyncio.get_running_loop().create_task(self._open_store(section))

    async def _open_store(self, section: operators.ReplicationSettings) -> None:
        """Retry until the store is open. Cancelling it leaves the gateway without its replicas."""
        while self.replication is None:
            await asyncio.sleep(STORE_RETRY_DELAY_S)
            try:
                store = await run_in_thread(lambda: open_store(section, self._config.name))
                self._start_replication(section, store)
            except (StoreUnavailableError, ConfigError) as error:
                self._report_unavailable(error)
            except Exception:  # a defect must not leave the gateway without replicas permanently
                self._counters.add("exceptions")
                log.log_exception("copies_exception")

    def _report_unavailable(self, error: Exception) -> None:
        self._counters.add("copies_store_unavailable")
        log.log_event("copies_store_unavailable", why=error)

    def _start_replication(self, section: operators.ReplicationSettings, store: DurableStore) -> None:
        replication = ReplicationHost(section, self._config.name, store, self._counters, self._config.seed)
        replication.start()
        self.replication = replication
        if section.lease:
            self._leases = LeaseClient(replication.requests, section.groups, self._driver, self._counters)
            self._leases.start()
        if self._settings.maintenance is not None:
            self._maintenance = MaintenanceHost(
                replication, self._settings.maintenance, self._controls, self._counters
            )
            self._maintenance.start()

    def reload(self) -> None:
        """Read the file again and apply its maintenance budget. An invalid file changes nothing."""
        if self._settings.maintenance is None:
            return
        try:
            settings = _load_settings()
        except (ValueError, OSError) as error:
            self._counters.add("reloads_failed")
            log.log_event("reload_failed", why=error)
            return
        if settings.maintenance is not None:
            self._settings = settings
            if self._maintenance is not None:
                self._maintenance.reload(settings.maintenance)

    def close(self) -> None:
        """Close all parts; recorded and durable data stays."""
        if self._open_task is not None:
            self._open_task.cancel()
        for part in (self._maintenance, self._leases, self.replication, self.recorder):
            if part is not None:
                part.close()


def _load_settings() -> operators.OperatorSettings:
    return operators.load(Path(os.environ[operators.ENVIRONMENT_VARIABLE]))
