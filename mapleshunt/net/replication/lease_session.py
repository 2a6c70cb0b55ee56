"""A session at one group, through which each of this gateway's lease operations is applied once."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ...replicated_state import commands
from ...replicated_state.leases import ProposeOperation
from ...replicated_state.results import Applied, Denied, Result, decode_result
from ...replication import wire
from ..counters import Counters
from .local_calls import OPEN_RETRY_DELAY_S
from .requests import LocalRequests

LEASE_TERM_MS = 2000.0
TICK_INTERVAL_S = 0.05
RETRY_INTERVAL_S = 0.25  # after which an operation is sent again, to the leader of that time
# Timeouts of operations, as multiples of the lease term.
TIMEOUT_TERMS = {commands.AcquireLease: 0.5, commands.ReturnLease: 1.0, commands.SettleUsage: 30.0}
DEFAULT_TIMEOUT_TERMS = 1.0
MAX_PENDING = 32  # operations of a session; further ones fail at once


@dataclass(slots=True)
class PendingOperation:
    """An operation without a result yet; one without a proposal opens the session."""

    command: bytes
    proposal: ProposeOperation | None
    deadline: float  # s, on the loop's clock
    next_send_at: float  # s
    requests: list[int] = field(
        default_factory=list
    )  # numbers at `LocalRequests`: one for each time it was sent


@dataclass(slots=True, frozen=True)
class SessionHandlers:
    """Callbacks of a session."""

    on_result: Callable[[ProposeOperation, Result | None], None]  # None: unknown whether it was applied
    on_session_dropped: Callable[[LeaseSession], None]  # the group has dropped the session


class LeaseSession:
    """A session at one group, with the operations that are pending in it."""

    def __init__(
        self, requests: LocalRequests, group: int, handlers: SessionHandlers, counters: Counters
    ) -> None:
        """Start to open the session; proposals wait until it is open."""
        self.group = group
        self._requests = requests
        self._handlers = handlers
        self._counters = counters
        self._name = requests.session_name("lease")
        self._last_number = 0
        self._leader_hint = ""
        self._pending: dict[int, PendingOperation] = {}  # by number
        self._is_open = False
        self._begin(commands.OpenSession(), None, math.inf)

    def propose(self, proposal: ProposeOperation) -> None:
        """Send an operation until it has a result, which goes to `on_result`."""
        if len(self._pending) >= MAX_PENDING:
            self._counters.add("leases_crowded")
            self._handlers.on_result(proposal, None)
            return
        terms = TIMEOUT_TERMS.get(type(proposal.operation), DEFAULT_TIMEOUT_TERMS)
        self._begin(proposal.operation, proposal, terms * LEASE_TERM_MS / 1000)

    def _begin(
        self, operation: commands.Operation, proposal: ProposeOperation | None, timeout_s: float
    ) -> None:
        self._last_number += 1
        number = self._last_number
        oldest_pending = min(self._pending, default=number)
        now = _now()
        data = commands.encode(commands.Command(self._name, number, oldest_pending, operation))
        self._pending[number] = PendingOperation(data, proposal, now + timeout_s, now)
        if self._is_open or proposal is None:
            self._send(number)

    def _send(self, number: int) -> None:
        """Send an operation, perhaps again: the answer to each time counts, as it is applied once."""
        pending = self._pending[number]
        pending.next_send_at = _now() + RETRY_INTERVAL_S
        to = self._leader_hint or self._requests.leader_of(self.group)
        self._leader_hint = ""
        request = self._requests.send(
            self.group, pending.command, to, lambda response: self._responded(number, response)
        )
        pending.requests.append(request)

    def _responded(self, number: int, response: wire.ClientResponse) -> None:
        pending = self._pending.get(number)
        if pending is None:
            return
        now = _now()
        if response.status != "done":
            self._leader_hint = response.leader_hint
            pending.next_send_at = min(pending.next_send_at, now + TICK_INTERVAL_S)
            return
        result = decode_result(response.data)
        if pending.proposal is None:
            self._open_responded(number, result, now)
        elif isinstance(result, Denied) and result.reason == "session":
            self._handlers.on_session_dropped(self)
        else:
            self._remove(number)
            self._handlers.on_result(pending.proposal, result)

    def _open_responded(self, number: int, result: Result, now: float) -> None:
        """Mark the session as open; if the group is out of sessions, schedule another attempt."""
        if isinstance(result, Applied):
            self._is_open = True
            self._remove(number)
        else:
            self._counters.add("leases_session_denied")
            self._pending[number].next_send_at = now + OPEN_RETRY_DELAY_S

    def tick(self, now: float) -> None:
        """Resend operations without a response and time out overdue ones. Called periodically."""
        for number, pending in list(self._pending.items()):
            if number not in self._pending:
                continue  # a handler has abandoned the session
            if now >= pending.deadline and pending.proposal is not None:
                self._remove(number)
                self._counters.add("leases_unanswered")
                self._handlers.on_result(pending.proposal, None)
            elif now >= pending.next_send_at and (self._is_open or pending.proposal is None):
                self._send(number)

    def abandon(self) -> list[ProposeOperation]:
        """Stop waiting for responses, and return the proposals without a result."""
        abandoned = [self._remove(number) for number in list(self._pending)]
        return [operation.proposal for operation in abandoned if operation.proposal is not None]

    def _remove(self, number: int) -> PendingOperation:
        """Remove an operation and stop waiting for responses to it."""
        pending = self._pending.pop(number)
        for request in pending.requests:
            self._requests.abandon(request)
        return pending


def _now() -> float:
    return asyncio.get_running_loop().time()
