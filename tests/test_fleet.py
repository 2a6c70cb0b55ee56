"""Tests of the state machines of `mapleshunt.fleet`: backends, counter, network, discovery, clients."""

from __future__ import annotations

import math

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from mapleshunt.fleet import clients, parameters
from mapleshunt.fleet.backend import Backend, BackendRequest, IdempotencyStore
from mapleshunt.fleet.counter import SharedCounter
from mapleshunt.fleet.discovery import Discovery, EndpointEntry
from mapleshunt.fleet.faults import Fault, rolling_restart
from mapleshunt.fleet.network import MessageRateLimiter, Network
from mapleshunt.fleet.quota import TokenBucket
from mapleshunt.fleet.random_streams import BufferedDraws, RandomStreams

STEADY = {
    "cores": 2, "slots_per_core": 2, "queue_per_core": 2, "thrash": 0, "error_rate": 0, "drops_cancelled": 1,
    "drops_expired": 0, "conn_tax": 0, "cold_from": 0.25, "cold_ms": 10000,
}  # fmt: skip


def draw_fleet(**fixed: float) -> parameters.Parameters:
    return parameters.draw_parameters(RandomStreams(1).generator("figures"), {**STEADY, **fixed})


def new_backend(**fixed: float) -> Backend:
    return Backend(
        0,
        draw_fleet(**fixed),
        1.0,
        0,
        IdempotencyStore(4000.0),
        BufferedDraws(RandomStreams(1).generator("errors").random),
    )


def run_alone(backend: Backend, until: float = math.inf) -> list[tuple[float, BackendRequest]]:
    """Run a backend on its own; return when each request finished."""
    ended = []
    while backend.next_event_at <= until and backend.next_event_at < math.inf:
        at = backend.next_event_at
        ended += [(at, request) for request in backend.advance(at)]
    return ended


def test_running_requests_share_the_cores_evenly() -> None:
    backend = new_backend()
    requests = [BackendRequest(n, 100.0) for n in range(4)]  # 4 slots, 2 cores: each has half a core
    for request in requests:
        assert backend.offer(0.0, request) == (None, [])
    assert [(round(at), request.token) for at, request in run_alone(backend)] == [
        (200, 0),
        (200, 1),
        (200, 2),
        (200, 3),
    ]


def test_request_beyond_the_queue_limit_is_rejected_and_never_runs() -> None:
    backend = new_backend()
    statuses = [backend.offer(0.0, BackendRequest(n, 100.0))[0] for n in range(10)]
    assert statuses == [None] * 8 + ["full"] * 2  # 4 run, 4 are queued
    assert len(run_alone(backend)) == 8


def test_too_many_requests_in_flight_lower_the_work_rate() -> None:
    calm, overloaded = new_backend(thrash=0.0), new_backend(thrash=0.2, thrash_at=1.0)
    for n in range(8):
        calm.offer(0.0, BackendRequest(n, 100.0))
        overloaded.offer(0.0, BackendRequest(n, 100.0))
    assert run_alone(overloaded)[-1][0] > 1.2 * run_alone(calm)[-1][0]


def test_cancelled_queued_request_is_dropped_only_if_parameters_say_so() -> None:
    for drops, runs in ((1.0, 7), (0.0, 8)):
        backend = new_backend(drops_cancelled=drops)
        requests = [BackendRequest(n, 100.0) for n in range(8)]
        for request in requests:
            backend.offer(0.0, request)
        backend.cancel(requests[7])
        assert len(run_alone(backend)) == runs


def test_repeated_idempotency_key_takes_effect_again_only_after_the_window() -> None:
    backend = new_backend()
    ran = []
    for at in (0.0, 1000.0, 6000.0):
        request = BackendRequest(at, 50.0, idempotency_key="sale")
        backend.offer(at, request)
        run_alone(backend)
        ran.append(request.took_effect)
    assert ran == [True, False, True]


@pytest.mark.parametrize("by_work", [0.0, 1.0])
def test_warming_backend_starts_at_its_share_and_reaches_full_capacity(by_work: float) -> None:
    backend = new_backend(warm_by_work=by_work)
    backend.crash(0.0)
    backend.start(1000.0)
    assert backend.capacity_share(1000.0) == 0.25
    assert backend.capacity_share(6000.0) == pytest.approx(0.625)
    assert backend.capacity_share(11000.0) == 1.0
    if by_work:
        backend.overload_multiple = 100.0
        for n in range(4):
            backend.offer(1000.0, BackendRequest(n, 4000.0))
        run_alone(backend, 6000.0)
        assert backend.capacity_share(6000.0) > 0.625


def test_warming_backend_collapses_for_good_when_overloaded() -> None:
    # 2 cores at 25% do 500 ms of work per second; four times that plus the tolerance of 10% is 2200 ms.
    backend = new_backend()
    backend.crash(0.0)
    backend.start(1000.0)
    sent = 0
    while not backend.collapsed:
        backend.offer(1000.0 + sent, BackendRequest(sent, 100.0), sender_knows_start=sent % 4 != 0)
        sent += 1
    assert 2200 < 100 * sent < 2400 and backend.collapse_was_avoidable
    assert backend.offer(3000.0, BackendRequest("late", 1.0))[0] == "full"


def test_collapse_is_not_avoidable_when_gateways_did_not_know_of_the_start() -> None:
    backend = new_backend()
    backend.crash(0.0)
    backend.start(1000.0)
    for n in range(40):
        backend.offer(1000.0, BackendRequest(n, 100.0), sender_knows_start=n % 2 == 0)
    assert backend.collapsed and not backend.collapse_was_avoidable


def test_load_reports_are_refreshed_periodically_and_arrive_late() -> None:
    backend = new_backend(report_period_ms=200, report_delay_ms=100, report_noise=0)
    backend.offer(0.0, BackendRequest(0, 1000.0))
    assert backend.load_report(250.0).inflight == 0
    assert backend.load_report(351.0).inflight == 1
    backend.advance(1500.0)
    assert backend.load_report(360.0).inflight == 1


class BackendMachine(RuleBasedStateMachine):
    """Random offers, cancels, crashes and time steps, checked against counts kept by the test."""

    def __init__(self) -> None:
        super().__init__()
        self.backend, self.now, self.sent = new_backend(thrash=0.1), 0.0, 0
        self.accepted: dict[object, BackendRequest] = {}
        self.work_done_ms = 0.0
        self.begun = 0.0

    def record_finished(self, requests: list[BackendRequest]) -> None:
        for request in requests:
            assert self.accepted.pop(request.token) is request and request.started
            self.work_done_ms += request.work_done_ms

    @precondition(lambda self: self.backend.up)
    @rule(work_ms=st.floats(1, 500), key=st.sampled_from([None, "a", "b"]))
    def offer(self, work_ms: float, key: str | None) -> None:
        self.sent += 1
        request = BackendRequest(self.sent, work_ms, idempotency_key=key)
        in_flight_before = self.backend.in_flight()
        status, finished = self.backend.offer(self.now, request)
        self.record_finished(finished)
        if status is None:
            self.accepted[self.sent] = request
        else:
            assert status == "full" and not request.started and in_flight_before >= 8

    @precondition(lambda self: self.accepted)
    @rule(pick=st.integers(0, 100))
    def cancel(self, pick: int) -> None:
        self.backend.cancel(list(self.accepted.values())[pick % len(self.accepted)])

    @rule(ms=st.floats(0, 400))
    def wait(self, ms: float) -> None:
        self.now += ms
        self.record_finished(self.backend.advance(self.now))
        for token, request in list(self.accepted.items()):
            if request.cancelled and not request.started and request not in self.backend.queue:
                del self.accepted[token]  # dropped

    @rule()
    def crash(self) -> None:
        if self.backend.up:
            self.record_finished(self.backend.advance(self.now))
            lost = {request.token for request in self.backend.crash(self.now)}
            assert lost >= {token for token, request in self.accepted.items() if not request.cancelled}
            self.accepted = {}
        else:
            self.backend.start(self.now)

    @invariant()
    def bounded(self) -> None:
        assert self.backend.running_count <= 4 and len(self.backend.queue) <= 4
        assert self.work_done_ms <= 2 * self.now + 1e-6  # two cores at speed 1 do no difference
        assert (self.backend.next_event_at < math.inf) == (self.backend.running_count > 0)


TestBackendMachine = BackendMachine.TestCase
TestBackendMachine.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)


def test_counter_serves_in_turn_rejects_beyond_its_queue_and_restarts_empty() -> None:
    counter = SharedCounter(draw_fleet(counter_per_s=100, counter_ms=1, counter_wait_ms=80, counter_line=0.5))
    replies = [counter.call(0.0, 7, 1.0, 5000.0) for _ in range(8)]
    assert [status for status, _, _ in replies] == ["ok"] * 5 + ["full"] * 3  # at most 40 ms in the queue
    assert [round(at) for _, at, _ in replies[:3]] == [11, 21, 31]
    assert replies[4][2] == 5.0
    counter.outage = "refusing"
    assert counter.call(100.0, 7, 1.0, 5000.0)[0] == "unreachable"
    counter.outage = "silent"
    assert counter.call(100.0, 7, 1.0, 5000.0)[1] == math.inf
    counter.outage = ""
    assert counter.call(200.0, 7, 0.0, 5000.0)[2] == 5.0
    assert counter.call(6000.0, 7, 0.0, 5000.0)[2] == 0.0  # the value has expired
    counter.call(6000.0, 7, 3.0, 5000.0)
    counter.split(frozenset({1}))
    assert counter.call(6100.0, 7, 1.0, 5000.0, gateway=1)[2] == 4.0
    assert counter.call(6200.0, 7, 0.0, 5000.0, gateway=0)[2] == 3.0
    counter.split(frozenset())
    assert counter.call(6300.0, 7, 0.0, 5000.0, gateway=1)[2] == 3.0
    counter.empty()
    assert counter.call(6400.0, 7, 0.0, 5000.0)[2] == 0.0


def test_counter_removes_expired_values() -> None:
    counter = SharedCounter(draw_fleet(counter_per_s=1e6, counter_ms=0.01))
    for name in range(20000):
        counter.call(float(name), name, 1.0, 10.0)
    assert len(counter.partitions[0]) <= 4096


def test_peer_messages_are_lost_and_rate_limited() -> None:
    network = Network(draw_fleet(peer_loss=0.25, peer_ms=10), RandomStreams(3))
    delays = [network.peer_message_delay(0, 1) for _ in range(4000)]
    lost = sum(delay is None for delay in delays) / len(delays)
    assert abs(lost - 0.25) < 0.03  # four standard errors
    assert abs(np.mean([delay for delay in delays if delay is not None]) - 10) < 0.5
    network.partition = frozenset({1})
    assert network.peer_message_delay(0, 1) is None
    limiter = MessageRateLimiter(40)
    # 200 messages per s for 2 s, with a burst of 10.
    assert sum(limiter.try_acquire(n * 5.0) for n in range(400)) in range(88, 92)


def test_endpoint_changes_reach_each_gateway_late_and_in_order() -> None:
    discovery = Discovery(
        draw_fleet(notice_ms=2000, add_ms=300, silent_notice_ms=9000), RandomStreams(1).generator("discovery")
    )
    gone = discovery.apply_change(0.0, EndpointEntry(1, 0, "gone"), 3)
    back = discovery.apply_change(100.0, EndpointEntry(1, 0, "ready", 100.0), 3)
    assert all(2000 <= at < 6000 for at, _ in gone)
    assert all(back_at >= gone_at for (gone_at, _), (back_at, _) in zip(gone, back, strict=True))
    assert (
        min(at for at, _ in discovery.apply_change(20000.0, EndpointEntry(2, 0, "gone"), 3, silent=True))
        >= 29000
    )


def test_fixed_parameter_changes_no_other_draw() -> None:
    free = parameters.draw_parameters(RandomStreams(5).generator("figures"))
    fixed = parameters.draw_parameters(RandomStreams(5).generator("figures"), {"speed": 0.5})
    assert fixed["speed"] == 0.5
    assert {name: value for name, value in free.values.items() if name != "speed"} == {
        name: value for name, value in fixed.values.items() if name != "speed"
    }
    assert free.classes == fixed.classes and free.plans == fixed.plans
    assert "event_ms" in parameters.guessed_parameters() and "speed" not in parameters.guessed_parameters()
    with pytest.raises(parameters.ParameterError):
        parameters.draw_parameters(RandomStreams(5).generator("figures"), {"spede": 1.0})


def test_traffic_has_the_requested_load_and_a_burst_multiplies_one_plan() -> None:
    drawn = draw_fleet()
    calm = clients.draw_traffic(drawn, 3, 400.0, 60000.0, (), RandomStreams(9))
    inside = 0.0
    buckets: dict[int, TokenBucket] = {}
    for arrival in calm.requests:
        plan = drawn.plans[calm.customers[arrival.customer].plan]
        bucket = buckets.setdefault(arrival.customer, TokenBucket(plan.rate, plan.burst))
        if bucket.try_take(arrival.arrives_at, arrival.units):
            inside += arrival.units
    assert 0.8 * 400 < inside / 60 < 1.2 * 400
    burst = clients.draw_traffic(
        drawn,
        3,
        400.0,
        60000.0,
        (Fault(20000, "burst", 20000, magnitude=4, plan="standard"),),
        RandomStreams(9),
    )

    def count(traffic: clients.Traffic, plan: str) -> int:
        return sum(
            20000 <= request.arrives_at < 40000
            and drawn.plans[traffic.customers[request.customer].plan].name == plan
            for request in traffic.requests
        )

    assert 3 < count(burst, "standard") / count(calm, "standard") < 4.5
    assert 0.9 < count(burst, "basic") / count(calm, "basic") < 1.1


def test_requests_stay_in_the_gateway_set_and_avoid_gateways_marked_down() -> None:
    drawn = draw_fleet()
    traffic = clients.draw_traffic(drawn, 5, 300.0, 20000.0, (), RandomStreams(2))
    for request in traffic.requests[:500]:
        sender = traffic.customers[request.customer]
        members = {(sender.first_gateway + n) % 5 for n in range(sender.gateway_set_size)}
        chosen = traffic.pick_gateway(request.customer, request.arrives_at, request.gateway_draw, 5, set())
        assert chosen in members
        other = traffic.pick_gateway(request.customer, request.arrives_at, request.gateway_draw, 5, {chosen})
        assert other in members and (other != chosen or sender.gateway_set_size == 1)


def test_clients_retry_by_idempotency_and_respect_retry_after() -> None:
    behaviour = clients.ClientBehaviour(draw_fleet(retries=2, backoff_ms=100, honour=0.5), 500.0)
    request = clients.ClientRequest(0, 0, 0, 1, 1, 1, 0.5, 1, 0.4, 12)
    assert behaviour.retry_delay(request, 1, "served", 0, True) is None
    assert behaviour.retry_delay(request, 1, "failed", 0, False) is None
    assert behaviour.retry_delay(request, 1, "late", 0, False) is None
    assert behaviour.retry_delay(request, 1, "unreachable", 0, False) is not None
    assert behaviour.retry_delay(request, 3, "refused", 0, True) is None
    assert behaviour.retry_delay(request, 1, "refused", 400, True) == 400
    assert behaviour.retry_delay(request, 1, "refused", 4000, True) == 500
    request.retry_after_draw = 0.6
    assert (behaviour.retry_delay(request, 1, "refused", 400, True) or 0) < 200


def test_rolling_restart_restarts_each_gateway_once() -> None:
    faults = rolling_restart(RandomStreams(1).generator("x"), 10, 1000, 10000, 0.8, 0.2, 500)
    targets = [number for fault in faults for number in fault.targets]
    assert len(targets) == len(set(targets)) == 8 and len(faults) == 4


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.lists(st.tuples(st.floats(0, 500), st.floats(0.5, 8), st.floats(-4, 8)), max_size=60))
def test_token_bucket_never_grants_more_than_rate_and_burst(steps: list[tuple[float, float, float]]) -> None:
    bucket, now, granted = TokenBucket(10.0, 20.0), 0.0, 0.0
    for gap, units, difference in steps:
        now += gap
        if bucket.try_take(now, units):
            difference = max(difference, -units)
            bucket.settle(now, difference)
            granted += units + difference
            # Only the last settlement may exceed rate and burst.
            assert granted <= 20 + now / 100 + max(0.0, difference) + 1e-6 or bucket.level < 0
        assert bucket.level <= 20
