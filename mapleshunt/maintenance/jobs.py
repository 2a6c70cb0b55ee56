"""Who goes out when: a state machine that every gateway applies to the same log, and so settles alike. Pure.

Grants are made where an entry is applied, from the state and what the coordinator saw, which is in the entry
too: whoever coordinates next goes on from there, and nobody acts on a view of its own. A grant has a number
that only grows, and an end in the log's time; a machine tells what it does under its number, and whatever is
told under an older one is refused.

The order: the most urgent first, a step of urgency being worth `AGING` of waiting, so that nobody waits for
ever; then the zone that has fewest of its machines out or done, whoever leads fewest groups, the name.

What is out is counted: machines from their grant until they are back and checked, also those whose grant ran
out (they count as out until they have proved to be back), and all that are not seen though nobody took them
out. A grant goes out only if with it at most `most`, and `zone` of a zone, are out, each group keeps a
majority of sound copies, those left are not overloaded, and no pause, window, hold or stop forbids it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import msgspec

from . import commands as w
from .budget import Budget, budget_error
from .records import (
    FINAL_STATES,
    OUT_STATES,
    HistoryEntry,
    MachineJob,
    MaintenanceRequest,
    MaintenanceSnapshot,
)

URGENCY_STEP_MS = 600_000.0  # ms of waiting that a step of urgency is worth
MAX_REQUESTS = 256
MAX_OPEN_JOBS = 1024
MAX_HISTORY_ENTRIES = 64  # steps of a machine's story, the oldest go first
MAX_TEXT_CHARS = 500  # characters of a reason


class MaintenanceError(Exception):
    """The operation changes nothing; its text is why."""


class MaintenanceJobs:
    def __init__(self) -> None:
        self.budget = Budget()
        self.hold_reason = ""  # why, if operators hold all grants
        self.last_fencing_token = self.failures = 0
        self.last_return_at = float("-inf")  # when a machine was last back
        self.overloaded = False  # those left would be overloaded: grants wait for some slack
        self.requests: dict[str, MaintenanceRequest] = {}
        self.jobs: dict[tuple[str, str], MachineJob] = {}  # by request and machine
        self.blocked_reason = ""  # why nobody who waits may go, as of the last look
        self.budget_was_set = False  # somebody set the budget

    # Snapshots

    def snapshot(self) -> MaintenanceSnapshot:
        return MaintenanceSnapshot(
            self.budget,
            self.hold_reason,
            self.last_fencing_token,
            self.failures,
            max(self.last_return_at, -1e18),
            self.overloaded,
            tuple(self.requests.values()),
            tuple(self.jobs.values()),
            self.blocked_reason,
            self.budget_was_set,
        )

    def restore(self, frozen: MaintenanceSnapshot) -> None:
        self.budget, self.hold_reason, self.last_fencing_token = (
            frozen.budget,
            frozen.hold_reason,
            frozen.last_fencing_token,
        )
        self.failures, self.last_return_at = frozen.failures, frozen.last_return_at
        self.overloaded, self.blocked_reason, self.budget_was_set = (
            frozen.overloaded,
            frozen.blocked_reason,
            frozen.budget_was_set,
        )
        self.requests = {one.details.request_id: one for one in frozen.requests}
        self.jobs = {(one.request_id, one.machine): one for one in frozen.jobs}

    # What is asked

    def apply(self, now: float, operation: w.Operation) -> float:
        """Raises `Refused`. A number: of a grant, or of what is in the state."""
        match operation:
            case w.RequestMaintenance():
                self._request_maintenance(now, operation)
            case w.WithdrawRequest(id, author):
                self._withdraw(now, id, author)
            case w.SetHold(on, author, reason):
                self.hold_reason = f"{reason or 'held'} ({author})"[:MAX_TEXT_CHARS] if on else ""
                self.failures = self.failures if on else 0
            case w.ForceGrant(machine, author, reason):
                self._force(now, machine, author, reason)
            case w.SetBudget(budget, _):
                if why := budget_error(budget):
                    raise MaintenanceError(why)
                self.budget, self.budget_was_set = budget, True
            case w.FleetView():
                self._seen(now, operation)
            case w.ReportProgress():
                self._told(now, operation)
        return float(self.last_fencing_token)

    def open_jobs(self) -> list[MachineJob]:
        """Places that are not over, in the order of their requests."""
        return [one for one in self.jobs.values() if one.state not in FINAL_STATES]

    def job_of(self, machine: str) -> MachineJob | None:
        """Where a machine is: at work if it is anywhere, else waiting."""
        mine = [one for one in self.open_jobs() if one.machine == machine]
        return next((one for one in mine if one.state in OUT_STATES), mine[0] if mine else None)

    def _request_maintenance(self, now: float, ask: w.RequestMaintenance) -> None:
        if ask.request_id in self.requests:
            return
        if not ask.machines or len(set(ask.machines)) != len(ask.machines):
            raise MaintenanceError("no machine, or one twice")
        if (
            not ask.request_id
            or len(ask.reason) > MAX_TEXT_CHARS
            or not 0 <= ask.urgency <= 9
            or not ask.expected_s > 0
        ):
            raise MaintenanceError("an id, a reason, an expected time and an urgency of 0 to 9 are needed")
        if taken := next((one for one in self.open_jobs() if one.machine in ask.machines), None):
            raise MaintenanceError(f"{taken.machine} is asked for already, by {taken.request_id}")
        if len(self.open_jobs()) + len(ask.machines) > MAX_OPEN_JOBS or not self._room():
            raise MaintenanceError("too much is asked for already")
        self.requests[ask.request_id] = MaintenanceRequest(ask, now)
        for machine in ask.machines:
            step = HistoryEntry(now, "queued", ask.reason, ask.author)
            self.jobs[ask.request_id, machine] = MachineJob(
                machine, ask.request_id, state_since=now, history=(step,)
            )

    def _room(self) -> bool:
        """Requests that are over make room, the oldest first."""
        busy = {one.request_id for one in self.open_jobs()}
        for id in [one for one in self.requests if one not in busy]:
            if len(self.requests) < MAX_REQUESTS:
                break
            for key in [key for key in self.jobs if key[0] == id]:
                del self.jobs[key]
            del self.requests[id]
        return len(self.requests) < MAX_REQUESTS

    def _enter(
        self, now: float, place: MachineJob, state: str, why: str = "", author: str = "", **more: object
    ) -> None:
        story = (*place.history, HistoryEntry(now, state, why[:MAX_TEXT_CHARS], author))[
            -MAX_HISTORY_ENTRIES:
        ]
        changed = msgspec.structs.replace(place, state=state, state_since=now, history=story, **more)
        self.jobs[place.request_id, place.machine] = changed

    def _withdraw(self, now: float, id: str, author: str) -> None:
        if id not in self.requests:
            raise MaintenanceError(f"there is no request {id}")
        for place in [one for one in self.open_jobs() if one.request_id == id]:
            if place.state == "queued":
                self._enter(now, place, "withdrawn", author=author)
            elif place.state in ("granted", "draining", "safe"):
                self._enter(now, place, "recalled", "withdrawn", author, outcome="withdrawn")
            # What is out comes back as any other.

    def _force(self, now: float, machine: str, author: str, reason: str) -> None:
        place = self.job_of(machine)
        if place is None or place.state != "queued":
            raise MaintenanceError(
                f"{machine} does not wait" if place is None else f"{machine} is {place.state}"
            )
        if not reason:
            raise MaintenanceError("a reason is needed")
        self._enter(now, place, "queued", f"forced: {reason}", author, outcome="forced")

    # What machines tell

    NEXT = {  # noqa: RUF012 - what may be told in a state
        "granted": ("draining", "undone", "failed"), "draining": ("safe", "undone", "failed"),
        "safe": ("out", "undone"), "out": ("returning",), "overdue": ("returning", "undone"),
        "recalled": ("undone",), "returning": ("failed",),
    }  # fmt: skip

    def _told(self, now: float, told: w.ReportProgress) -> None:
        place = self.job_of(told.machine)
        if place is None or place.fencing_token != told.fencing_token:
            raise MaintenanceError("fence")
        if place.state == told.state:
            return  # told again
        if told.state not in self.NEXT.get(place.state, ()):
            raise MaintenanceError(f"{told.machine} is {place.state}")
        if (
            place.state in ("granted", "draining", "safe")
            and told.state != "undone"
            and now > place.expires_at
        ):
            raise MaintenanceError("the grant has run out")
        match told.state:
            case "undone":
                self._undone(now, place, told.reason)
            case "failed":
                self.failures += 1
                self._enter(now, place, "recalled", told.reason, outcome="failed")
            case "safe":
                # It waits for whoever works on it, as long as a drain may take.
                self._enter(now, place, "safe", told.reason, expires_at=now + 1000 * self.budget.drain_s)
            case what:
                self._enter(now, place, what, told.reason)

    def _undone(self, now: float, place: MachineJob, why: str) -> None:
        """It works again as before: what was begun was taken back."""
        if place.outcome in ("withdrawn", "failed"):
            self._enter(now, place, place.outcome, why, fencing_token=0, expires_at=0.0)
        else:
            self._enter(now, place, "queued", why, fencing_token=0, expires_at=0.0, outcome="")

    # What the coordinator sees

    def _seen(self, now: float, seen: w.FleetView) -> None:
        sights = {one.name: one for one in seen.machines}
        self._run_out(now, sights)
        self._back(now, sights)
        out = self._out(sights)
        self._call_back(now, out)
        waiting = [one for one in self.open_jobs() if one.state == "queued"]
        self.blocked_reason = "" if waiting else self.blocked_reason
        while waiting:
            place = self._order(now, waiting, sights)[0]
            waiting.remove(place)
            if (sight := sights.get(place.machine)) is not None and not sight.available:
                continue  # it is out without a grant, and could not drain; others go meanwhile
            self.blocked_reason = self._why_not(now, place, seen, sights, self._out(sights))
            if self.blocked_reason:
                if place.outcome == "forced":
                    continue
                break  # nobody overtakes: whoever is first goes first
            self.last_fencing_token += 1
            until = now + 1000 * self.budget.drain_s
            self._enter(
                now,
                place,
                "granted",
                place.outcome,
                fencing_token=self.last_fencing_token,
                expires_at=until,
                outcome="",
            )

    def _run_out(self, now: float, sights: dict[str, w.MachineView]) -> None:
        """Grants that ended: what was begun under them is taken back, and counts as out until it is."""
        for place in self.open_jobs():
            if place.state in ("granted", "draining", "safe") and now > place.expires_at:
                self._enter(now, place, "recalled", "the grant ran out")
            expected = 1000 * self.requests[place.request_id].details.expected_s
            if place.state == "out" and now > place.state_since + expected:
                self._enter(now, place, "overdue", "not back in the time expected")

    def _back(self, now: float, sights: dict[str, w.MachineView]) -> None:
        for place in self.open_jobs():
            sight = sights.get(place.machine)
            if place.state != "returning" or sight is None or not sight.available:
                continue
            wanted = self.requests[place.request_id].details.target_version
            if wanted and sight.version != wanted:
                self.failures += 1
                why = f"it is back with version {sight.version or 'unknown'}, not {wanted}"
                self._enter(now, place, "failed", why, fencing_token=0)
            else:
                self._enter(now, place, "done", fencing_token=0)
            self.last_return_at = now

    def _out(self, sights: dict[str, w.MachineView]) -> set[str]:
        """All that count as out: planned, and not seen though nobody took them out."""
        planned = {one.machine for one in self.open_jobs() if one.state in OUT_STATES}
        return planned | {name for name, one in sights.items() if not one.available}

    def _call_back(self, now: float, out: Iterable[str]) -> None:
        """Unplanned losses use the budget up: who still drains is called back, the last granted first."""
        over = len(set(out)) - self.budget.max_out
        draining = [one for one in self.open_jobs() if one.state in ("granted", "draining")]
        called = [one for one in draining if not self._forced(one)]
        for place in sorted(called, key=lambda one: -one.fencing_token)[: max(0, over)]:
            self._enter(now, place, "recalled", "others were lost meanwhile")

    @staticmethod
    def _forced(place: MachineJob) -> bool:
        return any(step.reason.startswith("forced") for step in place.history)

    def _order(
        self, now: float, waiting: list[MachineJob], sights: dict[str, w.MachineView]
    ) -> list[MachineJob]:
        zones = {name: one.zone for name, one in sights.items()}
        went = [one for one in self.jobs.values() if one.state in OUT_STATES or one.state == "done"]
        busy = Counter(zones.get(one.machine, "") for one in went)

        def key(place: MachineJob) -> tuple[bool, float, int, int, str]:
            request = self.requests[place.request_id]
            rank = request.details.urgency * URGENCY_STEP_MS + now - request.submitted_at
            sight = sights.get(place.machine)
            zone, leads = zones.get(place.machine, ""), sight.groups_led if sight is not None else 0
            return place.outcome != "forced", -rank, busy[zone], leads, place.machine

        return sorted(waiting, key=key)

    def _why_not(
        self,
        now: float,
        place: MachineJob,
        seen: w.FleetView,
        sights: dict[str, w.MachineView],
        out: set[str],
    ) -> str:
        """Why a machine may not go now; nothing if it may."""
        budget, machine = self.budget, place.machine
        sight = sights.get(machine)
        if sight is None:
            return f"{machine} is no machine of this fleet"
        for number, group in enumerate(seen.groups):
            left = [one for one in group.up_to_date if one not in out and one != machine]
            if machine in group.voters and 2 * len(left) <= len(group.voters):
                return f"group {number} would have no majority without {machine}"
        if place.outcome == "forced":
            return ""
        if self.hold_reason:
            return f"held: {self.hold_reason}"
        if self.failures >= budget.max_failures:
            return f"{self.failures} machines failed: resume to go on"
        request = self.requests[place.request_id].details
        if seen.wall_time < request.earliest_time:
            return f"{machine} not before its earliest time"
        if any(begin <= seen.wall_time < end for begin, end in budget.closed_windows):
            return "a closed window"
        if now < self.last_return_at + 1000 * budget.pause_s:
            return "a pause after the last return"
        if len(out | {machine}) > budget.max_out:
            return f"{len(out)} of {budget.max_out} are out: {', '.join(sorted(out)[:5])}"
        zone = sum(sights[one].zone == sight.zone for one in out if one in sights and one != machine)
        if zone + 1 > budget.max_out_per_zone:
            return f"{zone} of {budget.max_out_per_zone} of zone {sight.zone or 'none'} are out"
        left = [name for name in sights if name not in out and name != machine]
        whole = sum(one.load for name, one in sights.items() if name not in out)
        load = whole / len(left) if left else float("inf")
        limit = budget.max_load - (budget.load_slack if self.overloaded else 0.0)
        self.overloaded = load > limit
        if self.overloaded:
            return f"those left would be loaded to {load:.2f} of {limit:.2f}"
        return ""
