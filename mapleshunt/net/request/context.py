"""What the gateway holds of one request, whatever protocol it came in."""

from __future__ import annotations

import asyncio
import math
import time
from dataclasses import dataclass, field
from typing import Protocol

from ...policy import AttemptStatus, RequestReceived


class Message(Protocol):
    """The request as its client worded it, to be passed on."""

    def encode(self, wait: int) -> bytes:
        """What goes to a till server, told that the gateway waits `wait` ms."""


class Answer(Protocol):
    """Where the one final answer goes. Each protocol words the three answers in its own way."""

    def serve(self, value: memoryview) -> None: ...

    def reject(self, wait: float) -> None: ...

    def fail(self) -> None: ...


class Connection(Protocol):
    """What a try is out on."""

    def close(self, reason: str) -> None: ...


@dataclass(slots=True, frozen=True)
class Intake:
    """What a request says of itself, read but not yet checked against the settings."""

    id: str  # as its client named it
    cls: str
    plan: str
    customer: str
    patience: float
    units: float
    spread: int
    first: int
    retry: bool
    key: bool  # it carries an idempotency key
    query: bool  # it says that it may be repeated
    message: Message


@dataclass(slots=True, frozen=True)
class Ending:
    """How a try ended; `value` only with "ok"."""

    status: AttemptStatus
    value: memoryview | None = None
    cost: float = 0.0


@dataclass(slots=True)
class Try:
    number: int
    server: int
    sent: float  # on the driver's clock
    until: float  # when the gateway stops waiting
    before: float = math.inf  # from then on none of its bytes may go out
    connection: Connection | None = None
    given_up: AttemptStatus | None = None
    task: asyncio.Task[None] | None = None
    status: AttemptStatus | None = None  # how it ended; None while it is out
    zone: str = ""  # of its server, known once its bytes go out
    cell: int = 0
    took: float = 0.0  # ms
    cost: float = 0.0  # true units, as told

    def give_up(self, status: AttemptStatus) -> None:
        """Stop waiting. The connection ends too: an answer still to come on it would be the next try's."""
        if self.given_up is None:
            self.given_up = status
            if self.connection is not None:
                self.connection.close(status)


@dataclass(slots=True)
class RequestContext:
    ref: int
    request: RequestReceived
    message: Message
    answer: Answer
    taken: float  # on the driver's clock
    id: str = ""
    ids: set[str] = field(default_factory=set)  # of all requests that are open
    tries: list[Try] = field(default_factory=list)
    guard: asyncio.TimerHandle | None = None
    open: bool = True  # the final answer is still owed
    final: str = "gone"  # served, refused or failed once it was given
    ended: float = 0.0  # on the driver's clock; known where requests are recorded
    ended_at: float = math.inf  # s, monotonic: when its final answer was given or its client left

    @property
    def due(self) -> float:
        return self.taken + self.request.remaining_time

    def end(self) -> bool:
        """Claim the right to give the final answer; False if that has been done."""
        was, self.open = self.open, False
        if was:
            self.ids.discard(self.id)
            self.ended_at = time.monotonic()
        if self.guard is not None:
            self.guard.cancel()
            self.guard = None
        return was
