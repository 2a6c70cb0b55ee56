"""The interface through which maintenance reads and controls its gateway."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Occupancy:
    """Requests and connections that must end before a gateway's machine is safe to work on."""

    open_requests: int
    client_connections: int
    is_drained: bool  # the gateway accepts no clients


@dataclass(slots=True, frozen=True)
class GatewayControls:
    """Functions of a gateway that maintenance calls."""

    drain: Callable[[], None]
    resume: Callable[[], None]
    occupancy: Callable[[], Occupancy]
    load: Callable[[], float]  # the fraction of its capacity that is in use
