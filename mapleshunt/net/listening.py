"""Sockets that listen: how every one of the gateway's is bound, and a connection is taken from it."""

from __future__ import annotations

import socket

from . import log
from .config import Address, family_of
from .counters import Counters


def bound(listen: Address) -> socket.socket:
    """Bound and not yet listening. Raises OSError if the address cannot be had."""
    listener = socket.socket(family_of(listen))
    listener.setblocking(False)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(listen)
    return listener


def accepted(listener: socket.socket, counters: Counters, whose: str = "") -> socket.socket | None:
    """The next connection, or None if there is none; one that cannot be taken is counted and logged."""
    try:
        connection, _address = listener.accept()
    except BlockingIOError:
        return None
    except OSError as error:  # it ended before it was accepted, or no descriptor is left
        counters.add(f"{whose}accepts_failed")
        log.say(f"{whose}accept_failed", why=error)
        return None
    connection.setblocking(False)
    return connection
