"""Group commit off the loop's thread: a slow `fsync` delays nobody but those who wait for what it writes."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable

import apsw

from ..replication import messages as m
from .durable_store import DurableStore

MOST_AT_ONCE = 512  # writes in one commit
AGAIN = 0.5  # s after a commit that failed: the disk may have room again

Done = Callable[[list[tuple[int, int]]], None]  # told of (group, number) that are durable, by this thread
Failed = Callable[[str], None]


class StoreWriter:
    """Writes in the order they come, of all groups together."""

    def __init__(self, disk: DurableStore, done: Done, failed: Failed) -> None:
        """`failed` is told why a commit did not succeed; it is tried again until one does, or `close`."""
        self.disk, self.done, self.failed = disk, done, failed
        self.waiting: queue.SimpleQueue[tuple[int, m.Write] | Callable[[], None] | None] = queue.SimpleQueue()
        self.closing = threading.Event()
        self.commits = self.writes = self.failures = 0
        self.slowest = 0.0  # s
        self.thread = threading.Thread(target=self._run, name="copies-writer", daemon=True)
        self.thread.start()

    def write(self, group: int, write: m.Write) -> None:
        self.waiting.put((group, write))

    def call(self, what: Callable[[], None]) -> None:
        """Something else for this thread, between two commits. It is called again if it fails."""
        self.waiting.put(what)

    def _run(self) -> None:
        while True:
            first = self.waiting.get()
            batch: list[tuple[int, m.Write]] = []
            while first is not None and not callable(first):
                batch.append(first)
                if len(batch) >= MOST_AT_ONCE or self.waiting.empty():
                    break
                first = self.waiting.get()
            if batch and not self._commit(batch):
                return
            if first is None:
                return
            if callable(first) and not self._repeat(first, may_be_given_up=True):
                return

    def _repeat(self, task: Callable[[], None], may_be_given_up: bool = False) -> bool:
        """Do the task until it succeeds: what it stands for was promised. False if `close` ended that.

        `may_be_given_up`: one that fails for another reason than the disk's would fail again, and is left
        undone, for it must not keep all that waits behind it from being done.
        """
        while True:
            try:
                task()
                return True
            except (apsw.Error, OSError, MemoryError) as error:
                self._count_failure(str(error))
            except Exception as error:
                self._count_failure(f"{type(error).__name__}: {error}")
                if may_be_given_up:
                    return True
            if self.closing.wait(AGAIN):
                return False

    def _count_failure(self, why: str) -> None:
        self.failures += 1
        self.failed(why)

    def _commit(self, batch: list[tuple[int, m.Write]]) -> bool:
        def commit() -> None:
            begun = time.monotonic()
            self.disk.commit(batch)
            self.slowest = max(self.slowest, time.monotonic() - begun)

        if not self._repeat(commit):
            return False
        self.commits, self.writes = self.commits + 1, self.writes + len(batch)
        self.done([(group, write.number) for group, write in batch])
        return True

    def close(self) -> None:
        """Finish what is waiting, if the disk lets it, and end."""
        self.closing.set()
        self.waiting.put(None)
        self.thread.join(10)
