"""What lies between the machines: delays with jitter, and messages that are lost or not taken in."""

from __future__ import annotations

from .parameters import Parameters
from .random_streams import BufferedDraws, RandomStreams

MS_PER_SECOND = 1000.0


class Network:
    """Delays, one way, in ms. Every kind of path draws from a stream of its own."""

    def __init__(self, figures: Parameters, streams: RandomStreams) -> None:
        jitter = figures["jitter"]
        rngs = {
            name: streams.of("network", number)
            for number, name in enumerate(("till", "client", "peer", "loss"))
        }

        def path(name: str, mean: float) -> BufferedDraws:
            rng = rngs[name]
            return BufferedDraws(lambda n: mean * (1 - jitter + rng.exponential(jitter, n)))

        self.till = path("till", figures["same_ms"])
        self.client = path("client", figures["client_ms"])
        self.peer = path("peer", figures["peer_ms"])
        self.lost = BufferedDraws(lambda n: rngs["loss"].random(n))
        self.loss = figures["peer_loss"]
        self.split: frozenset[int] = frozenset()  # gateways that messages of the others do not reach

    def message(self, sender: int, receiver: int) -> float | None:
        """The delay of a message between gateways; None if it is lost."""
        if self.lost.next() < self.loss or (sender in self.split) != (receiver in self.split):
            return None
        return self.peer.next()


class MessageRateLimiter:
    """How many messages a gateway takes in: over `per_s` in a second the rest are dropped."""

    __slots__ = ("at", "left", "most", "per_ms")

    def __init__(self, per_s: float) -> None:
        self.per_ms, self.most = per_s / MS_PER_SECOND, max(1.0, per_s / 4)
        self.left, self.at = self.most, 0.0

    def take(self, now: float) -> bool:
        self.left, self.at = min(self.most, self.left + self.per_ms * (now - self.at)), now
        if self.left < 1:
            return False
        self.left -= 1
        return True
