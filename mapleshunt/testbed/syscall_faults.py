"""Random failures of a process's system calls: builds and controls the library of `syscall_faults.c`.

The library is preloaded (LD_PRELOAD) into one process at a time. It and this module map the same control
file: this side writes the current rates, the library counts the faults that it injects.
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

from .errors import LibraryBuildError

SOURCE = Path(__file__).with_name("syscall_faults.c")
COMPILERS = ("cc", "gcc", "clang")


@dataclass(frozen=True)
class SyscallFaultRates:
    """Chance of each fault at one call, in the order of the library's `enum kind`."""

    accept: float = 0.0  # ECONNABORTED, ENFILE, ENOBUFS, EPERM, EINTR, ENETUNREACH
    connect: float = 0.0  # EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT, EHOSTUNREACH, ENOBUFS
    socket: float = 0.0  # ENFILE, ENOBUFS, EMFILE, ENOMEM
    short_io: float = 0.0  # reads and writes of a part
    interrupt: float = 0.0  # EINTR, of reads, writes and waits
    broken_as: float = 0.0  # a reset that shows as ETIMEDOUT or EHOSTUNREACH
    disk: float = 0.0  # writes and syncs under the folder: EIO, ENOSPC, half of the bytes written
    disk_read: float = 0.0  # reads under the folder: EIO
    clock_step: float = 0.0  # s that the wall clock is ahead; not a chance
    disk_slow: float = 0.0  # s added to each sync under the folder; not a chance
    # A hold: a pause of `hold_s` before the call, each at least `hold_spacing_s` after the one before.
    hold_peek: float = 0.0  # a read that leaves the bytes in the socket
    hold_read: float = 0.0
    hold_write: float = 0.0
    hold_shutdown: float = 0.0
    hold_close: float = 0.0
    hold_accept: float = 0.0
    hold_clock: float = 0.0  # a reading of any clock
    hold_s: float = 0.0  # not a chance
    hold_spacing_s: float = 0.0  # not a chance


# The calls at which a process can be held up.
HOLD_KINDS = (
    "hold_peek",
    "hold_read",
    "hold_write",
    "hold_shutdown",
    "hold_close",
    "hold_accept",
    "hold_clock",
)
KINDS = tuple(field.name for field in fields(SyscallFaultRates))
RATES = struct.Struct(f"<{len(KINDS)}d")
COUNTS = struct.Struct(f"<{len(KINDS)}Q")


def build_library(folder: Path) -> Path:
    """Compile the library into the folder and return its path. Raises `LibraryBuildError`."""
    compiler = next((found for name in COMPILERS if (found := shutil.which(name))), None)
    if compiler is None:
        raise LibraryBuildError(f"no C compiler found: none of {', '.join(COMPILERS)} is installed")
    library = folder / "syscall_faults.so"
    command = [compiler, "-O2", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    compilation = subprocess.run(command, capture_output=True, text=True)
    if compilation.returncode:
        raise LibraryBuildError(compilation.stderr.strip().splitlines()[-1])
    return library


class SyscallFaultControl:
    """The current rates of one process, and the faults that the library has injected into it."""

    def __init__(self, library: Path, file: Path, seed: int, folder: Path | None = None) -> None:
        """The disk faults affect files in `folder`; without a folder there are none."""
        self.folder = folder
        self._library, self._file, self._seed = library, file, seed
        file.write_bytes(bytes(RATES.size + COUNTS.size))
        with file.open("r+b") as opened:
            self._shared = mmap.mmap(opened.fileno(), 0)

    def environment(self) -> dict[str, str]:
        """Return the environment variables that load the library into a process."""
        variables = {
            "LD_PRELOAD": str(self._library),
            "MAPLESHUNT_FAULT_CONTROL": str(self._file),
            "MAPLESHUNT_FAULT_SEED": str(self._seed),
        }
        if self.folder is not None:
            variables["MAPLESHUNT_FAULT_FOLDER"] = str(self.folder)
        if inherited := os.environ.get("LD_PRELOAD"):
            variables["LD_PRELOAD"] += f":{inherited}"
        return variables

    def set(self, rates: SyscallFaultRates) -> None:
        """Apply these rates from now on."""
        self._shared[: RATES.size] = RATES.pack(*astuple(rates))

    def counts(self) -> Mapping[str, int]:
        """Return how many faults were injected so far, by kind, without zeros."""
        values = COUNTS.unpack(self._shared[RATES.size :])
        return {kind: count for kind, count in zip(KINDS, values, strict=True) if count}

    def close(self) -> None:
        """Unmap the control file; the current rates stay in force."""
        self._shared.close()
