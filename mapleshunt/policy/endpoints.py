"""The endpoints of the endpoint list, with what this gateway knows about each."""

from __future__ import annotations

from dataclasses import dataclass, field

from .events import EndpointInfo, EndpointUpdate
from .gossip_codec import endpoint_tag
from .token_bucket import TokenBucket


@dataclass(slots=True, eq=False)
class Endpoint:
    """An endpoint and what this gateway knows about it.

    Attributes:
        info: Its entry in the endpoint list.
        up_since: When it started, ms on this host's clock; 0 for long ago.
        last_answer_at: When it last answered this gateway or a peer.
        latency_ratio: Mean ratio of latency to the class's objective.
        allowance: Attempts that it may be sent while it is warming up.
        in_flight: When each attempt in flight was sent, by request id and attempt number.
        silence_check_pending: A timer is set to check whether it is silent.
        connection_failures: Connections that broke or could not be made since it last answered this gateway.
        ejections: Ejections since its last answer.
        suspecting_peers: Peers that have reported it silent since its last answer.
        ejected_until: When its ejection ends; it gets no attempts before then.
        started: Its start time in the endpoint list, which tells one start from another.
    """

    info: EndpointInfo
    up_since: float
    last_answer_at: float
    latency_ratio: float
    allowance: TokenBucket
    in_flight: dict[tuple[int, int], float] = field(default_factory=dict)
    silence_check_pending: bool = False
    connection_failures: int = 0
    ejections: int = 0
    suspecting_peers: set[int] = field(default_factory=set)
    ejected_until: float = 0.0
    started: float = 0.0

    def unanswered_wait(self, now: float) -> float:
        """Return the summed wait of its attempts in flight, ms, each since its start or the last answer."""
        answered = self.last_answer_at
        return sum([now - max(sent, answered) for sent in self.in_flight.values()])


class EndpointTable:
    """All listed endpoints, and those that are gone but have attempts in flight.

    Attributes:
        by_number: Endpoints by number.
        by_tag: Endpoints by their tag in gossip messages.
        ready: Endpoints that take new attempts, in the order in which their numbers first appeared.
    """

    __slots__ = ("by_number", "by_tag", "ready")

    def __init__(self) -> None:
        self.by_number: dict[int, Endpoint] = {}
        self.by_tag: dict[int, Endpoint] = {}
        self.ready: list[Endpoint] = []

    def merge(self, update: EndpointUpdate) -> list[EndpointInfo]:
        """Apply an update to the entries, and return the endpoints that are new or have restarted."""
        listed = {info.endpoint for info in update.endpoints}
        started = []
        for number, endpoint in self.by_number.items():
            if update.kind != "partial" and number not in listed:
                known = endpoint.info
                endpoint.info = EndpointInfo(number, known.zone, known.cell, "gone")
        for info in update.endpoints:
            current = self.by_number.get(info.endpoint)
            if current is None or (info.started and info.started != current.started):
                started.append(info)
            else:
                current.info = info
        return started

    def add(self, endpoint: Endpoint) -> None:
        """Add an endpoint that is new or has restarted; attempts sent before a restart stay in flight."""
        number = endpoint.info.endpoint
        if number in self.by_number:
            endpoint.in_flight = self.by_number[number].in_flight
        self.by_number[number] = self.by_tag[endpoint_tag(number)] = endpoint

    def refresh_ready(self) -> None:
        """Rebuild `ready` from the entries."""
        self.ready = [endpoint for endpoint in self.by_number.values() if endpoint.info.state == "ready"]

    def gone_with_attempts(self) -> list[Endpoint]:
        """Return the endpoints that are gone but have attempts in flight."""
        return [
            endpoint
            for endpoint in self.by_number.values()
            if endpoint.info.state == "gone" and endpoint.in_flight
        ]

    def remove_gone(self) -> None:
        """Remove endpoints that are gone with nothing in flight; new ones replace them all day."""
        for number, endpoint in list(self.by_number.items()):
            if endpoint.info.state == "gone" and not endpoint.in_flight:
                del self.by_number[number]
                if self.by_tag.get(endpoint_tag(number)) is endpoint:
                    del self.by_tag[endpoint_tag(number)]
