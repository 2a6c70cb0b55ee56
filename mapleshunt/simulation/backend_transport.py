"""Transport of attempts and responses between gateways and backends, in virtual time."""

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
    """Owns the gateways' connections to the backends, and the execution at the backends."""

    def __init__(
        self,
        scenario_run: ScenarioRun,
        host: FleetHost,
        event_queue: EventQueue,
        schedule_end: Callable[[float, ClientAttempt, UpstreamAttempt, str], None],
    ) -> None:
        """Args: `schedule_end` delivers an attempt's status to its gateway at the given time (ms)."""
        self._host = host  # incomplete here: read only during the run
        self._event_queue = event_queue
        self._schedule_end = schedule_end
        self._dial_ms = scenario_run.parameters["dial_ms"]
        self._handshake_rtts = scenario_run.parameters["handshake_rtts"]
        # A gateway closes idle connections well before the backends do.
        idle_timeout_ms = scenario_run.parameters["conn_idle_ms"] / 3
        self._idle_connections = [
            IdleConnections(idle_timeout_ms) for _ in range(scenario_run.scenario.gateways)
        ]
        self.execution = BackendExecution(event_queue, self._effect_ran, self.respond)

    def send(self, client_attempt: ClientAttempt, attempt: UpstreamAttempt) -> None:
        """Send an attempt on an idle connection or a new one, if its backend accepts it."""
        backend = self._host.backend_models[attempt.endpoint]
        at = attempt.sent_at
        delay = self._host.network.backend_delay.next()
        if self._idle_connections[client_attempt.gateway].take(backend, at):
            attempt.holds_connection = True
            self._event_queue.schedule(at + delay, self._arrive, client_attempt, attempt)
        elif backend.silent:
            self._schedule_end(at + self._dial_ms, client_attempt, attempt, "unreachable")
        elif not backend.up or backend.connections >= backend.max_connections:
            self._schedule_end(at + 2 * delay, client_attempt, attempt, "unreachable")
        else:
            backend.connections += 1
            attempt.holds_connection = True
            backend.add_connection_work(self._event_queue.now, self._host.handshake_work)
            self.execution.schedule(backend)
            arrives_at = at + delay * (1 + 2 * self._handshake_rtts)
            self._event_queue.schedule(arrives_at, self._arrive, client_attempt, attempt)

    def _arrive(self, client_attempt: ClientAttempt, attempt: UpstreamAttempt) -> None:
        """Offer an attempt to its backend, which has received it completely."""
        if attempt.status is not None or attempt.backend_request.cancelled:
            return
        host, now = self._host, self._event_queue.now
        backend = host.backend_models[attempt.endpoint]
        if not backend.up:
            self.respond(client_attempt, attempt, "reset")
            return
        attempt.arrived_at = now
        host.quota_accounting.record_arrival(client_attempt, now)
        if backend.silent:
            self.execution.begin(client_attempt, attempt)
            return
        knows_start = host.rule_checker.knows_start(
            client_attempt.gateway, attempt.endpoint, backend.started_at
        )
        collapsed_before = backend.collapsed
        status, finished = backend.offer(now, attempt.backend_request, knows_start)
        if backend.collapsed and not collapsed_before:
            host.backend_collapsed(backend)
        self.execution.finish(backend, finished)
        if status is None:
            self.execution.begin(client_attempt, attempt)
        else:
            self.respond(client_attempt, attempt, status)
        self.execution.schedule(backend)

    def respond(self, client_attempt: ClientAttempt, attempt: UpstreamAttempt, status: str) -> None:
        """Send an attempt's status from its backend to its gateway."""
        at = self._event_queue.now + self._host.network.backend_delay.next()
        self._schedule_end(at, client_attempt, attempt, status)

    def _effect_ran(self, request: BackendRequest) -> None:
        self._host.rule_checker.effect_ran(request)

    def release_connection(self, gateway: int, attempt: UpstreamAttempt, status: str) -> None:
        """Keep an attempt's connection as idle after a complete response, else close it."""
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
        """End a backend's process and break all connections to it."""
        accepted = backend.crash(self._event_queue.now)
        for idle_connections in self._idle_connections:
            idle_connections.drop(backend.number)
        self.execution.reset(backend, accepted)

    def silence_backend(self, backend: Backend) -> None:
        """Make a backend's machine unresponsive, after it has sent the responses due by now."""
        self.execution.advance(backend)
        backend.silent = True
        backend.next_event_at = NEVER
