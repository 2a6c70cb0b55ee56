"""Commands of maintenance, as they go through the log."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from .budget import Budget


class RequestMaintenance(msgspec.Struct, array_like=True, tag=30, frozen=True):
    """Ask that machines be taken out; the same `request_id` again changes nothing."""

    request_id: str
    machines: tuple[str, ...]
    reason: str
    author: str
    expected_s: float = 600.0  # that a machine is out
    earliest_time: float = 0.0  # Unix time
    urgency: int = 0  # 0 to 9
    move_replicas: bool = False  # replicas are moved to other machines first
    target_version: str = ""  # that a machine must have when it is back


class WithdrawRequest(msgspec.Struct, array_like=True, tag=31, frozen=True):
    """Take a request back: what is queued does not go, what drains is recalled."""

    request_id: str
    author: str


class SetHold(msgspec.Struct, array_like=True, tag=32, frozen=True):
    """Stop all grants from now on, or resume them."""

    held: bool
    author: str
    reason: str = ""


class ForceGrant(msgspec.Struct, array_like=True, tag=33, frozen=True):
    """Grant that machine whatever the budget says; each group still keeps a majority."""

    machine: str
    author: str
    reason: str


class SetBudget(msgspec.Struct, array_like=True, tag=34, frozen=True):
    """Replace the budget."""

    budget: Budget
    author: str


class MachineView(msgspec.Struct, array_like=True, frozen=True):
    """A machine as the coordinator sees it."""

    name: str
    zone: str
    available: bool
    groups_led: int = 0
    load: float = 0.0
    version: str = ""


class GroupView(msgspec.Struct, array_like=True, frozen=True):
    """Gateways that vote in a group, and those of them whose replicas are reachable and up to date."""

    voters: tuple[str, ...]
    up_to_date: tuple[str, ...]


class FleetView(msgspec.Struct, array_like=True, tag=35, frozen=True):
    """What the coordinator sees now: grants and returns follow from this entry and the state before it."""

    wall_time: float  # Unix time
    machines: tuple[MachineView, ...]
    groups: tuple[GroupView, ...]


class Progress(StrEnum):
    """What may be reported of a machine that has a grant. The values are stored and sent."""

    DRAINING = "draining"
    SAFE = "safe"
    OUT = "out"
    RETURNING = "returning"
    UNDONE = "undone"  # it serves again as before the grant
    FAILED = "failed"


class ReportProgress(msgspec.Struct, array_like=True, tag=36, frozen=True):
    """A machine, or the operator who works on it, reports its progress under its grant's fencing token."""

    machine: str
    fencing_token: int
    state: str  # a `Progress`
    reason: str = ""


Operation = (
    RequestMaintenance | WithdrawRequest | SetHold | ForceGrant | SetBudget | FleetView | ReportProgress
)
