"""What maintenance reads of its gateway, and what it lets it do."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Occupancy:
    """What a gateway has to be rid of before its machine is safe to work on."""

    open_requests: int
    client_connections: int
    is_drained: bool  # clients are sent to other gateways


@dataclass(slots=True, frozen=True)
class GatewayControls:
    """The functions of a gateway that maintenance calls."""

    drain: Callable[[], None]
    resume: Callable[[], None]
    occupancy: Callable[[], Occupancy]
    load: Callable[[], float]  # the fraction of its capacity that is in use
