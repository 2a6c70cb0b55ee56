"""A day to be played: a scenario drawn with a seed. The same seed gives every variant the same day."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from .. import policy
from ..fleet import clients, faults
from ..fleet import parameters as figures
from ..fleet.clients import Traffic
from ..fleet.faults import Fault
from ..fleet.parameters import Parameters
from ..fleet.random_streams import RandomStreams, Rng

FaultPlan = Callable[[Rng, "Scenario"], list[Fault]]


@dataclass(slots=True, frozen=True)
class Scenario:
    """What is played: sizes, load and troubles. `load`: use inside quotas over what the fleet can do."""

    name: str
    description: str
    load: tuple[float, float]
    fault_plan: FaultPlan = field(default=lambda rng, scenario: [])
    gateways: int = 3
    servers: int = 14
    seconds: float = 30.0
    rate: float | None = None  # requests a second inside quotas, in place of `load`
    fixed_parameters: Mapping[str, float] = field(default_factory=dict)  # figures
    parameter_ranges: Mapping[str, figures.ParameterRange] = field(default_factory=dict)
    settings: Mapping[str, Any] = field(default_factory=dict)  # of the gateways
    installation_seed: int | None = (
        None  # the seed of an installation: its machines, figures and customers stay from day to day
    )
    day_factory: Callable[[Scenario, int], Day] | None = (
        None  # draws the day in another way, from a recording say
    )


@dataclass(slots=True, frozen=True)
class RuleLimits:
    """Figures of the rules; times in ms."""

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
PLATFORM: dict[str, Any] = {
    "zone": "jkt-dc1", "tick": 2.0, "max_attempts": 6, "max_retry_after": 500.0, "allow_retry_after": True,
    "allow_hedging": False, "can_cancel": True, "gossip_enabled": True, "gossip_intake_per_s": 40.0,
    "cost_known_after": True, "max_request_units": 8.0, "slow_start_min_capacity": 0.25,
    "slow_start_duration": 15000.0, "overload_crash_after": 1000.0,
}  # fmt: skip


@dataclass(slots=True, frozen=True)
class Day:
    """A scenario with everything drawn that is not the gateways' to decide."""

    scenario: Scenario
    seed: int
    streams: RandomStreams
    parameters: Parameters
    traffic: Traffic
    faults: tuple[Fault, ...]
    rules: RuleLimits = RuleLimits()

    @property
    def length_ms(self) -> float:
        return 1000 * self.scenario.seconds

    def settings(self, words: Any = policy) -> list[Any]:
        """The settings of each gateway, in the types of `words` (a version's own package `policy`)."""
        chosen = {**PLATFORM, **self.scenario.settings}
        plan_changes = {name: chosen.pop(name) for name in list(chosen) if name.startswith("plan.")}
        known = {name for name in words.Settings.__dataclass_fields__}
        classes = {name: words.RequestClass(name=name, **figures) for name, figures in CLASSES.items()}
        plans = {}
        for shape in self.parameters.plans:
            held = {"rate": shape.rate, "burst": shape.burst}
            for name, value in plan_changes.items():
                _, plan, part = name.split(".", 2)
                if plan == shape.name:
                    held[part] = value
            plans[shape.name] = words.Plan(shape.name, **held)
        chosen = {name: value for name, value in chosen.items() if name in known}
        return [
            words.Settings(
                gateway_index=index,
                gateway_count=self.scenario.gateways,
                classes=classes,
                plans=plans,
                **chosen,
            )
            for index in range(self.scenario.gateways)
        ]


def fleet_capacity(drawn: Parameters, servers: int) -> float:
    """Work that warm servers do, in ms of a standard core a second."""
    return 1000 * servers * drawn["cores"] * drawn["speed"]


def draw_day(scenario: Scenario, seed: int) -> Day:
    """Draw a day. Raises `UnknownFigure`."""
    if scenario.day_factory is not None:
        return scenario.day_factory(scenario, seed)
    streams = RandomStreams(seed, scenario.installation_seed)
    drawn = figures.draw_parameters(
        streams.generator("figures"), scenario.fixed_parameters, scenario.parameter_ranges
    )
    load = float(streams.generator("load").uniform(*scenario.load))
    rate = scenario.rate
    if rate is None:
        rate = load * fleet_capacity(drawn, scenario.servers) / clients.mean_work(drawn)
    troubles = faults.sorted_by_time(scenario.fault_plan(streams.generator("troubles"), scenario))
    asked = clients.draw_traffic(
        drawn, scenario.gateways, rate * clients.mean_units(drawn), 1000 * scenario.seconds, troubles, streams
    )
    return Day(scenario, seed, streams, drawn, asked, troubles)


def resized(
    scenario: Scenario,
    gateways: int | None = None,
    servers: int | None = None,
    rate: float | None = None,
    seconds: float | None = None,
) -> Scenario:
    """The scenario at other sizes. Raises ValueError for sizes that make none."""
    for name, value in (("gateways", gateways), ("servers", servers), ("rate", rate), ("seconds", seconds)):
        if value is not None and not (value > 0 and math.isfinite(value)):
            raise ValueError(f"{name} must be above 0, not {value:g}")
    return replace(
        scenario, gateways=gateways or scenario.gateways, servers=servers or scenario.servers,
        rate=rate if rate is not None else scenario.rate, seconds=seconds or scenario.seconds,
    )  # fmt: skip
