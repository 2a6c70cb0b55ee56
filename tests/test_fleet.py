"""The state machines of `mapleshunt.fleet` by themselves: backends, counter, network, discovery, clients."""

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


def run_alone(server: Backend, until: float = math.inf) -> list[tuple[float, BackendRequest]]:
    """Run a backend on its own; return when each request finished."""
    ended = []
    while server.next_event_at <= until and server.next_event_at < math.inf:
        at = server.next_event_at
        ended += [(at, work) for work in server.advance(at)]
    return ended


def test_running_requests_share_the_cores_evenly() -> None:
    server = new_backend()
    works = [BackendRequest(n, 100.0) for n in range(4)]  # 4 slots, 2 cores: each has half a core
    for work in works:
        assert server.offer(0.0, work) == (None, [])
    assert [(round(at), work.token) for at, work in run_alone(server)] == [
        (200, 0),
        (200, 1),
        (200, 2),
        (200, 3),
    ]


def test_request_beyond_the_queue_limit_is_rejected_and_never_runs() -> None:
    server = new_backend()
    words = [server.offer(0.0, BackendRequest(n, 100.0))[0] for n in range(10)]
    assert words == [None] * 8 + ["full"] * 2  # 4 in work, 4 wait
    assert len(run_alone(server)) == 8


def test_too_many_requests_in_flight_lower_the_work_rate() -> None:
    calm, pressed = new_backend(thrash=0.0), new_backend(thrash=0.2, thrash_at=1.0)
    for n in range(8):
        calm.offer(0.0, BackendRequest(n, 100.0))
        pressed.offer(0.0, BackendRequest(n, 100.0))
    assert run_alone(pressed)[-1][0] > 1.2 * run_alone(calm)[-1][0]


def test_cancelled_queued_request_is_dropped_only_if_parameters_say_so() -> None:
    for drops, runs in ((1.0, 7), (0.0, 8)):
        server = new_backend(drops_cancelled=drops)
        works = [BackendRequest(n, 100.0) for n in range(8)]
        for work in works:
            server.offer(0.0, work)
        server.cancel(works[7])
        assert len(run_alone(server)) == runs


def test_repeated_idempotency_key_takes_effect_again_only_after_the_window() -> None:
    server = new_backend()
    ran = []
    for at in (0.0, 1000.0, 6000.0):
        work = BackendRequest(at, 50.0, idempotency_key="sale")
        server.offer(at, work)
        run_alone(server)
        ran.append(work.took_effect)
    assert ran == [True, False, True]


@pytest.mark.parametrize("by_work", [0.0, 1.0])
def test_warming_backend_starts_at_its_share_and_reaches_full_capacity(by_work: float) -> None:
    server = new_backend(warm_by_work=by_work)
    server.crash(0.0)
    server.start(1000.0)
    assert server.capacity_share(1000.0) == 0.25
    assert server.capacity_share(6000.0) == pytest.approx(0.625)
    assert server.capacity_share(11000.0) == 1.0
    if by_work:
        server.overload_multiple = 100.0
        for n in range(4):
            server.offer(1000.0, BackendRequest(n, 4000.0))
        run_alone(server, 6000.0)
        assert server.capacity_share(6000.0) > 0.625


def test_warming_backend_collapses_for_good_when_overloaded() -> None:
    # 2 cores at a quarter do 500 ms a second; four times that, and a tenth for chance, is 2200 ms of work.
    server = new_backend()
    server.crash(0.0)
    server.start(1000.0)
    sent = 0
    while not server.collapsed:
        server.offer(1000.0 + sent, BackendRequest(sent, 100.0), sender_knows_start=sent % 4 != 0)
        sent += 1
    assert 2200 < 100 * sent < 2400 and server.collapse_was_avoidable
    assert server.offer(3000.0, BackendRequest("late", 1.0))[0] == "full"


def test_collapse_is_not_avoidable_when_gateways_did_not_know_of_the_start() -> None:
    server = new_backend()
    server.crash(0.0)
    server.start(1000.0)
    for n in range(40):
        server.offer(1000.0, BackendRequest(n, 100.0), sender_knows_start=n % 2 == 0)
    assert server.collapsed and not server.collapse_was_avoidable


def test_load_reports_are_refreshed_periodically_and_arrive_late() -> None:
    server = new_backend(report_period_ms=200, report_delay_ms=100, report_noise=0)
    server.offer(0.0, BackendRequest(0, 1000.0))
    assert server.load_report(250.0).inflight == 0
    assert server.load_report(351.0).inflight == 1
    server.advance(1500.0)
    assert server.load_report(360.0).inflight == 1


class BackendMachine(RuleBasedStateMachine):
    """Random offers, cancels, crashes and time against what can be counted from outside."""

    def __init__(self) -> None:
        super().__init__()
        self.server, self.now, self.sent = new_backend(thrash=0.1), 0.0, 0
        self.held: dict[object, BackendRequest] = {}
        self.work = 0.0
        self.begun = 0.0

    def ended(self, works: list[BackendRequest]) -> None:
        for work in works:
            assert self.held.pop(work.token) is work and work.started
            self.work += work.work_done_ms

    @precondition(lambda self: self.server.up)
    @rule(work=st.floats(1, 500), key=st.sampled_from([None, "a", "b"]))
    def offer(self, work: float, key: str | None) -> None:
        self.sent += 1
        one = BackendRequest(self.sent, work, idempotency_key=key)
        before = self.server.in_flight()
        word, ended = self.server.offer(self.now, one)
        self.ended(ended)
        if word is None:
            self.held[self.sent] = one
        else:
            assert word == "full" and not one.started and before >= 8

    @precondition(lambda self: self.held)
    @rule(pick=st.integers(0, 100))
    def cancel(self, pick: int) -> None:
        self.server.cancel(list(self.held.values())[pick % len(self.held)])

    @rule(ms=st.floats(0, 400))
    def wait(self, ms: float) -> None:
        self.now += ms
        self.ended(self.server.advance(self.now))
        for token, work in list(self.held.items()):
            if work.cancelled and not work.started and work not in self.server.queue:
                del self.held[token]  # dropped

    @rule()
    def crash(self) -> None:
        if self.server.up:
            self.ended(self.server.advance(self.now))
            lost = {work.token for work in self.server.crash(self.now)}
            assert lost >= {token for token, work in self.held.items() if not work.cancelled}
            self.held = {}
        else:
            self.server.start(self.now)

    @invariant()
    def bounded(self) -> None:
        assert self.server.running_count <= 4 and len(self.server.queue) <= 4
        assert self.work <= 2 * self.now + 1e-6  # two cores at speed 1 do no more
        assert (self.server.next_event_at < math.inf) == (self.server.running_count > 0)


TestBackendMachine = BackendMachine.TestCase
TestBackendMachine.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)


def test_counter_serves_in_turn_rejects_beyond_its_queue_and_restarts_empty() -> None:
    counter = SharedCounter(draw_fleet(counter_per_s=100, counter_ms=1, counter_wait_ms=80, counter_line=0.5))
    answers = [counter.call(0.0, 7, 1.0, 5000.0) for _ in range(8)]
    assert [word for word, _, _ in answers] == ["ok"] * 5 + ["full"] * 3  # a line of 40 ms
    assert [round(at) for _, at, _ in answers[:3]] == [11, 21, 31]
    assert answers[4][2] == 5.0
    counter.outage = "refusing"
    assert counter.call(100.0, 7, 1.0, 5000.0)[0] == "unreachable"
    counter.outage = "silent"
    assert counter.call(100.0, 7, 1.0, 5000.0)[1] == math.inf
    counter.outage = ""
    assert counter.call(200.0, 7, 0.0, 5000.0)[2] == 5.0
    assert counter.call(6000.0, 7, 0.0, 5000.0)[2] == 0.0  # its life is over
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
    lost = sum(one is None for one in delays) / len(delays)
    assert abs(lost - 0.25) < 0.03  # four standard errors
    assert abs(np.mean([one for one in delays if one is not None]) - 10) < 0.5
    network.partition = frozenset({1})
    assert network.peer_message_delay(0, 1) is None
    intake = MessageRateLimiter(40)
    assert sum(intake.try_acquire(n * 5.0) for n in range(400)) in range(
        88, 92
    )  # 2 s at 200 a second, 10 at once


def test_endpoint_changes_reach_each_gateway_late_and_in_order() -> None:
    discovery = Discovery(
        draw_fleet(notice_ms=2000, add_ms=300, silent_notice_ms=9000), RandomStreams(1).generator("discovery")
    )
    gone = discovery.apply_change(0.0, EndpointEntry(1, 0, "gone"), 3)
    back = discovery.apply_change(100.0, EndpointEntry(1, 0, "ready", 100.0), 3)
    assert all(2000 <= at < 6000 for at, _ in gone)
    assert all(b >= g for (g, _), (b, _) in zip(gone, back, strict=True))
    assert (
        min(at for at, _ in discovery.apply_change(20000.0, EndpointEntry(2, 0, "gone"), 3, silent=True))
        >= 29000
    )


def test_fixed_parameter_changes_no_other_draw() -> None:
    free = parameters.draw_parameters(RandomStreams(5).generator("figures"))
    fixed = parameters.draw_parameters(RandomStreams(5).generator("figures"), {"speed": 0.5})
    assert fixed["speed"] == 0.5
    assert {k: v for k, v in free.values.items() if k != "speed"} == {
        k: v for k, v in fixed.values.items() if k != "speed"
    }
    assert free.classes == fixed.classes and free.plans == fixed.plans
    assert "event_ms" in parameters.guessed_parameters() and "speed" not in parameters.guessed_parameters()
    with pytest.raises(parameters.ParameterError):
        parameters.draw_parameters(RandomStreams(5).generator("figures"), {"spede": 1.0})


def test_traffic_has_the_requested_load_and_a_burst_multiplies_one_plan() -> None:
    drawn = draw_fleet()
    calm = clients.draw_traffic(drawn, 3, 400.0, 60000.0, (), RandomStreams(9))
    inside = 0.0
    stores: dict[int, TokenBucket] = {}
    for ask in calm.requests:
        plan = drawn.plans[calm.customers[ask.customer].plan]
        store = stores.setdefault(ask.customer, TokenBucket(plan.rate, plan.burst))
        if store.try_take(ask.arrives_at, ask.units):
            inside += ask.units
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
            20000 <= a.arrives_at < 40000 and drawn.plans[traffic.customers[a.customer].plan].name == plan
            for a in traffic.requests
        )

    assert 3 < count(burst, "standard") / count(calm, "standard") < 4.5
    assert 0.9 < count(burst, "basic") / count(calm, "basic") < 1.1


def test_requests_stay_in_the_gateway_set_and_avoid_gateways_marked_down() -> None:
    drawn = draw_fleet()
    traffic = clients.draw_traffic(drawn, 5, 300.0, 20000.0, (), RandomStreams(2))
    for ask in traffic.requests[:500]:
        who = traffic.customers[ask.customer]
        members = {(who.first_gateway + n) % 5 for n in range(who.gateway_set_size)}
        chosen = traffic.pick_gateway(ask.customer, ask.arrives_at, ask.gateway_draw, 5, set())
        assert chosen in members
        other = traffic.pick_gateway(ask.customer, ask.arrives_at, ask.gateway_draw, 5, {chosen})
        assert other in members and (other != chosen or who.gateway_set_size == 1)


def test_clients_retry_by_idempotency_and_respect_retry_after() -> None:
    habits = clients.ClientBehaviour(draw_fleet(retries=2, backoff_ms=100, honour=0.5), 500.0)
    ask = clients.ClientRequest(0, 0, 0, 1, 1, 1, 0.5, 1, 0.4, 12)
    assert habits.retry_delay(ask, 1, "served", 0, True) is None
    assert habits.retry_delay(ask, 1, "failed", 0, False) is None
    assert habits.retry_delay(ask, 1, "late", 0, False) is None
    assert habits.retry_delay(ask, 1, "unreachable", 0, False) is not None
    assert habits.retry_delay(ask, 3, "refused", 0, True) is None
    assert habits.retry_delay(ask, 1, "refused", 400, True) == 400
    assert habits.retry_delay(ask, 1, "refused", 4000, True) == 500
    ask.retry_after_draw = 0.6
    assert (habits.retry_delay(ask, 1, "refused", 400, True) or 0) < 200


def test_rolling_restart_restarts_each_gateway_once() -> None:
    faults = rolling_restart(RandomStreams(1).generator("x"), 10, 1000, 10000, 0.8, 0.2, 500)
    who = [number for fault in faults for number in fault.targets]
    assert len(who) == len(set(who)) == 8 and len(faults) == 4


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.lists(st.tuples(st.floats(0, 500), st.floats(0.5, 8), st.floats(-4, 8)), max_size=60))
def test_token_bucket_never_grants_more_than_rate_and_burst(steps: list[tuple[float, float, float]]) -> None:
    store, now, granted = TokenBucket(10.0, 20.0), 0.0, 0.0
    for gap, units, more in steps:
        now += gap
        if store.try_take(now, units):
            more = max(more, -units)
            store.settle(now, more)
            granted += units + more
            # Only the last settlement may be beyond what rate and burst allow.
            assert granted <= 20 + now / 100 + max(0.0, more) + 1e-6 or store.level < 0
        assert store.level <= 20
