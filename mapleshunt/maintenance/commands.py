"""Commands of maintenance, as they are stored in the log."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from .budget import Budget


class RequestMaintenance(msgspec.Struct, array_like=True, tag=30, frozen=True):
    """Request that machines be taken out; a known `request_id` changes nothing."""

    request_id: str
    machines: tuple[str, ...]
    reason: str
    author: str
    expected_s: float = 600.0  # that a machine is out
    earliest_time: float = 0.0  # Unix time
    urgency: int = 0  # 0 to 9
    move_replicas: bool = False  # replicas are moved to other machines first
    target_version: str = ""  # that a machine must have after its return; empty for any


class WithdrawRequest(msgspec.Struct, array_like=True, tag=31, frozen=True):
    """Withdraw a request: queued machines are not taken out, those that drain are recalled."""

    request_id: str
    author: str


class SetHold(msgspec.Struct, array_like=True, tag=32, frozen=True):
    """Hold all grants, or resume them."""

    held: bool
    author: str
    reason: str = ""


class ForceGrant(msgspec.Struct, array_like=True, tag=33, frozen=True):
    """Grant a machine regardless of the budget; each group still keeps a majority."""

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
    """The gateways that vote in a group, and those whose replicas are reachable and up to date."""

    voters: tuple[str, ...]
    up_to_date: tuple[str, ...]


class FleetView(msgspec.Struct, array_like=True, tag=35, frozen=True):
    """The coordinator's view of the fleet; applying it makes grants and finishes returns."""

    wall_time: float  # Unix time
    machines: tuple[MachineView, ...]
    groups: tuple[GroupView, ...]


class Progress(StrEnum):
    """Progress of a machine that has a grant. The values are stored and sent."""

    DRAINING = "draining"
    SAFE = "safe"
    OUT = "out"
    RETURNING = "returning"
    UNDONE = "undone"  # the machine serves again as before the grant
    FAILED = "failed"


class ReportProgress(msgspec.Struct, array_like=True, tag=36, frozen=True):
    """Report the progress of a machine under its grant's fencing token.

    Sent by the machine or by the operator who works on it.
    """

    machine: str
    fencing_token: int
    state: str  # a `Progress`
    reason: str = ""


Operation = (
    RequestMaintenance | WithdrawRequest | SetHold | ForceGrant | SetBudget | FleetView | ReportProgress
)
