"""Leases: the holder's side, the decisions that they bound, and real gateways that share one store."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from pathlib import Path
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from mapleshunt import RejectRequest, StartAttempt
from mapleshunt.policy import QuotaLeaseGranted
from mapleshunt.policy.gossip_codec import tag_of
from mapleshunt.replicated_state import commands as w
from mapleshunt.replicated_state.leases import Action, LeaseHolder, LeaseUpdate, ProposeOperation
from mapleshunt.replicated_state.results import Applied, Denied, LeaseGranted
from mapleshunt.replicated_state.state_machine import ReplicatedState
from mapleshunt.testbed.faults.fault_injection import FaultInjector, FaultKind
from mapleshunt.testbed.faults.replicated_fleet import ReplicatedFleet

from .conftest import Driver
from .processes import EXAMPLE_CONFIG, query, toy_servers

# Real gateways, timed: one after another, whatever runs beside them.
pytestmark = pytest.mark.xdist_group("gateways")

RATE, BURST, TERM = 10.0, 60.0, 1000.0


def kinds(actions: list[Any]) -> list[str]:
    return [type(one).__name__ for one in actions]


def test_decisions_go_by_the_lease_while_it_is_in_force(driver: Driver) -> None:
    driver.handle(QuotaLeaseGranted("c", "thin", 1, 2.0, driver.now + 500))
    assert [kinds(driver.request(plan="thin")) for _ in range(3)] == [
        ["StartAttempt"],
        ["StartAttempt"],
        ["RejectRequest"],
    ]
    driver.advance(600)  # it has run out: as without copies, the plan's own store decides
    assert [kinds(driver.request(plan="thin")) for _ in range(5)] == [["StartAttempt"]] * 4 + [
        ["RejectRequest"]
    ]
    assert driver.gateway.customers.by_tag[tag_of("c")].leases.take_owed_units() == 4.0


def test_a_store_does_not_fill_up_behind_leases(driver: Driver) -> None:
    for _ in range(4):
        driver.handle(QuotaLeaseGranted("c", "thin", 0, 0.0, driver.now + 500))
        driver.advance(400)
    driver.advance(100)  # nobody answers any more: one unit a second since then
    assert kinds(driver.request(plan="thin")) == ["RejectRequest"]
    driver.advance(1000)
    assert [kinds(driver.request(plan="thin")) for _ in range(2)] == [["StartAttempt"], ["RejectRequest"]]


def test_none_to_be_had_refuses_and_says_when_to_come_back(driver: Driver) -> None:
    driver.handle(QuotaLeaseGranted("c", "thin", 0, 0.0, driver.now + 500))
    (refused,) = driver.request(plan="thin")
    assert isinstance(refused, RejectRequest) and refused.retry_after > 0


def test_what_was_not_sent_goes_back_and_true_costs_come_off_the_lease() -> None:
    driver = Driver(cost_known_after=True)
    driver.handle(QuotaLeaseGranted("c", "thin", 1, 3.0, driver.now + 5000))
    (sent,) = driver.request(plan="thin")
    assert isinstance(sent, StartAttempt)
    driver.end_attempt(sent, cost=2.5)  # one was guessed
    assert driver.gateway.customers.by_tag[tag_of("c")].leases.units_left(1) == pytest.approx(0.5)
    assert kinds(driver.request(plan="thin")) == ["RejectRequest"]


def test_true_costs_that_no_lease_holds_are_owed() -> None:
    """They came off lease 0, which ended last, and were gone with the next answer."""
    driver = Driver(cost_known_after=True)
    driver.handle(QuotaLeaseGranted("c", "thin", 1, 1.0, driver.now + 500))
    driver.handle(QuotaLeaseGranted("c", "thin", 0, 0.0, driver.now + 5000))
    (sent,) = driver.request(plan="thin")
    assert isinstance(sent, StartAttempt)
    driver.end_attempt(sent, cost=3.5)  # one was guessed
    driver.handle(QuotaLeaseGranted("c", "thin", 0, 0.0, driver.now + 5000))
    assert driver.gateway.customers.by_tag[tag_of("c")].leases.take_owed_units() == pytest.approx(2.5)


class Holder:
    """A gateway that spends what it may."""

    def __init__(self, number: int, world: Holders) -> None:
        self.name, self.world = f"h{number}/1", world
        self.leases: dict[int, list[float]] = {}
        self.number = 0
        self.leaser = LeaseHolder(TERM, 4 * TERM, self.rest, self.left, self.level, lambda _: 0.0)
        world.state.apply(world.log, w.encode(w.Command(self.name, 0, 0, w.OpenSession())))

    def left(self, _: str, lease: int) -> float:
        return self.leases.pop(lease, [0.0])[0]

    def rest(self, _: str, lease: int) -> float:
        return self.leases.get(lease, [0.0])[0]

    def level(self, _: str, at: float) -> float:
        return sum(units for units, until in self.leases.values() if until > at)

    def do(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, LeaseUpdate):
                self.leases[action.lease_id] = [action.units, action.usable_until]
            elif self.world.quorum:
                self.number += 1
                command = w.Command(self.name, self.number, self.number, action.operation)
                result = self.world.state.apply(self.world.log, w.encode(command))
                self.world.answers.append((self, action, result))
            else:
                self.world.answers.append((self, action, None))

    def want(self, units: float) -> None:
        now = self.world.now
        self.do(self.leaser.request_units(now, "c", RATE, BURST, 3, units))
        for lease in self.leases.values():
            if lease[1] > now and lease[0] >= units:
                lease[0] -= units
                self.world.spent += units
                return


class Holders(RuleBasedStateMachine):
    """Three holders, one store; answers come late or never. The log's time never runs ahead of theirs."""

    @initialize()
    def begin(self) -> None:
        self.state, self.now, self.log, self.spent = ReplicatedState(), 0.0, 0.0, 0.0
        self.quorum, self.answers = True, list[tuple[Holder, ProposeOperation, Any]]()
        self.holders = [Holder(n, self) for n in range(3)]

    @rule(ms=st.sampled_from([1.0, 50.0, 300.0, 1200.0]), leads=st.booleans())
    def wait(self, ms: float, leads: bool) -> None:
        self.now += ms
        self.log += ms if leads else 0.0  # while nobody leads it stands
        for one in self.holders:
            one.do(one.leaser.tick(self.now))

    @rule(pick=st.integers(0, 2), units=st.sampled_from([0.5, 1.0, 2.0]), times=st.integers(1, 20))
    def wanted(self, pick: int, units: float, times: int) -> None:
        for _ in range(times):
            self.holders[pick].want(units)

    @rule(count=st.integers(1, 5))
    def answered(self, count: int) -> None:
        for _ in range(min(count, len(self.answers))):
            one, ask, result = self.answers.pop(0)
            one.do(one.leaser.apply_result(self.now, ask, result))

    @rule()
    def lost(self) -> None:
        if self.answers:  # the operation was done, and its answer never came
            one, ask, _ = self.answers.pop(0)
            one.do(one.leaser.apply_result(self.now, ask, None))

    @rule(here=st.booleans())
    def majority(self, here: bool) -> None:
        self.quorum = here

    @invariant()
    def within(self) -> None:
        if hasattr(self, "state"):
            assert self.spent <= BURST + RATE / 1000 * self.now + 1e-6
            assert sum(one.level("c", self.now) for one in self.holders) <= BURST + 1e-6


TestHolders = Holders.TestCase
TestHolders.settings = settings(derandomize=True, max_examples=80, stateful_step_count=40, deadline=None)


def holder(left: dict[int, float]) -> LeaseHolder:
    return LeaseHolder(
        TERM, 10 * TERM, lambda _, lease: left.get(lease, 0.0), lambda _, lease: left.pop(lease, 0.0),
        lambda *_: sum(left.values()), lambda _: 0.0,
    )  # fmt: skip


def asked(actions: list[Action]) -> ProposeOperation:
    (one,) = actions
    assert isinstance(one, ProposeOperation)
    return one


def test_a_holder_draws_ahead_gives_back_and_forgets() -> None:
    left: dict[int, float] = {}
    one = holder(left)
    ask = asked(one.request_units(0.0, "c", RATE, BURST, 3, 1.0))
    assert isinstance(ask, ProposeOperation) and not one.request_units(
        1.0, "c", RATE, BURST, 3, 1.0
    )  # one at a time
    assert one.is_waiting(1.0, "c", 1.0)
    use, none = one.apply_result(20.0, ask, LeaseGranted(7, 2.0))
    assert (
        isinstance(ask.operation, w.AcquireLease) and ask.operation.term_ms > TERM
    )  # little is asked for: for longer
    assert (
        isinstance(use, LeaseUpdate)
        and use.usable_until < ask.operation.term_ms
        and none == LeaseUpdate("c", 0, 0.0, 20.0 + TERM)
    )
    left[7] = 1.5
    assert not one.is_waiting(30.0, "c", 1.0) and not one.tick(use.usable_until - 10)
    assert not one.tick(use.usable_until + 10)  # it may go with what is asked for next
    assert asked(one.tick(use.usable_until + TERM / 4)).operation == w.ReturnLease("c", 7, 0.5)
    one.tick(100 * TERM)
    assert not one.customers


def test_what_is_left_over_goes_back_with_what_is_asked_for_next() -> None:
    left = {7: 0.0, 8: 0.25}
    one = holder(left)
    ask = asked(one.request_units(0.0, "c", RATE, BURST, 3, 1.0))
    one.apply_result(5.0, ask, LeaseGranted(7, 2.0))
    ask = asked(one.request_units(6.0, "c", RATE, BURST, 3, 1.0))
    one.apply_result(9.0, ask, LeaseGranted(8, 1.0))
    ask = asked(one.request_units(10.0, "c", RATE, BURST, 3, 1.0))
    assert isinstance(ask.operation, w.AcquireLease) and ask.operation.returned == ((8, 0.75),) and not left
    state = ReplicatedState()
    operations: list[w.Operation] = [
        w.OpenSession(), w.AcquireLease("c", RATE, BURST, BURST, 1.0, 1e9),
        w.AcquireLease("c", RATE, BURST, 9.0, 1.0, 1e9),
        w.AcquireLease("c", RATE, BURST, 9.0, 1.0, 1e9, ((1, 50.0), (1, 0.0), (5, 0.0))),
    ]  # fmt: skip
    for number, operation in enumerate(operations):
        result = state.apply(0.0, w.encode(w.Command("h/1", number, 0, operation)))
        assert isinstance(result, Denied) == (number == 2)
    assert result == LeaseGranted(2, 9.0)  # 10 of 60 were not spent, and went back once


def test_what_a_lease_was_overspent_by_comes_off_the_store() -> None:
    """True costs above the guess: it was clipped to the lease's units, and nobody paid for it."""
    left = {7: -3.0}
    one = holder(left)
    one.apply_result(5.0, asked(one.request_units(0.0, "c", RATE, BURST, 3, 1.0)), LeaseGranted(7, 2.0))
    ask = asked(one.request_units(6.0, "c", RATE, BURST, 3, 1.0))
    assert isinstance(ask.operation, w.AcquireLease) and ask.operation.returned == ((7, 5.0),)
    state = ReplicatedState()
    operations: list[w.Operation] = [
        w.OpenSession(),
        w.AcquireLease("c", RATE, 10.0, 2.0, 1.0, 1e9),
        w.ReturnLease("c", 1, 5.0),
    ]
    for number, operation in enumerate(operations):
        result = state.apply(0.0, w.encode(w.Command("h/1", number, 0, operation)))
    assert result == Applied(5.0)  # 8 were left of 10, and 3 more were used


def test_one_that_was_denied_asks_again_for_what_the_store_may_have_by_then() -> None:
    one = holder({})
    ask = asked(one.request_units(0.0, "c", RATE, BURST, 3, 5.0))
    one.apply_result(10.0, ask, Denied("store", 2.0))
    assert not one.request_units(100.0, "c", RATE, BURST, 3, 5.0)  # 2.9 by then
    ask = asked(one.request_units(101.0, "c", RATE, BURST, 3, 1.0))
    assert isinstance(ask.operation, w.AcquireLease) and ask.operation.min_units == 1.0
    one.apply_result(110.0, ask, Denied("store", 0.0))
    assert not one.request_more(150.0, "c", 1.0) and one.request_more(211.0, "c", 1.0)


# Real gateways


async def served(folder: Path, discovery: str, lease: bool, fault: str) -> tuple[int, float]:
    """Answers with a value to one customer who asks three gateways all the time, and for how many s."""
    config = {**json.loads(EXAMPLE_CONFIG.read_text()), "discovery": discovery}
    fleet = ReplicatedFleet(folder, config, 3, 1, election_ms=600)
    fleet.settings.lease = lease
    count = 0
    try:
        await fleet.start()
        begun, over = time.monotonic(), asyncio.Event()

        async def asks(machine: Any, number: int) -> None:
            nonlocal count
            while not over.is_set():
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    reader, writer = await asyncio.open_connection("127.0.0.1", machine.client_port)
                    while not over.is_set():
                        if number & 0xFF == 1:  # its first lease has come before it goes on
                            await asyncio.sleep(0.8)
                        number += 1
                        writer.write(query(number))
                        line = await asyncio.wait_for(reader.readline(), 10)
                        if not line:
                            break
                        if line.startswith(b"$"):
                            await reader.readexactly(int(line[1:]) + 2)
                            count += 1
                        await asyncio.sleep(0.03)
                    writer.close()
                await asyncio.sleep(0.02)

        machines = fleet.machines.values()
        tasks = [asyncio.create_task(asks(one, n << 32)) for n, one in enumerate(machines, 1)]
        await asyncio.sleep(2.0)
        if fault:
            await FaultInjector(fleet, []).inject(FaultKind(fault))
            fleet.heal()
        await asyncio.sleep(2.5)
        over.set()
        await asyncio.gather(*tasks)
        return count, time.monotonic() - begun
    finally:
        await fleet.stop()


@pytest.mark.parametrize("fault", ["", "kill_leader"])
def test_three_gateways_share_one_store(fault: str, tmp_path: Path) -> None:
    """The plan's store holds 5 units and earns one a second. Before its first lease has come a gateway goes
    by itself: a request or two, which are settled. One that was killed begins with a store of its own, and
    while nobody leads each earns for itself.
    """
    with toy_servers() as discovery:
        count, seconds = asyncio.run(served(tmp_path, discovery, True, fault))
    assert 4 <= count <= 5 + seconds + 6 + (5 + 4 if fault else 0)


def test_without_leases_each_would_let_in_as_much(tmp_path: Path) -> None:
    with toy_servers() as discovery:
        count, _ = asyncio.run(served(tmp_path, discovery, False, ""))
    assert count >= 15  # a store each
