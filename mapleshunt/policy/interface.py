"""Settings, events and actions of the gateway's decision module (`control.Gateway`).

Times are milliseconds on the host's clock, rates are units a second, customers and names are opaque.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Literal

Effect = Literal["safe", "keyed", "unsafe"]
Group = Literal["all", "zone", "cell"]
ServerState = Literal["ready", "draining", "gone"]
ListKind = Literal["partial", "complete", "persisted", "error"]
# "full", "unreachable" and "unsent" prove that the attempt never ran.
Status = Literal["ok", "error", "full", "timeout", "unreachable", "reset", "cancelled", "unsent"]
PROVEN = ("full", "unreachable", "unsent")


def _need(good: bool, what: str, accepted: str, value: object) -> None:
    if not good:
        raise ValueError(f"{what} must be {accepted}, not {value!r}")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests: what an answer is wanted within, and whether a request may run again."""

    name: str
    aim: float
    deadline: float
    effect: Effect = "safe"
    group: Group = "all"
    window: float = 0.0
    late_worth: float = 0.0
    stream: bool = False
    worth: float = 1.0  # of a request, beside that of other classes

    def __post_init__(self) -> None:
        _need(self.aim > 0, f"class {self.name!r}: aim", "above 0 ms", self.aim)
        _need(self.deadline > 0, f"class {self.name!r}: deadline", "above 0 ms", self.deadline)
        _need(
            self.effect in ("safe", "keyed", "unsafe"),
            f"class {self.name!r}: effect",
            "'safe', 'keyed' or 'unsafe'",
            self.effect,
        )
        _need(
            self.group in ("all", "zone", "cell"),
            f"class {self.name!r}: group",
            "'all', 'zone' or 'cell'",
            self.group,
        )
        _need(self.worth > 0, f"class {self.name!r}: worth", "above 0", self.worth)
        _need(self.window >= 0, f"class {self.name!r}: window", "0 ms or more", self.window)


@dataclass(slots=True, frozen=True)
class Plan:
    """A plan's quotas, each for one customer over all gateways; a rate or limit of 0 means there is none."""

    name: str
    rate: float = 0.0
    burst: float = 0.0
    open_limit: int = 0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0

    def __post_init__(self) -> None:
        for name in ("rate", "burst", "open_limit", "ceiling_rate", "ceiling_burst"):
            value = getattr(self, name)
            _need(value >= 0, f"plan {self.name!r}: {name}", "0 or more", value)
        _need(
            self.rate == 0 or self.burst > 0, f"plan {self.name!r}: burst", "above 0 with a rate", self.burst
        )


@dataclass(slots=True, frozen=True)
class Settings:
    """What an instance is told at its start."""

    me: int
    instances: int
    classes: Mapping[str, RequestClass]
    plans: Mapping[str, Plan]
    zone: str = ""
    tick: float = 1.0
    ask_discovery: bool = False
    ask_within: float = 10000.0
    max_attempts: int = 3
    max_retry_after: float = 1000.0
    retry_after: bool = True
    second_copies: bool = False
    can_cancel: bool = True
    peers: bool = False
    mail_per_s: float = 60.0
    message_bytes: int = 256
    settles: bool = False
    largest: float = 1.0
    cold_from: float = 1.0
    cold: float = 0.0
    tip_after: float = 1000.0
    tip_over: float = 2.5

    def __post_init__(self) -> None:
        _need(self.instances >= 1, "instances", "1 or more", self.instances)
        _need(0 <= self.me < self.instances, "me", f"from 0 to {self.instances - 1}", self.me)
        _need(self.max_attempts >= 1, "max_attempts", "1 or more", self.max_attempts)
        _need(self.tick >= 0, "tick", "0 ms or more", self.tick)
        _need(0 < self.cold_from <= 1, "cold_from", "above 0 and at most 1", self.cold_from)
        _need(self.mail_per_s > 0, "mail_per_s", "above 0", self.mail_per_s)
        for name in ("cold", "tip_after", "tip_over", "largest", "max_retry_after"):
            _need(getattr(self, name) >= 0, name, "0 or more", getattr(self, name))


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """A server as the discovery list has it; started 0 means long ago.

    `started` tells one start from another. `age` is for how many ms it can have been up at most, where the
    host knows better than by `started`: wall clocks may have been stepped since.
    """

    server: int
    zone: str = ""
    cell: int = 0
    state: ServerState = "ready"
    started: float = 0.0
    age: float | None = field(default=None, compare=False)

    def since(self, now: float) -> float:
        """Since when it is up, on the host's clock and never in the future; 0 for long ago."""
        if not self.started:
            return 0.0
        begun = self.started if self.age is None else now - self.age
        return max(min(begun, now), 1e-3)


# Events


@dataclass(slots=True, frozen=True)
class Members:
    """A list or a change of it. Anything but "partial" and "error" replaces the list held."""

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class Request:
    """A client's try: it is owed one final answer within `patience`."""

    ref: int
    cls: str
    plan: str
    customer: str
    patience: float
    units: float = 1.0
    spread: int = 1
    first: int = 0
    retry: bool = False


@dataclass(slots=True, frozen=True)
class Begun:
    """A stream started: the attempt now belongs to the client."""

    ref: int
    attempt: int
    server: int


@dataclass(slots=True, frozen=True)
class Outcome:
    """How one attempt ended. `closed`: the request has its final answer. `cost`: true units, 0 if untold."""

    ref: int
    status: Status
    closed: bool
    attempt: int
    server: int
    latency: float
    cost: float = 0.0


@dataclass(slots=True, frozen=True)
class ClientGone:
    ref: int


@dataclass(slots=True, frozen=True)
class Timer:
    token: int


@dataclass(slots=True, frozen=True)
class PeerMessage:
    sender: int
    data: str


@dataclass(slots=True, frozen=True)
class Leased:
    """Units of a customer's that may be used here until then, and no others meanwhile (0: none may)."""

    customer: str
    plan: str
    lease: int
    units: float
    until: float


Event = Members | Request | Begun | Outcome | ClientGone | Timer | PeerMessage | Leased


# Actions


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt; attempts of a request number 0, 1, ... in the order of their `Send`.

    Not one byte of it goes out from `before` on: the window for repeats has to cover its arrival.
    """

    ref: int
    server: int
    timeout: float = 0.0
    before: float = math.inf


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: declined, a retry does no harm."""

    ref: int
    wait: float = 0.0
    why: str = field(default="", compare=False)  # patience, queue, quota, word, slot or tries: for counters


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, nothing promised."""

    ref: int


@dataclass(slots=True, frozen=True)
class Cancel:
    ref: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    at: float
    token: int


@dataclass(slots=True, frozen=True)
class Tell:
    peer: int
    data: str


@dataclass(slots=True, frozen=True)
class Watch:
    """Ask discovery for changes from now on."""


Action = Send | Refuse | Fail | Cancel | SetTimer | Tell | Watch
