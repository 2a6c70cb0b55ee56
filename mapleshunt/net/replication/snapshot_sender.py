"""Rate limit for snapshot chunks, from the operators' file."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ...replication import messages as m
from ...replication.snapshot_pacer import SnapshotPacer

BURST_S = 0.25  # seconds of the rate that may be sent at once after a pause
TIMER_MARGIN_S = 0.001  # so that the pacer has tokens when the timer fires


class SnapshotSender:
    """Paces chunks; a new chunk replaces one of the same group and replica that is not sent yet."""

    def __init__(self, bytes_per_s: float, send: Callable[[int, m.Replica, m.Message], None]) -> None:
        """Initialize; `send` gets the group, the receiver and the chunk."""
        self._rate = bytes_per_s
        self._send = send
        self._pacer: SnapshotPacer[tuple[int, m.Replica], m.SnapshotChunk]
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False

    def start(self, now: float) -> None:
        """Start the pacer."""
        self._pacer = SnapshotPacer(self._rate, self._rate * BURST_S, now)

    def send(self, group: int, to: m.Replica, chunk: m.SnapshotChunk) -> None:
        """Send a chunk as soon as the rate allows it."""
        self._pacer.offer((group, to), len(chunk.data), chunk)
        self._send_ready()

    def _send_ready(self) -> None:
        loop = asyncio.get_running_loop()
        for (group, to), chunk in self._pacer.take_ready(loop.time()):
            self._send(group, to, chunk)
        wait = self._pacer.delay_s()
        if wait is not None and self._timer is None and not self._closed:
            self._timer = loop.call_later(wait + TIMER_MARGIN_S, self._timer_fired)

    def _timer_fired(self) -> None:
        self._timer = None
        self._send_ready()

    def close(self) -> None:
        """Stop setting timers."""
        self._closed = True
