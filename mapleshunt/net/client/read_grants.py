"""Grants of memory to connections that read a command longer than their first buffer.

A command tells the length of each of its words ahead of the bytes. A connection reads on past its first
buffer only with a grant for that length; without one it is not read, and TCP holds its client back. Grants
are given in the order of the requests. While others wait, a holder whose bytes do not come loses its grant.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING, Protocol

from ..counters import Counters
from ..memory import MemoryBudget
from . import limits

RECLAIM_INTERVAL_S = 0.01  # between two looks for holders that give way
# Of those that give way at a look: they come again at once, and each costs time that others need.
MAX_RECLAIMS = 4

if TYPE_CHECKING:  # a protocol class costs memory in every gateway

    class GrantHolder(Protocol):
        """A connection that reads a long command."""

        last_read_at: float  # s, on the loop's clock: when its last bytes were read

        def grant_bytes(self, size: int) -> None:
            """Replace the read buffer by one of that size; it counts as held from now on."""

        def has_grant(self) -> bool:
            """Return whether its read buffer is longer than the first one."""

        def give_way(self) -> bool:
            """End the connection because its command does not come; return whether it was ended."""


class ReadGrants:
    """The holders of grants, and those that wait for one, the longest first."""

    def __init__(self, budget: MemoryBudget, counters: Counters) -> None:
        """Give grants of the memory that `budget` has free."""
        self._budget, self._counters = budget, counters
        self._holders: dict[GrantHolder, None] = {}
        self._reclaim_timer: asyncio.TimerHandle | None = None
        self._waiting: OrderedDict[GrantHolder, tuple[int, asyncio.Future[bool]]] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of connections that wait."""
        return len(self._waiting)

    def try_take(self, holder: GrantHolder, size: int) -> bool:
        """Give the holder a buffer of `size` bytes if there is memory and nobody waits for it."""
        if self._waiting or not self._budget.admits_long(size):
            return False
        self._give(holder, size)
        return True

    async def take(self, holder: GrantHolder, size: int) -> bool:
        """Give the holder a buffer of `size` bytes, when it is its turn; return whether it came.

        Cancelling it withdraws the request.
        """
        if self.try_take(holder, size):
            return True
        self._counters.add("grants_awaited")
        granted: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting[holder] = size, granted
        self._budget.on_released = self.serve_waiting
        timer = asyncio.get_running_loop().call_later(limits.GRANT_TIMEOUT_S, self._settle, holder, False)
        self._reclaim_soon()
        try:
            return await granted
        finally:
            timer.cancel()
            self.withdraw(holder)

    def withdraw(self, holder: GrantHolder) -> None:
        """Forget a connection that has ended or waits no more."""
        self._settle(holder, False)
        if not holder.has_grant():
            self._holders.pop(holder, None)

    def forget(self, holder: GrantHolder) -> None:
        """Forget a connection whose buffer is released."""
        self._settle(holder, False)
        self._holders.pop(holder, None)

    def _settle(self, holder: GrantHolder, is_granted: bool) -> None:
        _size, granted = self._waiting.pop(holder, (0, None))
        if granted is not None and not granted.done():
            granted.set_result(is_granted)
        if not self._waiting:
            self._budget.on_released = None

    def _give(self, holder: GrantHolder, size: int) -> None:
        holder.grant_bytes(size)
        self._holders[holder] = None

    def serve_waiting(self) -> None:
        """Give grants to those that wait, in their order, as far as there is memory."""
        while self._waiting:
            holder, (size, _granted) = next(iter(self._waiting.items()))
            if not self._budget.admits_long(size):
                return
            self._give(holder, size)
            self._settle(holder, True)

    def _reclaim_soon(self) -> None:
        if self._reclaim_timer is None:
            loop = asyncio.get_running_loop()
            self._reclaim_timer = loop.call_later(RECLAIM_INTERVAL_S, self._reclaim_again)

    def _reclaim_again(self) -> None:
        self._reclaim_timer = None
        self.reclaim()
        if self._waiting:
            self._reclaim_soon()

    def reclaim(self) -> None:
        """While connections wait, end holders whose bytes do not come, the slowest first."""
        if not self._waiting:
            return
        self.serve_waiting()
        now = asyncio.get_running_loop().time()
        self._holders = {holder: None for holder in self._holders if holder.has_grant()}
        reclaimed = 0
        for holder in sorted(self._holders, key=lambda holder: holder.last_read_at):
            is_stalled = now - holder.last_read_at >= limits.STALL_TIMEOUT_S
            if not self._waiting or not is_stalled or reclaimed == MAX_RECLAIMS:
                break
            reclaimed += holder.give_way()
        self._counters.add("grants_reclaimed", reclaimed)
