"""The form of a fit: a fleet found from recordings, as `model fit` writes it."""

from __future__ import annotations

import msgspec

FORMAT_VERSION = 1


class Spell(msgspec.Struct, array_like=True, frozen=True):
    """A customer's constant rate from `begin` on (ms), in requests a second."""

    begin: float
    rate: float


class FittedCustomer(msgspec.Struct, frozen=True):
    """A customer with the spells of its rate."""

    name: str
    plan: str
    gateway_set_size: int = msgspec.field(name="spread")
    first_gateway: int = msgspec.field(name="first")
    spells: tuple[Spell, ...]


class FittedClass(msgspec.Struct, frozen=True):
    """A request class: `work` in ms of a core at the mean backend, with its relative standard error."""

    name: str
    share: float
    work: float
    error: float
    cv: float
    priority_weight: float = msgspec.field(name="worth")


class FittedPlan(msgspec.Struct, frozen=True):
    """A plan as the gateways know it, and its share of the requests."""

    name: str
    share: float
    rate: float
    burst: float
    price: float
    over_quota_cost: float = msgspec.field(name="over_cost")
    gateway_share: float = msgspec.field(name="spread")


class Fit(msgspec.Struct, frozen=True):
    """A fleet that days can be drawn from."""

    version: int = msgspec.field(name="form")
    gateways: int
    servers: int
    length_ms: float = msgspec.field(name="length")  # of the recording
    coverage: float
    requests: int
    classes: tuple[FittedClass, ...]
    plans: tuple[FittedPlan, ...]
    customers: tuple[FittedCustomer, ...]
    speed_cv: float
    guess_cv: float
    unit_ms: float
    draws: tuple[dict[str, float], ...]  # parameters of fleets that resembled the recording
    recorded: dict[str, float]  # the summary that was compared
    played: dict[str, tuple[float, float]]  # the same of the accepted draws: mean, standard deviation
    problems: tuple[str, ...] = msgspec.field(name="trouble", default=())


def encode_fit(fit: Fit) -> bytes:
    """Return a fit as JSON with line breaks."""
    return msgspec.json.format(msgspec.json.encode(fit))


def decode_fit(data: bytes) -> Fit:
    """Return the fit of a file's content.

    Raises:
        ValueError: the data is no fit, is of another version, or has no draws.
    """
    try:
        found: Fit = msgspec.json.decode(data, type=Fit)
    except msgspec.DecodeError as error:
        raise ValueError(f"this is no fit: {error}") from None
    if found.version != FORMAT_VERSION or not found.draws:
        raise ValueError("this fit is of another form, or holds no draws")
    return found
