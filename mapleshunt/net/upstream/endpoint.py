"""An endpoint as listed by discovery."""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from ...policy import EndpointState
from ..config import Address


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One backend in the endpoint list."""

    id: str
    address: Address
    zone: str
    cell: int
    state: EndpointState
    started_at_ms: float  # Unix time; 0 counts as long ago

    @property
    def number(self) -> int:
        """Return the endpoint's number in gossip: made from the id alone, it is the same at all gateways."""
        return zlib.crc32(self.id.encode())

    def is_same_process(self, other: Endpoint) -> bool:
        """Return whether both are the same process: same address and same start."""
        return self.address == other.address and self.started_at_ms == other.started_at_ms
