"""Queries of a client socket's kernel state that consume no bytes, and its options."""

from __future__ import annotations

import contextlib
import select
import socket
import struct

TCP_INFO_BYTES = 104  # requested prefix of Linux's struct tcp_info
LAST_DATA_RECEIVED_OFFSET = 52  # of the u32 tcpi_last_data_recv, in ms


def has_unread_bytes(sock: socket.socket | None) -> bool:
    """Return whether the socket holds unread bytes; False if it is closed (None)."""
    if sock is None:
        return False
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def hold_back_last_segment(sock: socket.socket | None) -> None:
    """Keep what is written next in the kernel until the write side is shut down, or for 0.2 s at most."""
    if sock is not None:
        with contextlib.suppress(OSError):  # not TCP, or closed
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)


def has_hung_up(sock: socket.socket | None) -> bool:
    """Return whether the client has closed its side, even if bytes before that are unread."""
    if sock is None:
        return True
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


def seconds_since_last_data(sock: socket.socket) -> float:
    """Return the time since data last arrived; 0 if the kernel does not report it."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0.0
    if len(info) < TCP_INFO_BYTES:
        return 0.0
    age_ms: int = struct.unpack_from("=I", info, LAST_DATA_RECEIVED_OFFSET)[0]
    return age_ms / 1000
