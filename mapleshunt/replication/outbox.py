"""Outputs of a step, and messages that wait until the writes that they rest on are durable."""

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
    """Messages to one replica with the same key replace each other; pre-votes and votes do not."""
    pre_vote = isinstance(message, VoteRequest | VoteResponse) and message.pre_vote
    return type(message), pre_vote


class Outbox:
    """Collects a step's outputs in order.

    Owns the numbers of writes, how far they are durable, and the messages that are held back for them. A
    leader's entries are sent without waiting: others may have them durable before the leader has.
    """

    def __init__(self, durable_index: int) -> None:
        self.outputs: list[Output] = []
        self.last_write = 0  # number of the last write that was asked for
        self.durable_write = 0  # number of the last write that is durable
        self.durable_index = durable_index  # the log up to here is on disk
        self._log_ends: deque[tuple[int, int]] = deque()  # by write: the log's end once it is durable
        self.held: deque[tuple[int, Replica, Message]] = deque()  # by write: messages that wait for it

    def begin_step(self) -> None:
        """Start the outputs of another step."""
        self.outputs = []

    def emit(self, output: Output) -> None:
        """Add an output that rests on no write."""
        self.outputs.append(output)

    def reject(self, request_id: int, leader_hint: Replica = "") -> None:
        """Answer that nothing was or will be done for a request."""
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
        """Ask for a durable write, after which the log on disk ends at index `log_end`."""
        self.last_write += 1
        self._log_ends.append((self.last_write, log_end))
        self.outputs.append(Write(self.last_write, term, vote, entries, snapshot, reset))

    def send_when_durable(self, to: Replica, message: Message) -> None:
        """Send a message once all that was written before is durable."""
        if self.last_write > self.durable_write:
            self._hold(to, message)
        else:
            self.outputs.append(Send(to, message))

    def _hold(self, to: Replica, message: Message) -> None:
        """Keep a message until the last write is durable.

        It replaces an earlier one of its kind that waits for the same write: the newer says all that still
        matters, and a disk may complete no write for hours.
        """
        key = _replacement_key(message)
        for position in reversed(range(len(self.held))):
            number, replica, earlier = self.held[position]
            if number != self.last_write:
                break
            if replica == to and _replacement_key(earlier) == key:
                self.held[position] = (number, to, message)
                return
        self.held.append((self.last_write, to, message))

    def complete_write(self, number: int, log_end: int) -> None:
        """The write of that number, and all before it, are durable: send what waited for them."""
        self.durable_write = max(self.durable_write, number)
        while self._log_ends and self._log_ends[0][0] <= self.durable_write:
            self.durable_index = min(self._log_ends.popleft()[1], log_end)
        while self.held and self.held[0][0] <= self.durable_write:
            _, to, message = self.held.popleft()
            self.outputs.append(Send(to, message))

    def truncate_log(self, log_end: int) -> None:
        """Entries behind index `log_end` are replaced: those on disk, or on the way to it, do not count."""
        self.limit_durable_index(log_end)
        self._log_ends = deque((number, min(end, log_end)) for number, end in self._log_ends)

    def limit_durable_index(self, log_end: int) -> None:
        """The log ends at `log_end`, and no more of it than that is durable."""
        self.durable_index = min(self.durable_index, log_end)
