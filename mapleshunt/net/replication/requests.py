"""Requests to groups: the handling of those received, and the sending of this gateway's own."""

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

MAX_PENDING_REQUESTS = 4096  # in all groups of this gateway; further ones are refused


class RequestHandler:
    """Handles requests of other gateways, clients, operators and this gateway."""

    def __init__(
        self,
        groups: ReplicaGroups,
        presence: FleetPresence,
        replicas_per_group: int,
        encode_status: Callable[[], bytes],
    ) -> None:
        """Initialize; `encode_status` returns this gateway's encoded status."""
        self._groups = groups
        self._presence = presence
        self._replicas_per_group = replicas_per_group
        self._encode_status = encode_status

    def handle(self, source: ResponseWriter, request: wire.ClientRequest | wire.AdminRequest) -> None:
        """Carry out or refuse a request; the response goes to `source`."""
        if isinstance(request, wire.AdminRequest):
            source.write(self._administer(request))
            return
        host = self._groups.get(request.group)
        if (
            host is None
            or not host.started
            or self._groups.pending_requests() >= MAX_PENDING_REQUESTS
            or len(request.command) > wire.MAX_PROPOSAL_BYTES
        ):
            hint = self._connected_placement(request.group) if host is None else ""
            source.write(wire.ClientResponse(request.number, "refused", hint))
        else:
            host.handle(source, request)

    def _connected_placement(self, group: int) -> str:
        """Return a connected gateway that should hold the group by rank; empty if there is none."""
        placement = place_replicas(group, self._presence.zones, self._replicas_per_group)
        others = (name for name in placement if name != self._presence.gateway)
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
    """Sends this gateway's own requests, to the leaders of groups as far as they are known."""

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
        """Initialize; requests to this gateway itself go to `handler`."""
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
        self._redirects: dict[int, str] = {}  # leader hint of the last refusal, by group

    def now(self) -> float:
        """Return the time of the loop's clock, in s."""
        return self._services.now()

    def send(self, group: int, command: bytes, to: str, on_response: OnResponse, read: str = "") -> int:
        """Send a command or a read to a group through the gateway `to`.

        Returns:
            The number by which the request can be abandoned. `on_response` gets the response if one comes
            in time.
        """
        number = self._local_calls.begin(self.now(), on_response)
        self._send(wire.ClientRequest(number, group, command, read), to)
        return number

    def send_admin(self, to: str, operation: str, on_response: OnResponse) -> int:
        """Send an operator's request to another gateway; otherwise like `send`."""
        number = self._local_calls.begin(self.now(), on_response)
        self._send(wire.AdminRequest(number, operation), to)
        return number

    def _send(self, request: wire.ClientRequest | wire.AdminRequest, to: str) -> None:
        if to == self.gateway:
            self._handler.handle(self._local_connection, request)
        elif (connection := self._peers.get(to)) is not None:
            connection.write(request)

    def abandon(self, number: int) -> None:
        """Stop waiting for the response to a request."""
        self._local_calls.abandon(number)

    def apply_redirect(self, group: int, response: wire.ClientResponse) -> None:
        """Store the leader hint of a refusal, or drop the earlier hint if it has none."""
        if response.leader_hint:
            self._redirects[group] = response.leader_hint
        else:
            self._redirects.pop(group, None)

    def leader_of(self, group: int) -> str:
        """Return the gateway of the group's leader, if known; else one that should hold a replica."""
        host = self._groups.get(group)
        if host is not None and host.node.leader:
            return m.gateway_of(host.node.leader)
        redirect = self._redirects.get(group)
        if redirect is not None and self._presence.is_connected(redirect):
            return redirect
        placement = place_replicas(group, self._presence.zones, self._replicas_per_group)
        reachable = [name for name in placement if name == self.gateway or self._presence.is_connected(name)]
        return self._random.choice(reachable) if reachable else self.gateway

    def session_name(self, purpose: str) -> str:
        """Return a session name that is unique over all gateways and boots."""
        number = self._local_calls.next_number()
        return f"{self._services.replica()}.{self._services.boot()}.{purpose}{number}"
