"""How many machines may be out for maintenance, and when."""

from __future__ import annotations

import msgspec


class Budget(msgspec.Struct, array_like=True, frozen=True):
    """Limits on machines that are out, planned or not. Durations in s."""

    max_out: int = 1
    max_out_per_zone: int = 1
    max_load: float = 0.8  # mean load of the remaining machines, as a fraction of their capacity
    load_slack: float = 0.1  # below `max_load` that the load must fall before grants continue
    pause_s: float = 10.0  # between a machine's return and the next grant
    drain_s: float = 60.0  # that a machine has to become safe; the duration of a grant
    max_failures: int = 2  # failed machines that stop all grants until an operator resumes
    closed_windows: tuple[tuple[float, float], ...] = ()  # start and end, Unix time


def budget_error(budget: Budget) -> str:
    """Return why a budget is contradictory or allows no grant, by the settings' keys; empty if valid."""
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
