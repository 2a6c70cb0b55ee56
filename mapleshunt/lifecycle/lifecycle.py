"""Whether the gateway works, is drained or leaves: one state that SIGTERM and the operators' door share.

No I/O and no clock: `now` is handed in, in seconds of any clock that advances evenly. The table of what each
state does is in `docs/operators-door.md`.
"""

from __future__ import annotations

import enum
import math
from typing import Literal

Phase = Literal["starting", "working", "drained", "leaving"]

# s for which new clients and idle connections are kept after the front could first read a "no": it asks ten
# times a second and stops 0.2 s after one; at a planned restart it goes on for 0.4 s at most.
STAY = 0.5
# s after which a connection with an answer owed is not read any further: with what it holds answered it can
# end. The operators want none with a request of the last 2 s left after 4 s.
LAST_CALL = 1.5
# s past the longest deadline, which counts as `KILL_MOST` at most, at which a process that was told to end
# may be killed, by the protocol. What it took late has to have its answer by then, and has it `EARLY` before.
KILL, KILL_MOST, EARLY = 0.7, 3.0, 0.2


class DrainRequester(enum.Enum):
    """Who may drain the gateway. It works again once none of them wants it drained."""

    OPERATORS = "operators"  # at the operators' door
    MAINTENANCE = "maintenance"  # by a grant for work on the machine


class Lifecycle:
    """Begins in "starting"; "leaving" is never left."""

    def __init__(self) -> None:
        self.phase: Phase = "starting"
        self.since = -math.inf  # when the phase began
        self.drainers: set[DrainRequester] = set()  # who wants it drained now
        self.succeeded = False  # another process takes the clients by the same address
        self.told_to_leave = math.inf

    def _enter(self, phase: Phase, now: float) -> bool:
        if self.phase == "leaving" or self.phase == phase:
            return False
        self.phase, self.since = phase, now
        return True

    # What happens. Each returns whether it changed anything.

    def listening(self, now: float) -> bool:
        return self.phase == "starting" and self._enter("working", now)

    def drain(self, now: float, drainer: DrainRequester) -> bool:
        if self.phase not in ("working", "drained"):
            return False
        self.drainers.add(drainer)
        return self._enter("drained", now)

    def resume(self, now: float, drainer: DrainRequester) -> bool:
        self.drainers.discard(drainer)
        return self.phase == "drained" and not self.drainers and self._enter("working", now)

    def leave(self, now: float, succeeded: bool = False) -> bool:
        # One that was drained is emptied already: nobody waits for more.
        if not self._enter("leaving", self.since if self.phase == "drained" else now):
            return False
        self.succeeded, self.told_to_leave = succeeded, now
        return True

    # What that means

    def takes(self) -> bool:
        """Is a "yes" owed to operators who ask whether this process takes clients?"""
        return self.phase == "working"

    def wanted(self) -> bool:
        """Is a "yes" owed to a front that asks with PING? One that was succeeded says so for both."""
        return self.phase == "working" or (self.phase == "leaving" and self.succeeded)

    def accepts(self, now: float) -> bool:
        """Are new connections taken? A drained gateway takes them, for a "no" must be heard too."""
        if self.phase == "leaving":
            return not self.succeeded and now - self.since < STAY
        return self.phase != "starting"

    def closes(self, now: float) -> bool:
        """Does a client connection end as soon as nothing is owed on it?"""
        if self.phase == "leaving" and self.succeeded:
            return True
        return self.phase in ("drained", "leaving") and now - self.since >= STAY

    def last_answer(self, longest: float) -> float:
        """When the last answer has to be given to what comes once it was told to leave; inf before that.
        `longest` is the longest deadline, in s.
        """
        return self.told_to_leave + min(longest, KILL_MOST) + KILL - EARLY

    def reads(self, now: float) -> bool:
        """Is a connection read on while an answer is owed on it?"""
        return self.phase not in ("drained", "leaving") or now - self.since < LAST_CALL
