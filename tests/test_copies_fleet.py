"""Simulation of a large fleet with replicas: no rule is violated, and a seed reproduces its run."""

from __future__ import annotations

import pytest

from mapleshunt.simulation.day import draw_run
from mapleshunt.simulation.replicated_fleet import ReplicatedFleetEngine
from mapleshunt.simulation.replication_scenarios import replication_scenario
from mapleshunt.simulation.score import Score, score_run


def simulate(kind: str, leased: bool = True) -> tuple[ReplicatedFleetEngine, Score]:
    engine = ReplicatedFleetEngine(draw_run(replication_scenario(kind, 6, 12.0), 3), leased)
    engine.run()
    return engine, score_run(engine)


@pytest.mark.parametrize("kind", ["restart", "lost", "cut3"])
def test_after_a_fault_every_request_is_answered_once_and_groups_serve(kind: str) -> None:
    engine, score = simulate(kind)
    assert not any(score.rules.values()) and score.served > 200
    assert engine.elections >= 64 and engine.operations > 100 and engine.frames > 1000
    repeated, repeated_score = simulate(kind)
    assert (repeated.frames, repeated.operations, repeated_score.served) == (
        engine.frames,
        engine.operations,
        score.served,
    )


def test_without_leases_no_replica_traffic_is_simulated() -> None:
    engine, score = simulate("none", leased=False)
    assert engine.frames == engine.operations == 0 and score.served > 200
