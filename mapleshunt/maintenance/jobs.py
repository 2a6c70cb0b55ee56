"""The replicated state machine of maintenance: which machine is taken out when.

Grants are made when a log entry is applied, from the state and the coordinator's fleet view in the entry, so
that all gateways agree and a new coordinator continues from there. A grant has a fencing token that only
grows, and an end in the log's time; progress reported under another token is rejected.

Queued machines are ordered by urgency, where a step of urgency is worth `URGENCY_STEP_MS` of waiting so that
no machine waits for ever; then by the fewest machines of the zone that are out or done, by the fewest groups
led, and by name.

A machine counts as out from its grant until it is back and checked, also after the grant expired (until it
reports that it has undone its changes); so does every machine that is unavailable without a grant. A grant is
made only if with it at most `max_out` machines, and `max_out_per_zone` of a zone, are out, each group keeps a
majority of up-to-date replicas, the remaining machines are not overloaded, and no pause, closed window, hold
or failure forbids it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from .budget import Budget, budget_error
from .commands import (
    FleetView,
    ForceGrant,
    MachineView,
    Operation,
    Progress,
    ReportProgress,
    RequestMaintenance,
    SetBudget,
    SetHold,
    WithdrawRequest,
)
from .grant_limits import majority_loss_reason, max_out_reason
from .records import (
    FINAL_STATES,
    FORCED,
    GRANT_STATES,
    OUT_STATES,
    HistoryEntry,
    JobState,
    MachineJob,
    MaintenanceRequest,
    MaintenanceSnapshot,
)

URGENCY_STEP_MS = 600_000.0  # of waiting, equivalent to one step of urgency
MAX_URGENCY = 9
MAX_REQUESTS = 256
MAX_OPEN_JOBS = 1024
MAX_HISTORY_ENTRIES = 64  # of a job; older ones are dropped
MAX_TEXT_CHARS = 500  # of a reason
NEVER_RETURNED = -1e18  # ms, the stored form of "no return yet"

# Progress that may be reported in each state.
ALLOWED_PROGRESS: dict[str, tuple[Progress, ...]] = {
    JobState.GRANTED: (Progress.DRAINING, Progress.UNDONE, Progress.FAILED),
    JobState.DRAINING: (Progress.SAFE, Progress.UNDONE, Progress.FAILED),
    JobState.SAFE: (Progress.OUT, Progress.UNDONE),
    JobState.OUT: (Progress.RETURNING,),
    JobState.OVERDUE: (Progress.RETURNING, Progress.UNDONE),
    JobState.RECALLED: (Progress.UNDONE,),
    JobState.RETURNING: (Progress.FAILED,),
}


class MaintenanceError(Exception):
    """An operation is denied and changes nothing; the text is stored and sent."""


class MaintenanceJobs:
    """Requests, the job of each machine, and the budget."""

    def __init__(self) -> None:
        self.budget = Budget()
        self.hold_reason = ""  # empty unless operators hold all grants
        self.last_fencing_token = 0
        self.failures = 0  # since an operator resumed
        self.last_return_at = float("-inf")  # ms of the log's time
        self.overloaded = False  # the last check found too much load: grants wait for the slack
        self.requests: dict[str, MaintenanceRequest] = {}
        self.jobs: dict[tuple[str, str], MachineJob] = {}  # by request and machine
        self.blocked_reason = ""  # why no queued machine got a grant at the last fleet view
        self.budget_was_set = False

    # Snapshots

    def snapshot(self) -> MaintenanceSnapshot:
        """Return the stored form of the state."""
        return MaintenanceSnapshot(
            self.budget,
            self.hold_reason,
            self.last_fencing_token,
            self.failures,
            max(self.last_return_at, NEVER_RETURNED),
            self.overloaded,
            tuple(self.requests.values()),
            tuple(self.jobs.values()),
            self.blocked_reason,
            self.budget_was_set,
        )

    def restore(self, snapshot: MaintenanceSnapshot) -> None:
        """Replace the state with that of a snapshot."""
        self.budget = snapshot.budget
        self.hold_reason = snapshot.hold_reason
        self.last_fencing_token = snapshot.last_fencing_token
        self.failures = snapshot.failures
        self.last_return_at = snapshot.last_return_at
        self.overloaded = snapshot.overloaded
        self.blocked_reason = snapshot.blocked_reason
        self.budget_was_set = snapshot.budget_was_set
        self.requests = {request.details.request_id: request for request in snapshot.requests}
        self.jobs = {(job.request_id, job.machine): job for job in snapshot.jobs}

    # Commands

    def apply(self, now: float, operation: Operation) -> float:
        """Apply a command at the log's time `now`, ms, and return the last fencing token.

        Raises:
            MaintenanceError: the command is denied and changes nothing.
        """
        match operation:
            case RequestMaintenance():
                self._request_maintenance(now, operation)
            case WithdrawRequest(request_id, author):
                self._withdraw(now, request_id, author)
            case SetHold():
                self._set_hold(operation)
            case ForceGrant(machine, author, reason):
                self._force(now, machine, author, reason)
            case SetBudget(budget, _):
                self._set_budget(budget)
            case FleetView():
                self._apply_fleet_view(now, operation)
            case ReportProgress():
                self._report_progress(now, operation)
        return float(self.last_fencing_token)

    def open_jobs(self) -> list[MachineJob]:
        """Return the jobs that are not in a final state, in the order of their requests."""
        return [job for job in self.jobs.values() if job.state not in FINAL_STATES]

    def job_of(self, machine: str) -> MachineJob | None:
        """Return a machine's open job: the one that counts as out, else the first queued, else None."""
        jobs = [job for job in self.open_jobs() if job.machine == machine]
        return next((job for job in jobs if job.state in OUT_STATES), jobs[0] if jobs else None)

    def _request_maintenance(self, now: float, details: RequestMaintenance) -> None:
        if details.request_id in self.requests:
            return
        self._check_request(details)
        self.requests[details.request_id] = MaintenanceRequest(details, now)
        for machine in details.machines:
            entry = HistoryEntry(now, JobState.QUEUED, details.reason, details.author)
            job = MachineJob(machine, details.request_id, state_since=now, history=(entry,))
            self.jobs[details.request_id, machine] = job

    def _check_request(self, details: RequestMaintenance) -> None:
        if not details.machines or len(set(details.machines)) != len(details.machines):
            raise MaintenanceError("no machine, or one twice")
        is_named = details.request_id and len(details.reason) <= MAX_TEXT_CHARS
        if not is_named or not 0 <= details.urgency <= MAX_URGENCY or not details.expected_s > 0:
            raise MaintenanceError("an id, a reason, an expected time and an urgency of 0 to 9 are needed")
        open_jobs = self.open_jobs()
        for job in open_jobs:
            if job.machine in details.machines:
                raise MaintenanceError(f"{job.machine} is asked for already, by {job.request_id}")
        if len(open_jobs) + len(details.machines) > MAX_OPEN_JOBS or not self._make_room():
            raise MaintenanceError("too much is asked for already")

    def _make_room(self) -> bool:
        """Drop the oldest finished requests as needed; return whether a request may be added."""
        open_requests = {job.request_id for job in self.open_jobs()}
        for request_id in [known for known in self.requests if known not in open_requests]:
            if len(self.requests) < MAX_REQUESTS:
                break
            for key in [key for key in self.jobs if key[0] == request_id]:
                del self.jobs[key]
            del self.requests[request_id]
        return len(self.requests) < MAX_REQUESTS

    def _enter(
        self, now: float, job: MachineJob, state: str, reason: str = "", author: str = "", **changes: object
    ) -> None:
        """Change a job's state and add it to the history; `changes` are other fields, by name."""
        entry = HistoryEntry(now, state, reason[:MAX_TEXT_CHARS], author)
        history = (*job.history, entry)[-MAX_HISTORY_ENTRIES:]
        changed = msgspec.structs.replace(job, state=state, state_since=now, history=history, **changes)
        self.jobs[job.request_id, job.machine] = changed

    def _withdraw(self, now: float, request_id: str, author: str) -> None:
        if request_id not in self.requests:
            raise MaintenanceError(f"there is no request {request_id}")
        for job in [job for job in self.open_jobs() if job.request_id == request_id]:
            if job.state == JobState.QUEUED:
                self._enter(now, job, JobState.WITHDRAWN, author=author)
            elif job.state in GRANT_STATES:
                withdrawn = JobState.WITHDRAWN
                self._enter(now, job, JobState.RECALLED, withdrawn, author, outcome=withdrawn)
            # A machine that is out returns in the usual way.

    def _set_hold(self, hold: SetHold) -> None:
        if hold.held:
            self.hold_reason = f"{hold.reason or 'held'} ({hold.author})"[:MAX_TEXT_CHARS]
        else:
            self.hold_reason = ""
            self.failures = 0

    def _force(self, now: float, machine: str, author: str, reason: str) -> None:
        job = self.job_of(machine)
        if job is None:
            raise MaintenanceError(f"{machine} does not wait")
        if job.state != JobState.QUEUED:
            raise MaintenanceError(f"{machine} is {job.state}")
        if not reason:
            raise MaintenanceError("a reason is needed")
        self._enter(now, job, JobState.QUEUED, f"{FORCED}: {reason}", author, outcome=FORCED)

    def _set_budget(self, budget: Budget) -> None:
        error = budget_error(budget)
        if error:
            raise MaintenanceError(error)
        self.budget = budget
        self.budget_was_set = True

    # Progress

    def _report_progress(self, now: float, report: ReportProgress) -> None:
        job = self.job_of(report.machine)
        if job is None or job.fencing_token != report.fencing_token:
            raise MaintenanceError("fence")
        if job.state == report.state:
            return  # a repeated report
        if report.state not in ALLOWED_PROGRESS.get(job.state, ()):
            raise MaintenanceError(f"{report.machine} is {job.state}")
        if job.state in GRANT_STATES and report.state != Progress.UNDONE and now > job.expires_at:
            raise MaintenanceError("the grant has run out")
        match Progress(report.state):
            case Progress.UNDONE:
                self._undo(now, job, report.reason)
            case Progress.FAILED:
                self.failures += 1
                self._enter(now, job, JobState.RECALLED, report.reason, outcome=JobState.FAILED)
            case Progress.SAFE:
                # The operator has as long to start the work as a drain may take.
                expires_at = now + 1000 * self.budget.drain_s
                self._enter(now, job, JobState.SAFE, report.reason, expires_at=expires_at)
            case progress:
                self._enter(now, job, progress.value, report.reason)

    def _undo(self, now: float, job: MachineJob, reason: str) -> None:
        """End the job if it was withdrawn or failed, else queue it again; the machine serves as before."""
        if job.outcome in (JobState.WITHDRAWN, JobState.FAILED):
            self._enter(now, job, job.outcome, reason, fencing_token=0, expires_at=0.0)
        else:
            self._enter(now, job, JobState.QUEUED, reason, fencing_token=0, expires_at=0.0, outcome="")

    # Grants

    def _apply_fleet_view(self, now: float, fleet: FleetView) -> None:
        views = {view.name: view for view in fleet.machines}
        self._expire_grants(now)
        self._finish_returned(now, views)
        self._recall_above_budget(now, self._machines_out(views))
        queued = [job for job in self.open_jobs() if job.state == JobState.QUEUED]
        if queued:
            self.blocked_reason = ""
        while queued:
            job = self._ordered(now, queued, views)[0]
            queued.remove(job)
            view = views.get(job.machine)
            if view is not None and not view.available:
                continue  # unavailable without a grant: it cannot drain, and does not block others
            self.blocked_reason = self._denial_reason(now, job, fleet, views, self._machines_out(views))
            if not self.blocked_reason:
                self._grant(now, job)
            elif job.outcome != FORCED:
                break  # no later machine overtakes the first in order

    def _grant(self, now: float, job: MachineJob) -> None:
        self.last_fencing_token += 1
        self._enter(
            now,
            job,
            JobState.GRANTED,
            job.outcome,
            fencing_token=self.last_fencing_token,
            expires_at=now + 1000 * self.budget.drain_s,
            outcome="",
        )

    def _expire_grants(self, now: float) -> None:
        """Recall machines whose grant expired; mark those that are out for too long as overdue."""
        for job in self.open_jobs():
            if job.state in GRANT_STATES and now > job.expires_at:
                self._enter(now, job, JobState.RECALLED, "the grant ran out")
            expected_ms = 1000 * self.requests[job.request_id].details.expected_s
            if job.state == JobState.OUT and now > job.state_since + expected_ms:
                self._enter(now, job, JobState.OVERDUE, "not back in the time expected")

    def _finish_returned(self, now: float, views: Mapping[str, MachineView]) -> None:
        for job in self.open_jobs():
            view = views.get(job.machine)
            if job.state != JobState.RETURNING or view is None or not view.available:
                continue
            target_version = self.requests[job.request_id].details.target_version
            if target_version and view.version != target_version:
                self.failures += 1
                reason = f"it is back with version {view.version or 'unknown'}, not {target_version}"
                self._enter(now, job, JobState.FAILED, reason, fencing_token=0)
            else:
                self._enter(now, job, JobState.DONE, fencing_token=0)
            self.last_return_at = now

    def _machines_out(self, views: Mapping[str, MachineView]) -> set[str]:
        """Return all machines that count as out: with a grant, or unavailable."""
        planned = {job.machine for job in self.open_jobs() if job.state in OUT_STATES}
        return planned | {name for name, view in views.items() if not view.available}

    def _recall_above_budget(self, now: float, out: Iterable[str]) -> None:
        """Recall machines that still drain if more are out than allowed, the last granted first."""
        excess = len(set(out)) - self.budget.max_out
        draining = [job for job in self.open_jobs() if job.state in (JobState.GRANTED, JobState.DRAINING)]
        recallable = [job for job in draining if not self._is_forced(job)]
        for job in sorted(recallable, key=lambda job: -job.fencing_token)[: max(0, excess)]:
            self._enter(now, job, JobState.RECALLED, "others were lost meanwhile")

    @staticmethod
    def _is_forced(job: MachineJob) -> bool:
        return any(entry.reason.startswith(FORCED) for entry in job.history)

    def _ordered(
        self, now: float, queued: list[MachineJob], views: Mapping[str, MachineView]
    ) -> list[MachineJob]:
        zones = {name: view.zone for name, view in views.items()}
        started = [job for job in self.jobs.values() if job.state in OUT_STATES or job.state == JobState.DONE]
        started_by_zone = Counter(zones.get(job.machine, "") for job in started)

        def key(job: MachineJob) -> tuple[bool, float, int, int, str]:
            request = self.requests[job.request_id]
            rank = request.details.urgency * URGENCY_STEP_MS + now - request.submitted_at
            view = views.get(job.machine)
            groups_led = view.groups_led if view is not None else 0
            in_zone = started_by_zone[zones.get(job.machine, "")]
            return job.outcome != FORCED, -rank, in_zone, groups_led, job.machine

        return sorted(queued, key=key)

    def _denial_reason(
        self,
        now: float,
        job: MachineJob,
        fleet: FleetView,
        views: Mapping[str, MachineView],
        out: set[str],
    ) -> str:
        """Return why a machine gets no grant now; empty if it gets one."""
        if job.machine not in views:
            return f"{job.machine} is no machine of this fleet"
        majority_loss = majority_loss_reason(job.machine, fleet, out)
        if majority_loss or job.outcome == FORCED:
            return majority_loss
        return (
            self._stopped_reason(now, job, fleet.wall_time)
            or max_out_reason(self.budget, job.machine, views, out)
            or self._overload_reason(job.machine, views, out)
        )

    def _stopped_reason(self, now: float, job: MachineJob, wall_time: float) -> str:
        if self.hold_reason:
            return f"held: {self.hold_reason}"
        if self.failures >= self.budget.max_failures:
            return f"{self.failures} machines failed: resume to go on"
        if wall_time < self.requests[job.request_id].details.earliest_time:
            return f"{job.machine} not before its earliest time"
        if any(begin <= wall_time < end for begin, end in self.budget.closed_windows):
            return "a closed window"
        if now < self.last_return_at + 1000 * self.budget.pause_s:
            return "a pause after the last return"
        return ""

    def _overload_reason(self, machine: str, views: Mapping[str, MachineView], out: set[str]) -> str:
        remaining = [name for name in views if name not in out and name != machine]
        total_load = sum(view.load for name, view in views.items() if name not in out)
        load = total_load / len(remaining) if remaining else float("inf")
        limit = self.budget.max_load - (self.budget.load_slack if self.overloaded else 0.0)
        self.overloaded = load > limit
        if self.overloaded:
            return f"those left would be loaded to {load:.2f} of {limit:.2f}"
        return ""
