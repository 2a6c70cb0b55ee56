"""Limits on grants that follow from the fleet: groups' majorities, and the number of machines out."""

from __future__ import annotations

from collections.abc import Mapping

from .budget import Budget
from .commands import FleetView, MachineView

MAX_NAMED_MACHINES = 5  # in a reason


def majority_loss_reason(machine: str, fleet: FleetView, out: set[str]) -> str:
    """Return which group would lose its up-to-date majority without the machine; empty if none would."""
    for number, group in enumerate(fleet.groups):
        remaining = [name for name in group.up_to_date if name not in out and name != machine]
        if machine in group.voters and 2 * len(remaining) <= len(group.voters):
            return f"group {number} would have no majority without {machine}"
    return ""


def max_out_reason(budget: Budget, machine: str, views: Mapping[str, MachineView], out: set[str]) -> str:
    """Return which limit of the budget the machines in `out` use up; empty if the machine may be added."""
    if len(out | {machine}) > budget.max_out:
        names = ", ".join(sorted(out)[:MAX_NAMED_MACHINES])
        return f"{len(out)} of {budget.max_out} are out: {names}"
    zone = views[machine].zone
    in_zone = sum(views[name].zone == zone for name in out if name in views and name != machine)
    if in_zone + 1 > budget.max_out_per_zone:
        return f"{in_zone} of {budget.max_out_per_zone} of zone {zone or 'none'} are out"
    return ""
