"""The replicated state machine: operations, sessions, and random runs of replicas with planted faults."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from mapleshunt.replicated_state import commands as w
from mapleshunt.replicated_state.results import Applied, Denied, LeaseGranted
from mapleshunt.replicated_state.state_machine import MAX_UNACKNOWLEDGED, ReplicatedState
from mapleshunt.simulation.history_checker import HistoryEvent, find_violations
from mapleshunt.simulation.state_machine_plays import PLANTED_FAULTS, run_seed

RATE, BURST = 10.0, 50.0


class Session:
    """A session that applies its operations to a state at once."""

    def __init__(self, name: str = "a/1") -> None:
        self.state, self.name, self.number, self.now = ReplicatedState(), name, 0, 0.0
        self.last = b""
        self.do(w.OpenSession())

    def do(self, operation: w.Operation) -> Any:
        self.number += 1
        self.last = w.encode(w.Command(self.name, self.number, self.number, operation))
        return self.state.apply(self.now, self.last)

    def lease(self, units: float, term: float = 1000.0, customer: str = "c") -> Any:
        return self.do(w.AcquireLease(customer, RATE, BURST, units, 1.0, term))


def test_lease_takes_units_of_the_bucket_until_it_is_returned_or_expires() -> None:
    session = Session()
    assert session.lease(30) == LeaseGranted(1, 30.0) and session.lease(30) == LeaseGranted(2, 20.0)
    assert session.lease(1) == Denied("store", 0.0)
    assert session.do(w.ReturnLease("c", 1, 10.0)) == Applied(20.0)
    assert session.do(w.ReturnLease("c", 1, 0.0)) == Denied("lease")  # returned already
    session.now = 1500.0  # the second has expired: its units count as spent, and the bucket refills
    assert session.do(w.ReturnLease("c", 2, 0.0)) == Denied("lease")
    assert session.lease(99) == LeaseGranted(3, 35.0)


def test_operation_sent_again_gets_the_same_result_and_changes_nothing() -> None:
    session = Session()
    assert session.do(w.CountUsage("c", 5.0)) == Applied(5.0)
    assert session.state.apply(99.0, session.last) == Applied(5.0)
    assert session.do(w.CountUsage("c", 5.0)) == Applied(10.0)
    late = w.encode(w.Command("a/1", 2, 1, w.CountUsage("c", 5.0)))
    assert session.state.apply(100.0, late) == Denied("order")  # its result was acknowledged already
    other = w.encode(w.Command("b/1", 1, 1, w.CountUsage("c", 5.0)))
    assert session.state.apply(100.0, other) == Denied("session")


def test_operation_is_denied_when_too_many_results_are_unacknowledged() -> None:
    session = Session()
    for number in range(2, MAX_UNACKNOWLEDGED + 40):
        data = w.encode(w.Command("a/1", number, 0, w.CountUsage("c", 1.0)))
        result = session.state.apply(0.0, data)
    assert result == Denied("full") and len(session.state.sessions["a/1"].results) == MAX_UNACKNOWLEDGED


def test_change_of_plan_back_and_forth_gains_no_units() -> None:
    session = Session()
    session.lease(50, 1e9)
    for burst in (500.0, 50.0) * 5:
        assert session.do(w.AcquireLease("c", RATE, burst, 1.0, 1.0, 1e9)) == Denied("store", 0.0)


def test_record_is_set_only_at_its_expected_version() -> None:
    session = Session()
    assert session.do(w.SetRecord("k", "x", 0)) == Applied(1) and session.do(
        w.SetRecord("k", "y", 0)
    ) == Denied("version", 1)
    assert session.do(w.SetRecord("k", "y", 1)) == Applied(2) and session.state.records["k"].value == "y"


@pytest.mark.parametrize(
    "data", [b"", b"\x00", b"nonsense", w.encode(w.Command("a/1", 2, 0, w.OpenSession()))[:-1]]
)
def test_unreadable_command_is_denied(data: bytes) -> None:
    assert Session().state.apply(0.0, data) == Denied("order")


@pytest.mark.parametrize("number", [float("nan"), float("inf"), -1.0])
def test_command_with_invalid_numbers_changes_nothing(number: float) -> None:
    session = Session()
    assert isinstance(session.do(w.CountUsage("c", number)), Denied) and isinstance(
        session.lease(number), Denied
    )
    assert not session.state.buckets


class ReplicatedStateMachine(RuleBasedStateMachine):
    """Level and outstanding units stay within the burst, use within burst and rate; replicas agree."""

    @initialize()
    def begin(self) -> None:
        self.session, self.replica = Session(), ReplicatedState()
        self.replica.apply(0.0, self.session.last)
        self.spent, self.leases = 0.0, dict[int, tuple[float, float]]()

    def do(self, operation: w.Operation) -> Any:
        result = self.session.do(operation)
        assert self.replica.apply(self.session.now, self.session.last) == result
        # Sent again, it has the same result and changes nothing.
        assert self.session.state.apply(self.session.now, self.session.last) == result
        return result

    @rule(ms=st.sampled_from([0.0, 10.0, 700.0, 5000.0]))
    def wait(self, ms: float) -> None:
        self.session.now += ms

    @rule(units=st.floats(0.5, 80), term=st.sampled_from([100.0, 1000.0, 20_000.0]))
    def lease(self, units: float, term: float) -> None:
        result = self.do(w.AcquireLease("c", RATE, BURST, units, 0.5, term))
        if isinstance(result, LeaseGranted):
            assert result.units <= units + 1e-9 and result.lease_id not in self.leases
            self.leases[result.lease_id] = (result.units, self.session.now + term)

    @rule(pick=st.integers(0, 9), part=st.floats(0, 1.5))
    def return_lease(self, pick: int, part: float) -> None:
        if self.leases:
            lease_id = sorted(self.leases)[pick % len(self.leases)]
            units, expires_at = self.leases.pop(lease_id)
            result = self.do(w.ReturnLease("c", lease_id, part * units))
            assert isinstance(result, Applied) == (expires_at > self.session.now)
            self.spent += part * units if isinstance(result, Applied) else units

    @rule(units=st.floats(0.1, 30), name=st.sampled_from("xyz"))
    def reserve(self, units: float, name: str) -> None:
        self.do(w.ReserveUnits("c", name, units, 3000.0))

    @rule(name=st.sampled_from("xyz"))
    def release(self, name: str) -> None:
        self.do(w.ReleaseReservation("c", name))

    @rule()
    def restore_replica(self) -> None:
        """Replace the second replica by one that restores a snapshot in place of the log."""
        self.replica = ReplicatedState()
        self.replica.restore(msgspec.msgpack.encode(self.session.state.snapshot()))

    @invariant()
    def limits_hold_and_replicas_agree(self) -> None:
        bucket = self.session.state.bucket_at(self.session.now, "c")
        if bucket is not None:
            outstanding = sum(allocation.units for _, allocation in (*bucket.leases, *bucket.reservations))
            # Below 0 by what leases were overspent by, which is at most half of the burst here.
            assert bucket.level + outstanding <= BURST + 1e-6 and bucket.level >= -BURST / 2 - 1e-6
            # Spent units came out of the burst, were refilled since, or are owed to the bucket.
            assert self.spent + bucket.level + outstanding <= BURST + RATE / 1000 * self.session.now + 1e-6
            assert self.session.state.snapshot() == self.replica.snapshot()


TestReplicatedState = ReplicatedStateMachine.TestCase
TestReplicatedState.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)


def test_random_runs_of_replicas_violate_no_guarantee() -> None:
    assert not {seed: violation for seed in range(24) if (violation := run_seed(seed))}


@pytest.mark.parametrize("plant", PLANTED_FAULTS)
def test_planted_fault_is_detected(plant: str) -> None:
    assert any(run_seed(seed, plant) for seed in range(12))


# The history checker

COUNT = w.CountUsage("c", 5.0)
LEASE = w.AcquireLease("c", RATE, BURST, 30.0, 1.0, 1000.0)


def event(number: int, operation: Any, started_at: float, result: Any, ended_at: float) -> HistoryEvent:
    return HistoryEvent("s", number, operation, started_at, result, ended_at)


def final_state(counted: float) -> Any:
    session = Session()
    session.do(w.CountUsage("c", counted))
    return {"store c": session.state.buckets["c"]}


@pytest.mark.parametrize(
    ("events", "final", "expected"),
    [
        ([event(1, COUNT, 0, Applied(5), 1)], final_state(5), ""),
        ([event(1, COUNT, 0, Applied(5), 1)], final_state(10),
         "usage of c: 5 was acknowledged, 10 is stored"),
        ([event(1, COUNT, 0, Applied(5), 1)], {}, "usage of c: 5 was acknowledged, 0 is stored"),
        ([event(1, COUNT, 0, None, 0)], {}, "call 1 of session s was never answered"),
        ([event(1, LEASE, 0, LeaseGranted(1, 30), 0.1), event(2, LEASE, 0.2, LeaseGranted(2, 30), 0.3)], {},
         "leases of c sum to 60"),
        ([event(1, LEASE, 0, LeaseGranted(1, 30), 0.1), event(2, LEASE, 2, LeaseGranted(2, 30), 2.1)],
         {}, ""),
        ([event(1, LEASE, 0, LeaseGranted(1, 30), 0.1),
          event(2, w.ReturnLease("c", 1, 0.0), 0.2, Applied(50), 0.3),
          event(3, LEASE, 0.3, LeaseGranted(2, 30), 0.4)], {}, ""),
        ([event(1, LEASE, 0, LeaseGranted(1, 3), 0.1), event(2, LEASE, 0, LeaseGranted(1, 3), 0.1)], {},
         "was granted to s and s"),
        ([event(1, w.SetRecord("k", "x", 0), 0, Applied(1), 1)], {}, "version 1 was acknowledged"),
        ([event(1, COUNT, 0, Applied(5), 1), event(2, "store c", 2, None, 3)], final_state(5),
         "a read of c says 0"),
        ([event(1, "store c", 0, final_state(5)["store c"], 1), event(2, COUNT, 2, Applied(5), 3)],
         final_state(5), "a read of c says 5"),
    ],
)  # fmt: skip
def test_history_checker_reports_each_violation(
    events: list[HistoryEvent], final: Any, expected: str
) -> None:
    found = find_violations(events, final, BURST)
    assert bool(found) == bool(expected) and (not expected or expected in found[0])
