"""The ids that clients give their requests, as long as a second request of the same id would run twice."""

from __future__ import annotations

from collections import OrderedDict

# Ids kept of requests that may have run: the oldest falls out beyond. They take some 0.4 MB.
MAX_KEPT_IDS = 2048


class ClientRequestIds:
    """Ids of requests that await a response, and of those that may have run, until their time is over."""

    __slots__ = ("_kept_until", "_open")

    def __init__(self) -> None:
        """Start without ids."""
        self._open: set[str] = set()
        self._kept_until: OrderedDict[str, float] = OrderedDict()  # ms on the driver's clock

    def __len__(self) -> int:
        """Return the number of requests that await a response."""
        return len(self._open)

    def is_in_use(self, request_id: str, now: float) -> bool:
        """Return whether a request of this id is open or may have run; `now` is ms on the driver's clock."""
        return request_id in self._open or self._kept_until.get(request_id, now) > now

    def add(self, request_id: str) -> None:
        """Add the id of a request that awaits a response."""
        self._open.add(request_id)

    def discard(self, request_id: str) -> None:
        """Remove the id of a request that has its response, or whose client has left."""
        self._open.discard(request_id)

    def keep(self, request_id: str, until: float, now: float) -> None:
        """Keep the id of a request that may have run until its time is over.

        Args:
            request_id: the id.
            until: when its time is over, in ms on the driver's clock.
            now: those whose time was over then are forgotten.
        """
        self._kept_until[request_id] = until
        self._kept_until.move_to_end(request_id)
        while len(self._kept_until) > MAX_KEPT_IDS or next(iter(self._kept_until.values()), now + 1) <= now:
            self._kept_until.popitem(last=False)
