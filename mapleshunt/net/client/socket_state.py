"""What the kernel knows of a client's socket before its bytes are read."""

from __future__ import annotations

import select
import socket
import struct

TCP_INFO_BYTES = 104  # of Linux's struct tcp_info that are asked for
TCP_LAST_DATA_RECEIVED = 52  # offset in it of the ms since data last came


def has_unread_bytes(raw: socket.socket | None) -> bool:
    """Tell whether bytes have come that are not read yet; False for a socket that is closed (None)."""
    if raw is None:
        return False
    try:
        return bool(raw.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def has_hung_up(raw: socket.socket | None) -> bool:
    """Tell whether the client has closed its side, whatever is unread before that."""
    if raw is None:
        return True
    poller = select.poll()
    poller.register(raw.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


def seconds_since_last_data(raw: socket.socket) -> float:
    """Return the time since data last came; 0 where the kernel does not tell."""
    try:
        info = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0.0
    if len(info) < TCP_INFO_BYTES:
        return 0.0
    age_ms: int = struct.unpack_from("=I", info, TCP_LAST_DATA_RECEIVED)[0]
    return age_ms / 1000
