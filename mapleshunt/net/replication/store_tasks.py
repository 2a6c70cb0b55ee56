"""Store operations in the writer's thread, with results passed back to the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

from ...replication import messages as m
from ...storage.durable_store import DurableStore
from ...storage.writer import StoreWriter

Result = TypeVar("Result")


class StoreTasks:
    """Passes writes and other tasks to the writer's thread, in order."""

    def __init__(self, store: DurableStore) -> None:
        """Initialize; `start` starts the thread."""
        self.store = store
        self.writer: StoreWriter
        self._muted = False
        self._loop: asyncio.AbstractEventLoop

    def start(
        self, on_written: Callable[[list[tuple[int, int]]], None], on_failed: Callable[[str], None]
    ) -> None:
        """Start the writer's thread.

        Args:
            on_written: called in the event loop with the (group, number) of durable writes.
            on_failed: called in the event loop with the reason why a commit failed; it is repeated.
        """
        self._loop = asyncio.get_running_loop()
        self.writer = StoreWriter(
            self.store,
            lambda completed: self._call_in_loop(on_written, completed),
            lambda reason: self._call_in_loop(on_failed, reason),
        )

    def _call_in_loop(self, callback: Callable[[Result], None], result: Result) -> None:
        if not self._muted:
            self._loop.call_soon_threadsafe(callback, result)

    def write(self, group: int, write: m.Write) -> None:
        """Queue a write of a group's node, to be made durable."""
        self.writer.write(group, write)

    def run(self, task: Callable[[], Result], *callbacks: Callable[[Result], None]) -> None:
        """Queue a task to run between two commits; the callbacks get its result in the event loop."""

        def run_task() -> None:
            result = task()
            for callback in callbacks:
                self._call_in_loop(callback, result)

        self.writer.run_task(run_task)

    def mute(self) -> None:
        """Stop passing results back."""
        self._muted = True

    def close(self) -> None:
        """Finish the queued writes, if the disk allows it, and close the store."""
        self.writer.close()
        self.store.close()
