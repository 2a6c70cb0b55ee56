"""Messages from peers."""

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


def test_malformed_message_is_ignored() -> None:
    driver = Driver(gateway_count=2, gossip_enabled=True)
    ratio = driver.gateway.latency.ratio
    message = encode(2.0, [GossipEntry(EntryKind.NOTE, tag_of("c"), 0, 4.0)], [(endpoint_tag(1), 2.0)])
    for malformed in ("", "x", message[:-1], message[:-1] + "!", "é" + message[1:], message[1:] + message[0]):
        driver.handle(GossipReceived(1, malformed))
    assert driver.gateway.latency.ratio == ratio and not driver.gateway.customers.by_tag
    driver.handle(GossipReceived(1, message))
    assert driver.gateway.latency.ratio > ratio and driver.gateway.customers.by_tag
