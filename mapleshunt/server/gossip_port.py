"""The socket for gossip between gateways: when it is opened, and where its messages go."""

from __future__ import annotations

import asyncio
import math

from ..net import log
from ..net.config import Config
from ..net.counters import Counters
from ..net.gossip_transport import GossipTransport
from ..net.policy_driver import PolicyDriver
from ..policy import GossipReceived

RETRY_INTERVAL_S = 0.1  # between attempts to bind the address


class GossipPort:
    """Opens the gossip socket if the configuration asks for it, and passes messages to the policy."""

    def __init__(self, driver: PolicyDriver, counters: Counters, shared: bool) -> None:
        """Start without a socket; with `shared`, other processes of this gateway may have the address too."""
        self._driver = driver
        self._counters = counters
        self._shared = shared
        self._transport: GossipTransport | None = None
        self._last_attempt_at = -math.inf  # s, on the loop's clock

    def open(self, config: Config) -> None:
        """Open the socket and exchange messages with other gateways, if the configuration asks for it.

        Raises:
            OSError: the address cannot be bound.
        """
        if config.gossip_address is None or config.gossip_broadcast_address is None:
            return
        self._transport = GossipTransport(
            config.gossip_address,
            config.gossip_peers,
            config.gossip_broadcast_address,
            self._receive,
            self._counters,
            self._shared,
        )
        self._driver.send_gossip = self._transport.send

    def retry_open(self, config: Config) -> None:
        """Open the socket if it is not open; at most one attempt is made per `RETRY_INTERVAL_S`.

        An older process whose version does not share the address may hold it until it ends.
        """
        if self._transport is not None or config.gossip_address is None:
            return
        now = asyncio.get_running_loop().time()
        if now - self._last_attempt_at < RETRY_INTERVAL_S:
            return
        self._last_attempt_at = now
        try:
            self.open(config)
        except OSError as error:
            log.log_event("peers_not_heard", why=error)

    def _receive(self, peer: int, text: str) -> None:
        self._driver.apply_event(GossipReceived(peer, text))

    def close(self) -> None:
        """Close the socket, if it is open."""
        if self._transport is not None:
            self._transport.close()
