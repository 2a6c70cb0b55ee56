"""How many machines may be out for maintenance, and when."""

from __future__ import annotations

import msgspec


class Budget(msgspec.Struct, array_like=True, frozen=True):
    """Limits on machines that are out, planned and unplanned together. Times in s."""

    max_out: int = 1
    max_out_per_zone: int = 1
    max_load: float = 0.8  # of those left, 1 being all they can do
    load_slack: float = 0.1  # below `max_load` by so much before grants go on again
    pause_s: float = 10.0  # after a machine is back, before the next goes
    drain_s: float = 60.0  # that a machine has to become safe: how long a grant holds
    max_failures: int = 2  # machines that failed, after which nobody goes until an operator resumes
    closed_windows: tuple[tuple[float, float], ...] = ()  # from and to, Unix time


def budget_error(budget: Budget) -> str:
    """Why a budget makes no sense or lets nobody go, by the keys of the settings; empty if it is valid."""
    return _range_error(budget) or _contradiction(budget)


def _range_error(budget: Budget) -> str:
    numbers = (
        ("load", budget.max_load),
        ("slack", budget.load_slack),
        ("pause", budget.pause_s),
        ("drain", budget.drain_s),
    )
    for key, value in numbers:
        if not 0 <= value < float("inf"):
            return f"{key} must be 0 or more, not {value}"
    if budget.max_out < 1 or budget.max_out_per_zone < 1:
        return "most and zone must be 1 or more: with 0 nobody ever goes (hold stops all for a while)"
    return ""


def _contradiction(budget: Budget) -> str:
    if budget.max_out_per_zone > budget.max_out:
        return f"zone ({budget.max_out_per_zone}) is more than most ({budget.max_out})"
    if budget.max_load <= budget.load_slack:
        return f"load ({budget.max_load}) is not above slack ({budget.load_slack}): nobody ever goes"
    if budget.drain_s < 1 or budget.max_failures < 1:
        return "drain must be 1 s or more, and failures 1 or more"
    if any(not begin < end for begin, end in budget.closed_windows):
        return "a closed window ends before it begins"
    return ""
