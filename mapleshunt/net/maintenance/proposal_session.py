"""A session at one group, through which the operations of maintenance are applied in order."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ...replicated_state import commands
from ...replicated_state.results import Applied, Denied, Result, decode_result
from ...replication import wire
from ..replication.local_calls import OPEN_RETRY_DELAY_S
from ..replication.requests import LocalRequests

RETRY_INTERVAL_S = 0.5  # after which an operation is sent again
REFUSED_RETRY_DELAY_S = 0.1  # after which a refused operation is sent again
MAX_WAITING = 4  # waiting operations; with more the session counts as busy


def _always() -> bool:
    return True


@dataclass(slots=True, frozen=True)
class Proposal:
    """An operation to be applied.

    Attributes:
        operation: What is proposed.
        on_result: Gets the result, if there is one.
        is_current: Whether the operation may still be sent. What was observed under one leader must not be
            applied under the next: such a proposal is dropped without a result.
    """

    operation: commands.Operation
    on_result: Callable[[Result], None]
    is_current: Callable[[], bool] = _always


class ProposalSession:
    """A session that sends one operation at a time until it has a result.

    A group may drop a session that was idle for long; then a new one is opened and the operation sent again.
    Operations may thus be applied twice: all are fenced, bound to a version, or idempotent.
    """

    def __init__(self, requests: LocalRequests, group: int) -> None:
        """Initialize; the session is opened before the first operation."""
        self._requests = requests
        self._group = group
        self._last_number = 0
        # Numbers at `LocalRequests`, one for each time that the operation in flight was sent.
        self._sent_requests: list[int] = []
        self._next_send_at = 0.0  # s
        self._in_flight = b""  # the command that has no response yet; empty if there is none
        self._waiting: deque[Proposal] = deque()  # the first is in flight, once the session is open
        self._renew_name()

    def _renew_name(self) -> None:
        self._name = self._requests.session_name(f"work{self._group}-")
        self._is_open = False

    def is_busy(self) -> bool:
        """Return whether an operation is in flight or more than `MAX_WAITING` wait."""
        return bool(self._in_flight) or len(self._waiting) > MAX_WAITING

    def propose(
        self,
        operation: commands.Operation,
        on_result: Callable[[Result], None],
        is_current: Callable[[], bool] = _always,
    ) -> None:
        """Queue an operation, to be applied after those that wait, while `is_current` returns true."""
        self._waiting.append(Proposal(operation, on_result, is_current))
        self.tick(self._requests.now())

    def tick(self, now: float) -> None:
        """Send the next operation, or resend one without a response. Called periodically."""
        self._drop_outdated(now)
        if not self._in_flight and self._waiting:
            operation = self._waiting[0].operation if self._is_open else commands.OpenSession()
            self._last_number += 1
            number = self._last_number
            self._in_flight = commands.encode(commands.Command(self._name, number, number, operation))
        if self._in_flight and now >= self._next_send_at:
            self._send(now)

    def _drop_outdated(self, now: float) -> None:
        """Drop the operations in front that may not be sent any more; the session's opening goes on."""
        while self._waiting and not self._waiting[0].is_current():
            self._waiting.popleft()
            if self._is_open and self._in_flight:
                self._forget_in_flight(now)

    def _forget_in_flight(self, now: float) -> None:
        """Stop waiting for a result of the operation in flight, so that the next one may be sent."""
        self._in_flight, self._next_send_at = b"", now
        for request in self._sent_requests:
            self._requests.abandon(request)
        self._sent_requests.clear()

    def _send(self, now: float) -> None:
        """Send the operation, perhaps again: the answer to each time counts, as a session applies it once."""
        self._next_send_at = now + RETRY_INTERVAL_S
        number, to = self._last_number, self._requests.leader_of(self._group)
        request = self._requests.send(
            self._group, self._in_flight, to, lambda response: self._responded(number, response)
        )
        self._sent_requests.append(request)

    def _responded(self, number: int, response: wire.ClientResponse) -> None:
        if number != self._last_number or not self._in_flight:
            return
        now = self._requests.now()
        if response.status != "done":
            self._requests.apply_redirect(self._group, response)
            self._next_send_at = min(self._next_send_at, now + REFUSED_RETRY_DELAY_S)
            return
        self._forget_in_flight(now)
        self._finish(decode_result(response.data), now)
        self.tick(now)

    def _finish(self, result: Result, now: float) -> None:
        if not self._is_open:
            self._is_open = isinstance(result, Applied)
            self._next_send_at = now if self._is_open else now + OPEN_RETRY_DELAY_S
        elif isinstance(result, Denied) and result.reason == "session":
            self._renew_name()
        else:
            self._waiting.popleft().on_result(result)


class ProposalSessions:
    """The sessions of maintenance, one per group, created at first use."""

    def __init__(self, requests: LocalRequests) -> None:
        """Initialize without sessions."""
        self._requests = requests
        self._by_group: dict[int, ProposalSession] = {}

    def at(self, group: int) -> ProposalSession:
        """Return the session at a group."""
        if group not in self._by_group:
            self._by_group[group] = ProposalSession(self._requests, group)
        return self._by_group[group]

    def tick(self, now: float) -> None:
        """Tick all sessions."""
        for session in self._by_group.values():
            session.tick(now)
