"""Invariants of a gateway: what holds whenever it sends, repeats, closes or starts.

The guards restate the rules of the protocol from facts alone and share no code with the decisions, so that a
defect there does not hide itself here. No I/O and no clock: times are ms, facts are handed in. Each guard
returns the rules that are broken, by name; none is the usual answer.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from .policy import NEVER_RAN, AttemptStatus, RequestClass, Settings

# ms after its client has left, or has its answer, for which an attempt of a request may still begin.
MAX_SEND_AFTER_END_MS = 100.0
# ms by which the time that an attempt passes on may exceed what its client has left.
DEADLINE_SLACK_MS = 150.0
# ms that a start may take: nine in ten restarted processes are to be ready by then.
MAX_START_MS = 10_000.0
# Reasons for which a client connection may end with requests unanswered: all of them are its client's.
CLIENT_REASONS = frozenset({"client_closed", "client_reset", "slow_client"})


class Guard(enum.Enum):
    """Where an invariant is checked."""

    SEND = "send"
    REPEAT = "repeat"
    CLOSE = "close"
    START = "start"


@dataclass(slots=True, frozen=True)
class SendFacts:
    """An attempt whose first byte is about to be written."""

    since_end: (
        float | None
    )  # since its request ended, with an answer or its client's leaving; None if it is open
    server_ready: bool  # the list names the server as ready, at this address and since this start
    passed_on: float  # the time that the server is told
    left: float  # the time that the client has left


@dataclass(slots=True, frozen=True)
class EarlierAttempt:
    """An attempt of the same request before the one to be sent; `status` is None while it is out."""

    sent: float
    status: AttemptStatus | None
    zone: str
    cell: int


@dataclass(slots=True, frozen=True)
class RepeatFacts:
    """A further attempt that is about to be sent at `now`."""

    now: float
    zone: str
    cell: int
    earlier: Sequence[EarlierAttempt]


def broken_by_sending(facts: SendFacts) -> list[str]:
    """Rules that sending these bytes breaks."""
    broken = []
    if facts.since_end is not None and facts.since_end > MAX_SEND_AFTER_END_MS:
        broken.append("sent_after_end")
    if not facts.server_ready:
        broken.append("sent_to_unavailable_server")
    if facts.passed_on > facts.left + DEADLINE_SLACK_MS:
        broken.append("deadline_exceeds_client")
    return broken


def broken_by_repeating(facts: RepeatFacts, cls: RequestClass, settings: Settings) -> list[str]:
    """Rules that this further attempt breaks."""
    broken = []
    if len(facts.earlier) >= settings.max_attempts:
        broken.append("too_many_attempts")
    if not settings.allow_hedging and any(one.status is None for one in facts.earlier):
        broken.append("two_attempts_out")
    may_have_run = [one for one in facts.earlier if one.status not in NEVER_RAN]
    if may_have_run and cls.effect == "unsafe":
        broken.append("unsafe_request_repeated")
    if may_have_run and cls.effect == "keyed":
        broken += _broken_by_keyed_repeat(facts, may_have_run, cls)
    return broken


def _broken_by_keyed_repeat(
    facts: RepeatFacts, may_have_run: Sequence[EarlierAttempt], cls: RequestClass
) -> list[str]:
    broken = []
    if facts.now > may_have_run[0].sent + cls.idempotency_window:
        broken.append("repeated_after_window")
    if cls.retry_scope == "cell" and any(one.cell != facts.cell for one in may_have_run):
        broken.append("repeated_outside_cell")
    if cls.retry_scope == "zone" and any(one.zone != facts.zone for one in may_have_run):
        broken.append("repeated_outside_zone")
    return broken


def broken_by_closing(reason: str, unanswered: int, unread: bool) -> list[str]:
    """Rules that the end of a client connection breaks, with so many requests read and not answered, and
    whether bytes that nobody has read are on it.
    """
    if reason in CLIENT_REASONS:
        return []
    broken = ["closed_with_requests_unanswered"] if unanswered else []
    return [*broken, "closed_over_unread_bytes"] if unread else broken


def broken_by_starting(took: float, listening_before: bool) -> list[str]:
    """Rules that a start breaks which took so long; `listening_before`: it had accepted connections."""
    broken = ["start_took_too_long"] if took > MAX_START_MS else []
    return [*broken, "accepted_before_start"] if listening_before else broken


def broken_by_slow_start(cold: bool, allowance: float) -> list[str]:
    """Rules that an attempt breaks at a server, cold or not, that leaves it so much of its allowance."""
    return ["slow_start_exceeded"] if cold and allowance < -1e-6 else []
