"""Tests of quota leases: the holder, the policy that spends them, and real gateways that share one bucket."""

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

# The tests with real gateways are timed: they run one after another in one worker.
pytestmark = pytest.mark.xdist_group("gateways")

RATE, BURST, TERM = 10.0, 60.0, 1000.0


def action_names(actions: list[Any]) -> list[str]:
    return [type(action).__name__ for action in actions]


def test_lease_in_force_limits_requests_and_after_its_expiry_the_own_bucket_does(driver: Driver) -> None:
    driver.handle(QuotaLeaseGranted("c", "thin", 1, 2.0, driver.now + 500))
    assert [action_names(driver.request(plan="thin")) for _ in range(3)] == [
        ["StartAttempt"],
        ["StartAttempt"],
        ["RejectRequest"],
    ]
    driver.advance(600)  # the lease has expired: the customer's own bucket decides, as without replication
    assert [action_names(driver.request(plan="thin")) for _ in range(5)] == [["StartAttempt"]] * 4 + [
        ["RejectRequest"]
    ]
    assert driver.gateway.customers.by_tag[tag_of("c")].leases.take_owed_units() == 4.0


def test_own_bucket_does_not_refill_while_keepalives_arrive(driver: Driver) -> None:
    for _ in range(4):
        driver.handle(QuotaLeaseGranted("c", "thin", 0, 0.0, driver.now + 500))
        driver.advance(400)
    driver.advance(100)  # the last keepalive has expired; the bucket refills by 1 unit/s since it came
    assert action_names(driver.request(plan="thin")) == ["RejectRequest"]
    driver.advance(1000)
    assert [action_names(driver.request(plan="thin")) for _ in range(2)] == [
        ["StartAttempt"],
        ["RejectRequest"],
    ]


def test_keepalive_without_units_rejects_with_retry_after(driver: Driver) -> None:
    driver.handle(QuotaLeaseGranted("c", "thin", 0, 0.0, driver.now + 500))
    (rejection,) = driver.request(plan="thin")
    assert isinstance(rejection, RejectRequest) and rejection.retry_after > 0


def test_cost_above_the_estimate_is_charged_to_the_lease() -> None:
    driver = Driver(cost_known_after=True)
    driver.handle(QuotaLeaseGranted("c", "thin", 1, 3.0, driver.now + 5000))
    (sent,) = driver.request(plan="thin")
    assert isinstance(sent, StartAttempt)
    driver.end_attempt(sent, cost=2.5)  # the estimate was 1
    assert driver.gateway.customers.by_tag[tag_of("c")].leases.units_left(1) == pytest.approx(0.5)
    assert action_names(driver.request(plan="thin")) == ["RejectRequest"]


def test_cost_above_the_estimate_beyond_all_leases_is_owed() -> None:
    """It was charged to lease 0, which expires last, and was lost when the next keepalive replaced that."""
    driver = Driver(cost_known_after=True)
    driver.handle(QuotaLeaseGranted("c", "thin", 1, 1.0, driver.now + 500))
    driver.handle(QuotaLeaseGranted("c", "thin", 0, 0.0, driver.now + 5000))
    (sent,) = driver.request(plan="thin")
    assert isinstance(sent, StartAttempt)
    driver.end_attempt(sent, cost=3.5)  # the estimate was 1
    driver.handle(QuotaLeaseGranted("c", "thin", 0, 0.0, driver.now + 5000))
    assert driver.gateway.customers.by_tag[tag_of("c")].leases.take_owed_units() == pytest.approx(2.5)


class SpendingHolder:
    """A gateway that leases units of one customer, and spends them."""

    def __init__(self, number: int, model: LeaseHolders) -> None:
        self.name, self.model = f"h{number}/1", model
        self.leases: dict[int, list[float]] = {}
        self.last_number = 0
        self.holder = LeaseHolder(
            TERM, 4 * TERM, self.remaining, self.take_remaining, self.usable, lambda _: 0.0
        )
        model.state.apply(model.log_time, w.encode(w.Command(self.name, 0, 0, w.OpenSession())))

    def take_remaining(self, _: str, lease: int) -> float:
        return self.leases.pop(lease, [0.0])[0]

    def remaining(self, _: str, lease: int) -> float:
        return self.leases.get(lease, [0.0])[0]

    def usable(self, _: str, at: float) -> float:
        return sum(units for units, until in self.leases.values() if until > at)

    def carry_out(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, LeaseUpdate):
                self.leases[action.lease_id] = [action.units, action.usable_until]
            elif self.model.has_quorum:
                self.last_number += 1
                command = w.Command(self.name, self.last_number, self.last_number, action.operation)
                result = self.model.state.apply(self.model.log_time, w.encode(command))
                self.model.pending_results.append((self, action, result))
            else:
                self.model.pending_results.append((self, action, None))

    def request(self, units: float) -> None:
        now = self.model.now
        self.carry_out(self.holder.request_units(now, "c", RATE, BURST, 3, units))
        for lease in self.leases.values():
            if lease[1] > now and lease[0] >= units:
                lease[0] -= units
                self.model.spent += units
                return


class LeaseHolders(RuleBasedStateMachine):
    """Three holders of one bucket; results come late or never, and the log's time is not ahead of theirs."""

    @initialize()
    def start(self) -> None:
        self.state, self.now, self.log_time, self.spent = ReplicatedState(), 0.0, 0.0, 0.0
        self.has_quorum, self.pending_results = True, list[tuple[SpendingHolder, ProposeOperation, Any]]()
        self.holders = [SpendingHolder(n, self) for n in range(3)]

    @rule(ms=st.sampled_from([1.0, 50.0, 300.0, 1200.0]), has_leader=st.booleans())
    def wait(self, ms: float, has_leader: bool) -> None:
        self.now += ms
        self.log_time += ms if has_leader else 0.0  # the log's time advances only with a leader
        for holder in self.holders:
            holder.carry_out(holder.holder.tick(self.now))

    @rule(index=st.integers(0, 2), units=st.sampled_from([0.5, 1.0, 2.0]), times=st.integers(1, 20))
    def want_units(self, index: int, units: float, times: int) -> None:
        for _ in range(times):
            self.holders[index].request(units)

    @rule(count=st.integers(1, 5))
    def deliver_results(self, count: int) -> None:
        for _ in range(min(count, len(self.pending_results))):
            holder, proposal, result = self.pending_results.pop(0)
            holder.carry_out(holder.holder.apply_result(self.now, proposal, result))

    @rule()
    def lose_result(self) -> None:
        if self.pending_results:  # the operation was applied, and its response is lost
            holder, proposal, _ = self.pending_results.pop(0)
            holder.carry_out(holder.holder.apply_result(self.now, proposal, None))

    @rule(has_quorum=st.booleans())
    def set_quorum(self, has_quorum: bool) -> None:
        self.has_quorum = has_quorum

    @invariant()
    def spent_and_leased_units_are_within_the_quota(self) -> None:
        if hasattr(self, "state"):
            assert self.spent <= BURST + RATE / 1000 * self.now + 1e-6
            assert sum(holder.usable("c", self.now) for holder in self.holders) <= BURST + 1e-6


TestLeaseHolders = LeaseHolders.TestCase
TestLeaseHolders.settings = settings(derandomize=True, max_examples=80, stateful_step_count=40, deadline=None)


def holder_with(units_left: dict[int, float]) -> LeaseHolder:
    return LeaseHolder(
        TERM, 10 * TERM,
        lambda _, lease: units_left.get(lease, 0.0), lambda _, lease: units_left.pop(lease, 0.0),
        lambda *_: sum(units_left.values()), lambda _: 0.0,
    )  # fmt: skip


def only_proposal(actions: list[Action]) -> ProposeOperation:
    (proposal,) = actions
    assert isinstance(proposal, ProposeOperation)
    return proposal


def test_holder_prefetches_units_returns_unspent_ones_and_evicts_an_idle_customer() -> None:
    units_left: dict[int, float] = {}
    holder = holder_with(units_left)
    proposal = only_proposal(holder.request_units(0.0, "c", RATE, BURST, 3, 1.0))
    assert isinstance(proposal, ProposeOperation) and not holder.request_units(
        1.0, "c", RATE, BURST, 3, 1.0
    )  # one proposal at a time
    assert holder.is_waiting(1.0, "c", 1.0)
    update, keepalive = holder.apply_result(20.0, proposal, LeaseGranted(7, 2.0))
    assert (
        isinstance(proposal.operation, w.AcquireLease) and proposal.operation.term_ms > TERM
    )  # the term is longer for a low demand
    assert (
        isinstance(update, LeaseUpdate)
        and update.usable_until < proposal.operation.term_ms
        and keepalive == LeaseUpdate("c", 0, 0.0, 20.0 + TERM)
    )
    units_left[7] = 1.5
    assert not holder.is_waiting(30.0, "c", 1.0) and not holder.tick(update.usable_until - 10)
    assert not holder.tick(update.usable_until + 10)  # it may be returned with the next acquisition
    assert only_proposal(holder.tick(update.usable_until + TERM / 4)).operation == w.ReturnLease("c", 7, 0.5)
    holder.tick(100 * TERM)
    assert not holder.customers


def test_unspent_units_are_returned_with_the_next_acquisition() -> None:
    units_left = {7: 0.0, 8: 0.25}
    holder = holder_with(units_left)
    proposal = only_proposal(holder.request_units(0.0, "c", RATE, BURST, 3, 1.0))
    holder.apply_result(5.0, proposal, LeaseGranted(7, 2.0))
    proposal = only_proposal(holder.request_units(6.0, "c", RATE, BURST, 3, 1.0))
    holder.apply_result(9.0, proposal, LeaseGranted(8, 1.0))
    proposal = only_proposal(holder.request_units(10.0, "c", RATE, BURST, 3, 1.0))
    assert (
        isinstance(proposal.operation, w.AcquireLease)
        and proposal.operation.returned == ((8, 0.75),)
        and not units_left
    )
    state = ReplicatedState()
    operations: list[w.Operation] = [
        w.OpenSession(), w.AcquireLease("c", RATE, BURST, BURST, 1.0, 1e9),
        w.AcquireLease("c", RATE, BURST, 9.0, 1.0, 1e9),
        w.AcquireLease("c", RATE, BURST, 9.0, 1.0, 1e9, ((1, 50.0), (1, 0.0), (5, 0.0))),
    ]  # fmt: skip
    for number, operation in enumerate(operations):
        result = state.apply(0.0, w.encode(w.Command("h/1", number, 0, operation)))
        assert isinstance(result, Denied) == (number == 2)
    assert result == LeaseGranted(2, 9.0)  # 10 of 60 units were not spent, and were returned once


def test_units_spent_beyond_a_lease_are_charged_to_the_bucket() -> None:
    """Costs above the estimate were clipped to the units of the lease, and never charged."""
    units_left = {7: -3.0}
    holder = holder_with(units_left)
    holder.apply_result(
        5.0, only_proposal(holder.request_units(0.0, "c", RATE, BURST, 3, 1.0)), LeaseGranted(7, 2.0)
    )
    proposal = only_proposal(holder.request_units(6.0, "c", RATE, BURST, 3, 1.0))
    assert isinstance(proposal.operation, w.AcquireLease) and proposal.operation.returned == ((7, 5.0),)
    state = ReplicatedState()
    operations: list[w.Operation] = [
        w.OpenSession(),
        w.AcquireLease("c", RATE, 10.0, 2.0, 1.0, 1e9),
        w.ReturnLease("c", 1, 5.0),
    ]
    for number, operation in enumerate(operations):
        result = state.apply(0.0, w.encode(w.Command("h/1", number, 0, operation)))
    assert result == Applied(5.0)  # 8 of 10 were left, and 3 more were spent


def test_denied_holder_proposes_again_once_the_bucket_may_hold_the_units() -> None:
    holder = holder_with({})
    proposal = only_proposal(holder.request_units(0.0, "c", RATE, BURST, 3, 5.0))
    holder.apply_result(10.0, proposal, Denied("store", 2.0))
    assert not holder.request_units(100.0, "c", RATE, BURST, 3, 5.0)  # the bucket holds 2.9 by then
    proposal = only_proposal(holder.request_units(101.0, "c", RATE, BURST, 3, 1.0))
    assert isinstance(proposal.operation, w.AcquireLease) and proposal.operation.min_units == 1.0
    holder.apply_result(110.0, proposal, Denied("store", 0.0))
    assert not holder.request_more(150.0, "c", 1.0) and holder.request_more(211.0, "c", 1.0)


# Real gateways


async def count_answers(folder: Path, discovery: str, lease: bool, fault: str) -> tuple[int, float]:
    """Return the answers with a value to a customer that keeps calling three gateways, and the time in s."""
    config = {**json.loads(EXAMPLE_CONFIG.read_text()), "discovery": discovery}
    fleet = ReplicatedFleet(folder, config, 3, 1, election_ms=600)
    fleet.settings.lease = lease
    count = 0
    try:
        await fleet.start()
        started_at, stopped = time.monotonic(), asyncio.Event()

        async def send_requests(machine: Any, number: int) -> None:
            nonlocal count
            while not stopped.is_set():
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    reader, writer = await asyncio.open_connection("127.0.0.1", machine.client_port)
                    while not stopped.is_set():
                        if number & 0xFF == 1:  # the first lease arrives before the next request
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
        tasks = [
            asyncio.create_task(send_requests(gateway, n << 32)) for n, gateway in enumerate(machines, 1)
        ]
        await asyncio.sleep(2.0)
        if fault:
            await FaultInjector(fleet, []).inject(FaultKind(fault))
            fleet.heal()
        await asyncio.sleep(2.5)
        stopped.set()
        await asyncio.gather(*tasks)
        return count, time.monotonic() - started_at
    finally:
        await fleet.stop()


@pytest.mark.parametrize("fault", ["", "kill_leader"])
def test_three_gateways_with_leases_share_one_bucket(fault: str, tmp_path: Path) -> None:
    """The plan's bucket holds 5 units and refills one a second.

    Before its first lease a gateway uses its own bucket, for a request or two that are settled later. A
    killed gateway restarts with a bucket of its own, and without a leader the bucket of each gateway refills.
    """
    with toy_servers() as discovery:
        count, seconds = asyncio.run(count_answers(tmp_path, discovery, True, fault))
    assert 4 <= count <= 5 + seconds + 6 + (5 + 4 if fault else 0)


def test_three_gateways_without_leases_use_a_bucket_each(tmp_path: Path) -> None:
    with toy_servers() as discovery:
        count, _ = asyncio.run(count_answers(tmp_path, discovery, False, ""))
    assert count >= 15  # 5 of each gateway's bucket
