"""Records about machines that are to be taken out: what goes through the log, and what it comes to."""

from __future__ import annotations

import msgspec

from .budget import Budget

# States of a machine within a request, each entered by an entry of the log.


class RequestMaintenance(msgspec.Struct, array_like=True, tag=30, frozen=True):
    """A request for work; the same `id` again changes nothing."""

    request_id: str
    machines: tuple[str, ...]
    reason: str
    author: str
    expected_s: float = 600.0  # s that a machine is out
    earliest_time: float = 0.0  # Unix time
    urgency: int = 0  # 0 to 9
    move_replicas: bool = False  # copies are to be moved off first
    target_version: str = ""  # that a machine is to have when it is back


class WithdrawRequest(msgspec.Struct, array_like=True, tag=31, frozen=True):
    request_id: str
    author: str


class SetHold(msgspec.Struct, array_like=True, tag=32, frozen=True):
    """No grants from now on, or again."""

    held: bool
    author: str
    reason: str = ""


class ForceGrant(msgspec.Struct, array_like=True, tag=33, frozen=True):
    """That machine goes now, whatever the budget says; a majority of each group stays all the same."""

    machine: str
    author: str
    reason: str


class SetBudget(msgspec.Struct, array_like=True, tag=34, frozen=True):
    budget: Budget
    author: str


class MachineView(msgspec.Struct, array_like=True, frozen=True):
    """A machine as the coordinator sees it."""

    name: str
    zone: str
    available: bool
    groups_led: int = 0  # groups
    load: float = 0.0
    version: str = ""


class GroupView(msgspec.Struct, array_like=True, frozen=True):
    """Gateways that decide in a group, and those of them whose copies are there and not far behind."""

    voters: tuple[str, ...]
    up_to_date: tuple[str, ...]


class FleetView(msgspec.Struct, array_like=True, tag=35, frozen=True):
    """What the coordinator sees now: grants and returns follow from this entry and the state before it."""

    wall_time: float  # Unix time
    machines: tuple[MachineView, ...]
    groups: tuple[GroupView, ...]


class ReportProgress(msgspec.Struct, array_like=True, tag=36, frozen=True):
    """A machine, or whoever works on it, tells how far it is, under its grant's number."""

    machine: str
    fencing_token: int
    state: str  # draining, safe, out, returning, undone, failed
    reason: str = ""


Operation = (
    RequestMaintenance | WithdrawRequest | SetHold | ForceGrant | SetBudget | FleetView | ReportProgress
)
