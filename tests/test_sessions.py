"""Tests of sessions that the replicated state drops: their pending operations, and the next sessions."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from mapleshunt import Plan
from mapleshunt.maintenance.records import JobState, MachineJob
from mapleshunt.net.counters import Counters
from mapleshunt.net.maintenance.machine import Machine
from mapleshunt.net.maintenance.proposal_session import ProposalSession
from mapleshunt.net.replication.leases import LeaseClient
from mapleshunt.net.replication.local_calls import CALL_TIMEOUT_S, LocalCalls, OnResponse
from mapleshunt.policy import QuotaLeaseGranted, RequestReceived, Settings
from mapleshunt.replicated_state import commands as w
from mapleshunt.replicated_state import state_machine
from mapleshunt.replicated_state.results import Applied, Denied, Result
from mapleshunt.replicated_state.state_machine import ReplicatedState
from mapleshunt.replication import wire

PLAN = Plan("plan", rate=10.0, burst=100.0)
WAIT_S = 10.0  # that a test waits at most for a condition
CUSTOMERS = ("c0", "c1")


@dataclass
class FakeGroup:
    """A fake of `LocalRequests` with one group, which answers a call when the test says so."""

    name: str = "g0"
    state: ReplicatedState = field(default_factory=ReplicatedState)
    callbacks: dict[int, Callable[[wire.ClientResponse], None]] = field(default_factory=dict)
    calls: dict[int, bytes] = field(default_factory=dict)  # not answered yet, the oldest first
    last_number: int = 0

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def leader_of(self, _: int) -> str:
        return self.name

    def apply_redirect(self, group: int, response: wire.ClientResponse) -> None:
        raise AssertionError(f"group {group} refused: {response}")

    def send(
        self, _group: int, command: bytes, _to: str, on_response: Callable[[wire.ClientResponse], None]
    ) -> int:
        self.last_number += 1
        self.callbacks[self.last_number], self.calls[self.last_number] = on_response, command
        return self.last_number

    def answer(self, number: int) -> Result:
        """Apply a call, and deliver the result unless the call was abandoned."""
        result = self.state.apply(1000 * time.monotonic(), self.calls.pop(number))
        if (on_response := self.callbacks.pop(number, None)) is not None:
            on_response(wire.ClientResponse(number, "done", "", w.encode(result)))
        return result

    def answer_all(self) -> list[Result]:
        return [self.answer(number) for number in list(self.calls)]

    def abandon(self, number: int) -> None:
        self.callbacks.pop(number, None)

    def session_name(self, purpose: str) -> str:
        self.last_number += 1
        return f"{self.name}/1.1.{purpose}{self.last_number}"

    def drop_sessions(self) -> None:
        self.state.sessions = ReplicatedState().sessions


def machine_of(gateway: str, requests: Any, sessions: Any, drains: list[bool], groups: int = 0) -> Machine:
    """Return the machine of a gateway without replicas and clients; it adds to `drains` when it drains."""
    occupancy = SimpleNamespace(open_requests=0, client_connections=0, is_drained=False)
    replication: Any = SimpleNamespace(
        requests=requests,
        gateway=gateway,
        groups=SimpleNamespace(hosts={}),
        knowledge=SimpleNamespace(replica=lambda: f"{gateway}/1"),
        section=SimpleNamespace(groups=groups),
    )
    controls: Any = SimpleNamespace(
        occupancy=lambda: occupancy, drain=lambda: drains.append(True), resume=lambda: None
    )
    return Machine(replication, sessions, controls)


class FakePolicyDriver:
    """A fake of `PolicyDriver` that records the leases passed to the policy."""

    def __init__(self) -> None:
        self.settings = Settings(gateway_index=0, gateway_count=1, classes={}, plans={PLAN.name: PLAN})
        self.gateway = SimpleNamespace(customers=SimpleNamespace(by_tag={}))
        self.delay_admission: Callable[[RequestReceived], bool] = lambda _: False
        self.grants: list[QuotaLeaseGranted] = []

    def now(self) -> float:
        return 1000 * time.monotonic()

    def apply_event(self, event: QuotaLeaseGranted) -> None:
        self.grants.append(event)

    def resume(self, request_id: int) -> None:
        pass


def submit_request(leases: LeaseClient, customer: str) -> None:
    """Submit a request of the customer."""
    leases.delay_admission(RequestReceived(1, "look", PLAN.name, customer, 100.0))


async def wait_until(condition: Callable[[], bool], step: Callable[[], object] = lambda: None) -> None:
    """Wait until the condition holds, calling `step` between checks; fail after `WAIT_S`."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, f"condition not met within {WAIT_S} s"
        step()
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("second_is_answered", [True, False])
def test_every_customer_gets_a_lease_again_after_the_group_has_dropped_the_session(
    second_is_answered: bool,
) -> None:
    """Two operations are pending, and the response to the first denies the unknown session."""

    async def run() -> None:
        group, driver = FakeGroup(), FakePolicyDriver()
        leases = LeaseClient(group, 1, driver, Counters())  # type: ignore[arg-type]
        leases.start()
        submit_request(leases, CUSTOMERS[0])
        group.answer_all()  # the session is open
        await wait_until(lambda: bool(group.calls))
        group.answer_all()
        group.drop_sessions()
        leases.holder.customers.clear()
        for customer in CUSTOMERS:
            submit_request(leases, customer)
        first, second = group.calls  # numbers of the calls
        assert group.answer(first) == Denied("session")
        if second_is_answered:
            group.answer(second)
        else:
            del group.calls[second]  # its response is lost
        driver.grants.clear()

        def step() -> None:
            group.answer_all()
            for customer in CUSTOMERS:
                submit_request(leases, customer)

        await wait_until(
            lambda: {grant.customer for grant in driver.grants if grant.lease_id} == set(CUSTOMERS), step
        )
        leases.close()

    asyncio.run(run())


def test_late_operation_of_a_dropped_session_is_not_taken_for_one_of_the_next_session() -> None:
    """Numbers start again in a new session.

    Under the old name, a late operation's result could be taken for that of another customer's operation.
    """

    async def run() -> None:
        group, driver = FakeGroup(), FakePolicyDriver()
        leases = LeaseClient(group, 1, driver, Counters())  # type: ignore[arg-type]
        leases.start()
        submit_request(leases, "c0")
        group.answer_all()
        await wait_until(lambda: bool(group.calls))
        late = dict(group.calls)  # delivered late
        group.drop_sessions()
        group.answer_all()
        submit_request(leases, "c1")
        await wait_until(lambda: bool(group.calls))
        group.answer_all()  # the next session is open
        for command in late.values():
            group.state.apply(1000 * time.monotonic(), command)
        await wait_until(lambda: bool(group.calls))
        group.answer_all()
        buckets = {
            grant.customer: group.state.buckets.get(grant.customer)
            for grant in driver.grants
            if grant.lease_id
        }
        assert set(buckets) == {"c1"}
        assert all(bucket is not None and bucket.leases for bucket in buckets.values()), buckets
        leases.close()

    asyncio.run(run())


def test_maintenance_operation_is_applied_after_its_session_was_dropped() -> None:
    """Maintenance is rare, so that a group may drop its idle session in favour of later ones."""

    async def run() -> None:
        group, results = FakeGroup(), list[Result]()
        session = ProposalSession(group, 0)  # type: ignore[arg-type]
        session.propose(w.SetRecord("a", "1", 0), results.append)
        await wait_until(lambda: len(results) == 1, group.answer_all)
        group.drop_sessions()
        session.propose(w.SetRecord("b", "1", 0), results.append)

        def step() -> None:
            session.tick(group.now())
            group.answer_all()

        await wait_until(lambda: len(results) == 2, step)
        assert results[1] == Applied(1.0) and "b" in group.state.records

    asyncio.run(run())


def test_answer_that_takes_longer_than_the_interval_of_retries_counts_for_maintenance() -> None:
    # Guards against a group that is always a bit slower than the retries: each one gave up the answer to the
    # time before, and no operation ever had a result.
    async def run() -> None:
        group, results = FakeGroup(), list[Result]()
        session = ProposalSession(group, 0)  # type: ignore[arg-type]
        session.propose(w.SetRecord("a", "1", 0), results.append)

        def answer_what_was_sent_again() -> None:
            session.tick(group.now())
            if len(group.calls) > 1:
                group.answer(min(group.calls))

        await wait_until(lambda: bool(results), answer_what_was_sent_again)
        assert results == [Applied(1.0)]

    asyncio.run(run())


def test_answer_that_takes_longer_than_the_interval_of_retries_counts_for_leases() -> None:
    # Guards against leases that are never granted by a group that is always a bit slower than the retries.
    async def run() -> None:
        group, driver = FakeGroup(), FakePolicyDriver()
        leases = LeaseClient(group, 1, driver, Counters())  # type: ignore[arg-type]
        leases.start()

        def answer_what_was_sent_again() -> None:
            submit_request(leases, "c0")
            if len(group.calls) > 1:
                group.answer(min(group.calls))

        await wait_until(lambda: any(grant.lease_id for grant in driver.grants), answer_what_was_sent_again)
        leases.close()

    asyncio.run(run())


def test_read_of_the_maintenance_job_that_takes_longer_than_the_interval_of_reads_counts() -> None:
    # Guards against a machine that never drains: each read of its job gave up the answer to the one before.
    callbacks: list[OnResponse] = []
    drains: list[bool] = []

    def send(_group: int, _command: bytes, _to: str, on_response: OnResponse, _read: str) -> int:
        callbacks.append(on_response)
        return len(callbacks)

    def abandon(number: int) -> None:
        if number:
            callbacks[number - 1] = lambda _: None

    requests = SimpleNamespace(send=send, abandon=abandon, leader_of=lambda _: "g0")
    sessions = SimpleNamespace(at=lambda _: SimpleNamespace(is_busy=lambda: True))
    machine = machine_of("g0", requests, sessions, drains)

    def answer(number: int, state: str) -> None:
        job = MachineJob("g0", "r", state, fencing_token=1, expires_at=20_000.0)
        data = msgspec.msgpack.encode((0.0, job, False, True))
        callbacks[number](wire.ClientResponse(number, "done", "", data))

    machine.tick(0.0)
    machine.tick(1.0)
    answer(0, JobState.GRANTED)
    machine.tick(1.1)
    assert drains == [True]
    machine.tick(2.0)
    answer(2, JobState.DRAINING)
    answer(1, JobState.QUEUED)  # of a read that began before the one that was answered
    machine.tick(2.1)
    assert drains == [True]


def test_session_that_a_full_group_denies_is_opened_later(monkeypatch: pytest.MonkeyPatch) -> None:
    """Until then no operation is sent: each one would be denied, at the cost of a log entry."""

    async def run() -> None:
        group, driver = FakeGroup(), FakePolicyDriver()
        leases = LeaseClient(group, 1, driver, Counters())  # type: ignore[arg-type]
        leases.start()
        monkeypatch.setattr(state_machine, "MAX_SESSIONS", 0)
        monkeypatch.setattr(state_machine, "SESSION_TIMEOUT_MS", math.inf)
        group.state.sessions = group.state.sessions.set("other", state_machine.Session(0, 0.0))
        submit_request(leases, "c0")
        assert group.answer_all() == [Denied("full")]
        await wait_until(lambda: bool(group.calls))
        monkeypatch.undo()
        assert group.answer_all() == [Applied()]

        def step() -> None:  # the first proposal has timed out meanwhile
            submit_request(leases, "c0")
            group.answer_all()

        await wait_until(lambda: any(grant.lease_id for grant in driver.grants), step)
        leases.close()

    asyncio.run(run())


def test_calls_without_a_response_expire() -> None:
    calls, responses = LocalCalls(), list[wire.ClientResponse]()
    for second in range(1000):  # one call a second
        last = calls.begin(float(second), responses.append)
    assert len(calls) <= CALL_TIMEOUT_S
    calls.deliver(wire.ClientResponse(1, "done"))
    calls.deliver(wire.ClientResponse(last, "done"))
    assert [response.number for response in responses] == [last]
