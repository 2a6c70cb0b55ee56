"""Reports of requests that cross the end of their client connection."""

from __future__ import annotations

import time

from .. import log
from ..counters import Counters
from ..protocol import resp
from ..reasons import ClientCloseReason

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
