"""Two processes of one gateway: how they find each other in `$TMPDIR`, and what passes between them.

Each process holds a lock on a file of its own for as long as it lives, whatever ends it; files are numbered,
and the highest number that is alive is the newest process. Nothing rests on a file that may be left over:
what no living process holds or waits for is removed by the next one.

    NAME.gateway.3          process 3's lock; it holds the word "ready" once it takes clients
    NAME.gateway.3.from.2   what process 2 handed on to process 3
    NAME.used.3.from.2      units that 2 used since, by customer; written again and again until 2 ends
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import re
from collections.abc import Iterator
from pathlib import Path

import msgspec

from ...lifecycle.warm_state import MAX_ENCODED_BYTES

READY = b"ready"


class Handover:
    def __init__(self, folder: Path, name: str) -> None:
        """Joins as the newest process. Raises OSError if the folder cannot be written to."""
        self.folder, self.stem = folder, re.sub(r"[^A-Za-z0-9_-]", "_", name)
        self.form = re.compile(rf"{self.stem}\.gateway\.([0-9]{{1,9}})")
        self._tidy()
        begun = folder / f"{self.stem}.begun.{os.getpid()}"
        self.lock = os.open(begun, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.number = self._join(begun)
        except OSError:
            os.close(self.lock)
            raise
        finally:
            begun.unlink(missing_ok=True)

    def _join(self, begun: Path) -> int:
        # The file gets its name only once it is locked: nobody sees it as left over.
        while True:
            number = max(self._numbers(), default=0) + 1
            with contextlib.suppress(FileExistsError):
                os.link(begun, self._path(number))
                return number

    def _path(self, number: int) -> Path:
        return self.folder / f"{self.stem}.gateway.{number}"

    def _knowledge(self, to: int, source: int) -> Path:
        return self.folder / f"{self.stem}.gateway.{to}.from.{source}"

    def _used(self, to: int, source: int) -> Path:
        return self.folder / f"{self.stem}.used.{to}.from.{source}"

    def _numbers(self) -> Iterator[int]:
        for file in os.listdir(self.folder):
            if found := self.form.fullmatch(file):
                yield int(found[1])

    def _alive(self, number: int) -> bool:
        """Does a process hold this lock? One that cannot be looked at now counts as alive."""
        try:
            with open(self._path(number), "rb") as file:
                fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except FileNotFoundError:
            return False
        except OSError:  # BlockingIOError is the lock; others say nothing about the process
            return True
        return False

    def _tidy(self) -> None:
        """Remove what processes left that are no more."""
        for one in list(self._numbers()):
            if not self._alive(one):
                self._path(one).unlink(missing_ok=True)
        form = re.compile(rf"{self.stem}\.(?:gateway|used)\.([0-9]+)\.from\.[0-9]+(?:\.part)?")
        for file in os.listdir(self.folder):
            if (found := form.fullmatch(file)) and not self._path(int(found[1])).exists():
                (self.folder / file).unlink(missing_ok=True)

    def _write(self, path: Path, data: bytes) -> None:
        part = path.with_name(path.name + ".part")
        part.write_bytes(data)
        part.replace(path)

    @staticmethod
    def _read(path: Path) -> bytes | None:
        try:
            with path.open("rb") as file:
                return file.read(MAX_ENCODED_BYTES + 1)
        except OSError:
            return None

    # Whom there is

    def other_processes(self) -> tuple[list[int], list[int]]:
        """Processes that are alive: the older and the newer ones, the newest first."""
        numbers = sorted(self._numbers(), reverse=True)
        living = [one for one in numbers if one != self.number and self._alive(one)]
        return [one for one in living if one < self.number], [one for one in living if one > self.number]

    def older_processes(self) -> list[int]:
        return self.other_processes()[0]

    def newer_processes(self) -> list[int]:
        return self.other_processes()[1]

    def mark_ready(self) -> None:
        """This process takes clients from now on."""
        os.pwrite(self.lock, READY, 0)

    def is_ready(self, number: int) -> bool:
        return self._read(self._path(number)) == READY

    # What passes between them

    def write_warm_state(self, to: int, data: bytes) -> None:
        self._write(self._knowledge(to, self.number), data)

    def take_warm_state(self, source: int) -> bytes | None:
        """What `source` handed on to this process, once."""
        path = self._knowledge(self.number, source)
        data = self._read(path)
        path.unlink(missing_ok=True)
        return data

    def write_usage(self, to: int, units: dict[int, float]) -> None:
        self._write(self._used(to, self.number), msgspec.json.encode(units))

    def read_usage(self, source: int) -> dict[int, float]:
        """Units by customer that `source` used since; empty if it has told none, or what makes no sense."""
        data = self._read(self._used(self.number, source))
        try:
            return msgspec.json.decode(data or b"{}", type=dict[int, float])
        except msgspec.DecodeError:
            return {}

    def close(self) -> None:
        with contextlib.suppress(OSError):  # what is left over the next process removes
            self._path(self.number).unlink(missing_ok=True)
        os.close(self.lock)
