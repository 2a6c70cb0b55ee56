"""Timeouts and limits of a replica."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RaftConfig:
    """Timeouts and limits of a replica, the same for all replicas of a group.

    The proportions follow Ongaro's thesis, 9.3: a broadcast takes far less than an election timeout, and
    timeouts are drawn from [election_timeout_s, 2 * election_timeout_s).
    """

    election_timeout_s: float = 1.0
    heartbeat_interval_s: float = 0.2
    max_batch_bytes: int = 64 * 1024  # of entries in one message
    max_inflight_messages: int = 8  # with entries, to one follower
    snapshot_chunk_bytes: int = 64 * 1024
    retained_entries: int = 256  # kept though a snapshot covers them, for followers that lag slightly
    compaction_threshold: int = 2048  # applied entries after which a snapshot is requested
    max_pending_requests: int = 1024  # uncommitted proposals, or reads; more are rejected
