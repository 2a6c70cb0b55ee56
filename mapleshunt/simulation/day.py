"""Scenarios, and runs of them drawn with a seed. One seed gives every variant the same run."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from .. import policy
from ..fleet import clients, faults, parameters
from ..fleet.clients import Traffic
from ..fleet.faults import Fault
from ..fleet.parameters import Parameters
from ..fleet.random_streams import RandomStreams, Rng

FaultPlan = Callable[[Rng, "Scenario"], list[Fault]]
MS_PER_SECOND = 1000


def no_faults(_rng: Rng, _scenario: Scenario) -> list[Fault]:
    """Return no faults."""
    return []


@dataclass(slots=True, frozen=True)
class Scenario:
    """A kind of run: sizes, load and faults.

    `load` is the range of the usage inside quotas, relative to the fleet's capacity.
    """

    name: str
    description: str
    load: tuple[float, float]
    fault_plan: FaultPlan = no_faults
    gateways: int = 3
    backends: int = 14
    seconds: float = 30.0
    rate: float | None = None  # requests per second inside quotas, in place of `load`
    fixed_parameters: Mapping[str, float] = field(default_factory=dict)
    parameter_ranges: Mapping[str, parameters.ParameterRange] = field(default_factory=dict)
    settings: Mapping[str, Any] = field(default_factory=dict)  # of the gateways
    deadline_factor: float = 1.0  # scales the times of all request classes
    # The seed of an installation, whose machines, parameters and customers are the same in all runs.
    installation_seed: int | None = None
    # Replaces the default way to draw a run, for example from a recording.
    run_factory: Callable[[Scenario, int], ScenarioRun] | None = None


@dataclass(slots=True, frozen=True)
class RuleLimits:
    """Limits of the operators' rules; times in ms."""

    answer_slack_ms: float = 8.0
    drain_grace_ms: float = 500.0
    overload_multiple: float = 4.0
    overload_window_ms: float = 1000.0


CLASSES: dict[str, dict[str, Any]] = {
    "price-lookup": {"latency_objective": 1000.0, "deadline": 3000.0},
    "basket-total": {"latency_objective": 1000.0, "deadline": 3000.0},
    "sale-close": {
        "latency_objective": 1500.0,
        "deadline": 4000.0,
        "effect": "keyed",
        "retry_scope": "cell",
        "idempotency_window": 4000.0,
    },
}
GATEWAY_SETTINGS: dict[str, Any] = {
    "zone": "jkt-dc1", "tick": 2.0, "max_attempts": 6, "max_retry_after": 500.0, "allow_retry_after": True,
    "allow_hedging": False, "can_cancel": True, "gossip_enabled": True, "gossip_intake_per_s": 40.0,
    "cost_known_after": True, "max_request_units": 8.0, "slow_start_min_capacity": 0.25,
    "slow_start_duration": 15000.0, "overload_crash_after": 1000.0,
}  # fmt: skip


@dataclass(slots=True, frozen=True)
class ScenarioRun:
    """One run of a scenario: everything drawn that the gateways do not decide."""

    scenario: Scenario
    seed: int
    streams: RandomStreams
    parameters: Parameters
    traffic: Traffic
    faults: tuple[Fault, ...]
    rules: RuleLimits = RuleLimits()

    @property
    def length_ms(self) -> float:
        """Return the time during which requests arrive (ms)."""
        return MS_PER_SECOND * self.scenario.seconds

    def settings(self, policy_types: Any = policy) -> list[Any]:
        """Return the settings of each gateway, with types of `policy_types`, a checkout's `policy`."""
        values = {**GATEWAY_SETTINGS, **self.scenario.settings}
        plan_changes = {name: values.pop(name) for name in list(values) if name.startswith("plan.")}
        known_fields = set(policy_types.Settings.__dataclass_fields__)
        classes = {
            name: policy_types.RequestClass(name=name, **_scaled(fields, self.scenario.deadline_factor))
            for name, fields in CLASSES.items()
        }
        plans = {}
        for drawn in self.parameters.plans:
            quota = {"rate": drawn.rate, "burst": drawn.burst}
            for name, value in plan_changes.items():
                _, plan, field_name = name.split(".", 2)
                if plan == drawn.name:
                    quota[field_name] = value
            plans[drawn.name] = policy_types.Plan(drawn.name, **quota)
        values = {name: value for name, value in values.items() if name in known_fields}
        return [
            policy_types.Settings(
                gateway_index=index,
                gateway_count=self.scenario.gateways,
                classes=classes,
                plans=plans,
                **values,
            )
            for index in range(self.scenario.gateways)
        ]


def _scaled(class_fields: Mapping[str, Any], factor: float) -> dict[str, Any]:
    """Return the fields of a request class with its times, which are its only floats, scaled."""
    return {
        name: factor * value if isinstance(value, float) else value for name, value in class_fields.items()
    }


def fleet_capacity(drawn: Parameters, backends: int) -> float:
    """Return the work that warm backends do, in ms of a standard core per second."""
    return MS_PER_SECOND * backends * drawn["cores"] * drawn["speed"]


def draw_run(scenario: Scenario, seed: int) -> ScenarioRun:
    """Draw a run of a scenario.

    Raises:
        ParameterError: The scenario fixes an unknown parameter, or fixes one at an invalid value.
    """
    if scenario.run_factory is not None:
        return scenario.run_factory(scenario, seed)
    streams = RandomStreams(seed, scenario.installation_seed)
    drawn = parameters.draw_parameters(
        streams.generator("figures"), scenario.fixed_parameters, scenario.parameter_ranges
    )
    load = float(streams.generator("load").uniform(*scenario.load))
    rate = scenario.rate
    if rate is None:
        rate = load * fleet_capacity(drawn, scenario.backends) / clients.mean_work(drawn)
    planned = faults.sorted_by_time(scenario.fault_plan(streams.generator("troubles"), scenario))
    length_ms = MS_PER_SECOND * scenario.seconds
    units_per_s = rate * clients.mean_units(drawn)
    traffic = clients.draw_traffic(drawn, scenario.gateways, units_per_s, length_ms, planned, streams)
    return ScenarioRun(scenario, seed, streams, drawn, traffic, planned)


def resized(
    scenario: Scenario,
    gateways: int | None = None,
    backends: int | None = None,
    rate: float | None = None,
    seconds: float | None = None,
) -> Scenario:
    """Return the scenario with other sizes. Raises ValueError if one is not a finite number above 0."""
    for name, value in (("gateways", gateways), ("servers", backends), ("rate", rate), ("seconds", seconds)):
        if value is not None and not (value > 0 and math.isfinite(value)):
            raise ValueError(f"{name} must be a finite number above 0, got {value:g}")
    return replace(
        scenario, gateways=gateways or scenario.gateways, backends=backends or scenario.backends,
        rate=rate if rate is not None else scenario.rate, seconds=seconds or scenario.seconds,
    )  # fmt: skip
