"""Discovery: the endpoint list, and when gateways receive its changes (late, in order, complete)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from .parameters import Parameters
from .random_streams import Rng

EndpointState = Literal["ready", "draining", "gone"]


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """One endpoint of the list. `started_at` is in ms; 0 if it started before the run."""

    endpoint: int
    cell: int
    state: EndpointState = "ready"
    started_at: float = 0.0


class Discovery:
    """The endpoint list and the delivery times of its changes. Times are in ms."""

    def __init__(self, parameters: Parameters, rng: Rng) -> None:
        self.parameters = parameters
        self.rng = rng
        self.entries: dict[int, EndpointEntry] = {}
        self.last_delivery: dict[int, float] = {}  # by gateway; deliveries to one keep their order

    def apply_change(
        self, now: float, entry: EndpointEntry, gateways: int, silent: bool = False
    ) -> list[tuple[float, int]]:
        """Apply a change and return (time of delivery, gateway) for each gateway.

        Starts, ends and ends of unresponsive machines (`silent`) are noticed after delays of their own.
        """
        self.entries[entry.endpoint] = entry
        noticed_at = now + self._notice_delay(entry, silent)
        deliveries = []
        for gateway in range(gateways):
            spread = float(self.rng.exponential(self.parameters["list_spread_ms"]))
            at = max(noticed_at + spread, self.last_delivery.get(gateway, 0.0))
            self.last_delivery[gateway] = at
            deliveries.append((at, gateway))
        return deliveries

    def _notice_delay(self, entry: EndpointEntry, silent: bool) -> float:
        if silent:
            return self.parameters["silent_notice_ms"]
        if entry.state == "ready" and entry.started_at:
            return self.parameters["add_ms"]
        if entry.state == "draining":
            return 0.0  # the operator announces it
        return self.parameters["notice_ms"]
