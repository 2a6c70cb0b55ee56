"""System calls of a process that fail by chance: the library of syscall_faults.c, built and controlled.

The library is preloaded (LD_PRELOAD) into one process at a time. It and this module map the same control
file: this side writes the rates that hold, the library counts what it did.
"""

from __future__ import annotations

import mmap
import os
import shutil
import struct
import subprocess
from collections.abc import Mapping
from dataclasses import astuple, dataclass, fields
from pathlib import Path

SOURCE = Path(__file__).with_name("syscall_faults.c")
COMPILERS = ("cc", "gcc", "clang")


class LibraryBuildError(Exception):
    """The library cannot be built here; the text says why."""


@dataclass(frozen=True)
class SyscallFaultRates:
    """Chance of each fault at one call, in the order of the library's `enum kind`."""

    accept: float = 0.0  # ECONNABORTED, ENFILE, ENOBUFS, EPERM, EINTR, ENETUNREACH
    connect: float = 0.0  # EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT, EHOSTUNREACH, ENOBUFS
    socket: float = 0.0  # ENFILE, ENOBUFS, EMFILE, ENOMEM
    short_io: float = 0.0  # reads and writes of a part
    interrupt: float = 0.0  # EINTR, of reads, writes and waits
    broken_as: float = 0.0  # a reset that shows as ETIMEDOUT or EHOSTUNREACH
    hold: float = 0.0  # a pause of up to 0.06 s before a write, once a second
    disk: float = 0.0  # writes and syncs under the folder: EIO, ENOSPC, half of the bytes
    disk_read: float = 0.0  # reads under the folder: EIO
    clock_step: float = 0.0  # s that the wall clock is ahead; no chance
    disk_slow: float = 0.0  # s that each sync under the folder takes longer; no chance


KINDS = tuple(field.name for field in fields(SyscallFaultRates))
RATES = struct.Struct(f"<{len(KINDS)}d")
COUNTS = struct.Struct(f"<{len(KINDS)}Q")


def build_library(folder: Path) -> Path:
    """Compile the library into the folder. Raises `LibraryBuildError`."""
    compiler = next((found for name in COMPILERS if (found := shutil.which(name))), None)
    if compiler is None:
        raise LibraryBuildError(f"none of {', '.join(COMPILERS)} is installed")
    library = folder / "syscall_faults.so"
    command = [compiler, "-O2", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    done = subprocess.run(command, capture_output=True, text=True)
    if done.returncode:
        raise LibraryBuildError(done.stderr.strip().splitlines()[-1])
    return library


class SyscallFaultControl:
    """The rates that hold for one process, and what the library has done to it."""

    def __init__(self, library: Path, file: Path, seed: int, folder: Path | None = None) -> None:
        """`folder` is the one whose files the disk faults are about."""
        self.library, self.file, self.seed, self.folder = library, file, seed, folder
        file.write_bytes(bytes(RATES.size + COUNTS.size))
        with file.open("r+b") as opened:
            self.shared = mmap.mmap(opened.fileno(), 0)

    def environment(self) -> dict[str, str]:
        """The variables that load the library into a process."""
        chosen = {
            "LD_PRELOAD": str(self.library),
            "MAPLESHUNT_FAULT_CONTROL": str(self.file),
            "MAPLESHUNT_FAULT_SEED": str(self.seed),
        }
        if self.folder is not None:
            chosen["MAPLESHUNT_FAULT_FOLDER"] = str(self.folder)
        if before := os.environ.get("LD_PRELOAD"):
            chosen["LD_PRELOAD"] += f":{before}"
        return chosen

    def set(self, rates: SyscallFaultRates) -> None:
        """Make these rates hold from now on."""
        self.shared[: RATES.size] = RATES.pack(*astuple(rates))

    def counts(self) -> Mapping[str, int]:
        """Faults so far, by kind."""
        values = COUNTS.unpack(self.shared[RATES.size :])
        return {kind: count for kind, count in zip(KINDS, values, strict=True) if count}

    def close(self) -> None:
        self.shared.close()
