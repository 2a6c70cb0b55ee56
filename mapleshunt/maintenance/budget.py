"""How many machines may be out for maintenance, and when."""

from __future__ import annotations

import msgspec


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


def budget_error(budget: Budget) -> str:
    """Why a budget can never let anyone go, or makes no sense; nothing if it does."""
    for name in ("load", "slack", "pause", "drain"):
        value = getattr(budget, name)
        if not 0 <= value < float("inf"):
            return f"{name} must be 0 or more, not {value}"
    if budget.most < 1 or budget.zone < 1:
        return "most and zone must be 1 or more: with 0 nobody ever goes (hold stops all for a while)"
    if budget.zone > budget.most:
        return f"zone ({budget.zone}) is more than most ({budget.most})"
    if budget.load <= budget.slack:
        return f"load ({budget.load}) is not above slack ({budget.slack}): nobody ever goes"
    if budget.drain < 1 or budget.failures < 1:
        return "drain must be 1 s or more, and failures 1 or more"
    if any(not begin < end for begin, end in budget.closed):
        return "a closed window ends before it begins"
    return ""
