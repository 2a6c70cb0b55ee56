"""Plays of a group of replicas by seed, and planted faults that the plays must find."""

from __future__ import annotations

import pytest

from mapleshunt.simulation.replication_planted_faults import run_seed
from mapleshunt.simulation.replication_plays import ReplicaGroupSimulation

# With the seed of the first play that finds each, as `benchmarks/replication_plays.py` reports it.
FOUND = {
    "ReadsUnconfirmed": 7, "CommitsUnseen": 0, "ShorterLogsWin": 0, "VotesTwice": 1, "TwoChangesAtOnce": 376,
    "OldIncarnation": 15, "OwnEntriesUnwritten": 522, "AppendedBeforeDurable": 696,
    "VoteBeforeDurable": 4390,
}  # fmt: skip


@pytest.mark.parametrize("first", range(0, 200, 25))
def test_no_invariant_is_violated_in_plays_by_seed(first: int) -> None:
    violations = {seed: violation for seed in range(first, first + 25) if (violation := run_seed(seed))}
    assert not violations


@pytest.mark.parametrize("plant", FOUND)
def test_planted_fault_is_found_by_its_seed(plant: str) -> None:
    assert run_seed(FOUND[plant], plant) and not run_seed(FOUND[plant])


def test_plays_contain_elections_snapshots_reads_and_lost_disks() -> None:
    groups = []
    for seed in range(12):
        groups.append(ReplicaGroupSimulation(seed, copies=3 + 2 * (seed % 2)))
        groups[-1].run()
    assert sum(one.acknowledged_calls for one in groups) > 200 and sum(one.elections for one in groups) > 20
    assert (
        sum(one.restored_snapshots for one in groups) > 5 and sum(one.completed_reads for one in groups) > 100
    )
    assert any(one.incarnations > 1 for one in groups)


def test_same_seed_plays_the_same() -> None:
    def story(seed: int) -> tuple[int, int, int, int, float]:
        group = ReplicaGroupSimulation(seed)
        group.run()
        return group.acknowledged_calls, group.completed_reads, group.elections, group.count, group.now

    assert story(5) == story(5) and story(5) != story(6)
