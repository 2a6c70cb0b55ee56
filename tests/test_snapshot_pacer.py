"""Pacing of snapshot chunks."""

from __future__ import annotations

from mapleshunt.replication.snapshot_pacer import SnapshotPacer


def test_chunks_are_paced_and_only_the_latest_of_each_replica_is_sent() -> None:
    pace: SnapshotPacer[str, int] = SnapshotPacer(rate=1000.0, burst=500.0, now=0.0)
    for number in range(20):
        pace.offer(f"to {number}", 250, number)
    pace.offer("to 19", 250, 99)
    went = [(key, at / 10) for at in range(100) for key, _ in pace.take_ready(at / 10)]
    assert [key for key, _ in went] == [f"to {n}" for n in range(20)]  # none is passed over
    last = went[-1][1]
    assert 4.0 <= last <= 5.0 and pace.delay_s() is None  # 5000 bytes, 500 at once
    pace.offer("a", 100, 1)
    pace.discard("a")
    assert pace.take_ready(20.0) == []
