"""Execution of attempts at the backends, in virtual time."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..fleet.backend import Backend, BackendRequest
from .event_queue import EventQueue
from .records import ClientAttempt, UpstreamAttempt

NEVER = float("inf")  # ms


class BackendExecution:
    """Owns the attempts in progress at each backend, and advances a backend when its next event is due."""

    __slots__ = ("_effect_ran", "_event_queue", "_respond", "_wake_at", "in_progress")

    def __init__(
        self,
        event_queue: EventQueue,
        effect_ran: Callable[[BackendRequest], None],
        respond: Callable[[ClientAttempt, UpstreamAttempt, str], None],
    ) -> None:
        """Args: `effect_ran` is called for each effect, `respond` sends a status to an attempt's gateway."""
        self._event_queue = event_queue
        self._effect_ran = effect_ran
        self._respond = respond
        self._wake_at: dict[int, float] = {}  # by backend
        self.in_progress: dict[int, dict[BackendRequest, tuple[ClientAttempt, UpstreamAttempt]]] = {}

    def add_backend(self, number: int) -> None:
        """Add a new backend."""
        self.in_progress[number] = {}
        self._wake_at[number] = NEVER

    def begin(self, client_attempt: ClientAttempt, attempt: UpstreamAttempt) -> None:
        """Track an attempt that arrived, until its backend ends it."""
        self.in_progress[attempt.endpoint][attempt.backend_request] = (client_attempt, attempt)

    def discard(self, attempt: UpstreamAttempt) -> None:
        """Stop tracking an attempt whose gateway no longer waits for the response."""
        self.in_progress[attempt.endpoint].pop(attempt.backend_request, None)

    def schedule(self, backend: Backend) -> None:
        """Schedule the backend's next event, unless it is scheduled already."""
        if backend.next_event_at < self._wake_at[backend.number]:
            self._wake_at[backend.number] = backend.next_event_at
            self._event_queue.schedule(backend.next_event_at, self._wake, backend)

    def _wake(self, backend: Backend) -> None:
        now = self._event_queue.now
        if now < self._wake_at[backend.number]:
            return
        self._wake_at[backend.number] = NEVER
        if backend.next_event_at <= now:
            self.advance(backend)
        self.schedule(backend)

    def advance(self, backend: Backend) -> None:
        """Advance a backend to the present, and respond to the requests that it finished."""
        self.finish(backend, backend.advance(self._event_queue.now))

    def finish(self, backend: Backend, finished: list[BackendRequest]) -> None:
        """Respond to the requests that a backend ended."""
        in_progress = self.in_progress[backend.number]
        for request in finished:
            if request.took_effect:
                self._effect_ran(request)
            entry = in_progress.pop(request, None)
            if entry is not None and not request.cancelled:
                client_attempt, attempt = entry
                backend.latency_since_report += self._event_queue.now - (attempt.arrived_at or 0.0)
                self._respond(client_attempt, attempt, backend.draw_status())

    def reset(self, backend: Backend, accepted: Iterable[BackendRequest]) -> None:
        """Reset all attempts at a backend whose connections broke: first those accepted, in their order."""
        in_progress = self.in_progress[backend.number]
        for request in [*accepted, *in_progress]:
            entry = in_progress.pop(request, None)
            if entry is not None and not request.cancelled:
                self._respond(*entry, "reset")
