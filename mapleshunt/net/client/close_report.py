"""Reports of the ends of client connections, and of requests that cross them."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import TYPE_CHECKING, Protocol

from ...invariants import CloseFacts, Guard, violations_of_close
from .. import log
from ..counters import Counters
from ..protocol import resp
from ..protocol.read_buffer import ReadBuffer
from ..reasons import ClientCloseReason
from ..trace import Trace
from .response_slot import ResponseSlot
from .write_buffer import WriteBuffer

if TYPE_CHECKING:  # a protocol class costs memory in every gateway

    class EndedConnection(Protocol):
        """What is reported of a client connection at its end."""

        loop: asyncio.AbstractEventLoop
        output: WriteBuffer
        buffer: ReadBuffer
        slots: deque[ResponseSlot]
        command_count: int
        opened_at: float
        last_read_at: float


# Ends that the gateway chooses while no response is pending. After the others further input is expected.
CHOSEN_REASONS = frozenset(
    {
        ClientCloseReason.IDLE,
        ClientCloseReason.EVICTED,
        ClientCloseReason.DRAINED,
        ClientCloseReason.DRAINED_WHILE_REQUESTING,
        ClientCloseReason.PROCESS_STOPPED,
    }
)
UNKNOWN_ID = "unknown"
MAX_LOGGED_ID_BYTES = 16
REQUEST_ID_WORD = 2  # of a command: its name, the customer, the request's id


def report_crossing(
    reason: ClientCloseReason | None, data: memoryview, ended_at: float, data_age_s: float, counters: Counters
) -> None:
    """Count and log bytes that were discarded because the gateway had ended the connection.

    Args:
        reason: why it was ended; bytes after an end that its client caused are not reported.
        data: the bytes.
        ended_at: s, monotonic: when the gateway ended its side.
        data_age_s: seconds since the last of them arrived.
        counters: the gateway's counters.
    """
    if reason not in CHOSEN_REASONS:
        return
    counters.add(f"requests_crossed_{reason}")
    before_end_ms = 1000 * (data_age_s - (time.monotonic() - ended_at))
    log.log_event(
        "request_crossed_end",
        reason=reason,
        id=request_id_of(data),
        bytes=len(data),
        before=max(0.0, before_end_ms),
    )


def request_id_of(data: memoryview) -> str:
    """Return the request id of the first command in `data`, or `UNKNOWN_ID`."""
    try:
        parsed = resp.parse_command(bytearray(data), 0, len(data))
    except resp.ProtocolError:
        return UNKNOWN_ID
    if parsed is None or len(parsed[0]) <= REQUEST_ID_WORD:
        return UNKNOWN_ID
    return bytes(parsed[0][REQUEST_ID_WORD][:MAX_LOGGED_ID_BYTES]).decode("ascii", "replace")


def log_close(connection: EndedConnection, reason: ClientCloseReason, has_unread_bytes: bool) -> None:
    """Log the end of a connection, before what it holds is released."""
    now, written_at = connection.loop.time(), connection.output.last_write_at
    log.log_event(
        "client_connection_ended",
        reason=reason,
        commands=connection.command_count,
        owed=len(connection.slots),
        age=1000 * (now - connection.opened_at),
        since_read=1000 * (now - connection.last_read_at),
        since_answer=1000 * (now - written_at) if written_at else "none",
        unwritten=connection.output.unwritten_bytes,
        unprocessed=connection.buffer.unprocessed_bytes(),
        unread=int(has_unread_bytes),
    )


def check_close(
    connection: EndedConnection, reason: ClientCloseReason, has_unread_bytes: bool, trace: Trace
) -> None:
    """Count the end of a connection, and report the rules that it violates."""
    trace.count_close("client_connections", reason)
    contexts = [slot.context for slot in connection.slots if slot.context and slot.context.awaiting_response]
    # Without a written response there is none that a reset could destroy, so unread bytes do no harm.
    is_unread = bool(connection.output.last_write_at) and has_unread_bytes
    unsent_s = connection.output.unsent_for(connection.loop.time())
    facts = CloseFacts(reason, len(contexts), is_unread, None if unsent_s is None else 1000 * unsent_s)
    subject = contexts[0].client_request_id if contexts else "connection"
    trace.report_violations(Guard.CLOSE, violations_of_close(facts), subject)
