"""Ejection of endpoints."""

from __future__ import annotations

from mapleshunt import (
    CancelAttempt,
    GossipReceived,
    SendGossip,
    StartAttempt,
)
from mapleshunt.policy.gossip_codec import (
    SILENT,
    decode,
    encode,
    endpoint_tag,
)

from ..conftest import Driver
from .helpers import started_attempts


def test_full_endpoint_gets_no_attempts_for_a_while(driver: Driver) -> None:
    (attempt,) = started_attempts(driver.request())
    driver.end_attempt(attempt, "full")
    assert attempt.endpoint not in {
        later.endpoint for _ in range(6) for later in started_attempts(driver.request())
    }


def test_silent_endpoint_is_ejected_and_safe_requests_are_migrated() -> None:
    driver = Driver(endpoints=2)
    (attempt,) = started_attempts(driver.request())
    actions = driver.advance(830)
    assert CancelAttempt(attempt.request_id, 0) in actions
    (second,) = started_attempts(driver.end_attempt(attempt, "cancelled"))
    assert second.endpoint != attempt.endpoint


def test_unsafe_request_at_a_silent_endpoint_is_not_migrated() -> None:
    driver = Driver(endpoints=2)
    driver.request("bind", remaining_time=4000)
    assert [action for action in driver.advance(2000) if not isinstance(action, SendGossip)] == []


def test_ejection_never_leaves_no_endpoint(driver: Driver) -> None:
    for _ in range(12):
        for attempt in started_attempts(driver.request("bind")):
            driver.end_attempt(attempt, "unreachable")
    assert started_attempts(driver.request("bind"))


def test_slow_endpoint_is_ejected_until_its_queue_has_drained() -> None:
    """Incidents id7b97c, i48f81b: an overloaded endpoint stays slow until it gets no more attempts."""
    driver = Driver(endpoints=2)
    endpoint = driver.gateway.endpoints.by_number[1]
    for latency in [50] * 30 + [900] * 30:
        (attempt,) = started_attempts(driver.request())
        driver.end_attempt(attempt, latency=latency)
    ejected = {
        number
        for number, entry in driver.gateway.endpoints.by_number.items()
        if entry.ejected_until > driver.now
    }
    assert len(ejected) == 1
    assert ejected.isdisjoint(
        later.endpoint for _ in range(4) for later in started_attempts(driver.request())
    )
    assert endpoint.in_flight or 1 in ejected


def test_silent_endpoint_is_reported_to_all_and_ejected_on_reports_of_several_peers() -> None:
    sender, receiver = (Driver(endpoints=2, gateway_count=300, gossip_enabled=True) for _ in range(2))
    for driver in (sender, receiver):
        driver.advance(30000)
    (attempt,) = started_attempts(sender.request("bind"))
    sent = [action for action in sender.advance(900) if isinstance(action, SendGossip)]
    assert [(message.peer, decode(message.data).endpoint_ratios) for message in sent] == [  # type: ignore[union-attr]
        (-1, ((attempt.endpoint, SILENT),))
    ]
    # A single report must not eject: in a calm run of 200 gateways, 146 slow attempts led to 11,326
    # ejections.
    for peer in (1, 1, 1, 2):
        receiver.handle(GossipReceived(peer, sent[0].data))
        assert receiver.gateway.endpoints.by_number[attempt.endpoint].ejected_until == 0.0
    receiver.handle(GossipReceived(3, sent[0].data))
    assert {later.endpoint for _ in range(8) for later in started_attempts(receiver.request())} == {
        1 - attempt.endpoint
    }
    receiver.handle(GossipReceived(2, encode(0.1, (), [(endpoint_tag(attempt.endpoint), 0.1)])))
    assert receiver.gateway.endpoints.by_number[attempt.endpoint].ejected_until == 0.0


def test_hundreds_of_gateways_do_not_return_to_a_silent_endpoint_in_step() -> None:
    durations = []
    for seed in range(60):
        driver = Driver(endpoints=2, gateway_count=300)
        driver.gateway.random.seed(seed)
        for _ in range(20):
            driver.end_attempt(started_attempts(driver.request())[0])
        driver.gateway.outliers.eject(driver.gateway.endpoints.by_number[0], driver.now)
        durations.append(driver.gateway.endpoints.by_number[0].ejected_until - driver.now)
    assert max(sum(at <= other < at + 1000 for other in durations) for at in durations) < 12


def test_endpoint_that_each_gateway_sends_to_seldom_is_not_ejected_for_longer() -> None:
    # Guards against 200 gateways that eject each endpoint for 23 s on average, although each of them would
    # have sent to it only once in 30 s.
    driver = Driver(endpoints=200, gateway_count=200)
    for _ in range(60):
        driver.end_attempt(started_attempts(driver.request())[0])
        driver.advance(150)
    durations = []
    for endpoint in list(driver.gateway.endpoints.by_number.values())[:40]:
        driver.gateway.outliers.eject(endpoint, driver.now)
        durations.append(endpoint.ejected_until - driver.now)
    assert sum(durations) / len(durations) < 8000 and min(durations) >= 400


def test_at_most_half_of_the_endpoints_are_ejected(driver: Driver) -> None:
    for endpoint in driver.gateway.endpoints.by_number.values():
        if driver.gateway.outliers.may_eject(endpoint, driver.now):
            endpoint.ejected_until = driver.now + 500
    assert sum(entry.ejected_until > driver.now for entry in driver.gateway.endpoints.by_number.values()) == 2


def test_one_broken_connection_does_not_eject_its_endpoint_and_a_second_does() -> None:
    # Guards against ejecting most of the fleet most of the time where endpoints close single connections.
    driver = Driver(endpoints=2)
    (first,) = started_attempts(driver.request())
    endpoint = driver.gateway.endpoints.by_number[first.endpoint]
    (retry,) = started_attempts(driver.end_attempt(first, "reset"))
    assert not endpoint.ejections and retry.request_id == first.request_id
    driver.end_attempt(StartAttempt(first.request_id, retry.endpoint), "ok", attempt=1)
    while not endpoint.ejections:
        (attempt,) = started_attempts(driver.request())
        if attempt.endpoint == first.endpoint:
            driver.end_attempt(attempt, "unreachable")
        else:
            driver.end_attempt(attempt)
    assert endpoint.connection_failures == 2
