"""Committed entries on their way to the state machine, the proposals they answer, and own snapshots."""

from __future__ import annotations

from .config import RaftConfig
from .messages import Apply, CreateSnapshot, Entry, Replica, RequestOutcome, RequestResult, Snapshot
from .outbox import Outbox
from .raft_log import RaftLog


class Applier:
    """Owns the proposals that are not yet committed, and whether a snapshot is being made."""

    def __init__(self, log: RaftLog, outbox: Outbox, config: RaftConfig) -> None:
        self._log = log
        self._outbox = outbox
        self._config = config
        self._proposals: dict[int, tuple[int, int]] = {}  # by index: term and request
        self._snapshot_requested = False

    def is_full(self) -> bool:
        """Whether no further proposal may wait."""
        return len(self._proposals) >= self._config.max_pending_requests

    def add_proposal(self, entry: Entry, request_id: int) -> None:
        """Answer that request once the entry is committed."""
        self._proposals[entry.index] = (entry.term, request_id)

    def fail_proposals(self, leader_hint: Replica) -> None:
        """Leadership is lost: whether the open proposals come to be applied is unknown."""
        for index in sorted(self._proposals):
            request_id = self._proposals[index][1]
            self._outbox.emit(RequestResult(request_id, RequestOutcome.UNKNOWN, leader_hint=leader_hint))
        self._proposals = {}

    def commit_to(self, index: int) -> None:
        """Hand out the entries up to `index`, and ask for a snapshot if enough of them were."""
        entries = self._log.slice(self._log.commit_index + 1, index + 1)
        self._log.commit_index = index
        for entry in entries:
            term, request_id = self._proposals.pop(entry.index, (0, None))
            self._outbox.emit(Apply(entry, request_id if term == entry.term else None))
        applied = index - self._log.snapshot.index
        if applied >= self._config.compaction_threshold and not self._snapshot_requested:
            self._snapshot_requested = True
            self._outbox.emit(CreateSnapshot(index))

    def on_snapshot_created(self, index: int, data: bytes) -> Snapshot | None:
        """Compact the log by a snapshot of the state machine; None if it came too late."""
        self._snapshot_requested = False
        return self._log.compact(index, data, self._config.retained_entries)

    def on_snapshot_installed(self) -> None:
        """A leader's snapshot was taken: ask for an own one again when it is time."""
        self._snapshot_requested = False
