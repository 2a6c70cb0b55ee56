"""Messages of peers."""

from __future__ import annotations

from mapleshunt import (
    GossipReceived,
)
from mapleshunt.policy.gossip_codec import (
    EntryKind,
    GossipEntry,
    encode,
    endpoint_tag,
    tag_of,
)

from ..conftest import Driver


def test_garbled_message_changes_nothing() -> None:
    driver = Driver(gateway_count=2, gossip_enabled=True)
    pace = driver.gateway.latency.ratio
    good = encode(2.0, [GossipEntry(EntryKind.NOTE, tag_of("c"), 0, 4.0)], [(endpoint_tag(1), 2.0)])
    for bad in ("", "x", good[:-1], good[:-1] + "!", "é" + good[1:], good[1:] + good[0]):
        driver.handle(GossipReceived(1, bad))
    assert driver.gateway.latency.ratio == pace and not driver.gateway.customers.by_tag
    driver.handle(GossipReceived(1, good))
    assert driver.gateway.latency.ratio > pace and driver.gateway.customers.by_tag
