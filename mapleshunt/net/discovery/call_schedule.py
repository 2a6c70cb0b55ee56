"""Which calls to discovery are out, when the next one begins, and which answers count.

No I/O and no clock: the caller passes the times, in ms of one monotonic clock.

A call that is late stays out, since its answer may still come; a further call begins beside it, since it
may be lost. Whichever answer comes first counts, and ends the calls that began before its own. So an agent
that is slow is heard, and one that forgets a call, or a connection, is called again in time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .backoff import NOTIFICATION_BUDGET_MS, SILENCE_TIMEOUT_MS, WATCH_WAIT_MS, Backoff

MAX_CALLS = 4  # out at once; with them, calls follow each other every 2 s while an agent is silent
# The oldest call is kept this long: the longest wait that discovery's protocol has. The calls behind it end
# after `NOTIFICATION_BUDGET_MS` without any answer, so that further ones can begin.
MAX_CALL_MS = 60_000.0
# By the protocol, a call that begins this long after an answer continues the watch, and may wait for changes.
MAX_WATCH_GAP_MS = 200.0
# An answer may take this much longer than the last one before its call is late.
LATE_FACTOR = 1.25
# However slow the answers are, a call is late by then: an agent that is fast again is heard in time.
MAX_LATE_MS = NOTIFICATION_BUDGET_MS - SILENCE_TIMEOUT_MS


@dataclass(slots=True, eq=False)
class Call:
    """A call that is out. On one connection a call follows another as the same object, with a new number."""

    agent_number: int  # how many agents were followed before this call's
    number: int  # in the order in which calls began
    started_at_ms: float
    revision: int | None  # it asks for the changes since; None asks for the complete list
    is_watch: bool  # it continues a watch; other calls are answered at once, but may be queued
    wait_ms: float  # for which discovery may hold the call until there is a change
    connected_at_ms: float | None = None
    is_late: bool = False


class CallSchedule:
    """The calls that are out, from the oldest to the newest; the newest decides when another one begins.

    | the newest call      | the next call begins                                           |
    | -------------------- | -------------------------------------------------------------- |
    | is answered          | at once: on its connection, or on a new one if that has ended  |
    | fails                | after the backoff                                              |
    | is late              | after the backoff, once fewer than `MAX_CALLS` are out         |
    | is of another agent  | after the initial delay                                        |

    Calls of an agent that is no longer followed are answered or end, and are followed by none.
    """

    def __init__(self, backoff: Backoff) -> None:
        """Start without calls; `follow` has the first one begin."""
        self.calls: list[Call] = []
        self.next_call_at_ms = math.inf
        self.last_answer_at_ms = -math.inf
        self.answer_time_ms = 0.0  # which the last answer took beyond the wait of its call
        # A call is late no sooner than this after its connection was established.
        self.watch_late_ms = WATCH_WAIT_MS + SILENCE_TIMEOUT_MS
        self.first_late_ms = backoff.answer_timeout_ms  # of a call that does not continue a watch
        self._backoff = backoff
        self._agent_number = 0
        self._call_count = 0
        self._watch_continues_until_ms = -math.inf

    # What is due

    def next_event_at_ms(self) -> float:
        """Return when a call is due, late or expired at the earliest."""
        times = [self._expires_at_ms(call) for call in self.calls]
        if (newest := self._newest()) and not newest.is_late:
            times.append(self.late_at_ms(newest))
        if len(self.calls) < MAX_CALLS or self._has_earlier_agent():
            times.append(self.next_call_at_ms)
        return min(times, default=math.inf)

    def take_late(self, now_ms: float) -> Call | None:
        """Return the newest call if it has just become late; another one is then due after the backoff."""
        newest = self._newest()
        if newest is None or newest.is_late or self.late_at_ms(newest) > now_ms:
            return None
        newest.is_late = True
        self._watch_continues_until_ms = -math.inf
        latest_ms = newest.started_at_ms + MAX_LATE_MS - self.answer_time_ms
        budget_left_ms = max(0.0, latest_ms - now_ms)
        self.next_call_at_ms = now_ms + min(self._next_delay_ms(now_ms), budget_left_ms)
        return newest

    def take_expired(self, now_ms: float) -> list[Call]:
        """Remove and return the calls that were out for too long or make room for a call of a new agent.

        Call it after `take_late`, without which a call that expires would be followed by none.
        """
        expired = [call for call in self.calls if self._expires_at_ms(call) <= now_ms]
        is_full = len(self.calls) - len(expired) >= MAX_CALLS
        if is_full and self.next_call_at_ms <= now_ms and self._has_earlier_agent():
            expired.append(self.calls[0])
        self._remove(expired)
        return expired

    def is_due(self, now_ms: float) -> bool:
        """Return whether a call on a new connection is due."""
        return self.next_call_at_ms <= now_ms and len(self.calls) < MAX_CALLS

    # Events

    def follow(self, now_ms: float) -> None:
        """Follow another agent from now on.

        The calls of earlier agents stay out: until the new agent answers, what they answer is newer than what
        is known.
        """
        self._agent_number += 1
        self._watch_continues_until_ms = -math.inf
        self.next_call_at_ms = now_ms + self._backoff.initial_delay_ms()

    def begin(self, now_ms: float, revision: int | None) -> Call:
        """Begin a call on a new connection."""
        call = Call(self._agent_number, 0, now_ms, revision, False, 0.0)
        self._restart(call, now_ms, revision)
        return call

    def repeat(self, call: Call, now_ms: float, revision: int | None) -> None:
        """Begin the next call on the connection of one that was just answered."""
        self._restart(call, now_ms, revision)
        call.connected_at_ms = now_ms

    def connected(self, call: Call, now_ms: float) -> None:
        """Record that the connection of a call was established."""
        call.connected_at_ms = now_ms
        self._withdraw_lateness(now_ms)

    def answered(self, call: Call, now_ms: float) -> list[Call]:
        """Remove a call that was answered; return those that its answer supersedes, which are removed too.

        If it was the newest call, the next one is due at once.
        """
        is_newest = self.is_newest(call)
        self.answer_time_ms = max(0.0, now_ms - call.started_at_ms - call.wait_ms)
        self.last_answer_at_ms = now_ms
        self._backoff.reset()
        superseded = [other for other in self.calls if other.number < call.number]
        self._remove([call, *superseded])
        if is_newest:
            self.next_call_at_ms = now_ms
            is_watch = call.revision is not None
            self._watch_continues_until_ms = now_ms + MAX_WATCH_GAP_MS if is_watch else -math.inf
        else:
            self._withdraw_lateness(now_ms)  # as answers take longer than was known
        return superseded

    def failed(self, call: Call, now_ms: float) -> float:
        """Remove a call that failed; return the ms until the next call, 0 if others are out for it."""
        is_newest = self.is_newest(call)
        self._remove([call])
        if not is_newest:
            return 0.0
        self._watch_continues_until_ms = -math.inf
        if not call.is_late:
            self.next_call_at_ms = now_ms + self._next_delay_ms(now_ms)
        return max(0.0, self.next_call_at_ms - now_ms)

    def is_newest(self, call: Call) -> bool:
        """Return whether the call is the newest one of the agent that is followed."""
        return call is self._newest()

    def is_of_followed_agent(self, call: Call) -> bool:
        """Return whether the call's agent is the one that is followed."""
        return call.agent_number == self._agent_number

    # Times

    def late_at_ms(self, call: Call) -> float:
        """Return when a call becomes late."""
        if call.connected_at_ms is None:
            return call.started_at_ms + self._backoff.dial_timeout_ms
        least_ms = self.watch_late_ms if call.is_watch else self.first_late_ms
        expected_ms = min(call.wait_ms + LATE_FACTOR * self.answer_time_ms, MAX_LATE_MS)
        return call.connected_at_ms + max(least_ms, expected_ms)

    def _next_delay_ms(self, now_ms: float) -> float:
        return self._backoff.next_delay_ms(now_ms - self.last_answer_at_ms)

    def _expires_at_ms(self, call: Call) -> float:
        if call is self.calls[0]:
            return call.started_at_ms + MAX_CALL_MS
        # While answers come, however late, each call is left to its turn: one that is given up may keep its
        # place in discovery's queue, and the ones behind it would be answered later and later.
        return max(call.started_at_ms, self.last_answer_at_ms) + NOTIFICATION_BUDGET_MS

    def _withdraw_lateness(self, now_ms: float) -> None:
        """Have the newest call wait on if it counted as late by less than what is known now."""
        newest = self._newest()
        if newest is not None and newest.is_late and self.late_at_ms(newest) > now_ms:
            newest.is_late = False
            self.next_call_at_ms = math.inf

    # The calls

    def _restart(self, call: Call, now_ms: float, revision: int | None) -> None:
        self._call_count += 1
        call.number, call.started_at_ms, call.revision = self._call_count, now_ms, revision
        call.is_watch = revision is not None and now_ms <= self._watch_continues_until_ms
        call.wait_ms = self._watch_wait_ms() if call.is_watch else 0.0
        call.is_late = False
        self.calls.append(call)
        self.next_call_at_ms = math.inf

    def _watch_wait_ms(self) -> float:
        """Return for how long a call of a watch may wait; an agent that is slow takes that time by itself."""
        is_slow = self.answer_time_ms > SILENCE_TIMEOUT_MS
        return max(0.0, WATCH_WAIT_MS - self.answer_time_ms) if is_slow else WATCH_WAIT_MS

    def _newest(self) -> Call | None:
        """Return the call that began last, unless its agent is no longer followed."""
        newest = self.calls[-1] if self.calls else None
        return newest if newest is not None and self.is_of_followed_agent(newest) else None

    def _has_earlier_agent(self) -> bool:
        return bool(self.calls) and not self.is_of_followed_agent(self.calls[0])

    def _remove(self, removed: list[Call]) -> None:
        self.calls = [call for call in self.calls if call not in removed]
