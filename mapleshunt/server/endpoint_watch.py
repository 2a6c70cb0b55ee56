"""The watch of a discovery agent: which one is followed, and what its endpoint lists change."""

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

RESTART_DELAY_S = 0.1  # until a watch that a defect ended is begun anew


class EndpointWatch:
    """Follows one discovery agent at a time, and hands its endpoint lists to the group and the decisions."""

    def __init__(
        self, config: Config, driver: PolicyDriver, upstreams: EndpointGroup, counters: Counters
    ) -> None:
        """Wire it; `follow` begins the watch."""
        self.task: asyncio.Task[None] | None = None
        self._config = config
        self._driver = driver
        self._upstreams = upstreams
        self._counters = counters
        self._random = random.Random(config.seed)
        self._revision: int | None = None  # of the endpoint list known
        self._last_update_at = -math.inf  # s, on the loop's clock: when discovery last answered

    def apply_persisted_list(self, raw: Mapping[str, Any]) -> None:
        """Begin with the endpoint list that the configuration holds.

        Raises:
            ValueError: the list is malformed.
        """
        known = parse_endpoint_list(raw)
        self._driver.apply_event(
            self._upstreams.apply_endpoint_list("persisted", known.endpoints, self._driver.now.age)
        )
        self._revision = known.revision if known.endpoints else None

    def apply_list(self, found: EndpointList) -> None:
        """Apply a list or a change that discovery sent."""
        kind: UpdateKind = "complete" if found.complete else "partial"
        self._driver.apply_event(
            self._upstreams.apply_endpoint_list(kind, found.endpoints, self.max_endpoint_age)
        )
        self._revision = found.revision
        self._last_update_at = asyncio.get_running_loop().time()
        if found.complete or found.endpoints:
            log.log_event("members", kind=kind, revision=found.revision, entries=len(found.endpoints))

    def max_endpoint_age(self, started_at_ms: float) -> float:
        """Return for how many ms an endpoint that the list newly names has been up at most.

        The wall clock may have been stepped before this process began, and no list shows that. But what
        started long before the last update would have been in that one: discovery sends all within
        `NOTIFICATION_BUDGET_MS`.
        """
        since_update = 1000 * (asyncio.get_running_loop().time() - self._last_update_at)
        return min(self._driver.now.age(started_at_ms), since_update + NOTIFICATION_BUDGET_MS)

    def follow(self, config: Config) -> None:
        """Watch the discovery agent of this configuration from now on, and no longer the one before."""
        if config.discovery_address != self._config.discovery_address:
            self._revision = None  # another agent may count revisions otherwise
        self._config = config
        if self.task is not None:
            self.task.cancel()
        settings = config.settings
        backoff = Backoff(settings.gateway_count if settings.poll_discovery else 0, self._random)
        discovery = EndpointWatcher(
            config.discovery_address, self.apply_list, self._counters, backoff, self._revision
        )
        self.task = asyncio.get_running_loop().create_task(discovery.run())
        self.task.add_done_callback(self._watch_ended)

    def _watch_ended(self, task: asyncio.Task[None]) -> None:
        """Restart a watch that ended by a defect: one without a defect goes on until it is cancelled."""
        if not task.cancelled() and task is self.task:
            self._counters.add("exceptions")
            log.log_event("watch_ended", why=repr(task.exception()))
            asyncio.get_running_loop().call_later(RESTART_DELAY_S, self._restart, task)

    def _restart(self, ended: asyncio.Task[None]) -> None:
        if ended is self.task:
            self.follow(self._config)

    async def close(self) -> None:
        """End the watch. Cancelling it leaves the watch to end by itself."""
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task
