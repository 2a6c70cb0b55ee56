"""Front and clients: who asks for what and when, through which gateway, and what a client does next.

Arrivals of first tries are drawn ahead and do not wait for answers; a client's further tries are its answer
to what it was told, and made by `Client.next_try`.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Literal

import numpy as np
import numpy.typing as npt

from .faults import Fault
from .parameters import Parameters
from .random_streams import RandomStreams, Rng, lognormal

ClientResult = Literal["served", "refused", "failed", "unreachable", "late"]
Floats = npt.NDArray[np.float64]
RATE_STEP_MS = 250.0  # ms over which a customer's rate is held even


@dataclass(slots=True, frozen=True)
class Customer:
    """A retailer: its plan (by number), what it asks on average (units/s), and its set of gateways."""

    name: str
    plan: int
    rate: float
    gateway_set_size: int
    first_gateway: int
    kind: Literal["calm", "full", "heavy", "spiky"]


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A first try as drawn: what is asked, and the chances of its further tries (uniform in 0 to 1)."""

    arrives_at: float
    customer: int
    class_index: int
    work_ms: float  # ms of a core
    units: float  # true ones
    estimated_units: float
    gateway_draw: float  # chooses among the gateways of the set
    timeout_share: float  # part of the deadline a try waits
    retry_after_draw: float  # the client heeds the advised wait if this lies under `honour`
    noise_offset: int  # where in the table of attempt noise this request begins


@dataclass(slots=True)
class Traffic:
    """The customers and all first tries of a run, by time."""

    customers: Sequence[Customer]
    requests: Sequence[ClientRequest]
    weights: Floats  # [shift, customer, place in the set], cumulative
    shift_ms: float  # ms

    def pick_gateway(
        self, customer: int, now: float, pick: float, gateways: int, avoid: frozenset[int] | set[int]
    ) -> int:
        """The gateway through which a request goes now: by the set's weights, without those seen down."""
        who = self.customers[customer]
        rows = self.weights[min(int(now / self.shift_ms), len(self.weights) - 1), customer]
        place = 0
        while place < who.gateway_set_size - 1 and pick >= rows[place]:
            place += 1
        for step in range(who.gateway_set_size):
            gateway = (who.first_gateway + (place + step) % who.gateway_set_size) % gateways
            if gateway not in avoid:
                return gateway
        return (who.first_gateway + place) % gateways


def draw_customers(figures: Parameters, gateways: int, units_per_s: float, rng: Rng) -> list[Customer]:
    """Customers whose use inside quotas comes to `units_per_s` in all, by the plans' shares."""
    found: list[Customer] = []
    for number, plan in enumerate(figures.plans):
        spread = max(min(2, gateways), min(4, round(plan.gateway_share * gateways)))
        left = plan.share * units_per_s
        while left > 0:
            chance = float(rng.random())
            usual = figures["calm_use"] * float(rng.uniform(0.6, 1.4))
            kind: Literal["calm", "full", "heavy", "spiky"] = "calm"
            asked, inside = usual, usual
            if chance < figures["full"]:
                kind, asked = "full", float(rng.uniform(0.85, 1.0))
                inside = asked
            elif chance < figures["full"] + figures["heavy"]:
                kind, asked, inside = "heavy", figures["heavy_x"], 0.97
            elif chance < figures["full"] + figures["heavy"] + figures["spiky"]:
                kind = "spiky"
                # A spike uses what the store holds, and the whole rate while it lasts.
                lasts = figures["spike_ms"] / figures["spike_every_ms"]
                stored = plan.burst / plan.rate / (figures["spike_every_ms"] / 1000)
                inside = min(1.0, usual + lasts * (1 - usual) + 0.7 * stored)
            left -= inside * plan.rate
            found.append(
                Customer(
                    f"{int(rng.integers(1 << 33)):016x}",
                    number,
                    asked * plan.rate,
                    spread,
                    int(rng.integers(gateways)),
                    kind,
                )
            )
    return found


def draw_rates(
    figures: Parameters, customers: Sequence[Customer], length: float, faults: Sequence[Fault], rng: Rng
) -> Floats:
    """[customer, step] multiples of each customer's rate: the day's wave, spells, spikes, plans' bursts."""
    steps = math.ceil(length / RATE_STEP_MS)
    times = (np.arange(steps) + 0.5) * RATE_STEP_MS
    period = float(rng.uniform(0.6, 1.2)) * max(length, 1.0)
    wave = 1 + figures["swing"] * np.sin(2 * np.pi * (times / period + float(rng.random())))
    rates = np.tile(wave, (len(customers), 1))
    for n, who in enumerate(customers):
        if who.kind == "heavy":  # long spells far over, and in between nearly all of its quota
            low = 0.9 / figures["heavy_x"]
            at = -float(rng.random()) * figures["heavy_spell_ms"]
            over = bool(rng.random() < 0.6)
            while at < length:
                lasts = float(rng.uniform(0.5, 1.5)) * figures["heavy_spell_ms"]
                if not over:
                    rates[n, (times >= at) & (times < at + lasts)] *= low
                at, over = at + lasts, not over
        elif who.kind == "spiky":
            plan = figures.plans[who.plan]
            at = float(rng.random()) * figures["spike_every_ms"]
            while at < length:
                inside = (times >= at - RATE_STEP_MS / 2) & (
                    times < at + figures["spike_ms"] + RATE_STEP_MS / 2
                )
                rates[n, inside] = figures["spike_x"] * plan.rate / who.rate
                at += figures["spike_every_ms"] * float(rng.uniform(0.6, 1.4))
    apply_bursts(figures, customers, faults, rates)
    return rates


def apply_bursts(
    figures: Parameters, customers: Sequence[Customer], faults: Sequence[Fault], rates: Floats
) -> None:
    """Multiply the rates of a plan's customers, [customer, step], while a burst of their plan lasts."""
    times = (np.arange(rates.shape[1]) + 0.5) * RATE_STEP_MS
    for fault in faults:
        if fault.kind == "burst":
            rise = np.clip((times - fault.at) / 1000, 0, 1) * np.clip((fault.end - times) / 1000, 0, 1)
            for n, who in enumerate(customers):
                if figures.plans[who.plan].name == fault.plan:
                    rates[n] *= 1 + (fault.magnitude - 1) * rise


def mean_work(figures: Parameters) -> float:
    return sum(cls.share * cls.work for cls in figures.classes)


def units_for_work(figures: Parameters, work: Floats) -> Floats:
    return np.clip(np.ceil(work / figures["unit_ms"]), 1, figures["most_units"])


def mean_units(figures: Parameters) -> float:
    """Mean true units of a request, by a fixed sample."""
    rng = np.random.default_rng(7)
    return float(
        sum(
            cls.share * units_for_work(figures, lognormal(rng, cls.work, cls.cv, 20000)).mean()
            for cls in figures.classes
        )
    )


def draw_traffic(
    figures: Parameters,
    gateways: int,
    units_per_s: float,
    length: float,
    faults: Sequence[Fault],
    streams: RandomStreams,
) -> Traffic:
    """Draw a run's traffic: `length` ms of first tries whose use inside quotas is about `units_per_s`."""
    customers = draw_customers(figures, gateways, units_per_s, streams.generator("customers"))
    rates = draw_rates(figures, customers, length, faults, streams.generator("rates"))
    return draw_traffic_for(figures, gateways, customers, rates, length, streams)


def draw_traffic_for(
    figures: Parameters,
    gateways: int,
    customers: Sequence[Customer],
    rates: Floats,
    length: float,
    streams: RandomStreams,
) -> Traffic:
    """First tries of given customers with given multiples of their rates, [customer, step of `STEP` ms]."""
    per_request = mean_units(figures)
    rng = streams.generator("arrivals")
    usual = np.array([who.rate for who in customers]) / per_request  # requests a second
    counts = rng.poisson(usual[:, None] * rates * RATE_STEP_MS / 1000)
    who, step = np.nonzero(counts)
    many = counts[who, step]
    who, step = np.repeat(who, many), np.repeat(step, many)
    at = (step + rng.random(len(step))) * RATE_STEP_MS
    keep = at < length
    who, at = who[keep], at[keep]
    order = np.argsort(at, kind="stable")
    who, at = who[order], at[order]
    return Traffic(
        customers,
        draw_requests(figures, at, who, streams),
        draw_gateway_weights(figures, gateways, customers, length, streams),
        figures["shift_ms"],
    )


def draw_requests(
    figures: Parameters, at: Floats, who: npt.NDArray[np.intp], streams: RandomStreams
) -> list[ClientRequest]:
    """First tries at these times of these customers, with their sizes and chances drawn."""
    size, rng, chances = len(at), streams.generator("sizes"), streams.generator("tries")
    shares = np.cumsum([cls.share for cls in figures.classes])
    cls = np.searchsorted(shares / shares[-1], rng.random(size))
    work = np.zeros(size)
    for number, shape in enumerate(figures.classes):
        drawn = lognormal(rng, shape.work, shape.cv, size)
        work = np.where(cls == number, drawn, work)
    units = units_for_work(figures, work)
    off = lognormal(rng, 1.0, figures["guess_cv"], size)
    guess = np.clip(np.round(units * off), 1, figures["most_units"])
    pick, patience, heeds = (
        chances.random(size),
        chances.uniform(figures["try_share"], 1, size),
        chances.random(size),
    )
    noise = chances.integers(0, 1 << 30, size)
    rows = zip(
        at.tolist(),
        who.tolist(),
        cls.tolist(),
        work.tolist(),
        units.tolist(),
        guess.tolist(),
        pick.tolist(),
        patience.tolist(),
        heeds.tolist(),
        noise.tolist(),
        strict=True,
    )
    return [ClientRequest(*row) for row in rows]


def draw_gateway_weights(
    figures: Parameters, gateways: int, customers: Sequence[Customer], length: float, streams: RandomStreams
) -> Floats:
    """Cumulative weights of the gateways of each set, [shift, customer, place], drawn anew at every shift."""
    rng = streams.generator("spread")
    shifts = math.ceil(length / figures["shift_ms"]) + 1
    most = max((who.gateway_set_size for who in customers), default=1)
    raw = np.exp(figures["skew"] * rng.standard_normal((shifts, len(customers), most)))
    for n, one in enumerate(customers):
        raw[:, n, one.gateway_set_size :] = 0.0
    total = np.cumsum(raw, axis=2)
    return np.asarray(total / total[:, :, -1:], dtype=np.float64)


class ClientBehaviour:
    """How clients of a day repeat: `next_try` says when, or that it is over. Times in ms."""

    def __init__(self, figures: Parameters, max_retry_after: float) -> None:
        self.max_retries = int(figures["retries"])
        self.backoff_ms, self.exponential_backoff = figures["backoff_ms"], figures["backoff_grows"] > 0
        self.retry_after_probability, self.other_gateway_probability = figures["honour"], figures["elsewhere"]
        self.max_retry_after = max_retry_after

    def retry_delay(
        self, ask: ClientRequest, tries: int, told: ClientResult, wait: float, repeatable: bool
    ) -> float | None:
        """How long after a final answer the client tries again (ms); None: it does not.

        A request that may be repeated is, after any failure; another only after a refusal, or when no
        gateway could be reached.
        """
        if told == "served" or tries > self.max_retries:
            return None
        if not repeatable and told not in ("refused", "unreachable"):
            return None
        own = (
            self.backoff_ms
            * (2 ** (tries - 1) if self.exponential_backoff else 1)
            * (0.75 + 0.5 * ((ask.noise_offset + tries) % 97) / 97)
        )
        if wait and ask.retry_after_draw < self.retry_after_probability:
            own = max(own, min(wait, self.max_retry_after))
        return own

    def retry_gateway_draw(self, ask: ClientRequest, tries: int) -> float:
        """Where in the set's weights a further try falls: mostly where the first did, or drawn anew."""
        drawn = (ask.noise_offset * (tries + 7) * 2654435761) % 1048573 / 1048573
        return ask.gateway_draw if drawn > self.other_gateway_probability else (drawn * 7919) % 1.0
