"""A gateway with replicas that can be made to fail between two steps.

Run as `python -m mapleshunt.testbed.faults.faulty_gateway`.

The program as it is, with a few of its functions wrapped before it starts. What to do is in the file that
`MAPLESHUNT_FAULTS` names, read at the start and on SIGUSR2: die at the nth time that a step is reached, be
slow at each commit, or have a wall clock that is off.
"""

from __future__ import annotations

import os
import signal
import time
from pathlib import Path
from typing import Any

import msgspec

from ...net.replication.group_host import GroupHost
from ...replication import messages as m
from ...server.bootstrap import run_gateway
from ...storage.durable_store import DurableStore

VARIABLE = "MAPLESHUNT_FAULTS"
# In the order in which an operation passes them: before it is on disk, on disk and not told, told and nothing
# said of it, said to the leader or the followers, committed and not answered, answered.
STEPS = ("unwritten", "written", "durable", "said", "committed", "answered")


class Plan(msgspec.Struct, frozen=True):
    die_at: str = ""  # one of STEPS
    after: int = 1  # times that it is reached, the last included
    slow: float = 0.0  # s that each commit takes longer
    clock: float = 0.0  # s by which the wall clock is ahead


class Faulty:
    def __init__(self, file: Path) -> None:
        self.file, self.plan, self.reached = file, Plan(), 0
        self.read()

    def read(self, *_: Any) -> None:
        self.plan, self.reached = msgspec.json.decode(self.file.read_bytes(), type=Plan), 0

    def reach(self, step: str) -> None:
        if self.plan.die_at == step:
            self.reached += 1
            if self.reached >= self.plan.after:
                os.kill(os.getpid(), signal.SIGKILL)

    def wrap(self) -> None:
        commit, step, apply, wall = DurableStore.commit, GroupHost.step, GroupHost._apply, time.time

        def slow_commit(disk: DurableStore, writes: Any, beside: Any = None) -> None:
            time.sleep(self.plan.slow)
            self.reach("unwritten")
            commit(disk, writes, beside)
            self.reach("written")

        def told(host: GroupHost, event: m.Event) -> None:
            if isinstance(event, m.WriteCompleted):
                self.reach("durable")
                step(host, event)
                self.reach("said")
            else:
                step(host, event)

        def applied(host: GroupHost, entry: m.Entry, call: int | None) -> None:
            if call is not None:
                self.reach("committed")
            apply(host, entry, call)
            if call is not None:
                self.reach("answered")

        DurableStore.commit = slow_commit  # type: ignore[method-assign, assignment]
        GroupHost.step = told  # type: ignore[method-assign, assignment]
        GroupHost._apply = applied  # type: ignore[method-assign, assignment]
        time.time = lambda: wall() + self.plan.clock


def main() -> int:
    faulty = Faulty(Path(os.environ[VARIABLE]))
    faulty.wrap()
    signal.signal(signal.SIGUSR2, faulty.read)
    return run_gateway()


if __name__ == "__main__":
    raise SystemExit(main())
