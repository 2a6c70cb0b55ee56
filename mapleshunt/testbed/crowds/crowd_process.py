"""A crowd in a process of its own, so that what it costs does not make the other parts late."""

from __future__ import annotations

import subprocess
import sys

from ..fleet import CHECKOUT_ROOT
from .parameters import CrowdKind

CROWD_END_S = 10.0  # within which the process has to end after the crowd's time


def start_crowd(
    port: int, kind: CrowdKind, clients: int, seconds: float, seed: int
) -> subprocess.Popen[bytes]:
    """Start a crowd at the gateway at `port`; its output is the number of connections that it opened."""
    arguments = [port, kind, clients, seconds, seed]
    return subprocess.Popen(
        [sys.executable, "-m", "mapleshunt.testbed.crowds.crowd", *map(str, arguments)],
        cwd=CHECKOUT_ROOT,
        stdout=subprocess.PIPE,
    )
