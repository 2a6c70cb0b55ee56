"""The number and size of messages to peers."""

from __future__ import annotations

from mapleshunt import (
    SendGossip,
)
from mapleshunt.policy.gossip_codec import EntryKind, max_entries

from ..conftest import Driver
from .helpers import started_attempts


def test_messages_fit_the_size_limit_and_go_to_one_peer_each() -> None:
    driver = Driver(gateway_count=300, gossip_enabled=True)
    for number in range(60):
        driver.request(plan="thin", customer=f"c{number}", gateway_set_size=200)
    messages = [action for action in driver.actions if isinstance(action, SendGossip)]
    assert 0 < len(messages) <= 60 and all(
        len(action.data.encode()) <= 256 and action.peer != 0 for action in messages
    )


def test_entries_to_one_peer_are_batched() -> None:
    driver = Driver(gateway_count=2, gossip_enabled=True)
    for number in range(60):
        driver.request(plan="thin", customer=f"c{number}", gateway_set_size=2)
    messages = [action for action in driver.actions + driver.advance(60) if isinstance(action, SendGossip)]
    assert len(messages) <= 8 and all(len(action.data.encode()) <= 256 for action in messages)


def test_gateways_use_nearly_all_of_the_intake_of_their_peers_and_no_more() -> None:
    # With a fifth of the intake unused, gossip about quotas arrived later and more was used beyond them.
    gateway = Driver(gateway_count=4, gossip_enabled=True, gossip_intake_per_s=40).gateway
    assert 0.9 * 40 < 3 * 1000 / gateway.gossip.send_interval < 40


def test_gateway_of_a_large_fleet_sends_no_more_messages_than_its_part_of_the_intake() -> None:
    """Each of 200 gateways sent 28 messages per second where each takes in 12, and two in three were lost.

    Requests that the lost replies would have rejected were admitted at random; the fallback bucket rejects
    them.
    """
    driver, seconds = (
        Driver(
            gateway_count=200,
            gateway_index=7,
            gossip_enabled=True,
            gossip_intake_per_s=12,
            max_request_units=8,
        ),
        10,
    )
    for number in range(40 * seconds):
        driver.request(plan="thin", customer=f"{number % 40:016x}", gateway_set_size=150)
        driver.advance(25)
    message_count = sum(isinstance(action, SendGossip) for action in driver.actions)
    assert 0.8 * 12 * seconds <= message_count <= 12 * seconds + 3
    assert len(started_attempts(driver.actions)) < 40 * seconds / 5


def test_queue_to_a_peer_is_bounded_under_ever_new_customers() -> None:
    driver = Driver(gateway_count=4, gossip_enabled=True)
    gossip = driver.gateway.gossip
    for number in range(8000):  # 4,000 requests a second for 2 s
        driver.request(plan="wide", customer=f"{number:x}", gateway_set_size=4, remaining_time=500)
        if number % 20 == 0:
            driver.advance(5)
        for started in started_attempts(driver.actions):
            driver.end_attempt(started, latency=1.0)
        driver.actions.clear()
    sent_per_s = max_entries(driver.gateway.settings.gossip_message_bytes) * 1000 / gossip.send_interval
    assert max(map(len, gossip.outbox.values())) <= 2 * sent_per_s
    asks = [[entry.kind for entry in entries].count(EntryKind.ASK) for entries in gossip.outbox.values()]
    assert max(asks) <= sent_per_s
