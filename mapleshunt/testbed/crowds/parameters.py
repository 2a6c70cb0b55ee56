"""What a run plays."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class CrowdKind(enum.StrEnum):
    """What the clients of a crowd do on each connection, before they come again."""

    NONE = "none"
    SILENT = "silent"  # send nothing, and wait until the gateway ends the connection
    STOPPED_CLOSING = "stopped_closing"  # stop within a long command, and close soon after
    STOPPED = "stopped"  # stop before the last byte of a long command, and wait
    SLOW = "slow"  # send whole long commands in small pieces
    MANY_FIELDS = "many_fields"  # send a long word of thousands of short fields
    LONG = "long"  # send whole long commands at full speed
    ASKING = "asking"  # send short queries and read the answers
    NOT_READING = "not_reading"  # send commands, and read no answer
    MIXED = "mixed"  # each client is of one of the kinds above
    # At full speed on a connection that stays open; opened again where the gateway ends it.
    FLOOD_UNSOUND = "flood_unsound"
    FLOOD_PINGS = "flood_pings"
    FLOOD_NEW_NAMES = "flood_new_names"


MIXED_KINDS = (
    CrowdKind.SILENT,
    CrowdKind.STOPPED_CLOSING,
    CrowdKind.STOPPED,
    CrowdKind.SLOW,
    CrowdKind.MANY_FIELDS,
    CrowdKind.LONG,
    CrowdKind.NOT_READING,
)


class Restart(enum.StrEnum):
    """What happens to the gateway in the middle of the crowd's time."""

    NONE = "none"
    KILL = "kill"  # SIGKILL, and a start a second later
    UPGRADE = "upgrade"  # a second process beside it, then SIGTERM to the first


@dataclass(slots=True, frozen=True)
class CrowdParameters:
    """The size of a run.

    Attributes:
        kind: What the crowd does.
        memory_mb: The gateway's memory limit, MB.
        descriptors: The gateway's limit of file descriptors.
        clients: Clients of the crowd, each on one connection at a time.
        seconds: For which the crowd is there.
        sound_rate: Requests per second of sound clients, each on a connection of its own.
        sound_body_bytes: Length of the body of each of them; 0 for none.
        value_bytes: Length of each value that a backend returns.
        restart: What happens to the gateway meanwhile.
        seed: Of all random draws.
    """

    kind: CrowdKind = CrowdKind.STOPPED_CLOSING
    memory_mb: int = 96
    descriptors: int = 1024
    clients: int = 340
    seconds: float = 6.0
    sound_rate: float = 50.0
    sound_body_bytes: int = 0
    value_bytes: int = 100
    restart: Restart = Restart.NONE
    seed: int = 1
