"""The watch on the endpoint list: one call to discovery after another.

Discovery is one service for all gateways. A complete list costs it every line, and a call that it rejected
is no reason to request more, nor at once, nor in step with the others.
"""

from __future__ import annotations

import asyncio
import json
import math
import socket
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError

from .. import log
from ..config import Address, address_family
from ..counters import Counters
from ..protocol import http
from ..protocol.read_buffer import MessageTooLongError, ReadBuffer
from ..reasons import DiscoveryEnd, DiscoveryEndReason
from .backoff import SILENCE_TIMEOUT_MS, WATCH_WAIT_MS, Backoff
from .endpoint_list import EndpointList, parse_endpoint_list

ENDPOINTS_PATH = "/catalog/members"
HTTP_OK = 200
UNKNOWN_REVISION_STATUSES = (400, 404, 410)  # may mean that the call's revision is not known
MAX_STREAM_BUFFER_BYTES = 2 * http.MAX_MESSAGE_BYTES  # a response, and what may follow it


class EndpointWatcher:
    """Calls `on_update` with every list and every change."""

    def __init__(
        self,
        agent: Address,
        on_update: Callable[[EndpointList], None],
        counters: Counters,
        backoff: Backoff,
        revision: int | None = None,
    ) -> None:
        """Prepare to watch.

        Args:
            agent: the address of the discovery agent.
            on_update: called with each list or change.
            counters: the gateway's counters.
            backoff: the delays between calls, and their time limits.
            revision: that of the list known; without one the complete list is requested.
        """
        self.agent, self.on_update, self.counters = agent, on_update, counters
        self.backoff, self.revision = backoff, revision
        self.first_call_timeout_s = backoff.answer_timeout_ms / 1000
        self.watch_timeout_s = (WATCH_WAIT_MS + SILENCE_TIMEOUT_MS) / 1000
        self.last_answer_at = -math.inf  # s, on the loop's clock

    async def run(self) -> None:
        """Watch until it is cancelled, which closes the connection. A next call follows each."""
        await asyncio.sleep(self.backoff.initial_delay_ms() / 1000)
        while True:
            end = await self._call()
            self.counters.add("discovery_ended")
            since_answer_ms = (asyncio.get_running_loop().time() - self.last_answer_at) * 1000
            delay_ms = self.backoff.next_delay_ms(since_answer_ms)
            log.log_event("discovery_ended", reason=end, revision=self.revision, pause=delay_ms)
            await asyncio.sleep(delay_ms / 1000)

    async def _call(self) -> DiscoveryEnd:
        """Connect, and call until the connection ends; return why it did."""
        try:
            raw = socket.socket(address_family(self.agent))
            stream = IOStream(raw, max_buffer_size=MAX_STREAM_BUFFER_BYTES)
        except OSError as error:  # no descriptor is left
            self.counters.add("out_of_descriptors")
            log.log_event("discovery_not_called", why=error)
            return DiscoveryEnd(DiscoveryEndReason.NO_DESCRIPTOR)
        try:
            return await self._watch(stream)
        except TimeoutError:
            reason = DiscoveryEndReason.AGENT_SILENT
        except StreamClosedError as closed:
            reason = DiscoveryEndReason.AGENT_CLOSED
            if closed.real_error:
                reason = DiscoveryEndReason.AGENT_UNREACHABLE
        except (http.ProtocolError, MessageTooLongError, ValueError) as error:
            log.log_event("malformed_list", why=error)
            reason = DiscoveryEndReason.MALFORMED_LIST
        except Exception:
            self.counters.add("exceptions")
            log.log_exception("discovery_exception")
            reason = DiscoveryEndReason.EXCEPTION
        finally:
            stream.close()
        return DiscoveryEnd(reason)

    async def _watch(self, stream: IOStream) -> DiscoveryEnd:
        """Make call after call on one connection; return why it ended."""
        async with asyncio.timeout(self.backoff.dial_timeout_ms / 1000):
            await stream.connect(self.agent)
        buffer = ReadBuffer(http.MAX_MESSAGE_BYTES)
        watching = False
        while True:
            response = await self._exchange(stream, buffer, watching)
            if response.status != HTTP_OK:
                # Only where it may not know the revision does the next call request the complete list: after
                # every 503 of a discovery that is overbooked, all gateways requested what costs it most.
                if response.status in UNKNOWN_REVISION_STATUSES:
                    self.revision = None
                return DiscoveryEnd(DiscoveryEndReason.HTTP_STATUS, response.status)
            update = parse_endpoint_list(json.loads(bytes(response.body)))
            self.backoff.reset()
            self.last_answer_at = asyncio.get_running_loop().time()
            self.on_update(update)
            watching = self.revision is not None  # the answer was a watch's: the next call continues it
            self._advance(update)
            if not response.keep_alive:
                return DiscoveryEnd(DiscoveryEndReason.AGENT_CLOSED)

    async def _exchange(self, stream: IOStream, buffer: ReadBuffer, watching: bool) -> http.Response:
        """Make one call; the body is a slice of the buffer.

        A call that begins a watch waits its turn at the one service, and for nothing else: it returns at
        once with what changed meanwhile. Given up after a watch's usual silence it was work for nobody.
        """
        path = ENDPOINTS_PATH
        if self.revision is not None:
            wait_ms = WATCH_WAIT_MS if watching else 0
            path = f"{ENDPOINTS_PATH}?index={self.revision}&wait={wait_ms:.0f}"
        timeout_s = self.watch_timeout_s if watching else self.first_call_timeout_s
        async with asyncio.timeout(timeout_s):
            await stream.write(http.encode_get(path, f"{self.agent[0]}:{self.agent[1]}"))
            while not (found := http.parse_response(buffer.data, buffer.start, buffer.end)):
                await buffer.fill(stream)
        buffer.consume(found[1])
        return found[0]

    def _advance(self, update: EndpointList) -> None:
        """Note the revision of the next call; None for the complete list."""
        # An agent that is behind what is known cannot name what changed since: the complete list does.
        is_behind = self.revision is not None and update.revision < self.revision
        self.revision = None if is_behind and not update.complete else update.revision
