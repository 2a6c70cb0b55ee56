"""Handling of messages from other gateways."""

from __future__ import annotations

from .customers import CustomerTable
from .endpoints import EndpointTable
from .events import GossipReceived
from .gossip_codec import SILENT, EntryKind, GossipEntry, decode
from .latency import LatencyEstimates
from .outlier_detection import OutlierDetector
from .quota_check import QuotaCheck
from .quota_owner import QuotaOwner
from .settings import Settings

# Kinds of entries that go to a quota's owner; the others come from it.
FOR_OWNER = (EntryKind.ASK, EntryKind.NOTE, EntryKind.USED)


class GossipReceiver:
    """Passes the entries of messages to the components that handle them."""

    __slots__ = (
        "_customers",
        "_endpoints",
        "_latency",
        "_outliers",
        "_quota_check",
        "_quota_owner",
        "_settings",
    )

    def __init__(
        self,
        settings: Settings,
        customers: CustomerTable,
        endpoints: EndpointTable,
        latency: LatencyEstimates,
        outliers: OutlierDetector,
        quota_check: QuotaCheck,
        quota_owner: QuotaOwner,
    ) -> None:
        self._settings, self._customers, self._endpoints = settings, customers, endpoints
        self._latency, self._outliers = latency, outliers
        self._quota_check, self._quota_owner = quota_check, quota_owner

    def receive(self, event: GossipReceived, now: float) -> None:
        """Handle a message; one that is malformed or from an unknown gateway is ignored."""
        message = decode(event.data)
        if message is None or not 0 <= event.sender < self._settings.gateway_count:
            return
        self._quota_check.silent_since.pop(event.sender, None)
        for tag, ratio in message.endpoint_ratios:
            self._handle_ratio(tag, ratio, event.sender, now)
        for entry in message.entries:
            self._handle_entry(entry, event.sender, now)

    def _handle_ratio(self, tag: int, ratio: float, sender: int, now: float) -> None:
        endpoint = self._endpoints.by_tag.get(tag)
        if ratio < SILENT:
            self._latency.record_from_peer(ratio)
            if endpoint is not None:
                self._outliers.record_peer_answer(endpoint, now)
        elif endpoint is not None:
            self._outliers.mark_suspect(endpoint, sender, now)

    def _handle_entry(self, entry: GossipEntry, sender: int, now: float) -> None:
        if entry.kind in FOR_OWNER:
            self._quota_owner.handle_member_entry(sender, entry, now)
            return
        customer = self._customers.by_tag.get(entry.customer_tag)
        if customer is None or not customer.quota_owners:
            return
        if customer.quota_owners[0] != self._settings.gateway_index:
            self._quota_check.apply_owner_reply(customer, entry, sender, now)
