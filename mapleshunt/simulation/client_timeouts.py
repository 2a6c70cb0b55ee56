"""Timeouts of the clients' attempts in virtual time."""

from __future__ import annotations

from collections.abc import Callable

from .event_queue import EventQueue
from .records import ClientAttempt, RequestRecord

TIMEOUT_BUCKET_MS = 64.0  # timeouts of one bucket are scheduled together, when it begins


class ClientTimeouts:
    """Calls `expired` when an attempt's timeout ends without its result.

    Most attempts are answered long before: only those still open when their bucket begins are scheduled.
    """

    __slots__ = ("_buckets", "_event_queue", "_expired")

    def __init__(
        self, event_queue: EventQueue, expired: Callable[[RequestRecord, ClientAttempt], None]
    ) -> None:
        self._event_queue = event_queue
        self._expired = expired
        self._buckets: dict[int, list[tuple[float, RequestRecord, ClientAttempt]]] = {}

    def add(self, record: RequestRecord, one: ClientAttempt) -> None:
        """Start the timeout of an attempt that its gateway accepted."""
        end = one.sent_at + one.timeout_ms
        number = int(end / TIMEOUT_BUCKET_MS)
        bucket = self._buckets.get(number)
        if bucket is None:
            bucket = self._buckets[number] = []
            begin = max(self._event_queue.now, number * TIMEOUT_BUCKET_MS)
            self._event_queue.schedule(begin, self._begin_bucket, number)
        bucket.append((end, record, one))

    def _begin_bucket(self, number: int) -> None:
        for end, record, one in self._buckets.pop(number):
            if not one.client_notified or one.result is None:
                self._event_queue.schedule(end, self._expired, record, one)
