"""Calls that this gateway makes itself, of its own replicas or another gateway's, until they are answered."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ...replication import wire

# After which no response is waited for any more: callers repeat a call long before.
CALL_TIMEOUT_S = 10.0
# After which a session that a group had no room for is asked for again.
OPEN_RETRY_DELAY_S = 1.0

OnResponse = Callable[[wire.ClientResponse], None]


class ResponseWriter(Protocol):
    """Where the responses to a call go: a connection, or this gateway itself."""

    def write(self, frame: wire.Frame) -> None:
        """Send the frame; it may be lost."""


class LocalConnection:
    """Takes the place of a connection where this gateway calls its own replicas."""

    def __init__(self, on_response: OnResponse) -> None:
        """Responses go to `on_response`, in a later turn of the event loop."""
        self._on_response = on_response

    def write(self, frame: wire.Frame) -> None:
        """Hand a response on; other frames are for other gateways only."""
        if isinstance(frame, wire.ClientResponse):
            asyncio.get_running_loop().call_soon(self._on_response, frame)


@dataclass(slots=True, frozen=True)
class PendingCall:
    """A call that is not answered yet."""

    on_response: OnResponse
    deadline: float  # s, on the loop's clock


class LocalCalls:
    """Pending calls by number. Numbers are not used again while this process runs."""

    def __init__(self) -> None:
        self._pending: dict[int, PendingCall] = {}  # the oldest first
        self._last_number = 0

    def next_number(self) -> int:
        """Return a number that was not used before."""
        self._last_number += 1
        return self._last_number

    def begin(self, now: float, on_response: OnResponse) -> int:
        """Return the number of a new call, whose response goes to `on_response` if it comes in time."""
        self._expire(now)
        number = self.next_number()
        self._pending[number] = PendingCall(on_response, now + CALL_TIMEOUT_S)
        return number

    def abandon(self, number: int) -> None:
        """Wait no longer for the response. Nothing happens if the call is not pending."""
        self._pending.pop(number, None)

    def deliver(self, response: wire.ClientResponse) -> None:
        """Hand a response on, unless its call was abandoned or has expired."""
        if (call := self._pending.pop(response.number, None)) is not None:
            call.on_response(response)

    def __len__(self) -> int:
        return len(self._pending)

    def _expire(self, now: float) -> None:
        while self._pending:
            number, oldest = next(iter(self._pending.items()))
            if oldest.deadline > now:
                return
            del self._pending[number]
