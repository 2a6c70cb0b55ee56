"""Work on the store, done by its writer's thread, with the results handed back to the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

from ...replication import messages as m
from ...storage.durable_store import DurableStore
from ...storage.writer import StoreWriter

Result = TypeVar("Result")


class StoreTasks:
    """Hands writes and other tasks to the writer's thread, in their order."""

    def __init__(self, store: DurableStore) -> None:
        """Wire it; the thread begins with `start`."""
        self.store = store
        self.writer: StoreWriter
        self._muted = False
        self._loop: asyncio.AbstractEventLoop

    def start(
        self, on_written: Callable[[list[tuple[int, int]]], None], on_failed: Callable[[str], None]
    ) -> None:
        """Begin the writer's thread.

        Args:
            on_written: gets the group and number of writes that are durable, in the event loop.
            on_failed: gets why a commit failed, in the event loop; the commit is repeated.
        """
        self._loop = asyncio.get_running_loop()
        self.writer = StoreWriter(
            self.store,
            lambda done: self._call_in_loop(on_written, done),
            lambda why: self._call_in_loop(on_failed, why),
        )

    def _call_in_loop(self, callback: Callable[[Result], None], result: Result) -> None:
        if not self._muted:
            self._loop.call_soon_threadsafe(callback, result)

    def write(self, group: int, write: m.Write) -> None:
        """Make a write of a group's node durable."""
        self.writer.write(group, write)

    def run(self, task: Callable[[], Result], *callbacks: Callable[[Result], None]) -> None:
        """Run a task between two commits; the callbacks get its result in the event loop."""

        def run_task() -> None:
            result = task()
            for callback in callbacks:
                self._call_in_loop(callback, result)

        self.writer.run_task(run_task)

    def mute(self) -> None:
        """Hand back no more results."""
        self._muted = True

    def close(self) -> None:
        """Finish the writes that wait, if the disk allows it, and close the store."""
        self.writer.close()
        self.store.close()
