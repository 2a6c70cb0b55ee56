"""Variants that an experiment compares: this version, another checkout, a plain policy, or other settings.

A variant is written as `here`; `path:DIR` (the policy code of another checkout); `policy:NAME`; or
`set:KEY=VALUE,...`. A key is a field of the gateways' settings, `plan.NAME.PART` (rate, burst, ceiling_rate,
ceiling_burst), the name of a policy constant in capitals, or `world.NAME` for a parameter of the fleet.
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
from ..fleet import parameters
from . import checkouts
from .day import Scenario
from .gateway_policy import PolicyFactory
from .policies import POLICIES

PLAN_PARTS = ("rate", "burst", "ceiling_rate", "ceiling_burst")
HERE = Path(__file__).parent.parent


class VariantError(ValueError):
    """A variant is malformed or names something unknown; the text is for the operator."""


@dataclass(slots=True, frozen=True)
class Variant:
    """A parsed variant, small enough to be sent to the processes that load it."""

    text: str
    kind: str  # "here", "path", "policy" or "set"
    name: str = ""  # of the policy, or the checkout's folder
    settings: Mapping[str, Any] = field(default_factory=dict)
    constants: Mapping[str, float] = field(default_factory=dict)
    fleet_parameters: Mapping[str, float] = field(default_factory=dict)

    def scenario(self, scenario: Scenario) -> Scenario:
        """Return the scenario with this variant's settings and fleet parameters."""
        return replace(
            scenario,
            settings={**scenario.settings, **self.settings},
            fixed_parameters={**scenario.fixed_parameters, **self.fleet_parameters},
        )


def _parse_value(text: str) -> Any:
    if text.lower() in ("true", "false"):
        return text.lower() == "true"
    try:
        number = float(text)
    except ValueError:
        raise VariantError(f"expected a number, true or false, got {text!r}") from None
    return int(number) if number.is_integer() and "." not in text else number


@functools.cache  # so that each former name is reported once
def _note_former_name(text: str) -> None:
    print(text, file=sys.stderr)


def parse_pair(text: str) -> tuple[str, Any]:
    """Parse and check `KEY=VALUE`, and return the current key with the value.

    Raises:
        VariantError: the text is malformed or the key is unknown.
    """
    key, equals, value = text.partition("=")
    if not equals or not key:
        raise VariantError(f"expected KEY=VALUE, got {text!r}")
    key = checkouts.current_name(key, _note_former_name)
    check_key(key)
    return key, _parse_value(value)


def check_key(key: str) -> None:
    """Raise `VariantError` for a key that sets nothing."""
    known = {setting.name for setting in fields(policy.Settings)}
    if key.startswith("world."):
        if key[6:] not in parameters.PARAMETER_RANGES:
            raise VariantError(f"unknown key {key!r}: the fleet has no such parameter")
    elif key.startswith("plan."):
        parts = key.split(".")
        if len(parts) != 3 or parts[1] not in parameters.PLAN_RANGES or parts[2] not in PLAN_PARTS:
            raise VariantError(
                f"expected plan.NAME.PART of a known plan, got {key!r}; parts are {', '.join(PLAN_PARTS)}"
            )
    elif key.isupper():
        if not checkouts.modules_with(checkouts.decision_modules(mapleshunt), key):
            raise VariantError(f"unknown key {key!r}: the policy has no such constant")
    elif key not in known or key in ("gateway_index", "gateway_count", "classes", "plans"):
        raise VariantError(f"key {key!r} is not a gateway setting that a variant can change")


def variant_with(pairs: Mapping[str, Any], text: str) -> Variant:
    """Return a `set:` variant of checked keys and values."""
    return Variant(
        text,
        "set",
        settings={k: v for k, v in pairs.items() if not k.startswith("world.") and not k.isupper()},
        constants={k: float(v) for k, v in pairs.items() if k.isupper()},
        fleet_parameters={k[6:]: float(v) for k, v in pairs.items() if k.startswith("world.")},
    )


def parse(text: str) -> Variant:
    """Parse the text of a variant.

    Raises:
        VariantError: the text is malformed or names something unknown.
    """
    kind, colon, value = text.partition(":")
    if text == "here":
        return Variant(text, "here")
    if kind == "policy" and colon:
        if value not in POLICIES:
            raise VariantError(f"unknown policy {value!r}; expected one of {', '.join(POLICIES)}")
        return Variant(text, "policy", value)
    if kind == "path" and colon:
        if not checkouts.is_checkout(Path(value)):
            raise VariantError(f"no checkout with mapleshunt/policy/gateway.py in {value!r}")
        return Variant(text, "path", str(Path(value).resolve()))
    if kind == "set" and colon and value:
        return variant_with(dict(parse_pair(item) for item in value.split(",")), text)
    raise VariantError(f"expected here, path:DIR, policy:NAME or set:KEY=VALUE,..., got {text!r}")


def load(variant: Variant) -> tuple[PolicyFactory, Any]:
    """Return the factory of a variant's gateways, and the module with the types of their interface."""
    if variant.kind == "policy":
        return POLICIES[variant.name], policy
    if variant.kind == "here" or (variant.kind == "set" and not variant.constants):
        return policy.Gateway, policy
    folder = Path(variant.name) / "mapleshunt" if variant.kind == "path" else HERE
    digest = zlib.crc32(f"{folder} {sorted(variant.constants.items())}".encode())
    package = checkouts.load_package(folder, f"mapleshunt_variant_{digest:08x}")
    factory, types = checkouts.load_decisions(package)
    for name, value in variant.constants.items():
        for module in checkouts.modules_with(checkouts.decision_modules(package), name):
            setattr(module, name, value)
    return factory, types
