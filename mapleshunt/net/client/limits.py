"""Limits on the memory and time that one client may use."""

from __future__ import annotations

# Commands of a connection that may await a response; further ones are not processed until one is answered.
MAX_PIPELINED_COMMANDS = 32
# Commands that may await a response, including those already rejected; beyond it the connection is closed as
# a flood.
MAX_REJECTED_COMMANDS = 4096
# How long the gateway waits for the client to close its side after the last response.
LINGER_TIMEOUT_S = 1.0
# How long a connection may go without receiving a byte before its first command or within a command.
RECEIVE_TIMEOUT_S = 2.0
# How long a connection may be idle between two commands; it is evicted sooner where connections are many.
IDLE_TIMEOUT_S = 60.0
# From a command's first byte to its last, even if bytes keep arriving.
COMMAND_READ_TIMEOUT_S = 10.0
# After this time a connection that has sent no command is evicted before any other.
EVICT_SILENT_AFTER_S = 0.2
# Without a byte for this long within a command, a connection gives way to others that wait for memory or for
# a place among the connections.
STALL_TIMEOUT_S = 0.1
# From a command's first byte, while other connections wait for a place: one that takes longer gives way.
CROWDED_COMMAND_TIMEOUT_S = 0.25
# How long a connection waits for the memory of a long command; then the command is rejected.
GRANT_TIMEOUT_S = 0.2
# How long a response may stay partly unwritten because its client does not read.
RESPONSE_READ_TIMEOUT_S = 10.0
# Number of unacceptable commands after which their connection is closed.
MAX_UNACCEPTABLE_COMMANDS = 10
# Pause before the next command after an unacceptable one.
UNACCEPTABLE_COMMAND_DELAY_S = 0.05
# Retry-After of a request that is rejected only because of its connection's state; another may accept it.
IMMEDIATE_RETRY_AFTER_MS = 1.0
# Interval of checks for a disconnect while nothing is read.
HANG_UP_CHECK_INTERVAL_S = 0.05
# Pause between reads of rejected or discarded input, so that a flood does not starve other connections.
FLOOD_READ_PAUSE_S = 0.001
# Size of one read of discarded input.
DISCARD_BYTES = 65536
