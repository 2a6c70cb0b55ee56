"""A world fitted to recordings, with what is not known left uncertain.

Three steps. What shows directly is reckoned with its standard error: work by class and its spread, how fast
till servers are beside each other, shares of classes, how far guesses are off. What customers ask is cut
into spells of even rate. What shows only through the fleet's behaviour (waiting rooms, habits of clients, the
gateways' own time) is drawn from its range, played, and kept where the played day resembles the recorded
one (approximate Bayesian computation by rejection): the draws kept are the uncertainty.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

import msgspec
import numpy as np
from joblib import Parallel, delayed

from ..fleet import clients
from ..fleet import faults as world_faults
from ..fleet import parameters as figures
from ..fleet.clients import Customer
from ..fleet.clients import Traffic as Asked
from ..fleet.faults import Fault
from ..fleet.parameters import ClassParameters, Parameters, PlanParameters
from ..fleet.random_streams import RandomStreams
from ..recording.file_format import RecordedRequest
from .day import Day, Scenario
from .engine import Engine
from .recorded_traffic import Floats, Received, Traffic, received, segments
from .records import ClientAttempt

FORM = 1
LEAST_ROWS = 200


class Spell(msgspec.Struct, array_like=True, frozen=True):
    """A customer's even rate from `begin` on (ms), in requests a second."""

    begin: float
    rate: float


class FittedCustomer(msgspec.Struct, frozen=True):
    name: str
    plan: str
    spread: int
    first: int
    spells: tuple[Spell, ...]


class FittedClass(msgspec.Struct, frozen=True):
    """`work` in ms of a core at the mean server, with its relative standard error."""

    name: str
    share: float
    work: float
    error: float
    cv: float
    worth: float


class FittedPlan(msgspec.Struct, frozen=True):
    name: str
    share: float
    rate: float
    burst: float
    price: float
    over_cost: float
    spread: float


class Fit(msgspec.Struct, frozen=True):
    """What `model fit` writes: a fleet that days can be drawn from."""

    form: int
    gateways: int
    servers: int
    length: float  # ms of the recording
    coverage: float
    requests: int
    classes: tuple[FittedClass, ...]
    plans: tuple[FittedPlan, ...]
    customers: tuple[FittedCustomer, ...]
    speed_cv: float
    guess_cv: float
    unit_ms: float
    draws: tuple[dict[str, float], ...]  # figures of the world that resembled the recording
    recorded: dict[str, float]  # what was compared
    played: dict[str, tuple[float, float]]  # the same in the draws kept: mean, standard deviation
    trouble: tuple[str, ...] = ()


def classes_of(
    traffic: Traffic, got: Received, worths: Mapping[str, float]
) -> tuple[list[FittedClass], float]:
    """Classes with their work, and the spread of the servers' speeds beside each other."""
    rows, work = got
    if len(rows) < LEAST_ROWS:
        raise ValueError(f"{len(rows)} served attempts are too few for a fit; {LEAST_ROWS} are the least")
    firsts = traffic.firsts()
    names = sorted({row.request_class for row in firsts})
    servers = sorted({server for _, server in rows})
    where = np.array([servers.index(server) for _, server in rows])
    # How fast a server is beside the others: by the work of its attempts over the units that they told.
    told = np.array([max(0.5, row.true_cost - 0.5) for row, _ in rows])
    residual = np.log(work / told)
    residual -= float(np.median(residual))
    effects, errors = np.zeros(len(servers)), np.ones(len(servers))
    for number in range(len(servers)):
        there = residual[where == number]
        if len(there) >= 10:
            effects[number], errors[number] = (
                float(np.median(there)),
                1.57 * float(there.var(ddof=1)) / len(there),
            )
    known = effects[errors < 1]
    spread = float(np.var(known, ddof=1)) - float(np.mean(errors[errors < 1])) if len(known) > 1 else 0.0
    # Fast servers get more: the mean server's pace, not the mean attempt's.
    level = float(np.mean(np.exp(known))) if len(known) else 1.0
    even = work / np.exp(effects)[where] * level
    # Requests of many units are refused more often: those that were served are weighted by what was asked.
    asked: dict[tuple[str, float], int] = {}
    served: dict[tuple[str, float], int] = {}
    for row in firsts:
        asked[row.request_class, row.estimated_cost] = (
            asked.get((row.request_class, row.estimated_cost), 0) + 1
        )
    for row, _ in rows:
        served[row.request_class, row.estimated_cost] = (
            served.get((row.request_class, row.estimated_cost), 0) + 1
        )
    weight = np.array(
        [
            asked.get((row.request_class, row.estimated_cost), 0)
            / served[row.request_class, row.estimated_cost]
            for row, _ in rows
        ]
    )
    found = []
    for name in names:
        at = np.array([row.request_class == name for row, _ in rows])
        share = sum(row.request_class == name for row in firsts) / len(firsts)
        if weight[at].sum() <= 0:
            found.append(FittedClass(name, share, float(even.mean()), 1.0, 1.0, worths.get(name, 1.0)))
            continue
        mean = float(np.average(even[at], weights=weight[at]))
        cv = math.sqrt(float(np.average((even[at] - mean) ** 2, weights=weight[at]))) / mean
        count = float(weight[at].sum() ** 2 / (weight[at] ** 2).sum())
        found.append(FittedClass(name, share, mean, cv / math.sqrt(count), cv, worths.get(name, 1.0)))
    return found, math.sqrt(max(0.0, spread))


def units_of(traffic: Traffic, got: Received) -> tuple[float, float]:
    """(ms of work a unit, coefficient of variation of guess over true units), from what answers told."""
    rows, work = got
    told = [(w, row.true_cost) for (row, _), w in zip(rows, work, strict=True) if row.true_cost > 0]
    guesses = [
        row.estimated_cost / row.true_cost
        for row in traffic.rows
        if row.true_cost > 0 and 1 < row.estimated_cost < 8
    ]
    # Units are the work over that of one, rounded up: the size of one is where their sum comes out as told.
    unit = 60.0
    if len(told) > 20:
        took, cost = np.array([w for w, _ in told]), float(np.mean([c for _, c in told]))
        low, high = 1.0, float(took.max())
        for _ in range(50):
            unit = (low + high) / 2
            if float(np.clip(np.ceil(took / unit), 1, 8).mean()) > cost:
                low = unit
            else:
                high = unit
    off = float(np.std(np.log(guesses))) if len(guesses) > 20 else 0.5
    return unit, math.sqrt(math.expm1(off * off))


def customers_of(traffic: Traffic) -> list[FittedCustomer]:
    """Customers with their spells; what came through gateways that did not record is reckoned in."""
    by: dict[bytes, list[RecordedRequest]] = {}
    for row in traffic.firsts():
        by.setdefault(row.customer, []).append(row)
    steps = max(1, math.ceil(traffic.length / clients.RATE_STEP_MS))
    found = []
    for name, rows in sorted(by.items()):
        one = rows[-1]
        members = {(one.gateway_set_offset + n) % traffic.gateways for n in range(one.gateway_set_size)}
        seen = len(members & set(traffic.recorded)) or 1
        at = np.array([(row.arrived_at - traffic.begin) / clients.RATE_STEP_MS for row in rows]).astype(int)
        rate = segments(np.bincount(np.clip(at, 0, steps - 1), minlength=steps).astype(np.int64))
        rate = rate * 1000 / clients.RATE_STEP_MS * len(members) / seen
        changes = [0, *(np.flatnonzero(np.diff(rate)) + 1).tolist()]
        spells = tuple(Spell(n * clients.RATE_STEP_MS, float(rate[n])) for n in changes)
        found.append(
            FittedCustomer(name.hex(), one.plan, one.gateway_set_size, one.gateway_set_offset, spells)
        )
    return found


def rates(customer: FittedCustomer, steps: int) -> Floats:
    """The customer's rate at each step of the recording, in requests a second."""
    out = np.zeros(steps)
    for spell in customer.spells:
        out[int(spell.begin / clients.RATE_STEP_MS) :] = spell.rate
    return out


# From a fit to days


def shape(fit: Fit, draw: Mapping[str, float], rng: np.random.Generator) -> Parameters:
    """One world: a draw's figures, and classes whose work is off by their errors."""
    classes = tuple(
        ClassParameters(c.name, c.share, c.work * float(np.exp(rng.normal(0, c.error))), c.cv, 0.0, c.worth)
        for c in fit.classes
    )
    plans = tuple(
        PlanParameters(p.name, p.share, p.rate, p.burst, p.price, p.over_cost, p.spread) for p in fit.plans
    )
    value = {**draw, "speed": 1.0, "speed_cv": fit.speed_cv, "guess_cv": fit.guess_cv, "unit_ms": fit.unit_ms}
    return Parameters(value, classes, plans)


class Replay:
    """Draws days from a fit. `scale` times its traffic: by more customers like these, or by higher rates.

    Each customer's spells are kept as they are and begin at a time of their own, so that a day is like the
    recorded one and not that one again. `customers`: each is there `scale` times, with times of their own, so
    the burstiness of one stays, and that of the sum evens out. `rates`: each asks `scale` times as much in
    the same spells, so all is as bursty as before.
    """

    def __init__(self, fit: Fit, scale: float = 1.0, by: str = "customers", aligned: bool = False) -> None:
        self.fit, self.scale, self.by, self.aligned = fit, scale, by, aligned

    def __call__(
        self, drawn: Parameters, scenario: Scenario, faults: tuple[Fault, ...], streams: RandomStreams
    ) -> Asked:
        fit, rng = self.fit, streams.generator("replay")
        steps = max(1, math.ceil(fit.length / clients.RATE_STEP_MS))
        length = 1000 * scenario.seconds
        wanted = math.ceil(length / clients.RATE_STEP_MS)
        plans = {plan.name: number for number, plan in enumerate(drawn.plans)}
        copies, factor = (self.scale, 1.0) if self.by == "customers" else (1.0, self.scale)
        per_request = clients.mean_units(drawn)
        who: list[Customer] = []
        profile: list[Floats] = []
        for one in fit.customers:
            number = int(copies) + (rng.random() < copies % 1)
            for copy in range(number):
                begin = 0 if self.aligned and not copy else int(rng.integers(steps))
                held = (
                    np.tile(rates(one, steps), 1 + (wanted + steps) // steps)[begin : begin + wanted] * factor
                )
                spread = max(1, min(one.spread, scenario.gateways))
                first = one.first if not copy else int(rng.integers(scenario.gateways))
                name = one.name if not copy else f"{int(rng.integers(1 << 33)):016x}"
                # A multiple of one request a second, which `traffic_of` reckons in units.
                who.append(
                    Customer(name, plans[one.plan], per_request, spread, first % scenario.gateways, "calm")
                )
                profile.append(held)
        table = np.array(profile) if profile else np.zeros((0, wanted))
        clients.apply_bursts(drawn, who, faults, table)
        return clients.draw_traffic_for(drawn, who, table, length, streams)


def scenario_from(fit: Fit, base: Scenario, scale: float = 1.0, by: str = "customers") -> Scenario:
    """A scenario's troubles on days of the fitted fleet, at its sizes. Raises ValueError for a bad scale."""
    if not 0 < scale <= 100 or by not in ("customers", "rates"):
        raise ValueError(f"a scale is above 0 and at most 100, by customers or rates, not {scale:g} by {by}")
    replay = Replay(fit, scale, by)
    return replace(
        base,
        gateways=fit.gateways,
        servers=fit.servers,
        day_factory=lambda s, seed: day_from(fit, s, seed, replay),
    )


def day_from(fit: Fit, scenario: Scenario, seed: int, replay: Replay, draw: int | None = None) -> Day:
    """A day of the fitted fleet: the seed chooses among the draws too, unless one is named."""
    streams = RandomStreams(seed)
    rng = streams.generator("fitted")
    number = int(rng.integers(len(fit.draws))) if draw is None else draw
    drawn = shape(fit, fit.draws[number], rng)
    drawn = replace(drawn, values={**drawn.values, **scenario.fixed_parameters})
    troubles = world_faults.sorted_by_time(scenario.fault_plan(streams.generator("troubles"), scenario))
    asked = replay(drawn, scenario, troubles, streams)
    return Day(scenario, seed, streams, drawn, asked, troubles)


# What is compared between a recorded and a played day

Summary = dict[str, float]


def summary(rows: Sequence[tuple[str, float, bool, Sequence[str]]]) -> Summary:
    """Of (final, took, retry, statuses of tries): what a day is recognised by."""
    first = [row for row in rows if not row[2]]
    served = np.array([row[1] for row in rows if row[0] == "served"])
    tries = [status for row in rows for status in row[3]]
    count = max(1, len(first))
    many = max(1, len(tries))
    out = {
        "refused_first": sum(row[0] == "refused" for row in first) / count,
        "retries": (len(rows) - len(first)) / count,
        "full": sum(status == "full" for status in tries) / many,
        "broken": sum(status in ("reset", "unreachable", "timeout") for status in tries) / many,
    }
    for name, part in (("p25", 0.25), ("p50", 0.5), ("p75", 0.75), ("p95", 0.95)):
        out[name] = math.log(float(np.quantile(served, part))) if len(served) else 0.0
    return out


def of_traffic(traffic: Traffic) -> Summary:
    return summary(
        [(r.outcome, r.duration_ms, r.is_retry, [a.status for a in r.attempts]) for r in traffic.rows]
    )


def of_tries(tries: Sequence[ClientAttempt]) -> Summary:
    return summary([
        (str(t.result or "failed"), t.answered_at - t.sent_at, t.number > 1,
         [str(a.status or "out") for a in t.attempts])
        for t in tries if t.accepted
    ])  # fmt: skip


def _try_draw(
    fit: Fit, scenario: Scenario, seed: int, value: dict[str, float]
) -> tuple[dict[str, float], Summary]:
    """Play one draw over the recorded day."""
    from ..policy.gateway import Gateway

    one = msgspec.structs.replace(fit, draws=(value,))
    day = day_from(one, scenario, seed, Replay(one, aligned=True), 0)
    engine = Engine(day, Gateway)
    engine.run()
    return value, of_tries(engine.rule_checker.client_attempts)


def fit(
    traffic: Traffic,
    plans: Sequence[FittedPlan],
    worths: Mapping[str, float],
    servers: int | None = None,
    known: Mapping[str, float] | None = None,
    draws: int = 96,
    keep: int = 16,
    seed: int = 1,
    jobs: int = -1,
    progress: Callable[[int], None] | None = None,
) -> Fit:
    """Fit a world to recordings. `known`: figures that the operator knows. Raises ValueError."""
    rng = RandomStreams(seed).generator("fit")
    cores = (known or {}).get("cores", figures.PARAMETER_RANGES["cores"].low)
    got = received(traffic, cores)
    classes, speed_cv = classes_of(traffic, got, worths)
    unit, guess_cv = units_of(traffic, got)
    seen = {a.endpoint for row in traffic.rows for a in row.attempts}
    counts: dict[str, int] = {}
    for row in traffic.firsts():
        counts[row.plan] = counts.get(row.plan, 0) + 1
    used = [msgspec.structs.replace(p, share=counts.get(p.name, 0) / sum(counts.values())) for p in plans]
    unknown = set(counts) - {p.name for p in plans}
    if unknown:
        raise ValueError(f"the recordings name plans that are not told: {', '.join(sorted(unknown))}")
    base = Fit(
        FORM,
        traffic.gateways,
        servers or len(seen),
        traffic.length,
        traffic.coverage,
        len(traffic.rows),
        tuple(classes),
        tuple(used),
        tuple(customers_of(traffic)),
        speed_cv,
        guess_cv,
        unit,
        (),
        of_traffic(traffic),
        {},
        tuple(traffic.trouble),
    )
    scenario = Scenario(
        "recorded",
        "a recorded day",
        (0, 0),
        gateways=base.gateways,
        servers=base.servers,
        seconds=max(1.0, traffic.length / 1000),
    )
    values = []
    for _ in range(draws):
        value = {name: span.draw(rng) for name, span in figures.PARAMETER_RANGES.items()}
        values.append({**value, **(known or {})})
    played: list[tuple[dict[str, float], Summary]] = []
    with Parallel(n_jobs=jobs, return_as="generator") as pool:
        for one in pool(delayed(_try_draw)(base, scenario, n, v) for n, v in enumerate(values)):
            played.append(one)
            if progress is not None:
                progress(1)
    keys = list(base.recorded)
    table = np.array([[row[key] for key in keys] for _, row in played])
    target = np.array([base.recorded[key] for key in keys])
    scale = np.maximum(table.std(axis=0), 1e-3)
    distance = np.sqrt((((table - target) / scale) ** 2).mean(axis=1))
    best = np.argsort(distance, kind="stable")[:keep]
    kept = table[best]
    spread = {key: (float(kept[:, n].mean()), float(kept[:, n].std())) for n, key in enumerate(keys)}
    return msgspec.structs.replace(base, draws=tuple(played[int(n)][0] for n in best), played=spread)


def plans_of(day: Day) -> list[FittedPlan]:
    """The plans that a day's gateways are told, for a fit of its recording."""
    return [
        FittedPlan(p.name, p.share, p.rate, p.burst, p.price, p.over_quota_cost, p.gateway_share)
        for p in day.parameters.plans
    ]


def dump(found: Fit) -> bytes:
    return msgspec.json.format(msgspec.json.encode(found))


def read(data: bytes) -> Fit:
    """Raises ValueError for what is no fit."""
    try:
        found: Fit = msgspec.json.decode(data, type=Fit)
    except msgspec.DecodeError as error:
        raise ValueError(f"this is no fit: {error}") from None
    if found.form != FORM or not found.draws:
        raise ValueError("this fit is of another form, or holds no draws")
    return found
