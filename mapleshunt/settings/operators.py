"""The sections of the operators' file. Each is off unless it is there."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from ..maintenance.budget import Budget, budget_error
from ..transient_errors import is_transient
from .reader import SettingsError, parse
from .schema import fill_file

ENVIRONMENT_VARIABLE = "PROXY_OPERATORS"


class RecordingSettings(msgspec.Struct, frozen=True, rename="kebab"):
    """Record the traffic that the gateway meets."""

    file: Annotated[str, Meta(min_length=1)]
    size_mb: Annotated[float, Meta(ge=0.1, le=4096)] = 16.0
    salt: str = ""  # customers are hashed with it; the same at all gateways, or none can be told from another


class PeerSettings(msgspec.Struct, frozen=True, rename="kebab"):
    """A gateway of the fleet that may hold copies."""

    name: Annotated[str, Meta(min_length=1, pattern=r"^[^/ ]+$")]
    address: Annotated[str, Meta(pattern=r"^.+:[0-9]{1,5}$")]
    zone: str = ""


class ReplicationSettings(msgspec.Struct, frozen=True, rename="kebab"):
    """Keep copies of what gateways promise on several of them."""

    folder: Annotated[str, Meta(min_length=1)]  # of this gateway's own, on a disk that outlives the process
    fleet: Annotated[str, Meta(min_length=1, max_length=64)]
    peer: tuple[PeerSettings, ...] = ()  # all gateways of the fleet, this one too
    groups: Annotated[int, Meta(ge=1, le=64)] = 8
    size: int = 3  # copies of a group
    lease: bool = True  # the gateway's quotas are leased from the copies
    election_ms: Annotated[float, Meta(ge=50, le=60_000)] = 1000.0
    replace_after_s: Annotated[float, Meta(ge=1)] = 600.0  # a machine gone for so long is replaced
    settle_after_s: Annotated[float, Meta(ge=1)] = 600.0  # one here for so long takes its place
    transfer_kb_per_s: Annotated[float, Meta(ge=16)] = 8192.0  # to copies that lag far behind

    def __post_init__(self) -> None:
        if self.size not in (3, 5):
            raise ValueError("size must be 3 or 5")
        names = [one.name for one in self.peer]
        if len(set(names)) != len(names):
            raise ValueError("a peer is named twice")
        if len(names) < self.size:
            raise ValueError(f"{self.size} copies need {self.size} peers at least, not {len(names)}")


class ClosedWindow(msgspec.Struct, frozen=True, rename="kebab"):
    """Nobody is taken out from then to then, Unix time in s."""

    begin: float
    end: float


class MaintenanceSettings(msgspec.Struct, frozen=True, rename="kebab"):
    """Take machines out for work one after another; needs copies. Times in s."""

    most: int = 1  # out at once, planned and unplanned together
    zone: int = 1  # of one zone
    most_load: float = 0.8  # of those left
    slack: float = 0.1
    pause_s: float = 10.0
    drain_s: float = 60.0
    failures: int = 2
    closed: tuple[ClosedWindow, ...] = ()
    version: str = ""  # of this gateway, for rolls

    def __post_init__(self) -> None:
        if why := budget_error(self.budget()):
            raise ValueError(why)

    def budget(self) -> Budget:
        return Budget(
            self.most, self.zone, self.most_load, self.slack, self.pause_s, self.drain_s, self.failures,
            tuple((one.begin, one.end) for one in self.closed),
        )  # fmt: skip


class OperatorSettings(msgspec.Struct, frozen=True, rename="kebab"):
    """All sections."""

    record: RecordingSettings | None = None
    copies: ReplicationSettings | None = None
    maintenance: MaintenanceSettings | None = None

    def __post_init__(self) -> None:
        if self.maintenance is not None and self.copies is None:
            raise ValueError("maintenance needs copies")


def parse_settings(text: str, file: str = "settings") -> OperatorSettings:
    """The settings that a text holds. Raises `SettingsError`."""
    return fill_file(OperatorSettings, parse(text, file), file)


def load(path: Path) -> OperatorSettings:
    """Raises `SettingsError`, also for a file that cannot be read, and the OSError of one that may be
    readable in a moment.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        if isinstance(error, OSError) and is_transient(error):
            raise
        raise SettingsError(str(path), 1, 1, f"cannot be read: {error}") from None
    return parse_settings(text, str(path))


def path_from_environment(env: Mapping[str, str] = os.environ) -> Path | None:
    """The file that the environment names, if any."""
    return Path(env[ENVIRONMENT_VARIABLE]) if env.get(ENVIRONMENT_VARIABLE) else None
