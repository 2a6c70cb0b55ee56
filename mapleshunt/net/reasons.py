"""Why attempts, connections and calls to discovery ended: one enum each.

Log lines, counters, traces and `docs/on-call.md` share these enums. Operators read the values there, so a
value never changes without a note in the CHANGELOG.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class AttemptStatus(enum.StrEnum):
    """How an attempt ended. Counters: `tries_STATUS`, and `retries_after_STATUS` by the previous attempt."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    UNSENT = "unsent"


class RequestResult(enum.StrEnum):
    """How a request ended for its client. The values are stored in recordings."""

    CLIENT_GONE = "gone"
    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


class ClientCloseReason(enum.StrEnum):
    """Why a client connection was closed. Counters: `client_connections_closed_REASON`."""

    CLIENT_CLOSED = "client_closed"
    CLIENT_RESET = "client_reset"
    MALFORMED_COMMAND = "malformed_command"
    SLOW_CLIENT = "slow_client"
    IDLE = "idle"
    INCOMPLETE_COMMAND = "half_a_command"
    FLOOD = "flood"
    EVICTED = "made_room"
    DRAINED = "drained"
    DRAINED_WHILE_REQUESTING = "last_call"
    PROCESS_STOPPED = "stopped"
    EXCEPTION = "exception"


class UpstreamCloseReason(enum.StrEnum):
    """Why a connection to an endpoint was closed. Counters: `server_connections_closed_REASON`."""

    DIAL_FAILED = "dial_failed"
    DIAL_TIMEOUT = "dial_timeout"
    ENDPOINT_CLOSED = "server_closed"
    ENDPOINT_RESET = "server_reset"
    MALFORMED_REPLY = "malformed_reply"
    ATTEMPT_CANCELLED = "cancelled"
    ATTEMPT_TIMEOUT = "timeout"
    ATTEMPT_EXCEPTION = "reset"
    IDLE = "idle"
    EVICTED = "made_room"
    ENDPOINT_REMOVED = "server_gone"
    ENDPOINT_REPLACED = "server_moved"
    SHUTDOWN = "shutdown"
    EXCEPTION = "exception"


class DiscoveryEndReason(enum.StrEnum):
    """Why a call to discovery ended. All of them are counted as `discovery_ended`."""

    NO_DESCRIPTOR = "no_descriptor"
    AGENT_SILENT = "agent_silent"
    AGENT_UNREACHABLE = "agent_unreachable"
    AGENT_CLOSED = "agent_closed"
    MALFORMED_LIST = "malformed_list"
    HTTP_STATUS = "status"
    EXCEPTION = "exception"


@dataclass(slots=True, frozen=True)
class DiscoveryEnd:
    """The end of a call to discovery; `http_status` is set with `HTTP_STATUS` alone."""

    reason: DiscoveryEndReason
    http_status: int = 0

    def __str__(self) -> str:
        """Return the value in the log line, such as `agent_silent` or `status_503`."""
        return f"{self.reason}_{self.http_status}" if self.http_status else str(self.reason)
