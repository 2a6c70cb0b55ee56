"""Loopback ports that no other test fleet on this machine uses."""

from __future__ import annotations

import fcntl
import random
import socket
import tempfile
from pathlib import Path
from typing import TextIO

from .errors import GatewayError

HOST = "127.0.0.1"
PORTS = range(20000, 32000)  # below the system's range for outgoing connections
MAX_DRAWS = 1000


class PortRegistry:
    """Draws ports for this process, and locks them against other processes for its lifetime.

    A port is bound only after it is drawn, and may be bound again: no other process may draw it meanwhile.
    """

    def __init__(self) -> None:
        self._drawn: set[int] = set()  # by this process: its own locks do not exclude it
        self._lock_file: TextIO | None = None

    def draw(self, kind: socket.SocketKind) -> int:
        """Return a port that is free now. Raises `GatewayError` if none was found."""
        for port in random.sample(PORTS, MAX_DRAWS):
            if port in self._drawn or not self._lock(port):
                continue
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
                self._drawn.add(port)
                return port
        raise GatewayError(f"no free port in {MAX_DRAWS} draws from {PORTS.start} to {PORTS.stop - 1}")

    def _lock(self, port: int) -> bool:
        """Lock the byte at the port's number in a file that all test fleets of this machine share."""
        if self._lock_file is None:
            self._lock_file = (Path(tempfile.gettempdir()) / "mapleshunt-rig-ports").open("a")
        try:
            fcntl.lockf(self._lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
        except OSError:
            return False
        return True


_registry = PortRegistry()


def free_port(kind: socket.SocketKind) -> int:
    """Return a port that is free now and that no test fleet draws again. Raises `GatewayError`."""
    return _registry.draw(kind)
