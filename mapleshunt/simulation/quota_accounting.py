"""Accounting of the customers' quotas from all arrivals at the backends."""

from __future__ import annotations

from collections.abc import Callable

from ..fleet.quota import TokenBucket
from .day import ScenarioRun
from .records import ClientAttempt

# Share of a ceiling's burst by which its bucket may fall below 0; at least by the largest request.
CEILING_SLACK = 0.1


class QuotaAccounting:
    """Token buckets of quotas and ceilings. Times are in ms."""

    def __init__(
        self, scenario_run: ScenarioRun, on_ceiling_exceeded: Callable[[ClientAttempt, float], None]
    ) -> None:
        """Args: `on_ceiling_exceeded` gets the attempt that exceeded a ceiling, and the excess in units."""
        self._plans = scenario_run.settings()[0].plans
        self._parameters = scenario_run.parameters
        self._customers = scenario_run.traffic.customers
        self._on_ceiling_exceeded = on_ceiling_exceeded
        self._quotas: dict[int, TokenBucket] = {}
        self._ceilings: dict[int, TokenBucket] = {}

    def record_arrival(self, attempt: ClientAttempt, now: float) -> None:
        """Charge the estimated units of a client's attempt when its first upstream attempt has arrived.

        A plan's ceiling is charged whether or not the attempt is inside the quota.
        """
        if attempt.inside_quota is not None:
            return
        request = attempt.request
        attempt.inside_quota = self._quota(request.customer).try_take(now, request.estimated_units)
        plan = self._plans[self._plan_name(request.customer)]
        if not plan.ceiling_rate:
            return
        ceiling = self._ceilings.get(request.customer)
        if ceiling is None:
            ceiling = self._ceilings[request.customer] = TokenBucket(plan.ceiling_rate, plan.ceiling_burst)
        ceiling.refill(now)
        ceiling.level -= request.estimated_units
        slack = max(CEILING_SLACK * plan.ceiling_burst, self._parameters["most_units"])
        if ceiling.level < -slack:
            self._on_ceiling_exceeded(attempt, -ceiling.level)

    def record_settlement(self, attempt: ClientAttempt, now: float) -> None:
        """Charge the true units, which the first successful response reports."""
        if attempt.inside_quota and attempt.result is None:
            request = attempt.request
            self._quota(request.customer).settle(now, request.units - request.estimated_units)

    def _plan_name(self, customer: int) -> str:
        return self._parameters.plans[self._customers[customer].plan].name

    def _quota(self, customer: int) -> TokenBucket:
        bucket = self._quotas.get(customer)
        if bucket is None:
            plan = self._plans[self._plan_name(customer)]
            bucket = self._quotas[customer] = TokenBucket(plan.rate, plan.burst)
        return bucket
