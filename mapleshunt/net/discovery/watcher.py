"""The watch on the endpoint list: one call to discovery after another.

Discovery is one service for all gateways. A complete list costs it every row, so a rejected call alone
is no reason to request one, nor to call at once or in step with the other gateways.
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
from ..protocol.read_buffer import MessageTooLongError, ReadBuffer, ignore_size
from ..reasons import DiscoveryEnd, DiscoveryEndReason
from .backoff import SILENCE_TIMEOUT_MS, WATCH_WAIT_MS, Backoff
from .endpoint_list import EndpointList, parse_endpoint_list

ENDPOINTS_PATH = "/catalog/members"
HTTP_OK = 200
UNKNOWN_REVISION_STATUSES = (400, 404, 410)  # discovery may not know the call's revision
MAX_STREAM_BUFFER_BYTES = 2 * http.MAX_MESSAGE_BYTES  # a response, and what may follow it


class EndpointWatcher:
    """Watches the endpoint list and calls `on_update` with every list and every change."""

    def __init__(
        self,
        agent: Address,
        on_update: Callable[[EndpointList], None],
        counters: Counters,
        backoff: Backoff,
        revision: int | None = None,
        hold: Callable[[int], None] = ignore_size,
    ) -> None:
        """Prepare to watch.

        Args:
            agent: the address of the discovery agent.
            on_update: called with each list or change.
            counters: the gateway's counters.
            backoff: the delays after failed calls, and the time limits of calls.
            revision: that of the known list; None requests the complete list.
            hold: called with the bytes that a list that is being read holds, negative when they are released.
        """
        self._hold = hold
        self.agent, self.on_update, self.counters = agent, on_update, counters
        self.backoff, self.revision = backoff, revision
        self.first_call_timeout_s = backoff.answer_timeout_ms / 1000
        self.watch_timeout_s = (WATCH_WAIT_MS + SILENCE_TIMEOUT_MS) / 1000
        self.last_answer_at = -math.inf  # s, on the loop's clock
        self._call_began_at = -math.inf  # s, on the loop's clock

    async def run(self) -> None:
        """Watch until cancelled, which closes the connection. When a connection ends, another follows."""
        await asyncio.sleep(self.backoff.initial_delay_ms() / 1000)
        while True:
            end = await self._call()
            self.counters.add("discovery_ended")
            since_answer_ms = (asyncio.get_running_loop().time() - self.last_answer_at) * 1000
            delay_ms = self.backoff.next_delay_ms(since_answer_ms)
            call_age_ms = (asyncio.get_running_loop().time() - self._call_began_at) * 1000
            log.log_event(
                "discovery_ended",
                reason=end,
                revision=self.revision,
                pause=delay_ms,
                age=call_age_ms,
                since_answer=since_answer_ms,
            )
            await asyncio.sleep(delay_ms / 1000)

    async def _call(self) -> DiscoveryEnd:
        """Connect and make calls until the connection ends; return why it did."""
        self._call_began_at = asyncio.get_running_loop().time()
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
        """Make one call after another on a connection; return why it ended."""
        async with asyncio.timeout(self.backoff.dial_timeout_ms / 1000):
            await stream.connect(self.agent)
        buffer = ReadBuffer(http.MAX_MESSAGE_BYTES, self._hold)
        try:
            return await self._call_repeatedly(stream, buffer)
        finally:
            buffer.release()

    async def _call_repeatedly(self, stream: IOStream, buffer: ReadBuffer) -> DiscoveryEnd:
        watching = False
        while True:
            response = await self._exchange(stream, buffer, watching)
            if response.status != HTTP_OK:
                # The next call requests the complete list only if discovery may not know the revision: when
                # it did after every 503, all gateways made the costliest call to an overloaded discovery.
                if response.status in UNKNOWN_REVISION_STATUSES:
                    self.revision = None
                return DiscoveryEnd(DiscoveryEndReason.HTTP_STATUS, response.status)
            update = parse_endpoint_list(json.loads(bytes(response.body)))
            self.backoff.reset()
            self.last_answer_at = asyncio.get_running_loop().time()
            self.on_update(update)
            watching = self.revision is not None  # the call named a revision: the next one waits for changes
            self._advance(update)
            if not response.keep_alive:
                return DiscoveryEnd(DiscoveryEndReason.AGENT_CLOSED)

    async def _exchange(self, stream: IOStream, buffer: ReadBuffer, watching: bool) -> http.Response:
        """Make one call; the body is a slice of the buffer.

        A call that begins a watch is queued at the one service, but does not wait for changes: it returns
        at once with those missed. Its longer timeout allows for the queue: with the one of the other calls,
        discovery answered callers that had given up.
        """
        path = ENDPOINTS_PATH
        if self.revision is not None:
            wait_ms = WATCH_WAIT_MS if watching else 0
            path = f"{ENDPOINTS_PATH}?index={self.revision}&wait={wait_ms:.0f}"
        timeout_s = self.watch_timeout_s if watching else self.first_call_timeout_s
        self._call_began_at = asyncio.get_running_loop().time()
        async with asyncio.timeout(timeout_s):
            await stream.write(http.encode_get(path, f"{self.agent[0]}:{self.agent[1]}"))
            while not (parsed := http.parse_response(buffer.data, buffer.start, buffer.end)):
                await buffer.fill(stream)
        buffer.consume(parsed[1])
        return parsed[0]

    def _advance(self, update: EndpointList) -> None:
        """Set the revision of the next call; None requests the complete list."""
        # An agent behind the known revision does not have the changes since: the complete list does.
        is_behind = self.revision is not None and update.revision < self.revision
        self.revision = None if is_behind and not update.complete else update.revision
