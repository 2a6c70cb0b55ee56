"""The sections of the operators' file. Each is off unless the file has it."""

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
    """The recording of the gateway's traffic."""

    file: Annotated[str, Meta(min_length=1)]
    size_mb: Annotated[float, Meta(ge=0.1, le=4096)] = 16.0
    salt: str = ""  # for hashing customers; must be the same at all gateways to match their customers


class PeerSettings(msgspec.Struct, frozen=True, rename="kebab"):
    """A gateway of the fleet that may have replicas."""

    name: Annotated[str, Meta(min_length=1, pattern=r"^[^/ ]+$")]
    address: Annotated[str, Meta(pattern=r"^.+:[0-9]{1,5}$")]
    zone: str = ""


class ReplicationSettings(msgspec.Struct, frozen=True, rename="kebab"):
    """Replication of the gateways' commitments to several gateways."""

    folder: Annotated[str, Meta(min_length=1)]  # for this gateway alone, on a disk that outlives the process
    fleet: Annotated[str, Meta(min_length=1, max_length=64)]
    peer: tuple[PeerSettings, ...] = ()  # all gateways of the fleet, including this one
    groups: Annotated[int, Meta(ge=1, le=64)] = 8
    size: int = 3  # replicas of a group
    lease: bool = True  # lease the gateway's quotas from the replicas
    election_ms: Annotated[float, Meta(ge=50, le=60_000)] = 1000.0
    replace_after_s: Annotated[float, Meta(ge=1)] = 600.0  # absence after which a machine is replaced
    settle_after_s: Annotated[float, Meta(ge=1)] = 600.0  # presence after which a machine may replace it
    transfer_kb_per_s: Annotated[float, Meta(ge=16)] = 8192.0  # to replicas that lag far behind

    def __post_init__(self) -> None:
        if self.size not in (3, 5):
            raise ValueError(f"size must be 3 or 5, got {self.size}")
        names = [peer.name for peer in self.peer]
        if len(set(names)) != len(names):
            raise ValueError("a peer is named twice")
        if len(names) < self.size:
            raise ValueError(f"{self.size} copies need {self.size} peers at least, not {len(names)}")


class ClosedWindow(msgspec.Struct, frozen=True, rename="kebab"):
    """A period in which no machine is taken out, Unix time in s."""

    begin: float
    end: float


class MaintenanceSettings(msgspec.Struct, frozen=True, rename="kebab"):
    """Maintenance of machines within a budget; needs the `copies` section. Times in s."""

    most: int = 1  # machines out at once, planned and unplanned together
    zone: int = 1  # machines out at once in one zone
    most_load: float = 0.8  # of the machines left, 1 being their full capacity
    slack: float = 0.1
    pause_s: float = 10.0
    drain_s: float = 60.0
    failures: int = 2
    closed: tuple[ClosedWindow, ...] = ()
    version: str = ""  # of this gateway, for rolls

    def __post_init__(self) -> None:
        if problem := budget_error(self.budget()):
            raise ValueError(problem)

    def budget(self) -> Budget:
        """Return the maintenance budget of this section."""
        return Budget(
            self.most, self.zone, self.most_load, self.slack, self.pause_s, self.drain_s, self.failures,
            tuple((window.begin, window.end) for window in self.closed),
        )  # fmt: skip


class OperatorSettings(msgspec.Struct, frozen=True, rename="kebab"):
    """All sections of the file."""

    record: RecordingSettings | None = None
    copies: ReplicationSettings | None = None
    maintenance: MaintenanceSettings | None = None

    def __post_init__(self) -> None:
        if self.maintenance is not None and self.copies is None:
            raise ValueError("maintenance needs copies")


def parse_settings(text: str, file: str = "settings") -> OperatorSettings:
    """Return the settings in `text`; `file` is its name in messages.

    Raises:
        SettingsError: the text is invalid.
    """
    return fill_file(OperatorSettings, parse(text, file), file)


def load(path: Path) -> OperatorSettings:
    """Return the settings in the file at `path`.

    Raises:
        SettingsError: the file is invalid or cannot be read.
        OSError: another attempt may succeed.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        if isinstance(error, OSError) and is_transient(error):
            raise
        raise SettingsError(str(path), 1, 1, f"cannot be read: {error}") from None
    return parse_settings(text, str(path))


def path_from_environment(env: Mapping[str, str] = os.environ) -> Path | None:
    """Return the path of the file that the environment names, if any."""
    return Path(env[ENVIRONMENT_VARIABLE]) if env.get(ENVIRONMENT_VARIABLE) else None
