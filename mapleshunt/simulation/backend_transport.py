"""The way of attempts from gateways to backends and back, in virtual time."""

from __future__ import annotations

from collections.abc import Callable

from ..fleet.backend import Backend, BackendRequest
from .backend_execution import NEVER, BackendExecution
from .day import ScenarioRun
from .event_queue import EventQueue
from .fleet_host import FleetHost
from .idle_connections import IdleConnections
from .records import ClientAttempt, UpstreamAttempt


class BackendTransport:
    """Owns the gateways' connections to the backends, and what the backends execute."""

    def __init__(
        self,
        day: ScenarioRun,
        host: FleetHost,
        event_queue: EventQueue,
        schedule_end: Callable[[float, ClientAttempt, UpstreamAttempt, str], None],
    ) -> None:
        """Args: `schedule_end` delivers an attempt's status to its gateway at a time (ms)."""
        self._host = host  # read only once the day runs: it adds its backends while it is set up
        self._event_queue = event_queue
        self._schedule_end = schedule_end
        self._dial_ms = day.parameters["dial_ms"]
        self._handshake_rtts = day.parameters["handshake_rtts"]
        # The program closes idle connections well before the backends do.
        idle_timeout_ms = day.parameters["conn_idle_ms"] / 3
        self._idle_connections = [IdleConnections(idle_timeout_ms) for _ in range(day.scenario.gateways)]
        self.execution = BackendExecution(event_queue, self._effect_ran, self.respond)

    def send(self, one: ClientAttempt, attempt: UpstreamAttempt) -> None:
        """Send an attempt on an idle connection or a new one, if its backend accepts it."""
        backend = self._host.backend_models[attempt.endpoint]
        at = attempt.sent_at
        delay = self._host.network.backend_delay.next()
        if self._idle_connections[one.gateway].take(backend, at):
            attempt.holds_connection = True
            self._event_queue.schedule(at + delay, self._arrive, one, attempt)
        elif backend.silent:
            self._schedule_end(at + self._dial_ms, one, attempt, "unreachable")
        elif not backend.up or backend.connections >= backend.max_connections:
            self._schedule_end(at + 2 * delay, one, attempt, "unreachable")
        else:
            backend.connections += 1
            attempt.holds_connection = True
            backend.add_connection_work(self._event_queue.now, self._host.handshake_work)
            self.execution.schedule(backend)
            arrives_at = at + delay * (1 + 2 * self._handshake_rtts)
            self._event_queue.schedule(arrives_at, self._arrive, one, attempt)

    def _arrive(self, one: ClientAttempt, attempt: UpstreamAttempt) -> None:
        """Offer an attempt to its backend, which has received its last byte."""
        if attempt.status is not None or attempt.backend_request.cancelled:
            return
        host, now = self._host, self._event_queue.now
        backend = host.backend_models[attempt.endpoint]
        if not backend.up:
            self.respond(one, attempt, "reset")
            return
        attempt.arrived_at = now
        host.quota_accounting.record_arrival(one, now)
        if backend.silent:
            self.execution.begin(one, attempt)
            return
        knows_start = host.rule_checker.knows_start(one.gateway, attempt.endpoint, backend.started_at)
        collapsed_before = backend.collapsed
        status, ended = backend.offer(now, attempt.backend_request, knows_start)
        if backend.collapsed and not collapsed_before:
            host.backend_collapsed(backend)
        self.execution.finish(backend, ended)
        if status is None:
            self.execution.begin(one, attempt)
        else:
            self.respond(one, attempt, status)
        self.execution.schedule(backend)

    def respond(self, one: ClientAttempt, attempt: UpstreamAttempt, status: str) -> None:
        """Send an attempt's status from its backend to its gateway."""
        at = self._event_queue.now + self._host.network.backend_delay.next()
        self._schedule_end(at, one, attempt, status)

    def _effect_ran(self, request: BackendRequest) -> None:
        self._host.rule_checker.effect_ran(request)

    def release_connection(self, gateway: int, attempt: UpstreamAttempt, status: str) -> None:
        """Keep an attempt's connection after a complete response, else close it."""
        if status in ("ok", "error", "full"):
            self._idle_connections[gateway].put(attempt.endpoint, self._event_queue.now)
            return
        backend = self._host.backend_models[attempt.endpoint]
        backend.connections = max(0, backend.connections - 1)
        backend.cancel(attempt.backend_request)

    def abort(self, attempt: UpstreamAttempt) -> None:
        """End an attempt whose gateway was killed."""
        attempt.backend_request.cancelled = True
        attempt.status = "cancelled"
        self.execution.discard(attempt)
        if attempt.holds_connection:
            self._host.backend_models[attempt.endpoint].connections -= 1

    def close_idle_connections(self, gateway: int) -> None:
        """Close the idle connections of a gateway that was killed."""
        self._idle_connections[gateway].close_all(self._host.backend_models)

    def crash_backend(self, backend: Backend) -> None:
        """End a backend's process; all connections to it break."""
        accepted = backend.crash(self._event_queue.now)
        for idle_connections in self._idle_connections:
            idle_connections.drop(backend.number)
        self.execution.reset(backend, accepted)

    def silence_backend(self, backend: Backend) -> None:
        """Make a backend's machine unresponsive, once it has finished what it could."""
        self.execution.advance(backend)
        backend.silent = True
        backend.next_event_at = NEVER
