"""Clients and the front: arrival times of requests, choice of gateways, and retries.

The first attempts of requests are drawn in advance and do not depend on responses; whether and when a client
retries is decided by `ClientBehaviour` from the result of its last attempt.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Literal

import numpy as np
import numpy.typing as npt

from .faults import Fault
from .parameters import Parameters, PlanParameters
from .random_streams import RandomStreams, Rng, lognormal

ClientResult = Literal["served", "refused", "failed", "unreachable", "late"]
CustomerKind = Literal["calm", "full", "heavy", "spiky"]
Floats = npt.NDArray[np.float64]
RATE_STEP_MS = 250.0  # a customer's rate is constant within a step
MS_PER_SECOND = 1000
BURST_RAMP_MS = 1000.0  # duration of the rise and of the fall of a plan's burst
GATEWAY_SET_SIZES = (2, 4)  # minimum and maximum size of a customer's gateway set
HEAVY_SHARE_INSIDE = 0.97  # share of its plan's rate admitted for a customer that exceeds it
SPIKE_BUCKET_USE = 0.7  # share of a bucket's burst that a spike uses
NOISE_SEED_LIMIT = 1 << 30
MEAN_UNITS_SEED, MEAN_UNITS_SAMPLE = 7, 20000


@dataclass(slots=True, frozen=True)
class Customer:
    """A customer: its plan (by number), its mean rate (units a second), and its gateway set.

    The set is `gateway_set_size` consecutive gateways from `first_gateway` on, as in a ring.
    """

    name: str
    plan: int
    rate: float
    gateway_set_size: int
    first_gateway: int
    kind: CustomerKind


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request as drawn, with the draws that decide its retries (uniform in 0 to 1)."""

    arrives_at: float  # ms
    customer: int
    class_index: int
    work_ms: float  # on a core at speed 1
    units: float  # true units
    estimated_units: float
    gateway_draw: float  # chooses among the gateways of the set
    timeout_share: float  # share of the deadline after which an attempt times out
    retry_after_draw: float  # the client respects Retry-After if this is below its probability
    noise_offset: int  # index of its first attempt in the table of attempt noise


@dataclass(slots=True)
class Traffic:
    """The customers of a run, and all its requests in order of time."""

    customers: Sequence[Customer]
    requests: Sequence[ClientRequest]
    weights: Floats  # [shift, customer, position in the set], cumulative
    shift_ms: float  # after which the weights are drawn anew

    def pick_gateway(
        self, customer: int, now: float, draw: float, gateways: int, avoid: frozenset[int] | set[int]
    ) -> int:
        """Return the gateway for a request sent now, by the set's weights, skipping those in `avoid`.

        If all gateways of the set are in `avoid`, the choice by weight stands.
        """
        sender = self.customers[customer]
        rows = self.weights[min(int(now / self.shift_ms), len(self.weights) - 1), customer]
        position = 0
        while position < sender.gateway_set_size - 1 and draw >= rows[position]:
            position += 1
        for step in range(sender.gateway_set_size):
            gateway = (sender.first_gateway + (position + step) % sender.gateway_set_size) % gateways
            if gateway not in avoid:
                return gateway
        return (sender.first_gateway + position) % gateways


def draw_customers(parameters: Parameters, gateways: int, units_per_s: float, rng: Rng) -> list[Customer]:
    """Draw customers whose usage inside quotas adds up to `units_per_s`, by the plans' shares."""
    min_size, max_size = GATEWAY_SET_SIZES
    customers: list[Customer] = []
    for number, plan in enumerate(parameters.plans):
        set_size = max(min(min_size, gateways), min(max_size, round(plan.gateway_share * gateways)))
        remaining = plan.share * units_per_s
        while remaining > 0:
            kind, sent, admitted = _draw_kind(parameters, plan, rng)
            remaining -= admitted * plan.rate
            name = f"{int(rng.integers(1 << 33)):016x}"
            first_gateway = int(rng.integers(gateways))
            customers.append(Customer(name, number, sent * plan.rate, set_size, first_gateway, kind))
    return customers


def _draw_kind(parameters: Parameters, plan: PlanParameters, rng: Rng) -> tuple[CustomerKind, float, float]:
    """Draw a customer's kind, and the shares of its plan's rate that it sends and that its quota admits."""
    kind_draw = float(rng.random())
    usual_share = parameters["calm_use"] * float(rng.uniform(0.6, 1.4))
    if kind_draw < parameters["full"]:
        sent = float(rng.uniform(0.85, 1.0))
        return "full", sent, sent
    if kind_draw < parameters["full"] + parameters["heavy"]:
        return "heavy", parameters["heavy_x"], HEAVY_SHARE_INSIDE
    if kind_draw < parameters["full"] + parameters["heavy"] + parameters["spiky"]:
        # A spike uses the units stored in the bucket, and the whole rate while it lasts.
        spike_share = parameters["spike_ms"] / parameters["spike_every_ms"]
        stored = plan.burst / plan.rate / (parameters["spike_every_ms"] / MS_PER_SECOND)
        admitted = min(1.0, usual_share + spike_share * (1 - usual_share) + SPIKE_BUCKET_USE * stored)
        return "spiky", usual_share, admitted
    return "calm", usual_share, usual_share


def draw_rates(
    parameters: Parameters, customers: Sequence[Customer], length_ms: float, faults: Sequence[Fault], rng: Rng
) -> Floats:
    """Draw multiples of each customer's rate, [customer, step]: a slow wave, heavy spells, spikes, bursts."""
    steps = math.ceil(length_ms / RATE_STEP_MS)
    times = np.asarray((np.arange(steps) + 0.5) * RATE_STEP_MS, dtype=np.float64)
    period = float(rng.uniform(0.6, 1.2)) * max(length_ms, 1.0)
    wave = 1 + parameters["swing"] * np.sin(2 * np.pi * (times / period + float(rng.random())))
    rates = np.tile(wave, (len(customers), 1))
    for row, customer in zip(rates, customers, strict=True):
        if customer.kind == "heavy":
            _apply_heavy_spells(parameters, row, times, length_ms, rng)
        elif customer.kind == "spiky":
            _apply_spikes(parameters, customer, row, times, length_ms, rng)
    apply_bursts(parameters, customers, faults, rates)
    return rates


def _apply_heavy_spells(
    parameters: Parameters, row: Floats, times: Floats, length_ms: float, rng: Rng
) -> None:
    """Alternate long spells far above the quota with spells that use nearly all of it."""
    low = 0.9 / parameters["heavy_x"]
    at = -float(rng.random()) * parameters["heavy_spell_ms"]
    over_quota = bool(rng.random() < 0.6)
    while at < length_ms:
        duration = float(rng.uniform(0.5, 1.5)) * parameters["heavy_spell_ms"]
        if not over_quota:
            row[(times >= at) & (times < at + duration)] *= low
        at += duration
        over_quota = not over_quota


def _apply_spikes(
    parameters: Parameters, customer: Customer, row: Floats, times: Floats, length_ms: float, rng: Rng
) -> None:
    """Set the rate to a multiple of the plan's during spikes."""
    plan = parameters.plans[customer.plan]
    at = float(rng.random()) * parameters["spike_every_ms"]
    while at < length_ms:
        end = at + parameters["spike_ms"] + RATE_STEP_MS / 2
        inside = (times >= at - RATE_STEP_MS / 2) & (times < end)
        row[inside] = parameters["spike_x"] * plan.rate / customer.rate
        at += parameters["spike_every_ms"] * float(rng.uniform(0.6, 1.4))


def apply_bursts(
    parameters: Parameters, customers: Sequence[Customer], faults: Sequence[Fault], rates: Floats
) -> None:
    """Multiply the rates of a plan's customers, [customer, step], while a burst of their plan lasts."""
    times = (np.arange(rates.shape[1]) + 0.5) * RATE_STEP_MS
    for fault in faults:
        if fault.kind != "burst":
            continue
        rise = np.clip((times - fault.at) / BURST_RAMP_MS, 0, 1)
        rise = rise * np.clip((fault.end - times) / BURST_RAMP_MS, 0, 1)
        for number, customer in enumerate(customers):
            if parameters.plans[customer.plan].name == fault.plan:
                rates[number] *= 1 + (fault.magnitude - 1) * rise


def mean_work(parameters: Parameters) -> float:
    """Return the mean work of a request, in ms of a core."""
    return sum(cls.share * cls.work for cls in parameters.classes)


def units_for_work(parameters: Parameters, work: Floats) -> Floats:
    """Return the true units of requests with this work (ms)."""
    return np.clip(np.ceil(work / parameters["unit_ms"]), 1, parameters["most_units"])


def mean_units(parameters: Parameters) -> float:
    """Return the mean true units of a request, from a fixed sample."""
    rng = np.random.default_rng(MEAN_UNITS_SEED)
    return float(
        sum(
            cls.share * units_for_work(parameters, lognormal(rng, cls.work, cls.cv, MEAN_UNITS_SAMPLE)).mean()
            for cls in parameters.classes
        )
    )


def draw_traffic(
    parameters: Parameters,
    gateways: int,
    units_per_s: float,
    length_ms: float,
    faults: Sequence[Fault],
    streams: RandomStreams,
) -> Traffic:
    """Draw the traffic of a run of `length_ms` whose usage inside quotas is about `units_per_s`."""
    customers = draw_customers(parameters, gateways, units_per_s, streams.generator("customers"))
    rates = draw_rates(parameters, customers, length_ms, faults, streams.generator("rates"))
    return draw_traffic_for(parameters, customers, rates, length_ms, streams)


def draw_traffic_for(
    parameters: Parameters,
    customers: Sequence[Customer],
    rates: Floats,
    length_ms: float,
    streams: RandomStreams,
) -> Traffic:
    """Draw the traffic of given customers with given multiples of their rates, [customer, rate step]."""
    units_per_request = mean_units(parameters)
    rng = streams.generator("arrivals")
    usual_rates = np.array([customer.rate for customer in customers]) / units_per_request  # requests a second
    counts = rng.poisson(usual_rates[:, None] * rates * RATE_STEP_MS / MS_PER_SECOND)
    customer, step = np.nonzero(counts)
    repeats = counts[customer, step]
    customer, step = np.repeat(customer, repeats), np.repeat(step, repeats)
    arrivals = (step + rng.random(len(step))) * RATE_STEP_MS
    inside = arrivals < length_ms
    customer, arrivals = customer[inside], arrivals[inside]
    order = np.argsort(arrivals, kind="stable")
    customer, arrivals = customer[order], arrivals[order]
    return Traffic(
        customers,
        draw_requests(parameters, arrivals, customer, streams),
        draw_gateway_weights(parameters, customers, length_ms, streams),
        parameters["shift_ms"],
    )


def draw_requests(
    parameters: Parameters, arrivals: Floats, customers: npt.NDArray[np.intp], streams: RandomStreams
) -> list[ClientRequest]:
    """Draw the sizes and retry draws of requests that arrive at these times (ms) from these customers."""
    size = len(arrivals)
    sizes, retries = streams.generator("sizes"), streams.generator("tries")
    shares = np.cumsum([cls.share for cls in parameters.classes])
    class_index = np.searchsorted(shares / shares[-1], sizes.random(size))
    work = np.zeros(size)
    for number, cls in enumerate(parameters.classes):
        drawn = lognormal(sizes, cls.work, cls.cv, size)
        work = np.where(class_index == number, drawn, work)
    units = units_for_work(parameters, work)
    estimate_error = lognormal(sizes, 1.0, parameters["guess_cv"], size)
    estimated_units = np.clip(np.round(units * estimate_error), 1, parameters["most_units"])
    gateway_draw = retries.random(size)
    timeout_share = retries.uniform(parameters["try_share"], 1, size)
    retry_after_draw = retries.random(size)
    noise_offset = retries.integers(0, NOISE_SEED_LIMIT, size)
    columns = (
        arrivals, customers, class_index, work, units, estimated_units, gateway_draw, timeout_share,
        retry_after_draw, noise_offset,
    )  # fmt: skip
    rows = zip(*(column.tolist() for column in columns), strict=True)
    return [ClientRequest(*row) for row in rows]


def draw_gateway_weights(
    parameters: Parameters,
    customers: Sequence[Customer],
    length_ms: float,
    streams: RandomStreams,
) -> Floats:
    """Draw cumulative weights of each set's gateways, [shift, customer, position], anew at every shift."""
    rng = streams.generator("spread")
    shifts = math.ceil(length_ms / parameters["shift_ms"]) + 1
    largest_set = max((customer.gateway_set_size for customer in customers), default=1)
    normal = rng.standard_normal((shifts, len(customers), largest_set))
    weights = np.exp(parameters["skew"] * normal)
    for number, customer in enumerate(customers):
        weights[:, number, customer.gateway_set_size :] = 0.0
    total = np.cumsum(weights, axis=2)
    return np.asarray(total / total[:, :, -1:], dtype=np.float64)


class ClientBehaviour:
    """When and where clients retry. Times are in ms."""

    def __init__(self, parameters: Parameters, max_retry_after: float) -> None:
        """Args: `max_retry_after` is the longest Retry-After (ms) that a client respects."""
        self.max_retries = int(parameters["retries"])
        self.backoff_ms = parameters["backoff_ms"]
        self.exponential_backoff = parameters["backoff_grows"] > 0
        self.retry_after_probability = parameters["honour"]
        self.other_gateway_probability = parameters["elsewhere"]
        self.max_retry_after = max_retry_after

    def retry_delay(
        self,
        request: ClientRequest,
        attempts: int,
        result: ClientResult,
        retry_after: float,
        idempotent: bool,
    ) -> float | None:
        """Return the delay between a result and the client's retry (ms), or None if it does not retry.

        An idempotent request is retried after any failure; any other only after a rejection, or when its
        gateway could not be reached.

        Args:
            request: The request.
            attempts: The number of attempts that its client has made.
            result: The result of the last attempt.
            retry_after: The Retry-After that came with it (ms); 0 for none.
            idempotent: Whether the request may be repeated without harm.
        """
        if result == "served" or attempts > self.max_retries:
            return None
        if not idempotent and result not in ("refused", "unreachable"):
            return None
        growth = 2 ** (attempts - 1) if self.exponential_backoff else 1
        jitter = 0.75 + 0.5 * ((request.noise_offset + attempts) % 97) / 97
        delay = self.backoff_ms * growth * jitter
        if retry_after and request.retry_after_draw < self.retry_after_probability:
            delay = max(delay, min(retry_after, self.max_retry_after))
        return delay

    def retry_gateway_draw(self, request: ClientRequest, attempts: int) -> float:
        """Return the draw for a retry's gateway: the first attempt's, or by chance another one."""
        draw = (request.noise_offset * (attempts + 7) * 2654435761) % 1048573 / 1048573
        return request.gateway_draw if draw > self.other_gateway_probability else (draw * 7919) % 1.0
