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
            name: streams.generator("network", number)
            for number, name in enumerate(("till", "client", "peer", "loss"))
        }

        def path(name: str, mean: float) -> BufferedDraws:
            rng = rngs[name]
            return BufferedDraws(lambda n: mean * (1 - jitter + rng.exponential(jitter, n)))

        self.backend_delay = path("till", figures["same_ms"])
        self.client_delay = path("client", figures["client_ms"])
        self.peer_delay = path("peer", figures["peer_ms"])
        self.loss_draws = BufferedDraws(lambda n: rngs["loss"].random(n))
        self.loss_rate = figures["peer_loss"]
        self.partition: frozenset[int] = frozenset()  # gateways that messages of the others do not reach

    def peer_message_delay(self, sender: int, receiver: int) -> float | None:
        """The delay of a message between gateways; None if it is lost."""
        if self.loss_draws.next() < self.loss_rate or (sender in self.partition) != (
            receiver in self.partition
        ):
            return None
        return self.peer_delay.next()


class MessageRateLimiter:
    """How many messages a gateway takes in: over `per_s` in a second the rest are dropped."""

    __slots__ = ("burst", "per_ms", "refilled_at", "tokens")

    def __init__(self, per_s: float) -> None:
        self.per_ms, self.burst = per_s / MS_PER_SECOND, max(1.0, per_s / 4)
        self.tokens, self.refilled_at = self.burst, 0.0

    def try_acquire(self, now: float) -> bool:
        self.tokens, self.refilled_at = (
            min(self.burst, self.tokens + self.per_ms * (now - self.refilled_at)),
            now,
        )
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
