"""A schedule of faults, drawn by seed or given, on a fleet whose clients call continuously.

The next fault depends on the seed and on events (calls answered, the current leader), not on wall time. Each
fault is healed before the next. At the end every call has to be answered, and the history of all calls is
checked against the guarantees of replication.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Sequence

from ...simulation.history_checker import HistoryEvent, find_violations
from ..errors import GatewayError
from ..replica_client import ReplicaClient
from ..replica_workload import BURST, read_final_state, run_workload
from .fault_injection import FaultInjector, FaultKind
from .replicated_fleet import SETTLE_TIMEOUT_S, ReplicatedFleet
from .report import FaultReport

# Kinds that a seed draws from. DIE, a crash at one of many steps, is twice as likely as the others.
DRAWN_KINDS: tuple[FaultKind, ...] = (
    FaultKind.KILL_LEADER, FaultKind.KILL, FaultKind.KILL_TWO, FaultKind.PAUSE_LEADER, FaultKind.CUT_LEADER,
    FaultKind.DEAFEN_LEADER, FaultKind.MUTE_LEADER, FaultKind.DELAY, FaultKind.RESET,
    FaultKind.WIPE_FOLLOWER, FaultKind.WIPE_LEADER, FaultKind.OLD_DISK, FaultKind.KILL_ALL,
    FaultKind.TRANSFER, FaultKind.TERM, FaultKind.DISK_FULL, FaultKind.START_AGAIN, FaultKind.DIE,
    FaultKind.DIE, FaultKind.SLOW_DISK, FaultKind.CLOCKS,
)  # fmt: skip
CALLS_BETWEEN_FAULTS = 20
MAX_LISTED_CALLS = 3  # of those without an answer, in a message


class FaultScheduleRun:
    """One run on a fleet that has not been started."""

    def __init__(self, fleet: ReplicatedFleet) -> None:
        self.fleet = fleet
        self.report = FaultReport(fleet.seed, len(fleet.machines))
        self.injector = FaultInjector(fleet, self.report.leaderless_s)
        self._ended = False  # clients start no more calls

    async def run(self, faults: int = 6, clients: int = 4, schedule: Sequence[str] = ()) -> FaultReport:
        """Inject `faults` drawn by seed, or those of the schedule, and check the history.

        Violations are in the report. If it is cancelled, the clients and the fleet are stopped.

        Raises:
            ValueError: the schedule names an unknown fault.
        """
        started_at = time.monotonic()
        given = [FaultKind(name) for name in schedule]
        callers: list[ReplicaClient] = []
        calls: list[asyncio.Task[None]] = []
        try:
            await self.fleet.start()
            for number in range(clients):
                caller = self.fleet.client(number)
                callers.append(caller)
                calls.append(asyncio.create_task(run_workload(caller, lambda: self._ended)))
            await self._inject_each(given, faults)
            self._ended = True
            await asyncio.wait_for(asyncio.gather(*calls), SETTLE_TIMEOUT_S)
            final = await read_final_state(callers[0], SETTLE_TIMEOUT_S)
            self.report.broken = find_violations(self.fleet.history, final, BURST)
        except (GatewayError, TimeoutError) as error:
            self.report.broken.append(f"run aborted: {error!r}; unanswered calls: {self._unanswered_calls()}")
        finally:
            for call in calls:
                call.cancel()
            for caller in callers:
                caller.close()
            await self.fleet.stop()
        self.report.calls = _calls_by_kind(self.fleet.history)
        self.report.repeats = sum(caller.repeats for caller in callers)
        self.report.seconds = round(time.monotonic() - started_at, 2)
        return self.report

    async def _inject_each(self, given: Sequence[FaultKind], count: int) -> None:
        """Inject the given or drawn faults; heal each and wait for answered calls before the next."""
        await self.fleet.wait_for_answers(CALLS_BETWEEN_FAULTS, SETTLE_TIMEOUT_S)
        for kind in given or self.fleet.random.choices(DRAWN_KINDS, k=count):
            self.report.faults.append(kind.value)
            await self.injector.inject(kind)
            self.fleet.heal()
            await self.fleet.wait_until_settled()
            await self.fleet.wait_for_answers(CALLS_BETWEEN_FAULTS, SETTLE_TIMEOUT_S)

    def _unanswered_calls(self) -> list[str]:
        unanswered = [f"{event.session} {event.number}" for event in self.fleet.history if not event.ended_at]
        return unanswered[:MAX_LISTED_CALLS]


def _calls_by_kind(history: Sequence[HistoryEvent]) -> dict[str, int]:
    kinds = Counter(_kind_of(event) for event in history)
    return dict(sorted(kinds.items()))


def _kind_of(event: HistoryEvent) -> str:
    """Return the first word of a read, or the name of an operation's type."""
    if isinstance(event.operation, str):
        return event.operation.split()[0]
    return type(event.operation).__name__
