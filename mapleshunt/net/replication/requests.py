"""Requests to groups: those of this gateway, sent to whoever leads, and those that arrive."""

from __future__ import annotations

import random
from collections.abc import Callable

from ...replication import messages as m
from ...replication import wire
from ...replication.placement import place_replicas
from ...replication.roles import Role
from .connections import PeerConnections
from .fleet_presence import FleetPresence
from .group_host import GroupServices
from .local_calls import LocalConnection, OnResponse, ResponseWriter
from .replica_groups import ReplicaGroups

MAX_PENDING_REQUESTS = 4096  # of clients, in all groups of this gateway


class RequestHandler:
    """Handles the requests that arrive, from other gateways, clients, operators and this gateway."""

    def __init__(
        self,
        groups: ReplicaGroups,
        presence: FleetPresence,
        replicas_per_group: int,
        encode_status: Callable[[], bytes],
    ) -> None:
        """Wire it. `encode_status` returns this gateway's status, as operators get it."""
        self._groups = groups
        self._presence = presence
        self._replicas_per_group = replicas_per_group
        self._encode_status = encode_status

    def handle(self, source: ResponseWriter, request: wire.ClientRequest | wire.AdminRequest) -> None:
        """Carry out a request, or refuse it; the response goes to `source`."""
        if isinstance(request, wire.AdminRequest):
            source.write(self._administer(request))
            return
        host = self._groups.get(request.group)
        if (
            host is None
            or not host.begun
            or self._groups.pending_requests() >= MAX_PENDING_REQUESTS
            or len(request.command) > wire.MAX_PROPOSAL_BYTES
        ):
            hint = self._connected_holder(request.group) if host is None else ""
            source.write(wire.ClientResponse(request.number, "refused", hint))
        else:
            host.handle(source, request)

    def _connected_holder(self, group: int) -> str:
        """Return another gateway that holds the group by rank and is connected; empty if none is."""
        holders = place_replicas(group, self._presence.zones, self._replicas_per_group)
        others = (name for name in holders if name != self._presence.gateway)
        return next((name for name in others if self._presence.is_connected(name)), "")

    def _administer(self, request: wire.AdminRequest) -> wire.ClientResponse:
        number = request.number
        if request.operation == "status":
            return wire.ClientResponse(number, "done", "", self._encode_status())
        if request.operation == "recover":
            recovered = self._groups.recover(request.group, request.replica)
            return wire.ClientResponse(number, "done" if recovered else "refused")
        host = self._groups.get(request.group)
        if host is None or host.node.role is not Role.LEADER:
            hint = m.gateway_of(host.node.leader) if host is not None else ""
            return wire.ClientResponse(number, "refused", hint)
        if request.operation == "transfer":
            host.step(m.TransferLeadership(request.replica))
            return wire.ClientResponse(number, "done")
        return wire.ClientResponse(number, "refused")


class LocalRequests:
    """Sends this gateway's own requests, and remembers who leads the groups."""

    def __init__(
        self,
        services: GroupServices,
        groups: ReplicaGroups,
        presence: FleetPresence,
        peers: PeerConnections,
        handler: RequestHandler,
        replicas_per_group: int,
        random_: random.Random,
    ) -> None:
        """Wire it. Requests to this gateway itself go to `handler`."""
        self.gateway = services.gateway
        self._services = services
        self._local_calls = services.local_calls
        self._groups = groups
        self._presence = presence
        self._peers = peers
        self._handler = handler
        self._local_connection = LocalConnection(self._local_calls.deliver)
        self._replicas_per_group = replicas_per_group
        self._random = random_
        self._redirects: dict[int, str] = {}  # by group without a replica here: who was last said to lead

    def now(self) -> float:
        """Return the loop's clock, in s."""
        return self._services.now()

    def send(self, group: int, command: bytes, to: str, on_response: OnResponse, read: str = "") -> int:
        """Send a command or a read to a group, through the gateway `to`.

        Returns the number by which the request can be abandoned. `on_response` gets the response, if one
        comes in time.
        """
        number = self._local_calls.begin(self.now(), on_response)
        self._send(wire.ClientRequest(number, group, command, read), to)
        return number

    def send_admin(self, to: str, what: str, on_response: OnResponse) -> int:
        """Send what operators ask to another gateway; otherwise like `send`."""
        number = self._local_calls.begin(self.now(), on_response)
        self._send(wire.AdminRequest(number, what), to)
        return number

    def _send(self, request: wire.ClientRequest | wire.AdminRequest, to: str) -> None:
        if to == self.gateway:
            self._handler.handle(self._local_connection, request)
        elif (connection := self._peers.get(to)) is not None:
            connection.write(request)

    def abandon(self, number: int) -> None:
        """Wait no longer for the response to a request."""
        self._local_calls.abandon(number)

    def apply_redirect(self, group: int, response: wire.ClientResponse) -> None:
        """A request was refused: send the next one where the response points, or anywhere."""
        if response.leader_hint:
            self._redirects[group] = response.leader_hint
        else:
            self._redirects.pop(group, None)

    def leader_of(self, group: int) -> str:
        """Return the gateway that leads the group, as far as is known; else one that holds it."""
        host = self._groups.get(group)
        if host is not None and host.node.leader:
            return m.gateway_of(host.node.leader)
        redirect = self._redirects.get(group)
        if redirect is not None and self._presence.is_connected(redirect):
            return redirect
        holders = place_replicas(group, self._presence.zones, self._replicas_per_group)
        reachable = [one for one in holders if one == self.gateway or self._presence.is_connected(one)]
        return self._random.choice(reachable) if reachable else self.gateway

    def session_name(self, purpose: str) -> str:
        """Return a name for a session that none has had before, of this process or another."""
        number = self._local_calls.next_number()
        return f"{self._services.replica()}.{self._services.boot()}.{purpose}{number}"
