"""Discovery: the list of till servers, and the news of it that each gateway gets late, in order and whole."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from .parameters import Parameters
from .random_streams import Rng

EndpointState = Literal["ready", "draining", "gone"]


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """A row of the list, in the world's words."""

    server: int
    cell: int
    state: EndpointState = "ready"
    started_at: float = 0.0


class Discovery:
    """What discovery knows, and when each gateway is told. Times in ms."""

    def __init__(self, figures: Parameters, rng: Rng) -> None:
        self.parameters, self.rng = figures, rng
        self.entries: dict[int, EndpointEntry] = {}
        self.last_delivery: dict[
            int, float
        ] = {}  # until when news to a gateway are on their way: they keep their order

    def apply_change(
        self, now: float, entry: EndpointEntry, gateways: int, silent: bool = False
    ) -> list[tuple[float, int]]:
        """Take in a change; (when, gateway) for each that is told of it.

        A start is noticed soon, an end later, and that of a machine which says nothing later still.
        """
        self.entries[entry.server] = entry
        f = self.parameters
        if silent:
            notice = f["silent_notice_ms"]
        elif entry.state == "ready" and entry.started_at:
            notice = f["add_ms"]
        elif entry.state == "draining":
            notice = 0.0  # its operator says so
        else:
            notice = f["notice_ms"]
        news = []
        for gateway in range(gateways):
            at = max(
                now + notice + float(self.rng.exponential(f["list_spread_ms"])),
                self.last_delivery.get(gateway, 0.0),
            )
            self.last_delivery[gateway] = at
            news.append((at, gateway))
        return news
