"""The network between machines: delays with jitter, message loss, and a limit on received messages."""

from __future__ import annotations

from .parameters import Parameters
from .random_streams import BufferedDraws, RandomStreams

MS_PER_SECOND = 1000.0
# The positions are the numbers of the random streams of each kind of path.
STREAM_NAMES = ("backend", "client", "peer", "loss")
BURST_SECONDS = 0.25  # seconds of a limiter's rate that it accepts at once


class Network:
    """One-way delays in ms. Every kind of path draws from a stream of its own."""

    def __init__(self, parameters: Parameters, streams: RandomStreams) -> None:
        jitter = parameters["jitter"]
        rngs = {name: streams.generator("network", number) for number, name in enumerate(STREAM_NAMES)}

        def path(name: str, mean: float) -> BufferedDraws:
            rng = rngs[name]
            return BufferedDraws(lambda count: mean * (1 - jitter + rng.exponential(jitter, count)))

        self.backend_delay = path("backend", parameters["same_ms"])
        self.client_delay = path("client", parameters["client_ms"])
        self.peer_delay = path("peer", parameters["peer_ms"])
        self.loss_draws = BufferedDraws(lambda count: rngs["loss"].random(count))
        self.loss_rate = parameters["peer_loss"]
        self.partition: frozenset[int] = frozenset()  # gateways cut off from the others

    def peer_message_delay(self, sender: int, receiver: int) -> float | None:
        """Return the delay of a message between gateways, or None if it is lost."""
        lost = self.loss_draws.next() < self.loss_rate
        if lost or (sender in self.partition) != (receiver in self.partition):
            return None
        return self.peer_delay.next()


class MessageRateLimiter:
    """A token bucket over messages that a gateway receives; those beyond it are dropped."""

    __slots__ = ("burst", "per_ms", "refilled_at", "tokens")

    def __init__(self, per_s: float) -> None:
        self.per_ms = per_s / MS_PER_SECOND
        self.burst = max(1.0, per_s * BURST_SECONDS)
        self.tokens = self.burst
        self.refilled_at = 0.0

    def try_acquire(self, now: float) -> bool:
        """Return whether a message that arrives at `now` (ms) is received."""
        self.tokens = min(self.burst, self.tokens + self.per_ms * (now - self.refilled_at))
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
