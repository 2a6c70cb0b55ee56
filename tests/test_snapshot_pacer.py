"""Pacing of snapshot chunks."""

from __future__ import annotations

from mapleshunt.replication.snapshot_pacer import SnapshotPacer


def test_chunks_are_paced_and_only_the_latest_of_each_replica_is_sent() -> None:
    pacer: SnapshotPacer[str, int] = SnapshotPacer(rate=1000.0, burst=500.0, now=0.0)
    for number in range(20):
        pacer.offer(f"to {number}", 250, number)
    pacer.offer("to 19", 250, 99)
    sent = [(key, tick / 10) for tick in range(100) for key, _ in pacer.take_ready(tick / 10)]
    assert [key for key, _ in sent] == [f"to {n}" for n in range(20)]  # none is skipped
    last = sent[-1][1]
    assert 4.0 <= last <= 5.0 and pacer.delay_s() is None  # 5000 bytes, 500 of them at once
    pacer.offer("a", 100, 1)
    pacer.discard("a")
    assert pacer.take_ready(20.0) == []
