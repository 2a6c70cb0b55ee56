"""The model of a large fleet with copies: rules are kept, and a seed plays alike."""

from __future__ import annotations

import pytest

from mapleshunt.simulation.day import draw_run
from mapleshunt.simulation.replicated_fleet import ReplicatedFleetEngine
from mapleshunt.simulation.replication_scenarios import replication_scenario
from mapleshunt.simulation.score import Score, score_run


def play(what: str, leased: bool = True) -> tuple[ReplicatedFleetEngine, Score]:
    engine = ReplicatedFleetEngine(draw_run(replication_scenario(what, 6, 12.0), 3), leased)
    engine.run()
    return engine, score_run(engine)


@pytest.mark.parametrize("what", ["restart", "lost", "cut3"])
def test_every_request_is_answered_once_and_groups_go_on(what: str) -> None:
    engine, found = play(what)
    assert not any(found.rules.values()) and found.served > 200
    assert engine.elections >= 64 and engine.operations > 100 and engine.frames > 1000
    again, same = play(what)
    assert (again.frames, again.operations, same.served) == (engine.frames, engine.operations, found.served)


def test_without_copies_nothing_of_them_is_played() -> None:
    engine, found = play("none", leased=False)
    assert engine.frames == engine.operations == 0 and found.served > 200
