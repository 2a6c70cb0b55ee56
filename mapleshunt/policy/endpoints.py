"""The endpoints that the endpoint list names, and what this gateway knows of each."""

from __future__ import annotations

from dataclasses import dataclass, field

from .events import EndpointInfo, EndpointUpdate
from .gossip_codec import endpoint_tag
from .token_bucket import TokenBucket


@dataclass(slots=True, eq=False)
class Endpoint:
    """An endpoint, and what this gateway knows of it.

    Attributes:
        info: The endpoint as the list has it.
        up_since: Its start on this host's clock, ms; 0 for long ago.
        last_answer_at: When it answered last, here or a peer.
        latency_ratio: Mean of latency over the class's objective.
        allowance: Attempts that it may be sent now while it is warming up.
        in_flight: When each attempt in flight was sent, by request id and attempt.
        silence_check_pending: A timer looks whether it has fallen silent.
        connection_failures: Connections that broke or could not be made since its last answer.
        ejections: Ejections since its last answer.
        suspecting_peers: Peers that said that it is silent, since its last answer.
        ejected_until: It gets no attempts before then.
        started: Its start as the list has it, which tells one start from another.
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
        """Return the waiting of its attempts in flight, ms, summed since their start or its last answer."""
        answered = self.last_answer_at
        return sum([now - max(sent, answered) for sent in self.in_flight.values()])


class EndpointTable:
    """All endpoints that are listed, or are gone with attempts in flight.

    Attributes:
        by_number: Endpoints by number.
        by_tag: Endpoints by the tag that gossip has for them.
        ready: Endpoints that take new attempts, in the order of their numbers' first appearance.
    """

    __slots__ = ("by_number", "by_tag", "ready")

    def __init__(self) -> None:
        self.by_number: dict[int, Endpoint] = {}
        self.by_tag: dict[int, Endpoint] = {}
        self.ready: list[Endpoint] = []

    def merge(self, update: EndpointUpdate) -> list[EndpointInfo]:
        """Bring the entries up to an update, and return those that are new or have started anew."""
        listed = {info.endpoint for info in update.endpoints}
        started = []
        for number, endpoint in self.by_number.items():
            if update.kind != "partial" and number not in listed:
                known = endpoint.info
                endpoint.info = EndpointInfo(number, known.zone, known.cell, "gone")
        for info in update.endpoints:
            current = self.by_number.get(info.endpoint)
            if current is None or info.started > current.started:
                started.append(info)
            else:
                current.info = info
        return started

    def add(self, endpoint: Endpoint) -> None:
        """Add an endpoint that is new or has started anew; attempts at the one before stay in flight."""
        number = endpoint.info.endpoint
        if number in self.by_number:
            endpoint.in_flight = self.by_number[number].in_flight
        self.by_number[number] = self.by_tag[endpoint_tag(number)] = endpoint

    def refresh_ready(self) -> None:
        """Bring `ready` up to the entries."""
        self.ready = [one for one in self.by_number.values() if one.info.state == "ready"]

    def gone_in_flight(self) -> list[Endpoint]:
        """Return the endpoints that are gone with attempts in flight."""
        return [one for one in self.by_number.values() if one.info.state == "gone" and one.in_flight]

    def forget_gone(self) -> None:
        """Drop endpoints that are gone with nothing in flight: all day new ones take their places."""
        for number, endpoint in list(self.by_number.items()):
            if endpoint.info.state == "gone" and not endpoint.in_flight:
                del self.by_number[number]
                if self.by_tag.get(endpoint_tag(number)) is endpoint:
                    del self.by_tag[endpoint_tag(number)]
