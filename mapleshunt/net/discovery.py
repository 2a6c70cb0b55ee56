"""Discovery: the whole list at the start, then one watch after another."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, cast

from tornado.iostream import IOStream, StreamClosedError

from .. import interface as i
from ..terms import STATES
from . import http, log
from .buffer import ReadBuffer, TooLong
from .config import Address, ConfigError, address, family_of
from .counters import Counters
from .upstream import Member

PATH = "/catalog/members"
WAIT = 1000  # ms that a watch waits for something new: one that falls silent is found soon after
SILENCE = 500  # ms past a call's own wait after which the agent counts as gone
LIST_LIMIT = 3000  # ms within which the whole list must come
PAUSE = 100  # ms before the next call after a failed one: a watch goes on if it comes within 200


@dataclass(slots=True, frozen=True)
class MemberList:
    revision: int
    complete: bool
    members: tuple[Member, ...]


def member_list(raw: Mapping[str, Any]) -> MemberList:
    """A list in discovery's form. Raises ValueError."""
    try:
        members = tuple(
            Member(
                id=str(row["id"]),
                address=address(row["host_port"], "host_port"),
                zone=str(row.get("locality") or ""),
                cell=int(row.get("cell") or 0),
                state=cast(i.ServerState, STATES[row["phase"]]),
                started=float(row.get("up_since_ms") or 0.0),
            )
            for row in raw["members"]
        )
        return MemberList(int(raw["revision"]), bool(raw["complete"]), members)
    except (KeyError, TypeError, AttributeError, ConfigError) as error:
        raise ValueError(f"a list of members is malformed: {error!r}") from None


class Discovery:
    """Calls `told` with every list and every change."""

    def __init__(self, agent: Address, told: Callable[[MemberList], None], counters: Counters) -> None:
        self.agent, self.told, self.counters = agent, told, counters
        self.revision: int | None = None
        self.list_limit, self.watch_limit = LIST_LIMIT / 1000, (WAIT + SILENCE) / 1000  # s

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            stream = IOStream(socket.socket(family_of(self.agent)), max_buffer_size=2 * http.MAX_MESSAGE)
            try:
                reason = await self._session(stream)
            except TimeoutError:
                reason = "agent_silent"
            except StreamClosedError as closed:
                reason = "agent_unreachable" if closed.real_error else "agent_closed"
            except (http.ProtocolError, TooLong, ValueError) as error:
                reason = "malformed_list"
                log.say("malformed_list", why=error)
            except Exception:
                reason = "exception"
                self.counters.add("exceptions")
                log.trouble("discovery_exception")
            finally:
                stream.close()
            self.counters.add("discovery_ended")
            log.say("discovery_ended", reason=reason, revision=self.revision)
            await asyncio.sleep(PAUSE / 1000)

    async def _session(self, stream: IOStream) -> str:
        """Call after call on one connection; the reason for its end."""
        async with asyncio.timeout(self.list_limit):
            await stream.connect(self.agent)
        buffer = ReadBuffer(http.MAX_MESSAGE)
        while True:
            path, limit = PATH, self.list_limit
            if self.revision is not None:
                path, limit = f"{PATH}?index={self.revision}&wait={WAIT}", self.watch_limit
            async with asyncio.timeout(limit):
                await stream.write(http.get(path, f"{self.agent[0]}:{self.agent[1]}"))
                while not (found := http.parse_response(buffer.data, buffer.start, buffer.end)):
                    await buffer.fill(stream)
            response = found[0]
            buffer.consume(found[1])
            if response.status != 200:
                self.revision = None  # it may not know this revision: begin with the whole list
                return f"status_{response.status}"
            members = member_list(json.loads(bytes(response.body)))
            self.told(members)
            self.revision = members.revision
            if not response.keep:
                return "agent_closed"
