"""The interface of a gateway to the engine, and the messages that only the baseline policies use."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol


class GatewayPolicy(Protocol):
    """A gateway as the engine runs it: the decision module and the baseline policies implement it.

    Events and actions are untyped here: a run may use the types of another checkout.
    """

    def start(self) -> Iterable[Any]:
        """Return the actions with which the gateway starts."""
        ...

    def handle(self, now: float, event: Any) -> Iterable[Any]:
        """Return the actions that follow from an event at `now` (ms)."""
        ...


# Creates a gateway from settings (untyped, as they may come from another checkout), seed and time (ms).
PolicyFactory = Callable[[Any, int, float], GatewayPolicy]


@dataclass(slots=True, eq=False)
class CounterCall:
    """Action: add `amount` to the shared counter's value `name`, which expires after `lifetime_ms`."""

    name: int
    amount: float
    lifetime_ms: float


@dataclass(slots=True, eq=False)
class CounterReply:
    """Event: a call's status ("ok", "full", "unreachable", or "timeout": perhaps added) and the total."""

    name: int
    status: str
    total: float
