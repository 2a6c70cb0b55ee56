"""The hot restart: a newer process takes over while the older one answers the requests it accepted.

The older process hands on its warm state as soon as it sees a newer one, goes on serving, and publishes the
units used from then on. SIGTERM ends it: until then the newer one may die, and nothing is lost.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from ...lifecycle import warm_state
from ...policy import RequestReceived
from ...policy.gossip_codec import tag_of
from .. import log
from ..counters import Counters
from ..policy_driver import PolicyDriver
from .handover import Handover

# A new process waits this long for the warm state: an older one hands it on within 50 ms, or is stuck.
WARM_STATE_TIMEOUT_S = 0.5
WARM_STATE_POLL_INTERVAL_S = 0.01


def monotonic_ms() -> float:
    """Return the machine's monotonic clock in ms: the same for all its processes, never stepped."""
    return time.monotonic() * 1000


class Takeover:
    """This process's role in hot restarts: the newer process, the older one, or both in turn."""

    def __init__(self, folder: Path, name: str, driver: PolicyDriver, counters: Counters) -> None:
        """Register with the processes of the gateway `name`.

        Raises:
            OSError: the folder cannot be written to.
        """
        self.has_other_process = False  # another process of this gateway is running
        self._driver = driver
        self._counters = counters
        self._handover = Handover(folder, name)
        # As the older process: the newer one that has the warm state, and units used since, by customer.
        self._successor: int | None = None
        self._used_units: dict[int, float] = {}
        self._published_units: dict[int, float] = {}
        # As the newer process: units charged for each older one, by customer.
        self._charged_units: dict[int, dict[int, float]] = {}
        self._serves_clients = False
        self._announced = False  # whether the other processes can see that it serves clients

    # As the newer process

    async def receive_warm_state(self) -> None:
        """Restore the warm state of an older process, if there is one that hands it on in time.

        Cancelling it leaves the decisions as they are at the start of a process.
        """
        try:
            await self._receive_warm_state()
        except OSError as error:  # start without a warm state, as after a kill
            self._handover_failed(error)

    async def _receive_warm_state(self) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + WARM_STATE_TIMEOUT_S
        while (older := self._handover.older_processes()) and loop.time() < deadline:
            if self._restore_from(older[0]):
                return
            await asyncio.sleep(WARM_STATE_POLL_INTERVAL_S)
        for source in older:  # the newest did not hand it on; an earlier one may have
            if self._restore_from(source):
                return
        if older:
            log.log_event("knowledge_missing", source=older[0])

    def _restore_from(self, source: int) -> bool:
        """Restore the warm state that process `source` handed on; return whether there was one."""
        data = self._handover.take_warm_state(source)
        if data is None:
            return False
        self._charged_units[source] = {}
        try:
            state = warm_state.decode(data)
            warm_state.restore(self._driver.gateway, state, self._driver.now(), monotonic_ms())
        except ValueError as error:  # of another version, or damaged: start without it, as after a kill
            self._counters.add("knowledge_refused")
            log.log_event("knowledge_refused", source=source, why=error)
            return True
        log.log_event(
            "knowledge_taken",
            source=source,
            customers=len(state.customers),
            servers=len(state.endpoints),
            age=state.age(self._driver.now(), monotonic_ms()),
        )
        return True

    def announce_serving(self) -> None:
        """Announce to the other processes that this one serves clients from now on.

        If that fails, the next tick repeats it.
        """
        self._serves_clients = True
        self._announce()

    def _announce(self) -> None:
        if self._serves_clients and not self._announced:
            try:
                self._handover.mark_ready()
                self._announced = True
            except OSError as error:
                self._handover_failed(error)

    def _handover_failed(self, error: OSError) -> None:
        self._counters.add("handover_failed")
        log.log_event("handover_failed", why=error)

    def _charge_usage_of(self, running: list[int]) -> None:
        """Charge the units older processes used after their handover; those not in `running` have ended."""
        for source, charged in list(self._charged_units.items()):
            has_ended = source not in running
            for tag, units in self._handover.read_usage(source).items():
                increase = units - charged.get(tag, 0.0)
                if increase > 0:
                    warm_state.charge_usage(self._driver.gateway, tag, increase, self._driver.now())
                    charged[tag] = units
            if has_ended:  # its final usage has been read
                del self._charged_units[source]

    # As the older process

    def has_successor(self) -> bool:
        """Return whether a newer process serves clients; False if that cannot be checked."""
        try:
            return any(self._handover.is_ready(number) for number in self._handover.newer_processes())
        except OSError as error:
            self._handover_failed(error)
            return False

    def _count_usage(self, request: RequestReceived) -> None:
        tag = tag_of(request.customer)
        if tag in self._used_units or len(self._used_units) < warm_state.MAX_CUSTOMERS:
            self._used_units[tag] = self._used_units.get(tag, 0.0) + request.units

    def _hand_over(self, successor: int) -> None:
        state = warm_state.capture(self._driver.gateway, self._driver.now(), monotonic_ms())
        data = warm_state.encode(state)
        self._handover.write_warm_state(successor, data)
        self._successor = successor
        self._used_units = {}
        self._published_units = {}
        self._driver.on_first_attempt = self._count_usage
        log.log_event("handed_on", to=successor, bytes=len(data))

    def _publish_usage(self) -> None:
        if self._successor is not None and self._used_units != self._published_units:
            self._handover.write_usage(self._successor, self._used_units)
            self._published_units = dict(self._used_units)

    def tick(self, is_serving: bool) -> None:
        """Look for other processes, hand on warm state and charge usage. Called many times a second.

        Args:
            is_serving: only a process that serves clients hands on its warm state.
        """
        self._announce()
        try:
            others = self._handover.other_processes()
            self.has_other_process = bool(others.older or others.newer)
            self._charge_usage_of(others.older)
            if others.newer and others.newer[0] != self._successor and is_serving:
                self._hand_over(others.newer[0])
            elif not others.newer and self._successor is not None:
                log.log_event("successor_gone", was=self._successor)
                self._successor = None
                self._driver.on_first_attempt = None
            self._publish_usage()
        except OSError as error:  # such as a full disk: both processes go on as if alone
            self._handover_failed(error)

    def close(self) -> None:
        """Deregister this process."""
        self._handover.close()
