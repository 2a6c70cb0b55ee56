"""Linearizable reads by a confirmed round of heartbeats (thesis, 6.4; etcd's ReadIndex)."""

from __future__ import annotations

from dataclasses import dataclass

from .config import RaftConfig
from .messages import RequestOutcome, RequestResult
from .outbox import Outbox
from .progress import ReplicationProgress
from .raft_log import RaftLog


@dataclass(slots=True, frozen=True)
class PendingRead:
    """A read that may be answered, as of `index`, once a majority has confirmed `round`."""

    request_id: int
    index: int
    round: int


class ReadQueue:
    """A leader's unanswered reads. All reads that arrive during a round share the next one."""

    def __init__(
        self, progress: ReplicationProgress, log: RaftLog, outbox: Outbox, config: RaftConfig
    ) -> None:
        self._progress = progress
        self._log = log
        self._outbox = outbox
        self._config = config
        self._confirming: list[PendingRead] = []
        self._before_first_commit: list[int] = []  # waiting for a committed entry of this term
        self._queued: list[int] = []  # waiting for the next round

    def add(self, now: float, request_id: int) -> None:
        """Queue a read until it is confirmed that no other replica leads; reject it if too many wait."""
        waiting = len(self._confirming) + len(self._before_first_commit) + len(self._queued)
        if waiting >= self._config.max_pending_requests:
            self._outbox.reject(request_id)
        elif not self._log.is_commit_of_term(self._progress.term):
            self._before_first_commit.append(request_id)  # the leader may not know yet what is committed
        else:
            self._queued.append(request_id)
            self.begin_round(now)

    def begin_round(self, now: float) -> None:
        """Send heartbeats that confirm the queued reads, unless a round is in progress."""
        if self._confirming or not self._queued:
            return
        self._progress.round += 1
        index, round_ = self._log.commit_index, self._progress.round
        self._confirming = [PendingRead(request_id, index, round_) for request_id in self._queued]
        self._queued = []
        self._progress.heartbeat(now)
        self.confirm(now)

    def on_commit(self, now: float) -> None:
        """Queue the reads that waited for the first committed entry of the term."""
        if self._before_first_commit and self._log.is_commit_of_term(self._progress.term):
            waiting, self._before_first_commit = self._before_first_commit, []
            for request_id in waiting:
                self.add(now, request_id)

    def confirm(self, now: float) -> None:
        """Answer the reads whose round a majority has confirmed: no other replica led then."""
        if not self._confirming:
            return
        confirmed = self._progress.quorum_round()
        if self._confirming[0].round <= confirmed:  # all of them share it
            self.answer_all()
        self.begin_round(now)

    def answer_all(self) -> None:
        """Answer the reads of the current round."""
        while self._confirming:
            self._answer(self._confirming.pop(0))

    def _answer(self, read: PendingRead) -> None:
        self._outbox.emit(RequestResult(read.request_id, RequestOutcome.READ_READY, read.index))

    def reject_all(self, leader_hint: str) -> None:
        """Reject all reads, since leadership is lost."""
        confirming = (read.request_id for read in self._confirming)
        for request_id in [*confirming, *self._before_first_commit, *self._queued]:
            self._outbox.reject(request_id, leader_hint)
        self._confirming = []
        self._before_first_commit = []
        self._queued = []
