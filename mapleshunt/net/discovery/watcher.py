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
from ...policy import interface as i
from .. import log
from ..backoff import SILENCE, WAIT, Backoff
from ..config import Address, ConfigError, address, family_of
from ..counters import Counters
from ..protocol import http
from ..protocol.read_buffer import ReadBuffer, TooLong
from ..upstream.endpoint_group import Endpoint

PATH = "/catalog/members"
UNKNOWN = (400, 404, 410)  # statuses that may mean that the revision asked from is not known


@dataclass(slots=True, frozen=True)
class MemberList:
    revision: int
    complete: bool
    members: tuple[Endpoint, ...]


def member_list(raw: Mapping[str, Any]) -> MemberList:
    """A list in discovery's form. Raises ValueError."""
    try:
        members = tuple(
            Endpoint(
                id=str(row["id"]),
                address=address(row["host_port"], "host_port"),
                zone=str(row.get("locality") or ""),
                cell=int(row.get("cell") or 0),
                state=cast(i.ServerState, STATES[row["phase"]]),
                started_at_ms=float(row.get("up_since_ms") or 0.0),
            )
            for row in raw["members"]
        )
        return MemberList(int(raw["revision"]), bool(raw["complete"]), members)
    except (KeyError, TypeError, AttributeError, ConfigError) as error:
        raise ValueError(f"a list of members is malformed: {error!r}") from None


class Discovery:
    """Calls `told` with every list and every change."""

    def __init__(
        self,
        agent: Address,
        told: Callable[[MemberList], None],
        counters: Counters,
        backoff: Backoff,
        revision: int | None = None,
    ) -> None:
        """`revision` is that of the list known; without one the whole list is asked for."""
        self.agent, self.told, self.counters = agent, told, counters
        self.backoff, self.revision = backoff, revision
        self.first_limit, self.watch_limit = backoff.answer / 1000, (WAIT + SILENCE) / 1000  # s
        self.heard = -math.inf  # s on the loop's clock, when a call was last answered

    async def run(self) -> None:
        """Until it is cancelled: whatever ends a call, there is a next one."""
        await asyncio.sleep(self.backoff.start() / 1000)
        while True:
            reason = await self._call()
            self.counters.add("discovery_ended")
            pause = self.backoff.pause((asyncio.get_running_loop().time() - self.heard) * 1000)
            log.log_event("discovery_ended", reason=reason, revision=self.revision, pause=pause)
            await asyncio.sleep(pause / 1000)

    async def _call(self) -> str:
        """One connection from its socket to its end; the reason for that."""
        try:
            stream = IOStream(socket.socket(family_of(self.agent)), max_buffer_size=2 * http.MAX_MESSAGE)
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
        except (http.ProtocolError, TooLong, ValueError) as error:
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
        async with asyncio.timeout(self.backoff.dial / 1000):
            await stream.connect(self.agent)
        buffer = ReadBuffer(http.MAX_MESSAGE)
        watching = False
        while True:
            # A call that begins a watch waits its turn at the one service, and for nothing else: what came
            # meanwhile it tells at once. Given up after a watch's usual silence it was work for nobody.
            path, limit = PATH, self.watch_limit if watching else self.first_limit
            if self.revision is not None:
                path = f"{PATH}?index={self.revision}&wait={WAIT if watching else 0:.0f}"
            async with asyncio.timeout(limit):
                await stream.write(http.get(path, f"{self.agent[0]}:{self.agent[1]}"))
                while not (found := http.parse_response(buffer.data, buffer.start, buffer.end)):
                    await buffer.fill(stream)
            response = found[0]
            buffer.consume(found[1])
            if response.status != 200:
                # Only where it may not know the revision does the next call ask for the whole list: after
                # every 503 of a discovery that is overbooked, all gateways asked for what costs it most.
                self.revision = None if response.status in UNKNOWN else self.revision
                return f"status_{response.status}"
            members = member_list(json.loads(bytes(response.body)))
            self.backoff.answered()
            self.heard = asyncio.get_running_loop().time()
            self.told(members)
            watching = self.revision is not None  # the answer was a watch's: the next call continues it
            # An agent that is behind what is known cannot tell what changed since: the whole list does.
            behind = not members.complete and self.revision is not None and members.revision < self.revision
            self.revision = None if behind else members.revision
            if not response.keep:
                return "agent_closed"
