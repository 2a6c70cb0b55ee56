"""The state that SIGTERM and the operators' door share, against a model; and the wording of figures."""

from __future__ import annotations

import math
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mapleshunt.lifecycle.lifecycle import EARLY, KILL, KILL_MOST, LAST_CALL, STAY, DrainRequester, Lifecycle
from mapleshunt.lifecycle.statistics import text_of


class LifeMachine(RuleBasedStateMachine):
    """The model keeps the list of what happened and reads the state off it."""

    def __init__(self) -> None:
        super().__init__()
        self.life, self.now = Lifecycle(), 0.0
        self.story: list[tuple[str, float, bool]] = []
        self.drainers: set[DrainRequester] = set()

    @rule(step=st.sampled_from([0.0, 0.05, 0.3, 0.5, 1.5, 4.0]))
    def wait(self, step: float) -> None:
        self.now += step

    @rule()
    def listen(self) -> None:
        if self.life.listening(self.now):
            self.story.append(("listen", self.now, False))

    @rule(drainer=st.sampled_from(DrainRequester))
    def drain(self, drainer: DrainRequester) -> None:
        may = self.story and self.story[-1][0] != "leave"
        assert self.life.drain(self.now, drainer) == bool(may and not self.drainers)
        if may:
            if not self.drainers:
                self.story.append(("drain", self.now, False))
            self.drainers.add(drainer)

    @rule(drainer=st.sampled_from(DrainRequester))
    def resume(self, drainer: DrainRequester) -> None:
        last = self.drainers == {drainer} and self.story[-1][0] != "leave"
        assert self.life.resume(self.now, drainer) == last
        self.drainers.discard(drainer)
        if last:
            self.story.append(("resume", self.now, False))

    @rule(succeeded=st.booleans())
    def leave(self, succeeded: bool) -> None:
        assert self.life.leave(self.now, succeeded) == ("leave" not in [one[0] for one in self.story])
        if "leave" not in [one[0] for one in self.story]:
            self.story.append(("leave", self.now, succeeded))

    @invariant()
    def agrees(self) -> None:
        last = self.story[-1] if self.story else ("start", 0.0, False)
        before = self.story[-2] if len(self.story) > 1 else ("start", 0.0, False)
        working = last[0] in ("listen", "resume")
        emptying = last[1] if last[0] in ("drain", "leave") else None
        if last[0] == "leave" and before[0] == "drain":
            emptying = before[1]
        gone = self.now - emptying if emptying is not None else -1.0
        succeeded = last[0] == "leave" and last[2]
        left = last[1] if last[0] == "leave" else math.inf
        assert self.life.last_answer(2.0) == left + 2.0 + KILL - EARLY
        assert self.life.last_answer(10.0) == left + KILL_MOST + KILL - EARLY
        assert self.life.takes() == working
        assert self.life.wanted() == (working or succeeded)
        assert self.life.closes(self.now) == (succeeded or gone >= STAY)
        assert self.life.reads(self.now) == (gone < LAST_CALL)
        if last[0] == "leave":
            assert self.life.accepts(self.now) == (not succeeded and gone < STAY)
        else:
            assert self.life.accepts(self.now) == (last[0] != "start")


TestLife = LifeMachine.TestCase
TestLife.settings = settings(derandomize=True, max_examples=60, deadline=None)


def test_the_end_of_work_on_a_machine_does_not_end_the_operators_drain() -> None:
    life = Lifecycle()
    life.listening(0.0)
    assert life.drain(1.0, DrainRequester.OPERATORS) and not life.drain(2.0, DrainRequester.MAINTENANCE)
    assert not life.resume(3.0, DrainRequester.MAINTENANCE) and not life.takes()
    assert life.resume(4.0, DrainRequester.OPERATORS) and life.takes()


def test_every_class_has_all_its_counts() -> None:
    counts = Counter({("completed", "a"): 3, ("upstream_requests", "b"): 1})
    lines = text_of(["a", "b"], counts, {"pending": 2}).splitlines()
    assert lines == [
        "gateway.completed.a:3|c", "gateway.rejected.a:0|c", "gateway.failed.a:0|c",
        "gateway.upstream_requests.a:0|c", "gateway.completed.b:0|c", "gateway.rejected.b:0|c",
        "gateway.failed.b:0|c", "gateway.upstream_requests.b:1|c", "gateway.pending:2|g",
    ]  # fmt: skip
