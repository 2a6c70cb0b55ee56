"""Simulations of a group of replicas by seed, and planted faults that they must find."""

from __future__ import annotations

import pytest

from mapleshunt.simulation.replication_planted_faults import run_seed
from mapleshunt.simulation.replication_plays import ReplicaGroupSimulation

# The first seed that finds each planted fault, as `benchmarks/replication_plays.py` reports it.
FIRST_FINDING_SEED = {
    "ReadsUnconfirmed": 7, "CommitsUnseen": 0, "ShorterLogsWin": 0, "VotesTwice": 1, "TwoChangesAtOnce": 792,
    "OldIncarnation": 15, "OwnEntriesUnwritten": 522, "AppendedBeforeDurable": 696,
    "VoteBeforeDurable": 4390,
}  # fmt: skip


@pytest.mark.parametrize("first", range(0, 200, 25))
def test_no_invariant_is_violated_by_any_seed(first: int) -> None:
    violations = {seed: violation for seed in range(first, first + 25) if (violation := run_seed(seed))}
    assert not violations


@pytest.mark.parametrize("plant", FIRST_FINDING_SEED)
def test_planted_fault_is_found_by_its_seed(plant: str) -> None:
    assert run_seed(FIRST_FINDING_SEED[plant], plant) and not run_seed(FIRST_FINDING_SEED[plant])


def test_runs_contain_elections_snapshots_reads_and_lost_disks() -> None:
    groups = []
    for seed in range(12):
        groups.append(ReplicaGroupSimulation(seed, replicas=3 + 2 * (seed % 2)))
        groups[-1].run()
    assert (
        sum(group.acknowledged_calls for group in groups) > 200
        and sum(group.elections for group in groups) > 20
    )
    assert (
        sum(group.restored_snapshots for group in groups) > 5
        and sum(group.completed_reads for group in groups) > 100
    )
    assert any(group.incarnations > 1 for group in groups)


def test_same_seed_gives_the_same_run() -> None:
    def counts(seed: int) -> tuple[int, int, int, int, float]:
        group = ReplicaGroupSimulation(seed)
        group.run()
        return group.acknowledged_calls, group.completed_reads, group.elections, group.event_count, group.now

    assert counts(5) == counts(5) and counts(5) != counts(6)
