"""A gateway with replicas that can be made to fail between two steps of an operation.

Run as `python -m mapleshunt.testbed.faults.faulty_gateway`: the program with a few of its functions wrapped
before it starts. The faults are in the file that `MAPLESHUNT_FAULTS` names, read at startup and on SIGUSR2.
"""

from __future__ import annotations

import os
import signal
import time
from pathlib import Path
from typing import Any

from ...net.replication.group_host import GroupHost
from ...replication import messages as m
from ...server.bootstrap import run_gateway
from ...storage.durable_store import DurableStore
from .process_faults import FAULTS_FILE_VARIABLE, CrashStep, ProcessFaults, read_process_faults


class FaultyProgram:
    """Wraps functions of the program in this process, so that they fail as the faults file demands."""

    def __init__(self, file: Path) -> None:
        self._file = file
        self._faults = ProcessFaults()
        self._occurrences = 0  # so far, of the crash step
        self.read_faults()

    def read_faults(self, *_signal_arguments: object) -> None:
        """Read the faults again, and count occurrences of the crash step from 0."""
        self._faults, self._occurrences = read_process_faults(self._file), 0

    def _reach(self, step: CrashStep) -> None:
        """Kill this process if the step has occurred as often as the faults demand."""
        if self._faults.crash_step == step:
            self._occurrences += 1
            if self._occurrences >= self._faults.occurrence:
                os.kill(os.getpid(), signal.SIGKILL)

    def install(self) -> None:
        """Wrap the program's functions; call this once, before it starts."""
        self._wrap_commit()
        self._wrap_step()
        self._wrap_apply()
        self._wrap_wall_clock()

    def _wrap_commit(self) -> None:
        commit = DurableStore.commit

        # Both arguments are passed on unchanged, hence untyped.
        def slow_commit(store: DurableStore, writes: Any, beside: Any = None) -> None:
            time.sleep(self._faults.commit_delay_s)
            self._reach(CrashStep.UNWRITTEN)
            commit(store, writes, beside)
            self._reach(CrashStep.WRITTEN)

        DurableStore.commit = slow_commit  # type: ignore[method-assign, assignment]

    def _wrap_step(self) -> None:
        step = GroupHost.step

        def watched_step(host: GroupHost, event: m.Event) -> None:
            if isinstance(event, m.WriteCompleted):
                self._reach(CrashStep.DURABLE)
                step(host, event)
                self._reach(CrashStep.ACKNOWLEDGED)
            else:
                step(host, event)

        GroupHost.step = watched_step  # type: ignore[method-assign, assignment]

    def _wrap_apply(self) -> None:
        # No public method covers the step between commit and answer.
        apply = GroupHost._apply

        def watched_apply(host: GroupHost, entry: m.Entry, call: int | None) -> None:
            if call is not None:
                self._reach(CrashStep.COMMITTED)
            apply(host, entry, call)
            if call is not None:
                self._reach(CrashStep.ANSWERED)

        GroupHost._apply = watched_apply  # type: ignore[method-assign, assignment]

    def _wrap_wall_clock(self) -> None:
        wall_clock = time.time
        time.time = lambda: wall_clock() + self._faults.clock_offset_s


def main() -> int:
    """Run the program with faults; returns its exit status."""
    faulty = FaultyProgram(Path(os.environ[FAULTS_FILE_VARIABLE]))
    faulty.install()
    signal.signal(signal.SIGUSR2, faulty.read_faults)
    return run_gateway()


if __name__ == "__main__":
    raise SystemExit(main())
