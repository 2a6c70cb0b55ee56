"""The queue of gossip to other gateways, and the send budget of messages."""

from __future__ import annotations

import math

from .actions import Action, SendGossip
from .gossip_codec import EntryKind, GossipEntry, encode, max_entries
from .latency import LatencyEstimates
from .settings import Settings
from .timers import TimerKind, TimerQueue
from .token_bucket import TokenBucket

# Fraction of a gateway's message intake that its senders together use: above it messages would be lost.
INTAKE_PART_USED = 0.95
# Peers assumed to send to one gateway at full rate: in a fleet of hundreds most have little to send.
WRITERS_PER_PEER = 3
# Maximum of the send budget, as ms of sending at full rate.
SEND_BUDGET_MS = 250
# Questions and replies for one peer are queued for this long at most: later they are of no use.
MAX_QUEUE_MS = 1000.0
MIN_INTERVAL_MS = 1.0  # where there is no peer, or they take in more
# Reports of use for one peer may be queued for this many times as long.
REPORTS_FACTOR = 2
REPORTS = (EntryKind.NOTE, EntryKind.USED)
# Peer number that stands for all peers.
ALL_PEERS = -1


class GossipQueue:
    """Entries queued for each peer, and the budget for sending them.

    Attributes:
        outbox: Queued entries, by peer.
        send_interval: Minimum ms between two messages to the same peer.
        send_budget: Messages that may be sent now: needed to ask an owner, taken by each message sent.
        last_sent: When a message was last sent, by peer.
        dropped: Entries that were not queued because too many were.
    """

    __slots__ = (
        "_actions",
        "_last_broadcast",
        "_latency",
        "_max_entries",
        "_max_queued",
        "_settings",
        "_timers",
        "dropped",
        "last_sent",
        "outbox",
        "send_budget",
        "send_interval",
    )

    def __init__(
        self,
        settings: Settings,
        timers: TimerQueue,
        latency: LatencyEstimates,
        actions: list[Action],
        now: float,
    ) -> None:
        self._settings, self._timers, self._latency, self._actions = settings, timers, latency, actions
        rate = INTAKE_PART_USED * settings.gossip_intake_per_s / 1000  # messages per ms
        self.send_interval = min(settings.gateway_count - 1, WRITERS_PER_PEER) / rate
        self.send_budget = TokenBucket(rate, SEND_BUDGET_MS * rate, SEND_BUDGET_MS * rate, now)
        self.outbox: dict[int, list[GossipEntry]] = {}
        self.last_sent: dict[int, float] = {}
        self._last_broadcast = -math.inf
        self._max_entries = max_entries(settings.gossip_message_bytes)
        self._max_queued = self._max_entries * math.ceil(
            MAX_QUEUE_MS / max(self.send_interval, MIN_INTERVAL_MS)
        )
        self.dropped = 0
        timers.on(TimerKind.SEND_GOSSIP, self._flush)

    def queue(self, peer: int, entry: GossipEntry, now: float) -> None:
        """Send an entry at once, or batched with others once the send interval has passed.

        It is dropped if too many wait for that: the protocol tolerates lost messages.
        """
        queued_entries = self.outbox.get(peer)
        if queued_entries is None:
            at = max(now, self.last_sent.get(peer, 0.0) + self.send_interval)
            self._timers.set(at, TimerKind.SEND_GOSSIP, peer)
            self.outbox[peer] = [entry]
        elif self._has_room(queued_entries, entry.kind):
            queued_entries.append(entry)
        else:
            self.dropped += 1

    def _has_room(self, queued_entries: list[GossipEntry], kind: EntryKind) -> bool:
        factor = REPORTS_FACTOR if kind in REPORTS else 1
        return len(queued_entries) < factor * self._max_queued

    def may_ask(self, peer: int) -> bool:
        """Return whether a question to this peer would be queued, and sent while its reply is of use."""
        return self._has_room(self.outbox.get(peer, []), EntryKind.ASK)

    def _flush(self, peer: int, now: float) -> None:
        entries = self.outbox.pop(peer)
        self.last_sent[peer] = now
        self.send_budget.level -= 1
        sent, remaining = entries[: self._max_entries], entries[self._max_entries :]
        data = encode(self._latency.ratio, sent, self._latency.recent_for_gossip(now))
        self._actions.append(SendGossip(peer, data))
        for entry in remaining:
            self.queue(peer, entry, now)

    def publish_health(self, tag: int, ratio: float, now: float) -> None:
        """Broadcast an endpoint's latency ratio, or that it is silent, if the send interval allows."""
        interval = self.send_interval * (self._settings.gateway_count - 1)
        if self._settings.gossip_enabled and now - self._last_broadcast >= interval:
            self._last_broadcast = now
            self._actions.append(SendGossip(ALL_PEERS, encode(self._latency.ratio, (), [(tag, ratio)])))
