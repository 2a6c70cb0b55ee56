"""What is compared: this version, another checkout, a plain policy, or other settings.

`here`; `path:DIR` (another checkout's decisions, run in processes of its own); `policy:NAME`;
`set:KEY=VALUE,...`, a key being a field of the gateways' settings, `plan.NAME.PART` (rate, burst,
ceiling_rate, ceiling_burst), a constant of the decisions in capitals, or `world.NAME` for a figure of
the world.
"""

from __future__ import annotations

import functools
import sys
import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field, fields, replace
from pathlib import Path
from typing import Any

import mapleshunt

from .. import policy
from ..fleet import parameters as figures
from . import checkouts
from .day import Scenario
from .gateway_policy import PolicyFactory
from .policies import POLICIES

PLAN_PARTS = ("rate", "burst", "ceiling_rate", "ceiling_burst")
HERE = Path(__file__).parent.parent


class VariantError(ValueError):
    """A variant that cannot be; its text is for the operator."""


@dataclass(slots=True, frozen=True)
class Variant:
    """Parsed, and small: it crosses to other processes and is loaded there."""

    text: str
    kind: str  # "here", "path", "policy" or "set"
    name: str = ""  # of the policy, or the checkout's folder
    settings: Mapping[str, Any] = field(default_factory=dict)
    constants: Mapping[str, float] = field(default_factory=dict)
    world: Mapping[str, float] = field(default_factory=dict)

    def scenario(self, scenario: Scenario) -> Scenario:
        """The scenario with this variant's settings and figures."""
        return replace(
            scenario,
            settings={**scenario.settings, **self.settings},
            fixed_parameters={**scenario.fixed_parameters, **self.world},
        )


def _value(text: str) -> Any:
    if text.lower() in ("true", "false"):
        return text.lower() == "true"
    try:
        number = float(text)
    except ValueError:
        raise VariantError(f"{text!r} is neither a number nor true or false") from None
    return int(number) if number.is_integer() and "." not in text else number


@functools.cache  # each name is told once
def _note_former_name(text: str) -> None:
    print(text, file=sys.stderr)


def parse_pair(text: str) -> tuple[str, Any]:
    """`KEY=VALUE`, checked. Raises `BadVariant`."""
    key, equals, value = text.partition("=")
    if not equals or not key:
        raise VariantError(f"{text!r} is not KEY=VALUE")
    key = checkouts.current_name(key, _note_former_name)
    check_key(key)
    return key, _value(value)


def check_key(key: str) -> None:
    """Raises `BadVariant` for a key that sets nothing."""
    known = {one.name for one in fields(policy.Settings)}
    if key.startswith("world."):
        if key[6:] not in figures.PARAMETER_RANGES:
            raise VariantError(f"{key!r} is no parameter of the fleet")
    elif key.startswith("plan."):
        parts = key.split(".")
        if len(parts) != 3 or parts[1] not in figures.PLAN_RANGES or parts[2] not in PLAN_PARTS:
            raise VariantError(f"{key!r} is not plan.NAME.PART with PART of {', '.join(PLAN_PARTS)}")
    elif key.isupper():
        if not checkouts.modules_with(checkouts.decision_modules(mapleshunt), key):
            raise VariantError(f"{key!r} is no figure of the decisions")
    elif key not in known or key in ("gateway_index", "gateway_count", "classes", "plans"):
        raise VariantError(f"{key!r} is no setting")


def with_pairs(pairs: Mapping[str, Any], text: str) -> Variant:
    return Variant(
        text,
        "set",
        settings={k: v for k, v in pairs.items() if not k.startswith("world.") and not k.isupper()},
        constants={k: float(v) for k, v in pairs.items() if k.isupper()},
        world={k[6:]: float(v) for k, v in pairs.items() if k.startswith("world.")},
    )


def parse(text: str) -> Variant:
    """Raises `BadVariant`."""
    kind, colon, rest = text.partition(":")
    if text == "here":
        return Variant(text, "here")
    if kind == "policy" and colon:
        if rest not in POLICIES:
            raise VariantError(f"no policy {rest!r}; there are {', '.join(POLICIES)}")
        return Variant(text, "policy", rest)
    if kind == "path" and colon:
        if not checkouts.is_checkout(Path(rest)):
            raise VariantError(f"{rest!r} holds no checkout with mapleshunt/policy/gateway.py")
        return Variant(text, "path", str(Path(rest).resolve()))
    if kind == "set" and colon and rest:
        return with_pairs(dict(parse_pair(one) for one in rest.split(",")), text)
    raise VariantError(f"{text!r} is none of here, path:DIR, policy:NAME, set:KEY=VALUE,...")


def load(variant: Variant) -> tuple[PolicyFactory, Any]:
    """The factory of its gateways, and the types that they speak."""
    if variant.kind == "policy":
        return POLICIES[variant.name], policy
    if variant.kind == "here" or (variant.kind == "set" and not variant.constants):
        return policy.Gateway, policy
    folder = Path(variant.name) / "mapleshunt" if variant.kind == "path" else HERE
    mark = zlib.crc32(f"{folder} {sorted(variant.constants.items())}".encode())
    package = checkouts.load_package(folder, f"mapleshunt_variant_{mark:08x}")
    factory, types = checkouts.load_decisions(package)
    for name, value in variant.constants.items():
        for module in checkouts.modules_with(checkouts.decision_modules(package), name):
            setattr(module, name, value)
    return factory, types
