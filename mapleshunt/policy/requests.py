"""Open requests, and their final answers."""

from __future__ import annotations

from .actions import Action, CancelAttempt, FailRequest, RejectReason, RejectRequest
from .customers import Attempt, PendingRequest
from .gossip_codec import REQUEST_NUMBERS
from .quota import QuotaLedger
from .settings import Settings

# A request is answered at least this many ticks before its client stops waiting.
DEADLINE_MARGIN_TICKS = 4
# Lower bound of the length of a tick in that margin, ms.
MIN_TICK_MS = 1.0


def deadline_margin(settings: Settings) -> float:
    """Return the ms before its client stops waiting by which a request is answered at the latest."""
    return DEADLINE_MARGIN_TICKS * max(settings.tick, MIN_TICK_MS)


class RequestTable:
    """Requests that await a final answer, and how they end.

    Attributes:
        open: Requests that await a final answer, by id.
        awaiting_owner: Those that wait for a quota owner's reply, by the number that the reply carries.
        margin: ms before its client stops waiting by which a request is answered at the latest.
    """

    __slots__ = ("_actions", "_quota", "_settings", "awaiting_owner", "margin", "open")

    def __init__(self, settings: Settings, quota: QuotaLedger, actions: list[Action]) -> None:
        self._settings, self._quota, self._actions = settings, quota, actions
        self.open: dict[int, PendingRequest] = {}
        self.awaiting_owner: dict[int, PendingRequest] = {}
        self.margin = deadline_margin(settings)

    def reject(self, request_id: int, wait: float, reason: RejectReason, now: float) -> None:
        """Reject a request, open or not; its client may retry after `wait` ms, as far as settings allow."""
        retry_after = 0.0
        if self._settings.allow_retry_after:
            retry_after = min(self._settings.max_retry_after, max(wait, self.margin))
        self._actions.append(RejectRequest(request_id, retry_after, reason))
        if request_id in self.open:
            self.release(self.open[request_id], now)

    def fail(self, request: PendingRequest, now: float) -> None:
        """Fail a request that may have run."""
        self._actions.append(FailRequest(request.request_id))
        self.release(request, now)

    def release(self, request: PendingRequest, now: float) -> None:
        """Remove a request that has its answer or whose client has left, and cancel attempts in flight."""
        request_id = request.request_id
        if self._settings.can_cancel:
            self._actions.extend(_cancellations(request_id, request.attempts))
        if request.admitted and not request.attempts:  # never sent, so it used no units
            self._quota.charge(request.customer, -request.units, now)
        request.customer.open_requests -= 1
        number = request_id % REQUEST_NUMBERS
        if self.awaiting_owner.get(number) is request:  # no owner replied
            del self.awaiting_owner[number]
        del self.open[request_id]


def _cancellations(request_id: int, attempts: list[Attempt]) -> list[CancelAttempt]:
    return [
        CancelAttempt(request_id, number) for number, attempt in enumerate(attempts) if attempt.status is None
    ]
