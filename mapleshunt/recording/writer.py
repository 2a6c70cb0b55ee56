"""The daemon's side of a recording: rows are kept until a block is full, or for some seconds."""

from __future__ import annotations

import os
import uuid
from pathlib import Path
from typing import TYPE_CHECKING

from ..net import log
from ..net.periodic import PeriodicTask
from ..policy import Settings
from .file_format import (
    BLOCK,
    BLOCK_MAGIC,
    ENCODER,
    HEADER,
    MAGIC,
    RAW,
    SLOT,
    Attempt,
    Row,
    hashed,
    pack_block,
)

if TYPE_CHECKING:
    from ..net.request.context import RequestContext

FLUSH = 5.0  # s after which a block that is not full is written too; it is written again when it is
MOST_ATTEMPTS = 16
KNOWN = 4096  # customers whose hash is kept


class Recorder:
    """Writes what `seen` is told. What goes wrong ends the recording and never the program."""

    def __init__(self, path: Path, size: int, salt: bytes, settings: Settings, now: float) -> None:
        """`size` in bytes, `now` in Unix ms. Raises OSError if the file cannot be had."""
        self.path, self.salt = path, salt or os.urandom(16)
        self.slots = max(2, (size - HEADER.size) // SLOT)
        self.rows: list[bytes] = []
        self.held, self.first = 0, 0.0
        self.hashes: dict[str, bytes] = {}
        self.number = self._open(settings, now)
        self.flushing = PeriodicTask(self.flush, FLUSH)

    def _open(self, settings: Settings, now: float) -> int:
        """Go on in a recording of the same shape, or begin one. The number of the next block."""
        self.file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        head = os.pread(self.file, HEADER.size, 0)
        shape = (SLOT, self.slots, settings.gateway_index, settings.gateway_count)
        if len(head) == HEADER.size and head[:8] == MAGIC and HEADER.unpack(head)[1:5] == shape:
            last = -1
            for place in range(self.slots):
                block = os.pread(self.file, BLOCK.size, HEADER.size + place * SLOT)
                if len(block) == BLOCK.size and block[:4] == BLOCK_MAGIC:
                    last = max(last, BLOCK.unpack(block)[1])
            return last + 1
        os.ftruncate(self.file, 0)
        os.pwrite(self.file, HEADER.pack(MAGIC, *shape, now, uuid.uuid4().bytes), 0)
        return 0

    def start(self) -> None:
        self.flushing.start()

    def customer(self, name: str) -> bytes:
        found = self.hashes.get(name)
        if found is None:
            if len(self.hashes) >= KNOWN:
                self.hashes.clear()
            found = self.hashes[name] = hashed(name, self.salt)
        return found

    def seen(self, context: RequestContext) -> None:
        """A request is over, and so are its tries."""
        if self.file < 0:
            return
        request, tries = context.request, context.attempts[:MOST_ATTEMPTS]
        row = ENCODER.encode(
            Row(
                round(context.received_at, 2),
                request.request_class,
                request.plan,
                self.customer(request.customer),
                request.units,
                max((one.cost for one in tries), default=0.0),
                round(request.remaining_time, 1),
                request.gateway_set_size,
                request.gateway_set_offset,
                request.is_retry,
                context.final_result,
                round(context.released_at - context.received_at, 2),
                tuple(
                    Attempt(
                        one.endpoint,
                        one.status or "out",
                        round(one.sent_at - context.received_at, 2),
                        round(one.latency_ms, 2),
                    )
                    for one in tries
                ),
            )
        )
        if self.held + len(row) > RAW:
            self.flush(done=True)
        if not self.rows:
            self.first = context.received_at
        self.rows.append(row)
        self.held += len(row)

    def flush(self, done: bool = False) -> None:
        """Write the block as it is; `done`: it is full, and the next one begins."""
        if self.file < 0 or not self.rows:
            return
        parts = [self.rows]
        try:
            while parts:
                rows = parts.pop()
                block = pack_block(self.number, rows, self.first)
                if len(block) > SLOT:  # it does not compress as usual
                    half = len(rows) // 2
                    if not half:
                        raise OSError("a row is longer than a slot")
                    parts += [rows[half:], rows[:half]]
                    continue
                os.pwrite(self.file, block, HEADER.size + self.number % self.slots * SLOT)
                if parts or done:
                    self.number += 1
                self.rows = rows
        except OSError as error:
            log.log_event("record_failed", path=self.path, why=error)
            self.close(write=False)
            return
        if done:
            self.rows = []
        self.held = sum(map(len, self.rows))

    def close(self, write: bool = True) -> None:
        if write:
            self.flush(done=True)
        self.flushing.stop()
        if self.file >= 0:
            os.close(self.file)
        self.file, self.rows, self.held = -1, [], 0
