"""Faults of the process of a gateway with replicas, and the file from which it reads them."""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path

import msgspec

FAULTS_FILE_VARIABLE = "MAPLESHUNT_FAULTS"  # environment variable that names the file
FAULTY_GATEWAY_MODULE = "mapleshunt.testbed.faults.faulty_gateway"  # started with `python -m`


class CrashStep(StrEnum):
    """The steps of an operation, in their order."""

    UNWRITTEN = "unwritten"  # before it is on disk
    WRITTEN = "written"  # on disk, and the replica has not been notified
    DURABLE = "durable"  # the replica is notified, and has sent nothing
    ACKNOWLEDGED = "acknowledged"  # sent to the leader or the followers
    COMMITTED = "committed"  # committed, and its client has no answer
    ANSWERED = "answered"


class ProcessFaults(msgspec.Struct, frozen=True):
    """The faults of one process; by default there are none."""

    crash_step: CrashStep | None = None
    occurrence: int = 1  # of the step, counted from 1, at which the process is killed
    commit_delay_s: float = 0.0  # added to each commit to the store
    clock_offset_s: float = 0.0  # by which the wall clock is ahead


def write_process_faults(file: Path, faults: ProcessFaults) -> None:
    """Replace the faults in the file; a running process reads them on SIGUSR2."""
    file.write_bytes(msgspec.json.encode(faults))


def read_process_faults(file: Path) -> ProcessFaults:
    """Return the faults in the file.

    Raises:
        msgspec.ValidationError: the file holds something else.
    """
    return msgspec.json.decode(file.read_bytes(), type=ProcessFaults)
