"""Group commit outside the event loop's thread: a slow `fsync` delays only what depends on its writes."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable

import apsw

from ..replication import messages as m
from .durable_store import DurableStore

MAX_WRITES_PER_COMMIT = 512
RETRY_DELAY_S = 0.5  # after a failed attempt: the disk may have room again
CLOSE_TIMEOUT_S = 10.0  # for the queued writes when the gateway ends

OnDurable = Callable[[list[tuple[int, int]]], None]
OnFailure = Callable[[str], None]
Task = Callable[[], None]


class StoreWriter:
    """A thread that makes writes of all groups durable together, in the order they come.

    Attributes:
        commits: Commits that succeeded.
        writes: Writes in them.
        failures: Attempts that failed.
        slowest_commit_s: The longest duration of a commit, s.
    """

    def __init__(self, store: DurableStore, on_durable: OnDurable, on_failure: OnFailure) -> None:
        """Start the thread.

        Args:
            store: The open store, which only this thread uses from now on.
            on_durable: Called by the thread with the (group, number) of writes that are durable.
            on_failure: Called by the thread with the reason why an attempt failed. The attempt is repeated
                until it succeeds, or until `close`.
        """
        self._store = store
        self._on_durable = on_durable
        self._on_failure = on_failure
        self._queue: queue.SimpleQueue[tuple[int, m.Write] | Task | None] = queue.SimpleQueue()
        self._closing = threading.Event()
        self.commits = 0
        self.writes = 0
        self.failures = 0
        self.slowest_commit_s = 0.0
        self._thread = threading.Thread(target=self._run, name="copies-writer", daemon=True)
        self._thread.start()

    def write(self, group: int, write: m.Write) -> None:
        """Queue a write of a group's replica."""
        self._queue.put((group, write))

    def run_task(self, task: Task) -> None:
        """Queue a task for this thread, between two commits. It is repeated if the disk fails."""
        self._queue.put(task)

    def close(self) -> None:
        """Finish what is queued, if the disk works, and end the thread; blocks up to `CLOSE_TIMEOUT_S`."""
        self._closing.set()
        self._queue.put(None)
        self._thread.join(CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while True:
            batch, item = self._next_batch()
            if batch and not self._commit(batch):
                return
            if item is None:
                return
            if callable(item) and not self._run_until_done(item, may_be_abandoned=True):
                return

    def _next_batch(self) -> tuple[list[tuple[int, m.Write]], tuple[int, m.Write] | Task | None]:
        """Wait for writes; return those that are committed together, and the last item from the queue.

        The last item is one of the writes, a task to run after them, or None at the end.
        """
        item = self._queue.get()
        batch: list[tuple[int, m.Write]] = []
        while item is not None and not callable(item):
            batch.append(item)
            if len(batch) >= MAX_WRITES_PER_COMMIT or self._queue.empty():
                break
            item = self._queue.get()
        return batch, item

    def _run_until_done(self, task: Task, may_be_abandoned: bool = False) -> bool:
        """Repeat a task until it succeeds: nothing that was queued may be lost.

        Args:
            task: The task.
            may_be_abandoned: Abandon a task that fails for another reason than the disk: it would fail again,
                and must not block what is queued behind it.

        Returns:
            False if `close` ended the attempts.
        """
        while True:
            try:
                task()
            except (apsw.Error, OSError, MemoryError) as error:
                self._record_failure(str(error))
            except Exception as error:  # any defect of a task must not end the thread
                self._record_failure(f"{type(error).__name__}: {error}")
                if may_be_abandoned:
                    return True
            else:
                return True
            if self._closing.wait(RETRY_DELAY_S):
                return False

    def _record_failure(self, reason: str) -> None:
        self.failures += 1
        self._on_failure(reason)

    def _commit(self, batch: list[tuple[int, m.Write]]) -> bool:
        def commit() -> None:
            started_at = time.monotonic()
            self._store.commit(batch)
            self.slowest_commit_s = max(self.slowest_commit_s, time.monotonic() - started_at)

        if not self._run_until_done(commit):
            return False
        self.commits += 1
        self.writes += len(batch)
        self._on_durable([(group, write.number) for group, write in batch])
        return True
