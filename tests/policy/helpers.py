"""What the tests of the decisions share."""

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
    return [a for a in actions if isinstance(a, StartAttempt)]


def customer_owned_by(owner: int, spread: int = 2) -> str:
    """A customer whose owner is that member of a set that begins at gateway 0."""
    return next(f"c{n}" for n in range(999) if tag_of(f"c{n}") % spread == owner)


def sent_entries(actions: list) -> list[tuple[int, GossipEntry]]:  # type: ignore[type-arg]
    told = [(a.peer, decode(a.data)) for a in actions if isinstance(a, SendGossip)]
    return [(peer, line) for peer, report in told if report for line in report.entries]


def reply_as_owner(driver: Driver, line: GossipEntry, kind: str, left: float = 1.0, use: float = 0.0) -> list:  # type: ignore[type-arg]
    reply = GossipEntry(EntryKind(kind), line.customer_tag, line.request_number, 0.0, left, encode_use(use))
    return driver.handle(GossipReceived(1, encode(0.1, [reply])))


ONE = "00000000000000c1"


def member(me: int = 7, plan: str = "thin", **changes: Any) -> tuple[Driver, Customer]:
    """One of 200 gateways that has met a request of a customer whose set is wide, and what it holds of it."""
    driver = Driver(gateway_count=200, gateway_index=me, gossip_enabled=True, **changes)
    driver.request(plan=plan, customer=ONE, gateway_set_size=150)
    return driver, driver.gateway.customers.by_tag[tag_of(ONE)]


def send_uncertain_request(driver: Driver, number: int) -> list[SendGossip]:
    """A request whose customer's bucket the gateway does not know well enough; the asks it leads to."""
    got = driver.request(plan="thin", customer=f"c{number}", gateway_set_size=3, units=3)
    return [
        one
        for one in [*got, *driver.advance(30)]
        if isinstance(one, SendGossip) and "ask" in entry_kinds(one)
    ]


def entry_kinds(tell: SendGossip) -> list[str]:
    report = decode(tell.data)
    return [line.kind for line in report.entries] if report else []


def first_ask(driver: Driver) -> tuple[SendGossip, GossipEntry]:
    """The ask, and its line, that a request led to whose customer's owner is another gateway."""
    for number in range(60):
        if asks := send_uncertain_request(driver, number):
            return asks[0], next(one for one in entries_of([asks[0]]) if one.kind == "ask")
    raise AssertionError("every customer's owner is this gateway")


def entries_of(actions: list) -> list[GossipEntry]:  # type: ignore[type-arg]
    reports = [decode(one.data) for one in actions if isinstance(one, SendGossip)]
    return [line for report in reports if report for line in report.entries]


def entries_after_message(driver: Driver, peer: int, data: str) -> list[GossipEntry]:
    """What a peer's message leads to being told."""
    return entries_of([*driver.handle(GossipReceived(peer, data)), *driver.advance(200)])
