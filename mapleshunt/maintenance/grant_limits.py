"""Limits on a grant that follow from the fleet alone: majorities, and how many machines may be out."""

from __future__ import annotations

from collections.abc import Mapping

from .budget import Budget
from .commands import FleetView, MachineView

MAX_NAMED_MACHINES = 5  # in the reason why nobody may go


def why_no_majority(machine: str, fleet: FleetView, out: set[str]) -> str:
    """Which group would lose its majority of up-to-date replicas without the machine; empty if none would."""
    for number, group in enumerate(fleet.groups):
        left = [name for name in group.up_to_date if name not in out and name != machine]
        if machine in group.voters and 2 * len(left) <= len(group.voters):
            return f"group {number} would have no majority without {machine}"
    return ""


def why_too_many(budget: Budget, machine: str, views: Mapping[str, MachineView], out: set[str]) -> str:
    """Why the budget lets no other machine out, beside those of `out`; empty if it does."""
    if len(out | {machine}) > budget.max_out:
        names = ", ".join(sorted(out)[:MAX_NAMED_MACHINES])
        return f"{len(out)} of {budget.max_out} are out: {names}"
    zone = views[machine].zone
    in_zone = sum(views[name].zone == zone for name in out if name in views and name != machine)
    if in_zone + 1 > budget.max_out_per_zone:
        return f"{in_zone} of {budget.max_out_per_zone} of zone {zone or 'none'} are out"
    return ""
