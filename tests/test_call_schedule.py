"""The schedule of calls to discovery, played in virtual time against slow, silent and crowded agents."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import hypothesis.strategies as st
import pytest
from hypothesis import given

from mapleshunt.net.discovery.backoff import NOTIFICATION_BUDGET_MS, Backoff
from mapleshunt.net.discovery.call_schedule import MAX_CALLS, Call, CallSchedule

PLAYED_MS = 120_000.0


@dataclass(slots=True, frozen=True)
class Answer:
    """An answer at a time, with the list as of a time (ms); `ok` is False for a call that fails."""

    at_ms: float
    as_of_ms: float
    ok: bool = True


# Called with the start of a call, its wait (ms) and whether its connection is new; None: it gets no answer.
Agent = Callable[[float, float, bool], Answer | None]


@dataclass(slots=True)
class Gateway:
    """A gateway in virtual time: its schedule, what it knows, and the calls that it made."""

    schedule: CallSchedule
    as_of_ms: float = 0.0
    worst_lag_ms: float = 0.0  # the longest time for which a change was not known
    call_times_ms: list[float] = field(default_factory=list)


class Play:
    """Gateways that call one agent."""

    def __init__(self, agent: Agent, gateways: int = 1, callers: int = 2, seed: int = 1) -> None:
        rng = random.Random(seed)
        self.agent = agent
        self.gateways = [Gateway(CallSchedule(Backoff(callers, rng))) for _ in range(gateways)]
        self._events: list[tuple[float, int, Gateway, Call, int, Answer]] = []
        self._order = itertools.count()

    def run(self, until_ms: float = PLAYED_MS) -> None:
        for gateway in self.gateways:
            gateway.schedule.follow(0.0)
        while True:
            answer_at_ms = self._events[0][0] if self._events else until_ms
            due_ms, gateway = min(
                ((gateway.schedule.next_event_at_ms(), gateway) for gateway in self.gateways),
                key=lambda due: due[0],
            )
            if min(answer_at_ms, due_ms) >= until_ms:
                break
            if answer_at_ms <= due_ms:
                self._take_answer(*heapq.heappop(self._events))
            else:
                self._do_what_is_due(gateway, due_ms)
        for gateway in self.gateways:
            gateway.worst_lag_ms = max(gateway.worst_lag_ms, until_ms - gateway.as_of_ms)

    def worst_lag_ms(self) -> float:
        return max(gateway.worst_lag_ms for gateway in self.gateways)

    def calls_a_minute(self, since_ms: float = 0.0) -> float:
        times = [at for gateway in self.gateways for at in gateway.call_times_ms if at >= since_ms]
        return 60_000 * len(times) / (PLAYED_MS - since_ms) / len(self.gateways)

    def _do_what_is_due(self, gateway: Gateway, now_ms: float) -> None:
        schedule = gateway.schedule
        schedule.take_late(now_ms)
        schedule.take_expired(now_ms)
        if schedule.is_due(now_ms):
            call = schedule.begin(now_ms, 1 if gateway.as_of_ms else None)
            schedule.connected(call, now_ms)
            self._send(gateway, call, now_ms, is_new=True)
        assert len(schedule.calls) <= MAX_CALLS
        assert schedule.next_event_at_ms() < float("inf")

    def _send(self, gateway: Gateway, call: Call, now_ms: float, is_new: bool) -> None:
        gateway.call_times_ms.append(now_ms)
        if answer := self.agent(now_ms, call.wait_ms, is_new):
            event = (answer.at_ms, next(self._order), gateway, call, call.number, answer)
            heapq.heappush(self._events, event)

    def _take_answer(
        self, now_ms: float, _: int, gateway: Gateway, call: Call, number: int, answer: Answer
    ) -> None:
        schedule = gateway.schedule
        if call not in schedule.calls or call.number != number:
            return  # it was ended before
        if not answer.ok:
            schedule.failed(call, now_ms)
            return
        is_newest = schedule.is_newest(call)
        schedule.answered(call, now_ms)
        gateway.worst_lag_ms = max(gateway.worst_lag_ms, now_ms - gateway.as_of_ms)
        gateway.as_of_ms = max(gateway.as_of_ms, answer.as_of_ms)
        if is_newest:
            schedule.repeat(call, now_ms, 1)
            self._send(gateway, call, now_ms, is_new=False)


def slow(delay_ms: float, as_of_call: bool) -> Agent:
    """Answer after `delay_ms`, and the wait, with the list as of then or as of the call."""

    def agent(now_ms: float, wait_ms: float, _is_new: bool) -> Answer:
        at_ms = now_ms + delay_ms + wait_ms
        return Answer(at_ms, now_ms if as_of_call else at_ms)

    return agent


def lossy(delay_ms: float) -> Agent:
    """Answer every other call after `delay_ms`, and the rest never."""
    numbers = itertools.count()

    def agent(now_ms: float, wait_ms: float, is_new: bool) -> Answer | None:
        return slow(delay_ms, False)(now_ms, wait_ms, is_new) if next(numbers) % 2 else None

    return agent


def forgetful(lifetime_ms: float) -> Agent:
    """Answer at once on connections that are younger than `lifetime_ms`, and never on others."""
    connected_at_ms = 0.0

    def agent(now_ms: float, wait_ms: float, is_new: bool) -> Answer | None:
        nonlocal connected_at_ms
        connected_at_ms = now_ms if is_new else connected_at_ms
        return Answer(now_ms + wait_ms, now_ms + wait_ms) if now_ms < connected_at_ms + lifetime_ms else None

    return agent


def one_at_a_time(service_time_ms: float) -> Agent:
    """Serve one call after another; a call that was given up takes its turn all the same."""
    free_at_ms = 0.0

    def agent(now_ms: float, wait_ms: float, _is_new: bool) -> Answer:
        nonlocal free_at_ms
        free_at_ms = max(free_at_ms, now_ms) + service_time_ms
        return Answer(free_at_ms + wait_ms, free_at_ms + wait_ms)

    return agent


FLEETS = (0, 2, 40, 200)  # gateways that call one service; 0: each has an agent of its own


@pytest.mark.parametrize("callers", FLEETS)
@pytest.mark.parametrize(
    ("delay_ms", "as_of_call"),
    [(delay_ms, False) for delay_ms in (0, 1200, 1700, 2500, 3500, 4500)]
    + [(delay_ms, True) for delay_ms in (0, 1200, 1700, 2500, 2900)],
)
def test_change_is_known_within_budget_while_every_answer_is_late(
    callers: int, delay_ms: float, as_of_call: bool
) -> None:
    # Guards against calls that end before a slow agent answers: at 2.5 s no change was ever known.
    for seed in range(5):
        play = Play(slow(delay_ms, as_of_call), callers=callers, seed=seed)
        play.run()
        assert play.worst_lag_ms() <= NOTIFICATION_BUDGET_MS
        assert play.calls_a_minute(since_ms=10_000) <= 61


@pytest.mark.parametrize("callers", FLEETS)
@pytest.mark.parametrize("agent", [lossy(0.0), lossy(1500.0), forgetful(5000.0), forgetful(100.0)])
def test_change_is_known_within_budget_while_calls_or_connections_are_lost(
    callers: int, agent: Agent
) -> None:
    # Guards against waiting for the answer to a call that was lost.
    play = Play(agent, callers=callers)
    play.run()
    assert play.worst_lag_ms() <= NOTIFICATION_BUDGET_MS
    assert play.calls_a_minute() <= 120


@pytest.mark.parametrize(
    ("gateways", "service_time_ms"), [(2, 1100.0), (3, 1100.0), (4, 1100.0), (40, 50.0), (200, 15.0)]
)
def test_crowded_discovery_is_not_called_more_than_it_can_answer(
    gateways: int, service_time_ms: float
) -> None:
    # Guards against further calls that make each answer later: with two calls of each gateway out, 4 gateways
    # waited for over 30 s at a service that takes 1.1 s for a call.
    play = Play(one_at_a_time(service_time_ms), gateways, callers=gateways)
    play.run()
    assert play.worst_lag_ms() <= NOTIFICATION_BUDGET_MS
    assert play.calls_a_minute(since_ms=10_000) <= 60_000 / service_time_ms / gateways + 1


OUTCOMES = st.sampled_from([None, "failed", 0.0, 700.0, 2500.0, 5000.0, 9000.0, 30_000.0])


@given(st.integers(0, 2**32), st.sampled_from(FLEETS), st.lists(OUTCOMES, min_size=1, max_size=12))
def test_change_is_known_within_budget_once_calls_are_answered_again(
    seed: int, callers: int, outcomes: list[float | str | None]
) -> None:
    """Calls are lost, fail, or are answered late in any order; from 60 s on new ones are answered at once."""
    again_ms = 60_000.0
    calls = itertools.cycle(outcomes)

    def agent(now_ms: float, wait_ms: float, is_new: bool) -> Answer | None:
        if now_ms >= again_ms:
            return slow(0.0, True)(now_ms, wait_ms, is_new)
        outcome = next(calls)
        if isinstance(outcome, float):
            return slow(outcome, True)(now_ms, wait_ms, is_new)
        return Answer(now_ms + 1.0, now_ms, ok=False) if outcome else None

    play = Play(agent, callers=callers, seed=seed)
    play.run(again_ms + NOTIFICATION_BUDGET_MS)
    assert play.gateways[0].as_of_ms >= again_ms


def test_newest_call_that_became_late_while_the_process_was_held_up_is_followed_by_another() -> None:
    schedule = CallSchedule(Backoff(0, random.Random(1)))
    schedule.follow(0.0)
    oldest = schedule.begin(0.0, 1)
    schedule.connected(oldest, 0.0)
    assert schedule.take_late(2000.0) is oldest
    schedule.connected(schedule.begin(2300.0, 1), 2300.0)
    held_up_until_ms = 2300.0 + 2 * NOTIFICATION_BUDGET_MS
    assert schedule.take_late(held_up_until_ms) is not None
    assert schedule.take_expired(held_up_until_ms) and schedule.calls == [oldest]
    assert schedule.next_event_at_ms() <= held_up_until_ms + 500.0


def test_silent_agent_is_called_again_and_again_with_a_bound_on_calls_out() -> None:
    play = Play(lambda now_ms, wait_ms, is_new: None)
    play.run()  # which checks the bound at each step
    gaps = [later - at for at, later in itertools.pairwise(play.gateways[0].call_times_ms)]
    assert max(gaps) <= 4000.0
