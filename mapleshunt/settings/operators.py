"""The sections of the operators' file. Each is off unless it is there."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from .reader import SettingsError, parse
from .schema import whole

VARIABLE = "PROXY_OPERATORS"


class Record(msgspec.Struct, frozen=True, rename="kebab"):
    """Record the traffic that the gateway meets."""

    file: Annotated[str, Meta(min_length=1)]
    size_mb: Annotated[float, Meta(ge=0.1, le=4096)] = 16.0
    salt: str = ""  # customers are hashed with it; the same at all gateways, or none can be told from another


class Operators(msgspec.Struct, frozen=True, rename="kebab"):
    """All sections."""

    record: Record | None = None


def check(text: str, file: str = "settings") -> Operators:
    """The settings that a text holds. Raises `SettingsError`."""
    return whole(Operators, parse(text, file), file)


def load(path: Path) -> Operators:
    """Raises `SettingsError`, also for a file that cannot be read."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(path), 1, 1, f"cannot be read: {error}") from None
    return check(text, str(path))


def named(env: Mapping[str, str] = os.environ) -> Path | None:
    """The file that the environment names, if any."""
    return Path(env[VARIABLE]) if env.get(VARIABLE) else None
