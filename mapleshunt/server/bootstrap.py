"""The startup of the gateway process: logging, early signals, configuration, event loop, exit status."""

from __future__ import annotations

import signal
import sys
import time

import uvloop

from .. import optional_imports  # noqa: F401 - before Tornado is imported
from ..net import log
from ..net.config import Config, ConfigError, ConfigUnreadableError, load
from .gateway_server import GatewayServer

CONFIG_TIMEOUT_S = 3.0  # how long startup retries a configuration file that cannot be read
CONFIG_RETRY_DELAY_S = 0.05


def run_gateway() -> int:
    """Run the gateway until a signal ends it, and return its exit status."""
    log.configure()
    early_reloads: list[int] = []
    # Until the event loop handles SIGHUP, its default action would end the process. Before this line the
    # process ignores it, as set by `run` in the deploy file.
    signal.signal(signal.SIGHUP, lambda number, _frame: early_reloads.append(number))
    try:
        config = load_config()
        uvloop.run(_serve(config, early_reloads))
    except ConfigError as error:
        print(f"mapleshunt: {error}", file=sys.stderr)
        return 2
    return 0


async def _serve(config: Config, early_reloads: list[int]) -> None:
    await GatewayServer(config).run(early_reloads)


def load_config() -> Config:
    """Return the configuration, retrying for `CONFIG_TIMEOUT_S` while the file cannot be read.

    Raises:
        ConfigError: the file is invalid, or could not be read in time.
    """
    deadline = time.monotonic() + CONFIG_TIMEOUT_S
    while True:
        try:
            return load()
        except ConfigUnreadableError:
            if time.monotonic() > deadline:
                raise
            time.sleep(CONFIG_RETRY_DELAY_S)
