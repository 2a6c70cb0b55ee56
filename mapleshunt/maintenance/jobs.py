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
        self.held = ""  # why, if operators hold all grants
        self.fence = self.failures = 0
        self.returned = float("-inf")  # when a machine was last back
        self.strained = False  # those left would be overloaded: grants wait for some slack
        self.requests: dict[str, MaintenanceRequest] = {}
        self.places: dict[tuple[str, str], MachineJob] = {}  # by request and machine
        self.blocked = ""  # why nobody who waits may go, as of the last look
        self.chosen = False  # somebody set the budget

    # Snapshots

    def freeze(self) -> MaintenanceSnapshot:
        return MaintenanceSnapshot(
            self.budget, self.held, self.fence, self.failures, max(self.returned, -1e18), self.strained,
            tuple(self.requests.values()), tuple(self.places.values()), self.blocked,
            self.chosen,
        )  # fmt: skip

    def thaw(self, frozen: MaintenanceSnapshot) -> None:
        self.budget, self.held, self.fence = frozen.budget, frozen.held, frozen.fence
        self.failures, self.returned = frozen.failures, frozen.returned
        self.strained, self.blocked, self.chosen = frozen.strained, frozen.blocked, frozen.chosen
        self.requests = {one.ask.id: one for one in frozen.requests}
        self.places = {(one.request, one.machine): one for one in frozen.places}

    # What is asked

    def apply(self, now: float, operation: w.Operation) -> float:
        """Raises `Refused`. A number: of a grant, or of what is in the state."""
        match operation:
            case w.RequestMaintenance():
                self._ask(now, operation)
            case w.WithdrawRequest(id, author):
                self._withdraw(now, id, author)
            case w.SetHold(on, author, reason):
                self.held = f"{reason or 'held'} ({author})"[:MAX_TEXT_CHARS] if on else ""
                self.failures = self.failures if on else 0
            case w.ForceGrant(machine, author, reason):
                self._force(now, machine, author, reason)
            case w.SetBudget(budget, _):
                if why := budget_error(budget):
                    raise MaintenanceError(why)
                self.budget, self.chosen = budget, True
            case w.FleetView():
                self._seen(now, operation)
            case w.ReportProgress():
                self._told(now, operation)
        return float(self.fence)

    def open(self) -> list[MachineJob]:
        """Places that are not over, in the order of their requests."""
        return [one for one in self.places.values() if one.state not in FINAL_STATES]

    def place_of(self, machine: str) -> MachineJob | None:
        """Where a machine is: at work if it is anywhere, else waiting."""
        mine = [one for one in self.open() if one.machine == machine]
        return next((one for one in mine if one.state in OUT_STATES), mine[0] if mine else None)

    def _ask(self, now: float, ask: w.RequestMaintenance) -> None:
        if ask.id in self.requests:
            return
        if not ask.machines or len(set(ask.machines)) != len(ask.machines):
            raise MaintenanceError("no machine, or one twice")
        if (
            not ask.id
            or len(ask.reason) > MAX_TEXT_CHARS
            or not 0 <= ask.urgency <= 9
            or not ask.expected > 0
        ):
            raise MaintenanceError("an id, a reason, an expected time and an urgency of 0 to 9 are needed")
        if taken := next((one for one in self.open() if one.machine in ask.machines), None):
            raise MaintenanceError(f"{taken.machine} is asked for already, by {taken.request}")
        if len(self.open()) + len(ask.machines) > MAX_OPEN_JOBS or not self._room():
            raise MaintenanceError("too much is asked for already")
        self.requests[ask.id] = MaintenanceRequest(ask, now)
        for machine in ask.machines:
            step = HistoryEntry(now, "queued", ask.reason, ask.author)
            self.places[ask.id, machine] = MachineJob(machine, ask.id, since=now, story=(step,))

    def _room(self) -> bool:
        """Requests that are over make room, the oldest first."""
        busy = {one.request for one in self.open()}
        for id in [one for one in self.requests if one not in busy]:
            if len(self.requests) < MAX_REQUESTS:
                break
            for key in [key for key in self.places if key[0] == id]:
                del self.places[key]
            del self.requests[id]
        return len(self.requests) < MAX_REQUESTS

    def _enter(
        self, now: float, place: MachineJob, state: str, why: str = "", who: str = "", **more: object
    ) -> None:
        story = (*place.story, HistoryEntry(now, state, why[:MAX_TEXT_CHARS], who))[-MAX_HISTORY_ENTRIES:]
        changed = msgspec.structs.replace(place, state=state, since=now, story=story, **more)
        self.places[place.request, place.machine] = changed

    def _withdraw(self, now: float, id: str, author: str) -> None:
        if id not in self.requests:
            raise MaintenanceError(f"there is no request {id}")
        for place in [one for one in self.open() if one.request == id]:
            if place.state == "queued":
                self._enter(now, place, "withdrawn", who=author)
            elif place.state in ("granted", "draining", "safe"):
                self._enter(now, place, "recalled", "withdrawn", author, ends="withdrawn")
            # What is out comes back as any other.

    def _force(self, now: float, machine: str, author: str, reason: str) -> None:
        place = self.place_of(machine)
        if place is None or place.state != "queued":
            raise MaintenanceError(
                f"{machine} does not wait" if place is None else f"{machine} is {place.state}"
            )
        if not reason:
            raise MaintenanceError("a reason is needed")
        self._enter(now, place, "queued", f"forced: {reason}", author, ends="forced")

    # What machines tell

    NEXT = {  # noqa: RUF012 - what may be told in a state
        "granted": ("draining", "undone", "failed"), "draining": ("safe", "undone", "failed"),
        "safe": ("out", "undone"), "out": ("returning",), "overdue": ("returning", "undone"),
        "recalled": ("undone",), "returning": ("failed",),
    }  # fmt: skip

    def _told(self, now: float, told: w.ReportProgress) -> None:
        place = self.place_of(told.machine)
        if place is None or place.fence != told.fence:
            raise MaintenanceError("fence")
        if place.state == told.what:
            return  # told again
        if told.what not in self.NEXT.get(place.state, ()):
            raise MaintenanceError(f"{told.machine} is {place.state}")
        if place.state in ("granted", "draining", "safe") and told.what != "undone" and now > place.until:
            raise MaintenanceError("the grant has run out")
        match told.what:
            case "undone":
                self._undone(now, place, told.why)
            case "failed":
                self.failures += 1
                self._enter(now, place, "recalled", told.why, ends="failed")
            case "safe":
                # It waits for whoever works on it, as long as a drain may take.
                self._enter(now, place, "safe", told.why, until=now + 1000 * self.budget.drain)
            case what:
                self._enter(now, place, what, told.why)

    def _undone(self, now: float, place: MachineJob, why: str) -> None:
        """It works again as before: what was begun was taken back."""
        if place.ends in ("withdrawn", "failed"):
            self._enter(now, place, place.ends, why, fence=0, until=0.0)
        else:
            self._enter(now, place, "queued", why, fence=0, until=0.0, ends="")

    # What the coordinator sees

    def _seen(self, now: float, seen: w.FleetView) -> None:
        sights = {one.name: one for one in seen.machines}
        self._run_out(now, sights)
        self._back(now, sights)
        out = self._out(sights)
        self._call_back(now, out)
        waiting = [one for one in self.open() if one.state == "queued"]
        self.blocked = "" if waiting else self.blocked
        while waiting:
            place = self._order(now, waiting, sights)[0]
            waiting.remove(place)
            if (sight := sights.get(place.machine)) is not None and not sight.here:
                continue  # it is out without a grant, and could not drain; others go meanwhile
            self.blocked = self._why_not(now, place, seen, sights, self._out(sights))
            if self.blocked:
                if place.ends == "forced":
                    continue
                break  # nobody overtakes: whoever is first goes first
            self.fence += 1
            until = now + 1000 * self.budget.drain
            self._enter(now, place, "granted", place.ends, fence=self.fence, until=until, ends="")

    def _run_out(self, now: float, sights: dict[str, w.MachineView]) -> None:
        """Grants that ended: what was begun under them is taken back, and counts as out until it is."""
        for place in self.open():
            if place.state in ("granted", "draining", "safe") and now > place.until:
                self._enter(now, place, "recalled", "the grant ran out")
            expected = 1000 * self.requests[place.request].ask.expected
            if place.state == "out" and now > place.since + expected:
                self._enter(now, place, "overdue", "not back in the time expected")

    def _back(self, now: float, sights: dict[str, w.MachineView]) -> None:
        for place in self.open():
            sight = sights.get(place.machine)
            if place.state != "returning" or sight is None or not sight.here:
                continue
            wanted = self.requests[place.request].ask.version
            if wanted and sight.version != wanted:
                self.failures += 1
                why = f"it is back with version {sight.version or 'unknown'}, not {wanted}"
                self._enter(now, place, "failed", why, fence=0)
            else:
                self._enter(now, place, "done", fence=0)
            self.returned = now

    def _out(self, sights: dict[str, w.MachineView]) -> set[str]:
        """All that count as out: planned, and not seen though nobody took them out."""
        planned = {one.machine for one in self.open() if one.state in OUT_STATES}
        return planned | {name for name, one in sights.items() if not one.here}

    def _call_back(self, now: float, out: Iterable[str]) -> None:
        """Unplanned losses use the budget up: who still drains is called back, the last granted first."""
        over = len(set(out)) - self.budget.most
        draining = [one for one in self.open() if one.state in ("granted", "draining")]
        called = [one for one in draining if not self._forced(one)]
        for place in sorted(called, key=lambda one: -one.fence)[: max(0, over)]:
            self._enter(now, place, "recalled", "others were lost meanwhile")

    @staticmethod
    def _forced(place: MachineJob) -> bool:
        return any(step.why.startswith("forced") for step in place.story)

    def _order(
        self, now: float, waiting: list[MachineJob], sights: dict[str, w.MachineView]
    ) -> list[MachineJob]:
        zones = {name: one.zone for name, one in sights.items()}
        went = [one for one in self.places.values() if one.state in OUT_STATES or one.state == "done"]
        busy = Counter(zones.get(one.machine, "") for one in went)

        def key(place: MachineJob) -> tuple[bool, float, int, int, str]:
            request = self.requests[place.request]
            rank = request.ask.urgency * URGENCY_STEP_MS + now - request.at
            sight = sights.get(place.machine)
            zone, leads = zones.get(place.machine, ""), sight.leads if sight is not None else 0
            return place.ends != "forced", -rank, busy[zone], leads, place.machine

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
            left = [one for one in group.sound if one not in out and one != machine]
            if machine in group.voters and 2 * len(left) <= len(group.voters):
                return f"group {number} would have no majority without {machine}"
        if place.ends == "forced":
            return ""
        if self.held:
            return f"held: {self.held}"
        if self.failures >= budget.failures:
            return f"{self.failures} machines failed: resume to go on"
        request = self.requests[place.request].ask
        if seen.wall < request.earliest:
            return f"{machine} not before its earliest time"
        if any(begin <= seen.wall < end for begin, end in budget.closed):
            return "a closed window"
        if now < self.returned + 1000 * budget.pause:
            return "a pause after the last return"
        if len(out | {machine}) > budget.most:
            return f"{len(out)} of {budget.most} are out: {', '.join(sorted(out)[:5])}"
        zone = sum(sights[one].zone == sight.zone for one in out if one in sights and one != machine)
        if zone + 1 > budget.zone:
            return f"{zone} of {budget.zone} of zone {sight.zone or 'none'} are out"
        left = [name for name in sights if name not in out and name != machine]
        whole = sum(one.load for name, one in sights.items() if name not in out)
        load = whole / len(left) if left else float("inf")
        limit = budget.load - (budget.slack if self.strained else 0.0)
        self.strained = load > limit
        if self.strained:
            return f"those left would be loaded to {load:.2f} of {limit:.2f}"
        return ""
