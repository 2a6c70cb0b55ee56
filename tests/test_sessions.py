"""Sessions at the replicated state that it forgets: what was open in them, and what follows."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace

import pytest

from mapleshunt import Plan
from mapleshunt.net.counters import Counters
from mapleshunt.net.maintenance.proposal_session import ProposalSession
from mapleshunt.net.replication.leases import LeaseClient
from mapleshunt.net.replication.local_calls import CALL_TIMEOUT_S, LocalCalls
from mapleshunt.policy import QuotaLeaseGranted, RequestReceived, Settings
from mapleshunt.replicated_state import commands as w
from mapleshunt.replicated_state import state_machine as state
from mapleshunt.replicated_state.results import Applied, Denied, Result
from mapleshunt.replicated_state.state_machine import ReplicatedState
from mapleshunt.replication import wire

PLAN = Plan("plan", rate=10.0, burst=100.0)
WAIT_S = 10.0  # that a test waits at most for what must come
CUSTOMERS = ("c0", "c1")


@dataclass
class Group:
    """Stands for the copies of a gateway: one group, which answers a call when the test says so."""

    name: str = "g0"
    holdings: ReplicatedState = field(default_factory=ReplicatedState)
    waiting: dict[int, Callable[[wire.ClientResponse], None]] = field(default_factory=dict)
    calls: dict[int, bytes] = field(default_factory=dict)  # not answered yet, the oldest first
    number: int = 0

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def leader_of(self, _: int) -> str:
        return self.name

    def apply_redirect(self, group: int, reply: wire.ClientResponse) -> None:
        raise AssertionError(f"group {group} refused: {reply}")

    def send(self, _group: int, command: bytes, _to: str, done: Callable[[wire.ClientResponse], None]) -> int:
        self.number += 1
        self.waiting[self.number], self.calls[self.number] = done, command
        return self.number

    def answer(self, number: int) -> Result:
        """Apply a call and tell what came of it, if anybody still waits."""
        result = self.holdings.apply(1000 * time.monotonic(), self.calls.pop(number))
        if (done := self.waiting.pop(number, None)) is not None:
            done(wire.ClientResponse(number, "done", "", w.encode(result)))
        return result

    def answer_all(self) -> list[Result]:
        return [self.answer(number) for number in list(self.calls)]

    def abandon(self, call: int) -> None:
        self.waiting.pop(call, None)

    def session_name(self, purpose: str) -> str:
        self.number += 1
        return f"{self.name}/1.1.{purpose}{self.number}"

    def forget_sessions(self) -> None:
        self.holdings.sessions = ReplicatedState().sessions


class Decisions:
    """Stands for the driver of the decisions: it keeps the leases that it is told of."""

    def __init__(self) -> None:
        self.settings = Settings(gateway_index=0, gateway_count=1, classes={}, plans={PLAN.name: PLAN})
        self.gateway = SimpleNamespace(customers=SimpleNamespace(by_tag={}))
        self.delay_admission: Callable[[RequestReceived], bool] = lambda _: False
        self.leased: list[QuotaLeaseGranted] = []

    def now(self) -> float:
        return 1000 * time.monotonic()

    def apply_event(self, event: QuotaLeaseGranted) -> None:
        self.leased.append(event)

    def resume(self, ref: int) -> None:
        pass


def want(leases: LeaseClient, customer: str) -> None:
    """A request of that customer comes."""
    leases.delay_admission(RequestReceived(1, "look", PLAN.name, customer, 100.0))


async def until(done: Callable[[], bool], step: Callable[[], object] = lambda: None) -> None:
    """Wait until it is done, with a step now and then; fails if that takes too long."""
    deadline = time.monotonic() + WAIT_S
    while not done():
        assert time.monotonic() < deadline, "not in time"
        step()
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("second_is_answered", [True, False])
def test_every_customer_leases_again_after_the_group_has_forgotten_the_session(
    second_is_answered: bool,
) -> None:
    """Two operations are open. The answer to one tells that the session is unknown."""

    async def run() -> None:
        group, decisions = Group(), Decisions()
        leases = LeaseClient(group, 1, decisions, Counters())  # type: ignore[arg-type]
        leases.start()
        want(leases, CUSTOMERS[0])
        group.answer_all()  # the session is open
        await until(lambda: bool(group.calls))
        group.answer_all()
        group.forget_sessions()
        leases.holder.customers.clear()
        for customer in CUSTOMERS:
            want(leases, customer)
        first, second = group.calls
        assert group.answer(first) == Denied("session")
        if second_is_answered:
            group.answer(second)
        else:
            del group.calls[second]  # its answer is lost
        decisions.leased.clear()

        def step() -> None:
            group.answer_all()
            for customer in CUSTOMERS:
                want(leases, customer)

        await until(
            lambda: {one.customer for one in decisions.leased if one.lease_id} == set(CUSTOMERS), step
        )
        leases.close()

    asyncio.run(run())


def test_an_operation_of_a_forgotten_session_is_not_taken_for_one_of_the_next() -> None:
    """Numbers begin anew: under the old name a late operation would answer for another customer's."""

    async def run() -> None:
        group, decisions = Group(), Decisions()
        leases = LeaseClient(group, 1, decisions, Counters())  # type: ignore[arg-type]
        leases.start()
        want(leases, "c0")
        group.answer_all()
        await until(lambda: bool(group.calls))
        late = dict(group.calls)  # on its way for long
        group.forget_sessions()
        group.answer_all()
        want(leases, "c1")
        await until(lambda: bool(group.calls))
        group.answer_all()  # the next session is open
        for command in late.values():
            group.holdings.apply(1000 * time.monotonic(), command)
        await until(lambda: bool(group.calls))
        group.answer_all()
        held = {
            one.customer: group.holdings.buckets.get(one.customer) for one in decisions.leased if one.lease_id
        }
        assert set(held) == {"c1"}
        assert all(store is not None and store.leases for store in held.values()), held
        leases.close()

    asyncio.run(run())


def test_an_operation_on_maintenance_is_done_after_its_session_was_forgotten() -> None:
    """Machines are taken out seldom: by then later sessions have pushed this one out."""

    async def run() -> None:
        group, results = Group(), list[Result]()
        line = ProposalSession(group, 0)  # type: ignore[arg-type]
        line.propose(w.SetRecord("a", "1", 0), results.append)
        await until(lambda: len(results) == 1, group.answer_all)
        group.forget_sessions()
        line.propose(w.SetRecord("b", "1", 0), results.append)

        def step() -> None:
            line.tick(group.now())
            group.answer_all()

        await until(lambda: len(results) == 2, step)
        assert results[1] == Applied(1.0) and "b" in group.holdings.records

    asyncio.run(run())


def test_a_session_that_the_group_has_no_room_for_is_opened_later(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nothing is sent in it before: each operation would be denied, at the cost of an entry in the log."""

    async def run() -> None:
        group, decisions = Group(), Decisions()
        leases = LeaseClient(group, 1, decisions, Counters())  # type: ignore[arg-type]
        leases.start()
        monkeypatch.setattr(state, "MAX_SESSIONS", 0)
        monkeypatch.setattr(state, "SESSION_TIMEOUT_MS", math.inf)
        group.holdings.sessions = group.holdings.sessions.set("other", state.Session(0, 0.0))
        want(leases, "c0")
        assert group.answer_all() == [Denied("full")]
        await until(lambda: bool(group.calls))
        monkeypatch.undo()
        assert group.answer_all() == [Applied()]

        def step() -> None:  # what was asked for before was given up meanwhile
            want(leases, "c0")
            group.answer_all()

        await until(lambda: any(one.lease_id for one in decisions.leased), step)
        leases.close()

    asyncio.run(run())


def test_calls_that_nobody_answers_are_let_go() -> None:
    calls, replies = LocalCalls(), list[wire.ClientResponse]()
    for number in range(1000):  # one a second, of which the last are still waited for
        last = calls.begin(float(number), replies.append)
    assert len(calls) <= CALL_TIMEOUT_S
    calls.deliver(wire.ClientResponse(1, "done"))
    calls.deliver(wire.ClientResponse(last, "done"))
    assert [one.number for one in replies] == [last]
