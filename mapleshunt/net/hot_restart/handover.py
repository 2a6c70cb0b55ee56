"""The files in `$TMPDIR` by which the processes of one gateway find each other and pass on their state.

Each process locks a file of its own; the lock is released when the process ends, for whatever reason. Files
are numbered, and the highest locked number is the newest process. Nothing depends on leftover files: the next
process removes those that no running process has locked or waits for.

    NAME.gateway.3          process 3's lock; it contains "ready" once that process serves clients
    NAME.gateway.3.from.2   the warm state that process 2 handed to process 3
    NAME.used.3.from.2      units that 2 used since then, by customer; rewritten until 2 ends
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ...lifecycle.warm_state import MAX_ENCODED_BYTES

READY = b"ready"


@dataclass(slots=True, frozen=True)
class OtherProcesses:
    """The numbers of the other running processes of this gateway, the newest first."""

    older: list[int]
    newer: list[int]


class Handover:
    """This process's number among the processes of its gateway, and the files it exchanges with them."""

    def __init__(self, folder: Path, name: str) -> None:
        """Register as the newest process of the gateway `name`.

        Raises:
            OSError: the folder cannot be written to.
        """
        self._folder = folder
        self._stem = re.sub(r"[^A-Za-z0-9_-]", "_", name)
        self._lock_name_pattern = re.compile(rf"{self._stem}\.gateway\.([0-9]{{1,9}})")
        self._remove_leftovers()
        unnumbered = folder / f"{self._stem}.begun.{os.getpid()}"
        self._lock = os.open(unnumbered, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.number = self._take_number(unnumbered)
        except OSError:
            os.close(self._lock)
            raise
        finally:
            unnumbered.unlink(missing_ok=True)

    def _take_number(self, unnumbered: Path) -> int:
        # The file gets its numbered name only once it is locked: no other process takes it for a leftover.
        while True:
            number = max(self._numbers(), default=0) + 1
            with contextlib.suppress(FileExistsError):
                os.link(unnumbered, self._lock_path(number))
                return number

    def _lock_path(self, number: int) -> Path:
        return self._folder / f"{self._stem}.gateway.{number}"

    def _warm_state_path(self, to: int, source: int) -> Path:
        return self._folder / f"{self._stem}.gateway.{to}.from.{source}"

    def _usage_path(self, to: int, source: int) -> Path:
        return self._folder / f"{self._stem}.used.{to}.from.{source}"

    def _numbers(self) -> Iterator[int]:
        for file in os.listdir(self._folder):
            if found := self._lock_name_pattern.fullmatch(file):
                yield int(found[1])

    def _is_running(self, number: int) -> bool:
        """Return whether a process holds this lock. One that cannot be checked counts as running."""
        try:
            with open(self._lock_path(number), "rb") as file:
                fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except FileNotFoundError:
            return False
        except OSError:  # BlockingIOError means locked; others say nothing about the process
            return True
        return False

    def _remove_leftovers(self) -> None:
        """Remove the files of processes that have ended."""
        for number in list(self._numbers()):
            if not self._is_running(number):
                self._lock_path(number).unlink(missing_ok=True)
        exchange_name_pattern = re.compile(
            rf"{self._stem}\.(?:gateway|used)\.([0-9]+)\.from\.[0-9]+(?:\.part)?"
        )
        for file in os.listdir(self._folder):
            found = exchange_name_pattern.fullmatch(file)
            if found and not self._lock_path(int(found[1])).exists():
                (self._folder / file).unlink(missing_ok=True)

    @staticmethod
    def _write(path: Path, data: bytes) -> None:
        """Replace the file atomically: a reader sees the old content or the new, never a part."""
        partial_path = path.with_name(path.name + ".part")
        partial_path.write_bytes(data)
        partial_path.replace(path)

    @staticmethod
    def _read(path: Path) -> bytes | None:
        try:
            with path.open("rb") as file:
                return file.read(MAX_ENCODED_BYTES + 1)
        except OSError:
            return None

    # Other processes

    def other_processes(self) -> OtherProcesses:
        """Return the other running processes.

        Raises:
            OSError: the folder cannot be listed.
        """
        numbers = sorted(self._numbers(), reverse=True)
        running = [number for number in numbers if number != self.number and self._is_running(number)]
        return OtherProcesses(
            older=[number for number in running if number < self.number],
            newer=[number for number in running if number > self.number],
        )

    def older_processes(self) -> list[int]:
        """Return the running processes that started before this one, the newest first."""
        return self.other_processes().older

    def newer_processes(self) -> list[int]:
        """Return the running processes that started after this one, the newest first."""
        return self.other_processes().newer

    def mark_ready(self) -> None:
        """Mark this process as serving clients, for the other processes to see."""
        os.pwrite(self._lock, READY, 0)

    def is_ready(self, number: int) -> bool:
        """Return whether process `number` serves clients."""
        return self._read(self._lock_path(number)) == READY

    # Exchange with other processes

    def write_warm_state(self, to: int, data: bytes) -> None:
        """Hand the encoded warm state to process `to`."""
        self._write(self._warm_state_path(to, self.number), data)

    def take_warm_state(self, source: int) -> bytes | None:
        """Return and remove the warm state that `source` handed to this process; None if there is none."""
        path = self._warm_state_path(self.number, source)
        data = self._read(path)
        path.unlink(missing_ok=True)
        return data

    def write_usage(self, to: int, units: dict[int, float]) -> None:
        """Publish to process `to` the units by customer used since this one handed on its state."""
        self._write(self._usage_path(to, self.number), msgspec.json.encode(units))

    def read_usage(self, source: int) -> dict[int, float]:
        """Return the units by customer that `source` used since it handed on its state.

        Empty if it has written none, or the file cannot be read or decoded.
        """
        data = self._read(self._usage_path(self.number, source))
        try:
            return msgspec.json.decode(data or b"{}", type=dict[int, float])
        except msgspec.DecodeError:
            return {}

    def close(self) -> None:
        """Release the lock. A file that cannot be removed now is removed by the next process."""
        with contextlib.suppress(OSError):
            self._lock_path(self.number).unlink(missing_ok=True)
        os.close(self._lock)
