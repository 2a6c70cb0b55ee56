"""What one client may use of the gateway's memory and time."""

from __future__ import annotations

from ..protocol import resp
from ..protocol.read_buffer import CHUNK_BYTES

# Commands of a connection that wait for their response before further ones are held back.
MAX_PIPELINED_COMMANDS = 32
# Commands beyond these that wait to be told that they are rejected; a connection with more is closed as a
# flood.
MAX_REJECTED_COMMANDS = 4096
# Bytes of responses that a client has not read: a full pipeline of the longest values with their framing.
MAX_UNWRITTEN_BYTES = MAX_PIPELINED_COMMANDS * (resp.MAX_VALUE_BYTES + 64)
# For which a client that got its last line may still close the connection itself.
LINGER_TIMEOUT_S = 1.0
# That a connection may be idle with nothing owed on it, or with part of a command that brings no further
# byte.
IDLE_TIMEOUT_S = 2.0
# That a command may take from its first byte to its last, however steadily it comes.
COMMAND_READ_TIMEOUT_S = 10.0
# After which a connection that has brought nothing is the first to be evicted.
EVICT_SILENT_AFTER_S = 0.2
# That a response may wait for its client to read it.
RESPONSE_READ_TIMEOUT_S = 10.0
# Commands that cannot be served, after which their connection is closed.
MAX_UNACCEPTABLE_COMMANDS = 10
# Before the next command is taken after such a one.
UNACCEPTABLE_COMMAND_DELAY_S = 0.05
# After which a request may be retried on another connection, if only the state of its own rejects it.
IMMEDIATE_RETRY_AFTER_MS = 1.0
# Between two looks for the end of a client that sent more than is read ahead.
HANG_UP_CHECK_INTERVAL_S = 0.05
# Left to other connections between two reads of what is rejected or discarded, however much it is.
FLOOD_READ_PAUSE_S = 0.001
# Read at once of what is discarded.
DISCARD_BYTES = 16 * CHUNK_BYTES
