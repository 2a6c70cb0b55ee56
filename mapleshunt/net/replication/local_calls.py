"""Pending calls of this gateway, to its own replicas or to another gateway's."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ...replication import wire

CALL_TIMEOUT_S = 10.0  # much longer than callers wait before they repeat a call
OPEN_RETRY_DELAY_S = 1.0  # after a group was out of sessions

OnResponse = Callable[[wire.ClientResponse], None]


class ResponseWriter(Protocol):
    """Receiver of the response to a call: a connection, or this gateway itself."""

    def write(self, frame: wire.Frame) -> None:
        """Send the frame; it may be lost."""


class LocalConnection:
    """Stands in for a connection when this gateway calls its own replicas."""

    def __init__(self, on_response: OnResponse) -> None:
        """Initialize; responses go to `on_response` in a later turn of the event loop."""
        self._on_response = on_response

    def write(self, frame: wire.Frame) -> None:
        """Deliver a response; other frames are dropped."""
        if isinstance(frame, wire.ClientResponse):
            asyncio.get_running_loop().call_soon(self._on_response, frame)


@dataclass(slots=True, frozen=True)
class PendingCall:
    """A call without a response yet."""

    on_response: OnResponse
    deadline: float  # s, on the loop's clock


class LocalCalls:
    """Pending calls by number. Numbers are not reused while this process runs."""

    def __init__(self) -> None:
        self._pending: dict[int, PendingCall] = {}  # the oldest first
        self._last_number = 0

    def next_number(self) -> int:
        """Return an unused number."""
        self._last_number += 1
        return self._last_number

    def begin(self, now: float, on_response: OnResponse) -> int:
        """Return the number of a new call; `on_response` gets the response if it comes in time."""
        self._expire(now)
        number = self.next_number()
        self._pending[number] = PendingCall(on_response, now + CALL_TIMEOUT_S)
        return number

    def abandon(self, number: int) -> None:
        """Stop waiting for the response, if the call is pending."""
        self._pending.pop(number, None)

    def deliver(self, response: wire.ClientResponse) -> None:
        """Deliver a response, unless its call was abandoned or has expired."""
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
