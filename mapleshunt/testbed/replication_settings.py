"""The sections of an operators' file that switch replication on in the gateways of a test fleet."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from .ports import HOST

DEFAULT_REPLACE_AFTER_S = 600.0  # longer than any run: only tests that set it replace replicas


@dataclass(frozen=True)
class PeerAddress:
    """Where a gateway connects to the replication port of a peer; each gateway is a zone of its own."""

    name: str
    port: int

    def render(self) -> str:
        """Return the peer's entry of the operators' file."""
        return f'(peer (name "{self.name}") (address "{HOST}:{self.port}") (zone "{self.name}"))'


@dataclass
class ReplicationSettings:
    """How the gateways of a fleet replicate; changes take effect when a gateway next starts."""

    fleet: str
    groups: int = 1
    replicas: int = 3  # of each group
    lease: bool = True  # gateways lease units for the requests of their own clients
    election_ms: float = 400.0
    replace_after_s: float = DEFAULT_REPLACE_AFTER_S
    settle_after_s: float = DEFAULT_REPLACE_AFTER_S
    more_sections: str = ""  # of the operators' file, besides that of replication

    def render(self, store: Path, peers: Iterable[PeerAddress]) -> str:
        """Return the operators' file of a gateway with that store folder."""
        peer_entries = " ".join(peer.render() for peer in peers)
        return (
            f'(copies (fleet "{self.fleet}") (folder "{store}") (groups {self.groups})'
            f" (size {self.replicas}) (lease {'true' if self.lease else 'false'})"
            f" (election-ms {self.election_ms}) (replace-after-s {self.replace_after_s})"
            f" (settle-after-s {self.settle_after_s}) {peer_entries})\n{self.more_sections}\n"
        )
