"""File format of a fit: a fleet estimated from recordings, as `model fit` writes it."""

from __future__ import annotations

import msgspec

FORMAT_VERSION = 1


class Spell(msgspec.Struct, array_like=True, frozen=True):
    """A customer's constant rate from `begin` on (ms), in requests a second."""

    begin: float
    rate: float


class FittedCustomer(msgspec.Struct, frozen=True):
    """A customer with the spells of constant rate that its demand is cut into."""

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
    """A plan with the gateways' settings of it, and its share of the requests."""

    name: str
    share: float
    rate: float
    burst: float
    price: float
    over_quota_cost: float = msgspec.field(name="over_cost")
    gateway_share: float = msgspec.field(name="spread")


class Fit(msgspec.Struct, frozen=True):
    """A fitted fleet, from which runs are drawn."""

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
    draws: tuple[dict[str, float], ...]  # parameters whose runs resembled the recording
    recorded: dict[str, float]  # summary of the recording
    played: dict[str, tuple[float, float]]  # summary of the accepted draws: mean, standard deviation
    problems: tuple[str, ...] = msgspec.field(name="trouble", default=())


def encode_fit(fit: Fit) -> bytes:
    """Return a fit as JSON with line breaks."""
    return msgspec.json.format(msgspec.json.encode(fit))


def decode_fit(data: bytes) -> Fit:
    """Decode a fit from the content of its file.

    Raises:
        ValueError: the data is not a fit, has another version, or has no draws.
    """
    try:
        fit: Fit = msgspec.json.decode(data, type=Fit)
    except msgspec.DecodeError as error:
        raise ValueError(f"file is not a fit: {error}") from None
    if fit.version != FORMAT_VERSION or not fit.draws:
        raise ValueError(
            f"fit must have version {FORMAT_VERSION} and draws, "
            f"got version {fit.version} with {len(fit.draws)} draws"
        )
    return fit
