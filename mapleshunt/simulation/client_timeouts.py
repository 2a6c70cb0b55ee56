"""Timeouts of the clients' attempts in virtual time."""

from __future__ import annotations

from collections.abc import Callable

from .event_queue import EventQueue
from .records import ClientAttempt, RequestRecord

TIMEOUT_BUCKET_MS = 64.0  # timeouts within one bucket are scheduled together, at its start


class ClientTimeouts:
    """Calls `expired` when an attempt's timeout ends without its result.

    Most attempts end long before: only those still open at the start of their bucket are scheduled.
    """

    __slots__ = ("_buckets", "_event_queue", "_expired")

    def __init__(
        self, event_queue: EventQueue, expired: Callable[[RequestRecord, ClientAttempt], None]
    ) -> None:
        self._event_queue = event_queue
        self._expired = expired
        self._buckets: dict[int, list[tuple[float, RequestRecord, ClientAttempt]]] = {}

    def add(self, record: RequestRecord, client_attempt: ClientAttempt) -> None:
        """Start the timeout of an attempt that its gateway accepted."""
        end = client_attempt.sent_at + client_attempt.timeout_ms
        number = int(end / TIMEOUT_BUCKET_MS)
        bucket = self._buckets.get(number)
        if bucket is None:
            bucket = self._buckets[number] = []
            begins_at = max(self._event_queue.now, number * TIMEOUT_BUCKET_MS)
            self._event_queue.schedule(begins_at, self._begin_bucket, number)
        bucket.append((end, record, client_attempt))

    def _begin_bucket(self, number: int) -> None:
        for end, record, client_attempt in self._buckets.pop(number):
            if not client_attempt.client_notified or client_attempt.result is None:
                self._event_queue.schedule(end, self._expired, record, client_attempt)
