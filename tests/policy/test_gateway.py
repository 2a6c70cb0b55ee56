"""The gateway as a whole."""

from __future__ import annotations

from operator import attrgetter

from mapleshunt import (
    GossipReceived,
)
from mapleshunt.policy.gossip_codec import (
    SILENT,
    EntryKind,
    GossipEntry,
    encode,
    endpoint_tag,
    tag_of,
)

from ..conftest import Driver
from .helpers import started_attempts


def test_same_events_give_the_same_actions() -> None:
    def recorded_actions() -> list[object]:
        driver = Driver(gateway_count=2, gossip_enabled=True)
        for number in range(200):
            for started in started_attempts(driver.request(customer=f"c{number % 7}", gateway_set_size=2)):
                driver.advance(5)
                driver.end_attempt(started)
        return list(driver.actions)

    assert recorded_actions() == recorded_actions()


def test_tables_stay_bounded_in_forty_minutes_of_new_customers_and_messages() -> None:
    # Customers of a plan without a rate that are known from gossip were never evicted: 5,240 at the end.
    driver = Driver(gateway_count=200, gateway_index=7, gossip_enabled=True)
    gateway, sizes = driver.gateway, []
    tables = (
        "customers.by_tag",
        "requests.open",
        "requests.awaiting_owner",
        "gossip.outbox",
        "timers",
        "quota_check.silent_since",
    )
    for number in range(4000):
        customer, sender = f"{number:016x}", number % 200
        for started in started_attempts(
            driver.request(plan="thin", customer=customer, gateway_set_size=150, remaining_time=1500)
        ):
            driver.end_attempt(started)
        entries = [
            GossipEntry(EntryKind.ASK, tag_of(f"other {number}"), number % 999, 1.0, 1.0, 1),
            GossipEntry(EntryKind.GRANTED, 5, number, 0.0, 1.0, 0),
        ]
        driver.handle(GossipReceived(sender, encode(0.1, entries, [(endpoint_tag(number % 4), SILENT)])))
        driver.advance(600)
        sizes.append([len(attrgetter(table)(gateway)) for table in tables])
        assert len(gateway.quota_check.asked_units) <= 512 and len(gateway.quota_owner.granted_units) <= 512
        assert all(len(endpoint.suspecting_peers) <= 200 for endpoint in gateway.endpoints.by_number.values())
    assert max(max(table_sizes) for table_sizes in sizes[:2000]) * 1.2 >= max(
        max(table_sizes) for table_sizes in sizes[2000:]
    )
    assert max(sizes[-1]) < 400
