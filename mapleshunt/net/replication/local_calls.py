"""Calls that this gateway makes itself, of its own replicas or another gateway's, until they are answered."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ...replication import wire

# s after which nobody waits for a reply any more: whoever calls repeats a call long before.
CALL_TIMEOUT_S = 10.0
# s after which a session that a group had no room for is asked for again.
OPEN_RETRY_DELAY_S = 1.0

Replied = Callable[[wire.ClientResponse], None]


@dataclass(slots=True, frozen=True)
class PendingCall:
    """A call that is not answered yet."""

    replied: Replied
    deadline: float  # s


class LocalCalls:
    """By number. Numbers are not used again while this process lives."""

    def __init__(self) -> None:
        self._open: dict[int, PendingCall] = {}  # the oldest first
        self._last = 0

    def number(self) -> int:
        """A new one."""
        self._last += 1
        return self._last

    def begin(self, now: float, replied: Replied) -> int:
        """The number of a new call, whose reply goes to `replied` if it comes in time."""
        self._expire(now)
        number = self.number()
        self._open[number] = PendingCall(replied, now + CALL_TIMEOUT_S)
        return number

    def abandon(self, number: int) -> None:
        """Wait no longer for its reply. A number that is not open is none of them."""
        self._open.pop(number, None)

    def reply(self, reply: wire.ClientResponse) -> None:
        """Hand a reply on, unless nobody waits for it."""
        if (call := self._open.pop(reply.number, None)) is not None:
            call.replied(reply)

    def __len__(self) -> int:
        return len(self._open)

    def _expire(self, now: float) -> None:
        while self._open:
            number, oldest = next(iter(self._open.items()))
            if oldest.deadline > now:
                return
            del self._open[number]
