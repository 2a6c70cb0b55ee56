"""Outputs of a step, and messages deferred until the writes that they depend on are durable."""

from __future__ import annotations

from collections import deque

from .messages import (
    Entry,
    Message,
    Output,
    Replica,
    RequestOutcome,
    RequestResult,
    Send,
    Snapshot,
    VoteRequest,
    VoteResponse,
    Write,
)


def _replacement_key(message: Message) -> tuple[type[Message], bool]:
    """Return the key by which messages to a replica replace each other: pre-votes replace no votes."""
    pre_vote = isinstance(message, VoteRequest | VoteResponse) and message.pre_vote
    return type(message), pre_vote


class Outbox:
    """Collects a step's outputs in order.

    Owns the numbers of writes, how far they are durable, and the messages that are deferred for them. A
    leader's entries are sent without waiting: they may be durable on followers before they are on the leader.
    """

    def __init__(self, durable_index: int) -> None:
        self.outputs: list[Output] = []
        self.last_write = 0  # number of the last requested write
        self.durable_write = 0  # number of the last durable write
        self.durable_index = durable_index  # the log is on disk up to here
        self._log_ends: deque[tuple[int, int]] = deque()  # by write: the log's end once it is durable
        self.deferred: deque[tuple[int, Replica, Message]] = deque()  # by write: messages that depend on it

    def begin_step(self) -> None:
        """Begin the outputs of a new step."""
        self.outputs = []

    def emit(self, output: Output) -> None:
        """Add an output that depends on no write."""
        self.outputs.append(output)

    def reject(self, request_id: int, leader_hint: Replica = "") -> None:
        """Reject a request: nothing was or will be done for it."""
        self.outputs.append(RequestResult(request_id, RequestOutcome.REJECTED, leader_hint=leader_hint))

    def write(
        self,
        log_end: int,
        term: int,
        vote: Replica,
        entries: tuple[Entry, ...] = (),
        snapshot: Snapshot | None = None,
        reset: bool = False,
    ) -> None:
        """Request a durable write, after which the log on disk ends at index `log_end`."""
        self.last_write += 1
        self._log_ends.append((self.last_write, log_end))
        self.outputs.append(Write(self.last_write, term, vote, entries, snapshot, reset))

    def send_when_durable(self, to: Replica, message: Message) -> None:
        """Send a message once all earlier writes are durable."""
        if self.last_write > self.durable_write:
            self._defer(to, message)
        else:
            self.outputs.append(Send(to, message))

    def _defer(self, to: Replica, message: Message) -> None:
        """Defer a message until the last write is durable.

        It replaces an earlier message of its kind that waits for the same write: the newer one supersedes
        it, and the queue stays bounded when a disk completes no write for hours.
        """
        key = _replacement_key(message)
        for position in reversed(range(len(self.deferred))):
            number, replica, earlier = self.deferred[position]
            if number != self.last_write:
                break
            if replica == to and _replacement_key(earlier) == key:
                self.deferred[position] = (number, to, message)
                return
        self.deferred.append((self.last_write, to, message))

    def complete_write(self, number: int, log_end: int) -> None:
        """Mark writes up to `number` as durable, and send the messages that depend on them."""
        self.durable_write = max(self.durable_write, number)
        while self._log_ends and self._log_ends[0][0] <= self.durable_write:
            self.durable_index = min(self._log_ends.popleft()[1], log_end)
        while self.deferred and self.deferred[0][0] <= self.durable_write:
            _, to, message = self.deferred.popleft()
            self.outputs.append(Send(to, message))

    def truncate_log(self, log_end: int) -> None:
        """Count no entry after `log_end` as durable, now or by a pending write: those are replaced."""
        self.limit_durable_index(log_end)
        self._log_ends = deque((number, min(end, log_end)) for number, end in self._log_ends)

    def limit_durable_index(self, log_end: int) -> None:
        """Lower the durable index to `log_end`, where the log ends."""
        self.durable_index = min(self.durable_index, log_end)
