"""The gateway's writer of a recording: rows are buffered until a block is full or the flush interval ends."""

from __future__ import annotations

import os
import uuid
from pathlib import Path
from typing import TYPE_CHECKING

from ..net import log
from ..net.periodic import PeriodicTask
from ..policy import Settings
from .file_format import (
    BLOCK_HEADER,
    BLOCK_MAGIC,
    FILE_HEADER,
    FILE_MAGIC,
    MAX_BLOCK_ROW_BYTES,
    ROW_ENCODER,
    SLOT_BYTES,
    RecordedAttempt,
    RecordedRequest,
    hash_customer,
    pack_block,
)

if TYPE_CHECKING:
    from ..net.request.context import RequestContext

FLUSH_INTERVAL_S = 5.0  # a block that is not full is written at this interval, and again once it is full
MAX_ATTEMPTS = 16  # per request: a row must fit into a slot
MAX_CACHED_HASHES = 4096  # of customers' names
MIN_SLOTS = 2  # one stays readable while the other is written


class Recorder:
    """Writes requests to a file. An I/O error ends the recording but not the process."""

    def __init__(self, path: Path, size: int, salt: bytes, settings: Settings, now: float) -> None:
        """Open the file at `path`, of at most `size` bytes; `now` is Unix time in ms.

        An empty `salt` is replaced by a random one.

        Raises:
            OSError: the file cannot be opened or written.
        """
        self.path = path
        self._salt = salt or os.urandom(16)
        self._slots = max(MIN_SLOTS, (size - FILE_HEADER.size) // SLOT_BYTES)
        self._rows: list[bytes] = []
        self._row_bytes = 0
        self._first_arrival = 0.0  # in the current block, Unix time in ms
        self._hashes: dict[str, bytes] = {}
        self.file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)  # -1 once closed
        self._number = self._continue_or_begin(settings, now)  # of the current block
        self._flush_task = PeriodicTask(self.flush, FLUSH_INTERVAL_S)

    def _continue_or_begin(self, settings: Settings, now: float) -> int:
        """Continue a recording of the same shape, or begin a new one; return the next block's number."""
        header = os.pread(self.file, FILE_HEADER.size, 0)
        shape = (SLOT_BYTES, self._slots, settings.gateway_index, settings.gateway_count)
        is_complete = len(header) == FILE_HEADER.size and header.startswith(FILE_MAGIC)
        if is_complete and FILE_HEADER.unpack(header)[1:5] == shape:
            return self._last_number() + 1
        os.ftruncate(self.file, 0)
        os.pwrite(self.file, FILE_HEADER.pack(FILE_MAGIC, *shape, now, uuid.uuid4().bytes), 0)
        return 0

    def _last_number(self) -> int:
        """Return the highest number of a block in the file; -1 if there is none."""
        last_number = -1
        for slot in range(self._slots):
            header = os.pread(self.file, BLOCK_HEADER.size, FILE_HEADER.size + slot * SLOT_BYTES)
            if len(header) == BLOCK_HEADER.size and header.startswith(BLOCK_MAGIC):
                last_number = max(last_number, BLOCK_HEADER.unpack(header)[1])
        return last_number

    def start(self) -> None:
        """Start to write the current block periodically, on the running event loop."""
        self._flush_task.start()

    def hash_customer(self, name: str) -> bytes:
        """Return the customer's salted hash, cached."""
        hashed = self._hashes.get(name)
        if hashed is None:
            if len(self._hashes) >= MAX_CACHED_HASHES:
                self._hashes.clear()
            hashed = self._hashes[name] = hash_customer(name, self._salt)
        return hashed

    def record(self, context: RequestContext) -> None:
        """Record a request that has ended and whose attempts have ended."""
        if self.file < 0:
            return
        row = ROW_ENCODER.encode(self._to_row(context))
        if self._row_bytes + len(row) > MAX_BLOCK_ROW_BYTES:
            self.flush(end_block=True)
        if not self._rows:
            self._first_arrival = context.received_at
        self._rows.append(row)
        self._row_bytes += len(row)

    def _to_row(self, context: RequestContext) -> RecordedRequest:
        request = context.request
        attempts = context.attempts[:MAX_ATTEMPTS]
        return RecordedRequest(
            round(context.received_at, 2),
            request.request_class,
            request.plan,
            self.hash_customer(request.customer),
            request.units,
            max((attempt.cost for attempt in attempts), default=0.0),
            round(request.remaining_time, 1),
            request.gateway_set_size,
            request.gateway_set_offset,
            request.is_retry,
            context.final_result,
            round(context.released_at - context.received_at, 2),
            tuple(
                RecordedAttempt(
                    attempt.endpoint,
                    attempt.status or "out",
                    round(attempt.sent_at - context.received_at, 2),
                    round(attempt.latency_ms, 2),
                )
                for attempt in attempts
            ),
        )

    def flush(self, end_block: bool = False) -> None:
        """Write the current block; with `end_block`, begin the next one after it."""
        if self.file < 0 or not self._rows:
            return
        try:
            self._write_blocks(end_block)
        except OSError as error:
            log.log_event("record_failed", path=self.path, why=error)
            self.close(write=False)
            return
        if end_block:
            self._rows = []
        self._row_bytes = sum(map(len, self._rows))

    def _write_blocks(self, end_block: bool) -> None:
        """Write the rows as one block, or as several if one does not fit into a slot.

        Raises:
            OSError: the file cannot be written, or a row is longer than a slot.
        """
        parts = [self._rows]
        while parts:
            rows = parts.pop()
            block = pack_block(self._number, rows, self._first_arrival)
            if len(block) > SLOT_BYTES:
                half = len(rows) // 2
                if not half:
                    raise OSError(f"a row must fit into {SLOT_BYTES} bytes, got a block of {len(block)}")
                parts += [rows[half:], rows[:half]]
                continue
            os.pwrite(self.file, block, FILE_HEADER.size + self._number % self._slots * SLOT_BYTES)
            if parts or end_block:
                self._number += 1
            self._rows = rows

    def close(self, write: bool = True) -> None:
        """End the recording, writing the current block if `write`. Repeated calls have no effect."""
        if write:
            self.flush(end_block=True)
        self._flush_task.stop()
        if self.file >= 0:
            os.close(self.file)
        self.file = -1
        self._rows = []
        self._row_bytes = 0
