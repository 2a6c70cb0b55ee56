"""The watch of a discovery agent, and the application of its endpoint lists."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
from collections.abc import Mapping
from typing import Any

from ..net import log
from ..net.config import Config
from ..net.counters import Counters
from ..net.discovery.backoff import NOTIFICATION_BUDGET_MS, Backoff
from ..net.discovery.endpoint_list import EndpointList, parse_endpoint_list
from ..net.discovery.watcher import EndpointWatcher
from ..net.policy_driver import PolicyDriver
from ..net.upstream.endpoint_group import EndpointGroup
from ..policy import UpdateKind

RESTART_DELAY_S = 0.1  # before a watch that a defect ended is restarted


class EndpointWatch:
    """Watches one discovery agent at a time and passes its lists to the endpoint group and the policy."""

    def __init__(
        self, config: Config, driver: PolicyDriver, upstreams: EndpointGroup, counters: Counters
    ) -> None:
        """Create the watch; `follow` starts it."""
        self.task: asyncio.Task[None] | None = None
        self._watcher: EndpointWatcher | None = None
        self._config = config
        self._driver = driver
        self._upstreams = upstreams
        self._counters = counters
        self._random = random.Random(config.seed)
        self._revision: int | None = None  # of the last endpoint list; None if unknown
        self._last_update_at = -math.inf  # s, on the loop's clock: when discovery last answered

    def apply_persisted_list(self, raw: Mapping[str, Any]) -> None:
        """Apply the endpoint list that the configuration holds.

        Raises:
            ValueError: the list is malformed.
        """
        persisted = parse_endpoint_list(raw)
        self._driver.apply_event(
            self._upstreams.apply_endpoint_list("persisted", persisted.endpoints, self._driver.now.age)
        )
        self._revision = persisted.revision if persisted.endpoints else None

    def apply_list(self, update: EndpointList) -> None:
        """Apply an endpoint list, or a change to it, that discovery sent."""
        kind: UpdateKind = "complete" if update.complete else "partial"
        self._driver.apply_event(
            self._upstreams.apply_endpoint_list(kind, update.endpoints, self.max_endpoint_age)
        )
        self._last_update_at = asyncio.get_running_loop().time()
        if update.complete or update.endpoints:
            log.log_event("members", kind=kind, revision=update.revision, entries=len(update.endpoints))

    def max_endpoint_age(self, started_at_ms: float) -> float:
        """Return the longest time, in ms, that an endpoint new to the list may have been up.

        The wall clock may have been stepped before this process started, which no list shows. But an
        endpoint that started long before the last update would have been in that update: discovery sends
        each one within `NOTIFICATION_BUDGET_MS`.
        """
        since_update = 1000 * (asyncio.get_running_loop().time() - self._last_update_at)
        return min(self._driver.now.age(started_at_ms), since_update + NOTIFICATION_BUDGET_MS)

    def since_answer_ms(self) -> float:
        """Return the ms since discovery last answered a call; infinite before the first answer."""
        return self._watcher.since_answer_ms() if self._watcher is not None else math.inf

    def follow(self, config: Config) -> None:
        """Watch the discovery agent of `config` from now on, in place of the previous one."""
        has_moved = config.discovery_address != self._config.discovery_address
        self._config = config
        if self._watcher is None:
            self._start(None if has_moved else self._revision)
        elif has_moved:
            self._watcher.follow(config.discovery_address)

    def _start(self, revision: int | None) -> None:
        """Start to watch, from the list of that revision; None requests the complete list."""
        settings = self._config.settings
        self._watcher = EndpointWatcher(
            self._config.discovery_address,
            self.apply_list,
            self._counters,
            Backoff(settings.gateway_count if settings.poll_discovery else 0, self._random),
            revision,
            self._upstreams.memory.hold,
        )
        self.task = asyncio.get_running_loop().create_task(self._watcher.run())
        self.task.add_done_callback(self._watch_ended)

    def _watch_ended(self, task: asyncio.Task[None]) -> None:
        """Restart a watch that ended by a defect; without one it runs until it is cancelled."""
        if not task.cancelled() and task is self.task:
            self._counters.add("exceptions")
            log.log_event("watch_ended", why=repr(task.exception()))
            asyncio.get_running_loop().call_later(RESTART_DELAY_S, self._restart, task)

    def _restart(self, ended_task: asyncio.Task[None]) -> None:
        if ended_task is self.task and self._watcher is not None:
            self._start(self._watcher.revision)

    async def close(self) -> None:
        """End the watch and wait for it. Cancelling this leaves the watch to end by itself."""
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task
