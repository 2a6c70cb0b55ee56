"""Discovery: one watch after another from the list known; the whole list only where none is.

Discovery is one service for all gateways. A whole list costs it every line, and a call that it turned away
is no reason to ask for more, nor at once, nor in step with the others.
"""

from __future__ import annotations

import asyncio
import json
import math
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, cast

from tornado.iostream import IOStream, StreamClosedError

from ...platform_terms import STATES
from ...policy import EndpointState
from .. import log
from ..backoff import SILENCE_TIMEOUT_MS, WATCH_WAIT_MS, Backoff
from ..config import Address, ConfigError, address_family, parse_address
from ..counters import Counters
from ..protocol import http
from ..protocol.read_buffer import MessageTooLongError, ReadBuffer
from ..upstream.endpoint import Endpoint

ENDPOINTS_PATH = "/catalog/members"
UNKNOWN_REVISION_STATUSES = (
    400,
    404,
    410,
)  # statuses that may mean that the revision asked from is not known


@dataclass(slots=True, frozen=True)
class EndpointList:
    revision: int
    complete: bool
    endpoints: tuple[Endpoint, ...]


def parse_endpoint_list(raw: Mapping[str, Any]) -> EndpointList:
    """A list in discovery's form. Raises ValueError."""
    try:
        members = tuple(
            Endpoint(
                id=str(row["id"]),
                address=parse_address(row["host_port"], "host_port"),
                zone=str(row.get("locality") or ""),
                cell=int(row.get("cell") or 0),
                state=cast(EndpointState, STATES[row["phase"]]),
                started_at_ms=float(row.get("up_since_ms") or 0.0),
            )
            for row in raw["members"]
        )
        return EndpointList(int(raw["revision"]), bool(raw["complete"]), members)
    except (KeyError, TypeError, AttributeError, ConfigError) as error:
        raise ValueError(f"a list of members is malformed: {error!r}") from None


class EndpointWatcher:
    """Calls `told` with every list and every change."""

    def __init__(
        self,
        agent: Address,
        told: Callable[[EndpointList], None],
        counters: Counters,
        backoff: Backoff,
        revision: int | None = None,
    ) -> None:
        """`revision` is that of the list known; without one the whole list is asked for."""
        self.agent, self.on_update, self.counters = agent, told, counters
        self.backoff, self.revision = backoff, revision
        self.first_call_timeout_s, self.watch_timeout_s = (
            backoff.answer_timeout_ms / 1000,
            (WATCH_WAIT_MS + SILENCE_TIMEOUT_MS) / 1000,
        )  # s
        self.last_answer_at = -math.inf  # s on the loop's clock, when a call was last answered

    async def run(self) -> None:
        """Until it is cancelled: whatever ends a call, there is a next one."""
        await asyncio.sleep(self.backoff.initial_delay_ms() / 1000)
        while True:
            reason = await self._call()
            self.counters.add("discovery_ended")
            pause = self.backoff.next_delay_ms(
                (asyncio.get_running_loop().time() - self.last_answer_at) * 1000
            )
            log.log_event("discovery_ended", reason=reason, revision=self.revision, pause=pause)
            await asyncio.sleep(pause / 1000)

    async def _call(self) -> str:
        """One connection from its socket to its end; the reason for that."""
        try:
            stream = IOStream(
                socket.socket(address_family(self.agent)), max_buffer_size=2 * http.MAX_MESSAGE_BYTES
            )
        except OSError as error:  # no descriptor is left
            self.counters.add("out_of_descriptors")
            log.log_event("discovery_not_called", why=error)
            return "no_descriptor"
        try:
            return await self._session(stream)
        except TimeoutError:
            return "agent_silent"
        except StreamClosedError as closed:
            return "agent_unreachable" if closed.real_error else "agent_closed"
        except (http.ProtocolError, MessageTooLongError, ValueError) as error:
            log.log_event("malformed_list", why=error)
            return "malformed_list"
        except Exception:
            self.counters.add("exceptions")
            log.log_exception("discovery_exception")
            return "exception"
        finally:
            stream.close()

    async def _session(self, stream: IOStream) -> str:
        """Call after call on one connection; the reason for its end."""
        async with asyncio.timeout(self.backoff.dial_timeout_ms / 1000):
            await stream.connect(self.agent)
        buffer = ReadBuffer(http.MAX_MESSAGE_BYTES)
        watching = False
        while True:
            # A call that begins a watch waits its turn at the one service, and for nothing else: what came
            # meanwhile it tells at once. Given up after a watch's usual silence it was work for nobody.
            path, limit = ENDPOINTS_PATH, self.watch_timeout_s if watching else self.first_call_timeout_s
            if self.revision is not None:
                path = f"{ENDPOINTS_PATH}?index={self.revision}&wait={WATCH_WAIT_MS if watching else 0:.0f}"
            async with asyncio.timeout(limit):
                await stream.write(http.encode_get(path, f"{self.agent[0]}:{self.agent[1]}"))
                while not (found := http.parse_response(buffer.data, buffer.start, buffer.end)):
                    await buffer.fill(stream)
            response = found[0]
            buffer.consume(found[1])
            if response.status != 200:
                # Only where it may not know the revision does the next call ask for the whole list: after
                # every 503 of a discovery that is overbooked, all gateways asked for what costs it most.
                self.revision = None if response.status in UNKNOWN_REVISION_STATUSES else self.revision
                return f"status_{response.status}"
            members = parse_endpoint_list(json.loads(bytes(response.body)))
            self.backoff.reset()
            self.last_answer_at = asyncio.get_running_loop().time()
            self.on_update(members)
            watching = self.revision is not None  # the answer was a watch's: the next call continues it
            # An agent that is behind what is known cannot tell what changed since: the whole list does.
            behind = not members.complete and self.revision is not None and members.revision < self.revision
            self.revision = None if behind else members.revision
            if not response.keep_alive:
                return "agent_closed"
