"""Grants of a quota's owner."""

from __future__ import annotations

from mapleshunt import (
    GossipReceived,
    RejectRequest,
)
from mapleshunt.policy.gossip_codec import (
    EntryKind,
    GossipEntry,
    encode,
    tag_of,
)

from ..conftest import Driver
from .helpers import customer_owned_by, entries_after_message, first_ask, sent_entries


def test_owner_under_a_ceiling_grants_from_its_part_only() -> None:
    driver, name = Driver(gateway_count=2, gossip_enabled=True), customer_owned_by(0)
    code = driver.gateway.customers.plan_names.index("hard")
    driver.advance(60000)
    kinds = []
    for number in range(30):
        entry = GossipEntry(EntryKind.ASK, tag_of(name), number, 1.0, 1.0, code)
        kinds += [
            sent.kind for _, sent in sent_entries(driver.handle(GossipReceived(1, encode(0.1, [entry]))))
        ]
    kinds += [sent.kind for _, sent in sent_entries(driver.advance(200))]
    assert kinds.count(EntryKind.GRANTED) <= 10 and kinds.count(EntryKind.DENIED) >= 18


def ask_owner(
    driver: Driver, kind: str, number: int, units: float, bucket_left: float = 1.0
) -> list[tuple[int, GossipEntry]]:
    entry = GossipEntry(
        EntryKind(kind),
        tag_of(customer_owned_by(0)),
        number,
        units,
        bucket_left,
        driver.gateway.customers.plan_names.index("thin"),
    )
    return sent_entries(driver.handle(GossipReceived(1, encode(0.1, [entry]))) + driver.advance(200))


def test_owner_grants_what_the_bucket_holds_and_no_more() -> None:
    driver = Driver(gateway_count=2, gossip_enabled=True)
    assert [ask_owner(driver, "ask", number, 1)[0][1].kind for number in range(6)].count(
        EntryKind.GRANTED
    ) in (4, 5)
    assert [
        type(action)
        for action in driver.request(plan="thin", customer=customer_owned_by(0), gateway_set_size=2)
    ] == [RejectRequest]


def test_owner_charges_reported_use_and_credits_returned_units() -> None:
    driver = Driver(gateway_count=2, gossip_enabled=True)
    ask_owner(driver, "note", 0, 4)
    assert ask_owner(driver, "ask", 1, 2)[0][1].kind == "denied"
    ask_owner(driver, "note", 0, -2)
    assert ask_owner(driver, "ask", 2, 2)[0][1].kind == "granted"


def test_restarted_owner_uses_the_view_of_its_members() -> None:
    driver = Driver(gateway_count=2, gossip_enabled=True)
    assert ask_owner(driver, "ask", 1, 2, bucket_left=0.1)[0][1].kind == "denied"


def test_lost_grant_is_repeated_and_charged_once() -> None:
    # With 40 gateways one message in seven was lost: the owner charged again, or the backup granted too.
    member, owner = (
        Driver(gateway_count=3, gossip_enabled=True, max_request_units=8, gateway_index=gateway_index)
        for gateway_index in (0, 1)
    )
    ask, entry = first_ask(member)
    levels = []
    for _ in range(2):
        assert [
            reply.kind
            for reply in entries_after_message(owner, 0, ask.data)
            if reply.request_number == entry.request_number
        ] == ["granted"]
        levels.append(owner.gateway.customers.by_tag[entry.customer_tag].bucket.level)
    assert levels[1] >= levels[0]
