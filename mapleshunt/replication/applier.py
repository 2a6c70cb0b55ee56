"""Application of committed entries, results of the proposals, and requests for snapshots."""

from __future__ import annotations

from .config import RaftConfig
from .messages import Apply, CreateSnapshot, Entry, Replica, RequestOutcome, RequestResult, Snapshot
from .outbox import Outbox
from .raft_log import RaftLog


class Applier:
    """Emits committed entries. Owns the uncommitted proposals, and whether a snapshot is requested."""

    def __init__(self, log: RaftLog, outbox: Outbox, config: RaftConfig) -> None:
        self._log = log
        self._outbox = outbox
        self._config = config
        self._proposals: dict[int, tuple[int, int]] = {}  # by index: term and request id
        self._snapshot_requested = False

    def is_full(self) -> bool:
        """Return whether the limit of uncommitted proposals is reached."""
        return len(self._proposals) >= self._config.max_pending_requests

    def add_proposal(self, entry: Entry, request_id: int) -> None:
        """Record a proposal, so that its request is answered once the entry is committed."""
        self._proposals[entry.index] = (entry.term, request_id)

    def fail_proposals(self, leader_hint: Replica) -> None:
        """Answer all proposals with `UNKNOWN`: without leadership they may be committed, or not."""
        for index in sorted(self._proposals):
            request_id = self._proposals[index][1]
            self._outbox.emit(RequestResult(request_id, RequestOutcome.UNKNOWN, leader_hint=leader_hint))
        self._proposals = {}

    def commit_to(self, index: int) -> None:
        """Emit the entries up to `index` to be applied, and request a snapshot after enough of them."""
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
        """Compact the log with a snapshot of the state machine; return None if it is outdated."""
        self._snapshot_requested = False
        return self._log.compact(index, data, self._config.retained_entries)

    def on_snapshot_installed(self) -> None:
        """Allow the next snapshot request, since a leader's snapshot replaced the log."""
        self._snapshot_requested = False
