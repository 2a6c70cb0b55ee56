"""Helpers of the tests of the decisions."""

from __future__ import annotations

from typing import Any

from mapleshunt import (
    GossipReceived,
    SendGossip,
    StartAttempt,
)
from mapleshunt.policy.customers import Customer
from mapleshunt.policy.gossip_codec import (
    EntryKind,
    GossipEntry,
    decode,
    encode,
    encode_use,
    tag_of,
)

from ..conftest import Driver


def started_attempts(actions: list) -> list[StartAttempt]:  # type: ignore[type-arg]
    return [action for action in actions if isinstance(action, StartAttempt)]


def customer_owned_by(owner: int, set_size: int = 2) -> str:
    """Return a customer whose quota's primary owner is that member of a set that begins at gateway 0."""
    return next(f"c{number}" for number in range(999) if tag_of(f"c{number}") % set_size == owner)


def sent_entries(actions: list) -> list[tuple[int, GossipEntry]]:  # type: ignore[type-arg]
    messages = [(action.peer, decode(action.data)) for action in actions if isinstance(action, SendGossip)]
    return [(peer, entry) for peer, message in messages if message for entry in message.entries]


def reply_as_owner(
    driver: Driver, request: GossipEntry, kind: str, bucket_left: float = 1.0, recent_use: float = 0.0
) -> list:  # type: ignore[type-arg]
    reply = GossipEntry(
        EntryKind(kind),
        request.customer_tag,
        request.request_number,
        0.0,
        bucket_left,
        encode_use(recent_use),
    )
    return driver.handle(GossipReceived(1, encode(0.1, [reply])))


CUSTOMER_NAME = "00000000000000c1"


def member_gateway(gateway_index: int = 7, plan: str = "thin", **changes: Any) -> tuple[Driver, Customer]:
    """Return one of 200 gateways after a request of a customer with a large set, and the customer."""
    driver = Driver(gateway_count=200, gateway_index=gateway_index, gossip_enabled=True, **changes)
    driver.request(plan=plan, customer=CUSTOMER_NAME, gateway_set_size=150)
    return driver, driver.gateway.customers.by_tag[tag_of(CUSTOMER_NAME)]


def send_uncertain_request(driver: Driver, number: int) -> list[SendGossip]:
    """Send a request that this gateway cannot decide alone; return the messages that ask for its units."""
    actions = driver.request(plan="thin", customer=f"c{number}", gateway_set_size=3, units=3)
    return [
        action
        for action in [*actions, *driver.advance(30)]
        if isinstance(action, SendGossip) and "ask" in entry_kinds(action)
    ]


def entry_kinds(sent: SendGossip) -> list[str]:
    message = decode(sent.data)
    return [entry.kind for entry in message.entries] if message else []


def first_ask(driver: Driver) -> tuple[SendGossip, GossipEntry]:
    """Return the first message that asks another gateway for units, and its entry."""
    for number in range(60):
        if sent := send_uncertain_request(driver, number):
            return sent[0], next(entry for entry in entries_of([sent[0]]) if entry.kind == "ask")
    raise AssertionError("expected a message that asks another gateway, got none for 60 customers")


def entries_of(actions: list) -> list[GossipEntry]:  # type: ignore[type-arg]
    messages = [decode(action.data) for action in actions if isinstance(action, SendGossip)]
    return [entry for message in messages if message for entry in message.entries]


def entries_after_message(driver: Driver, peer: int, data: str) -> list[GossipEntry]:
    """Return the entries that are sent after a peer's message."""
    return entries_of([*driver.handle(GossipReceived(peer, data)), *driver.advance(200)])
