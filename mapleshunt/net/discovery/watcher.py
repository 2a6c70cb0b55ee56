"""The watch on the endpoint list: calls to discovery, each for what has changed since the last answer.

Discovery is one service for all gateways. A complete list costs it every row, so a rejected call alone
is no reason to request one, nor to call at once or in step with the other gateways.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from tornado.iostream import StreamClosedError

from .. import log
from ..config import Address
from ..counters import Counters
from ..protocol import http
from ..protocol.read_buffer import MessageTooLongError, ignore_size
from ..reasons import DiscoveryEnd, DiscoveryEndReason
from .backoff import Backoff
from .call_schedule import Call, CallSchedule
from .connection import DiscoveryConnection
from .endpoint_list import EndpointList, parse_endpoint_list

ENDPOINTS_PATH = "/catalog/members"
HTTP_OK = 200
UNKNOWN_REVISION_STATUSES = (400, 404, 410)  # discovery may not know the call's revision


class EndpointWatcher:
    """Watches the endpoint list and calls `on_update` with every list and every change.

    The schedule says when a call begins and which calls are out; each connection has a task of its own.
    """

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
            backoff: the delays after calls that failed or are late, and when calls are late.
            revision: that of the known list; None requests the complete list.
            hold: called with the bytes that a list that is being read holds, negative when they are released.
        """
        self.agent, self.on_update, self.counters = agent, on_update, counters
        self.revision, self._hold = revision, hold
        self.schedule = CallSchedule(backoff)
        self._connections: dict[Call, DiscoveryConnection] = {}
        self._tasks: dict[Call, asyncio.Task[None]] = {}
        self._wakeup = asyncio.Event()  # set when the schedule has changed

    async def run(self) -> None:
        """Watch until cancelled, which closes all connections."""
        self.schedule.follow(self._now_ms())
        async with asyncio.TaskGroup() as tasks:
            while True:
                self._wakeup.clear()
                self._do_what_is_due(tasks)
                await self._wait(self.schedule.next_event_at_ms())

    def follow(self, agent: Address) -> None:
        """Watch another agent from now on; calls to earlier ones count until the new agent has answered."""
        self.agent = agent
        self.revision = None  # another agent may number revisions differently
        self.schedule.follow(self._now_ms())
        self._wakeup.set()

    def since_answer_ms(self) -> float:
        """Return the time in ms since the last answer; infinite if there was none."""
        return self._now_ms() - self.schedule.last_answer_at_ms

    def _now_ms(self) -> float:
        return asyncio.get_running_loop().time() * 1000

    async def _wait(self, until_ms: float) -> None:
        """Wait until a time, or until the schedule has changed."""
        try:
            async with asyncio.timeout_at(until_ms / 1000):
                await self._wakeup.wait()
        except TimeoutError:
            pass

    def _do_what_is_due(self, tasks: asyncio.TaskGroup) -> None:
        now_ms = self._now_ms()
        if late := self.schedule.take_late(now_ms):
            self.counters.add("discovery_late")
            pause_ms = self.schedule.next_call_at_ms - now_ms
            log.log_event("discovery_late", pause=pause_ms, **self._call_fields(late, now_ms))
        for call in self.schedule.take_expired(now_ms):
            self._end_silent(call)
        if self.schedule.is_due(now_ms):
            call = self.schedule.begin(now_ms, self.revision)
            task = self._tasks[call] = tasks.create_task(self._run_connection(call, self.agent))
            task.add_done_callback(lambda _: self._tasks.pop(call))

    async def _run_connection(self, call: Call, agent: Address) -> None:
        """Connect and make calls until the connection ends, then record why it did."""
        end = await self._call_until_end(call, agent)
        if end is not None:
            self._log_end(call, end, self.schedule.failed(call, self._now_ms()))
        self._wakeup.set()

    async def _call_until_end(self, call: Call, agent: Address) -> DiscoveryEnd | None:
        """Return why a call failed; None if the last one was answered."""
        try:
            connection = self._connections[call] = DiscoveryConnection(agent, self._hold)
        except OSError as error:  # no descriptor is left
            self.counters.add("out_of_descriptors")
            log.log_event("discovery_not_called", why=error)
            return DiscoveryEnd(DiscoveryEndReason.NO_DESCRIPTOR)
        try:
            await connection.connect()
            self.schedule.connected(call, self._now_ms())
            return await self._call_repeatedly(call, connection)
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
            del self._connections[call]
            connection.close()
        return DiscoveryEnd(reason)

    async def _call_repeatedly(self, call: Call, connection: DiscoveryConnection) -> DiscoveryEnd | None:
        while True:
            response = await connection.call(_path(call))
            if response.status != HTTP_OK:
                # The next call requests the complete list only if discovery may not know the revision: when
                # it did after every 503, all gateways made the costliest call to an overloaded discovery.
                if response.status in UNKNOWN_REVISION_STATUSES and self.schedule.is_newest(call):
                    self.revision = None
                return DiscoveryEnd(DiscoveryEndReason.HTTP_STATUS, response.status)
            update = parse_endpoint_list(json.loads(bytes(response.body)))
            # Bytes behind an answer would be taken for that of the next call.
            may_reuse = response.keep_alive and not connection.received_bytes()
            continues = self.schedule.is_newest(call) and may_reuse
            self._answered(call, update)
            if not continues:
                return None
            self.schedule.repeat(call, self._now_ms(), self.revision)
            self._wakeup.set()

    def _answered(self, call: Call, update: EndpointList) -> None:
        """Apply the answer to a call and end the calls that it supersedes."""
        if call.is_late:
            self.counters.add("discovery_late_answers")
            log.log_event("discovery_late_answer", **self._call_fields(call, self._now_ms()))
        if not self._is_known(call, update):
            self.on_update(update)
            self._advance(call, update)
        for superseded in self.schedule.answered(call, self._now_ms()):
            self._end_silent(superseded)
        self._wakeup.set()

    def _is_known(self, call: Call, update: EndpointList) -> bool:
        """Return whether an answer is no newer than one that came while its call was out."""
        if call.started_at_ms >= self.schedule.last_answer_at_ms or self.revision is None:
            return False
        return update.revision <= self.revision

    def _advance(self, call: Call, update: EndpointList) -> None:
        """Set the revision of the next call; None requests the complete list."""
        if not self.schedule.is_of_followed_agent(call):
            return  # another agent may number revisions differently
        # An agent behind the known revision does not have the changes since: the complete list does.
        is_behind = self.revision is not None and update.revision < self.revision
        self.revision = None if is_behind and not update.complete else update.revision

    def _end_silent(self, call: Call) -> None:
        """End a call that the schedule has removed without an answer."""
        self._log_end(call, DiscoveryEnd(DiscoveryEndReason.AGENT_SILENT), 0.0)
        self._tasks[call].cancel()

    def _log_end(self, call: Call, end: DiscoveryEnd, pause_ms: float) -> None:
        self.counters.add("discovery_ended")
        fields = self._call_fields(call, self._now_ms())
        log.log_event("discovery_ended", reason=end, pause=pause_ms, **fields)

    def _call_fields(self, call: Call, now_ms: float) -> dict[str, object]:
        """Return what the log says of a call: times in ms, and the bytes that have come of its answer."""
        connection = self._connections.get(call)
        return {
            "revision": self.revision,
            "age": now_ms - call.started_at_ms,
            "since_answer": self.since_answer_ms(),
            "bytes": connection.received_bytes() if connection else 0,
            "calls": len(self.schedule.calls),
        }


def _path(call: Call) -> str:
    """Return the path of a call.

    A call that begins a watch is queued at the one service, but does not wait for changes: it returns
    at once with those missed.
    """
    if call.revision is None:
        return ENDPOINTS_PATH
    return f"{ENDPOINTS_PATH}?index={call.revision}&wait={call.wait_ms:.0f}"
