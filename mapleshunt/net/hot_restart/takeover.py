"""A second process beside the first: the next version takes over while the one before goes on to its end.

The older process hands on what it knows as soon as it sees a newer one, goes on as before, and tells what it
uses from then on. SIGTERM tells it to leave: until then the newer one may die, and nothing is lost.
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

WAIT = 0.5  # s that a new process waits for what the one before knows: it answers within 50 ms or is stuck
LOOK = 0.01  # s between two looks for it


def monotonic_ms() -> float:
    """The machine's clock that is never stepped: one for all its processes."""
    return time.monotonic() * 1000


class Takeover:
    def __init__(self, folder: Path, name: str, driver: PolicyDriver, counters: Counters) -> None:
        """Raises OSError if the folder cannot be written to."""
        self.driver, self.counters = driver, counters
        self.handover = Handover(folder, name)
        self.to: int | None = None  # the newer process that this one has handed on to
        self.units: dict[int, float] = {}  # used since, by customer
        self.written: dict[int, float] = {}  # of these, what was told
        self.sources: dict[int, dict[int, float]] = {}  # older processes, and what was charged for each
        self.together = False  # another process of this gateway lives
        self.takes_clients = self.announced = False  # and whether the others can read that it does

    # The new process

    async def receive(self) -> None:
        """Take over what the process before knows, if there is one that answers in time."""
        try:
            await self._receive()
        except OSError as error:  # the start is as after a kill
            self._failed(error)

    async def _receive(self) -> None:
        end = asyncio.get_running_loop().time() + WAIT
        while (older := self.handover.older_processes()) and asyncio.get_running_loop().time() < end:
            if (data := self.handover.take_warm_state(older[0])) is not None:
                return self._take_over(older[0], data)
            await asyncio.sleep(LOOK)
        for source in older:  # the newest does not answer; one before it may have
            if (data := self.handover.take_warm_state(source)) is not None:
                return self._take_over(source, data)
        if older:
            log.log_event("knowledge_missing", source=older[0])

    def _take_over(self, source: int, data: bytes) -> None:
        self.sources[source] = {}
        try:
            known = warm_state.decode(data)
            warm_state.restore(self.driver.gateway, known, self.driver.now(), monotonic_ms())
        except ValueError as error:  # of another version, or spoilt: it starts as one that was killed does
            self.counters.add("knowledge_refused")
            log.log_event("knowledge_refused", source=source, why=error)
            return
        customers, servers = len(known.customers), len(known.endpoints)
        age = known.age(self.driver.now(), monotonic_ms())
        log.log_event("knowledge_taken", source=source, customers=customers, servers=servers, age=age)

    def ready(self) -> None:
        """This process takes clients from now on. It is told again later if it cannot be told now."""
        self.takes_clients = True
        self._announce()

    def _announce(self) -> None:
        if self.takes_clients and not self.announced:
            try:
                self.handover.mark_ready()
                self.announced = True
            except OSError as error:
                self._failed(error)

    def _failed(self, error: OSError) -> None:
        self.counters.add("handover_failed")
        log.log_event("handover_failed", why=error)

    def _charge(self, alive: list[int]) -> None:
        for source, charged in list(self.sources.items()):
            ended = source not in alive
            for tag, units in self.handover.read_usage(source).items():
                if (more := units - charged.get(tag, 0.0)) > 0:
                    warm_state.charge_usage(self.driver.gateway, tag, more, self.driver.now())
                    charged[tag] = units
            if ended:  # what it told last has been read
                del self.sources[source]

    # The old process

    def succeeded(self) -> bool:
        """Does a newer process take the clients by now? If that cannot be looked up, none does."""
        try:
            return any(self.handover.is_ready(one) for one in self.handover.newer_processes())
        except OSError as error:
            self._failed(error)
            return False

    def _sent(self, request: RequestReceived) -> None:
        tag = tag_of(request.customer)
        if tag in self.units or len(self.units) < warm_state.MAX_CUSTOMERS:
            self.units[tag] = self.units.get(tag, 0.0) + request.units

    def _hand_on(self, to: int) -> None:
        data = warm_state.encode(warm_state.capture(self.driver.gateway, self.driver.now(), monotonic_ms()))
        self.handover.write_warm_state(to, data)
        self.to, self.units, self.written = to, {}, {}
        self.driver.on_first_attempt = self._sent
        log.log_event("handed_on", to=to, bytes=len(data))

    def tend(self, working: bool) -> None:
        """Look for other processes, hand on and take over. Called many times a second."""
        self._announce()
        try:
            older, newer = self.handover.other_processes()
            self.together = bool(older or newer)
            self._charge(older)
            if newer and newer[0] != self.to and working:
                self._hand_on(newer[0])
            elif not newer and self.to is not None:
                log.log_event("successor_gone", was=self.to)
                self.to, self.driver.on_first_attempt = None, None
            if self.to is not None and self.units != self.written:
                self.handover.write_usage(self.to, self.units)
                self.written = dict(self.units)
        except OSError as error:  # no room: the two go on as if each were alone
            self._failed(error)

    def close(self) -> None:
        self.handover.close()
