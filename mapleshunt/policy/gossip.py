"""Gossip that waits to be sent to other gateways, and the budget of messages to send."""

from __future__ import annotations

import math

from .actions import Action, SendGossip
from .gossip_codec import GossipEntry, encode, max_entries
from .latency import LatencyEstimates
from .settings import Settings
from .timers import TimerKind, TimerQueue
from .token_bucket import TokenBucket

# Part of a gateway's message intake that those who write to it use together: above it messages would be lost.
INTAKE_PART_USED = 0.95
# Peers that write to one gateway at full rate; of hundreds most have little to send.
WRITERS_PER_PEER = 3
# ms of sending at full rate that the send budget saves up.
SEND_BUDGET_MS = 250
# The peer's number that stands for all of them.
ALL_PEERS = -1


class GossipQueue:
    """What waits to be sent to each peer, and how much may be sent.

    Attributes:
        outbox: Entries that wait, by peer.
        send_interval: ms between two messages to the same peer at least.
        send_budget: Messages that may be sent now; asking an owner takes one, and so does each message sent.
        last_sent: When a message was last sent, by peer.
    """

    __slots__ = (
        "_actions",
        "_last_broadcast",
        "_latency",
        "_max_entries",
        "_settings",
        "_timers",
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
        rate = INTAKE_PART_USED * settings.gossip_intake_per_s / 1000  # messages a ms
        self.send_interval = min(settings.gateway_count - 1, WRITERS_PER_PEER) / rate
        self.send_budget = TokenBucket(rate, SEND_BUDGET_MS * rate, SEND_BUDGET_MS * rate, now)
        self.outbox: dict[int, list[GossipEntry]] = {}
        self.last_sent: dict[int, float] = {}
        self._last_broadcast = -math.inf
        self._max_entries = max_entries(settings.gossip_message_bytes)
        timers.on(TimerKind.SEND_GOSSIP, self._flush)

    def queue(self, peer: int, entry: GossipEntry, now: float) -> None:
        """Send an entry at once, or with what else comes up within the send interval."""
        waiting = self.outbox.get(peer)
        if waiting is None:
            at = max(now, self.last_sent.get(peer, 0.0) + self.send_interval)
            self._timers.set(at, TimerKind.SEND_GOSSIP, peer)
            self.outbox[peer] = [entry]
        else:
            waiting.append(entry)

    def _flush(self, peer: int, now: float) -> None:
        entries = self.outbox.pop(peer)
        self.last_sent[peer] = now
        self.send_budget.level -= 1
        sent, later = entries[: self._max_entries], entries[self._max_entries :]
        data = encode(self._latency.ratio, sent, self._latency.recent_for_gossip(now))
        self._actions.append(SendGossip(peer, data))
        for entry in later:
            self.queue(peer, entry, now)

    def publish_health(self, tag: int, ratio: float, now: float) -> None:
        """Send all peers an endpoint's latency ratio, or that it is silent, if the send interval allows."""
        interval = self.send_interval * (self._settings.gateway_count - 1)
        if self._settings.gossip_enabled and now - self._last_broadcast >= interval:
            self._last_broadcast = now
            self._actions.append(SendGossip(ALL_PEERS, encode(self._latency.ratio, (), [(tag, ratio)])))
