"""The configuration in force, and its reload on SIGHUP."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..net import log
from ..net.config import Config, ConfigError, ConfigUnreadableError, format_address, reload
from ..net.counters import Counters

RETRY_DELAY_S = 0.05  # before a configuration that could not be read is read again


class ConfigReloader:
    """Holds the configuration in force. A reload does not interrupt requests that are being served."""

    def __init__(self, config: Config, counters: Counters, on_reload: Callable[[Config], None]) -> None:
        """Start with `config`; `on_reload` is called with each new configuration once it is in force."""
        self.config = config
        self._counters = counters
        self._on_reload = on_reload

    def reload(self) -> None:
        """Put the addresses that the configuration file now names into force. Called on SIGHUP.

        A file that cannot be read is retried after `RETRY_DELAY_S`. An invalid one changes nothing: the
        previous addresses may still work, and exiting would lose the requests that are being served.
        """
        try:
            config = reload()
        except ConfigUnreadableError as error:
            log.log_event("reload_retried", why=error)
            asyncio.get_running_loop().call_later(RETRY_DELAY_S, self.reload)
            return
        except ConfigError as error:
            self._counters.add("reloads_failed")
            log.log_event("reload_failed", why=error)
            return
        self._counters.add("reloads")
        log.log_event(
            "reloaded",
            discovery=format_address(config.discovery_address),
            counter=format_address(config.counter_address),
        )
        self.config = config
        self._on_reload(config)
