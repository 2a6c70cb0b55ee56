"""Records about machines that are to be taken out: what goes through the log, and what it comes to."""

from __future__ import annotations

import msgspec

# States of a machine within a request, each entered by an entry of the log.
WAITING = ("queued",)
AT_WORK = ("granted", "draining", "safe", "out", "returning", "recalled", "overdue")  # counts as out
OVER = ("done", "withdrawn", "failed")


class Budget(msgspec.Struct, array_like=True, frozen=True):
    """How many may be out, planned and unplanned together, and when nobody is to go. Times in s."""

    most: int = 1
    zone: int = 1  # of one zone
    load: float = 0.8  # the most that those left may be loaded, 1 being all they can do
    slack: float = 0.1  # below that by so much before grants go on again
    pause: float = 10.0  # after a machine is back, before the next goes
    drain: float = 60.0  # that a machine has to be safe: how long a grant holds
    failures: int = 2  # machines that failed, after which nobody goes until an operator resumes
    closed: tuple[tuple[float, float], ...] = ()  # from and to, Unix time


class Ask(msgspec.Struct, array_like=True, tag=30, frozen=True):
    """A request for work; the same `id` again changes nothing."""

    id: str
    machines: tuple[str, ...]
    reason: str
    author: str
    expected: float = 600.0  # s that a machine is out
    earliest: float = 0.0  # Unix time
    urgency: int = 0  # 0 to 9
    long: bool = False  # copies are to be moved off first
    version: str = ""  # that a machine is to have when it is back


class Withdraw(msgspec.Struct, array_like=True, tag=31, frozen=True):
    id: str
    author: str


class Hold(msgspec.Struct, array_like=True, tag=32, frozen=True):
    """No grants from now on, or again."""

    on: bool
    author: str
    reason: str = ""


class Force(msgspec.Struct, array_like=True, tag=33, frozen=True):
    """That machine goes now, whatever the budget says; a majority of each group stays all the same."""

    machine: str
    author: str
    reason: str


class SetBudget(msgspec.Struct, array_like=True, tag=34, frozen=True):
    budget: Budget
    author: str


class Sight(msgspec.Struct, array_like=True, frozen=True):
    """A machine as the coordinator sees it."""

    name: str
    zone: str
    here: bool
    leads: int = 0  # groups
    load: float = 0.0
    version: str = ""


class Group(msgspec.Struct, array_like=True, frozen=True):
    """Gateways that decide in a group, and those of them whose copies are there and not far behind."""

    voters: tuple[str, ...]
    sound: tuple[str, ...]


class Seen(msgspec.Struct, array_like=True, tag=35, frozen=True):
    """What the coordinator sees now: grants and returns follow from this entry and the state before it."""

    wall: float  # Unix time
    machines: tuple[Sight, ...]
    groups: tuple[Group, ...]


class Told(msgspec.Struct, array_like=True, tag=36, frozen=True):
    """A machine, or whoever works on it, tells how far it is, under its grant's number."""

    machine: str
    fence: int
    what: str  # draining, safe, out, returning, undone, failed
    why: str = ""


Operation = Ask | Withdraw | Hold | Force | SetBudget | Seen | Told


class Step(msgspec.Struct, array_like=True, frozen=True):
    """A line of a machine's story."""

    at: float  # ms of the log's time
    state: str
    why: str = ""
    who: str = ""


class Place(msgspec.Struct, array_like=True, frozen=True):
    """A machine within a request."""

    machine: str
    request: str
    state: str = "queued"
    fence: int = 0
    since: float = 0.0  # ms of the log's time
    until: float = 0.0  # when the grant ends
    ends: str = ""  # how it ends once it is undone: withdrawn or failed; else it is queued again
    story: tuple[Step, ...] = ()


class Request(msgspec.Struct, array_like=True, frozen=True):
    ask: Ask
    at: float  # ms of the log's time


class Frozen(msgspec.Struct, array_like=True, frozen=True):
    """A snapshot's form."""

    budget: Budget
    held: str
    fence: int
    failures: int
    returned: float
    strained: bool
    requests: tuple[Request, ...]
    places: tuple[Place, ...]
    blocked: str
    chosen: bool
