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
from ..simhost import STATES
from . import http, log
from .buffer import ReadBuffer, TooLong
from .config import Address, ConfigError, address, family_of
from .counters import Counters
from .upstream import Member

PATH = "/catalog/members"
WAIT = 20000  # ms that a watch waits for something new
SILENCE = 1000  # ms past a call's own wait after which the agent counts as gone
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

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            reason = "agent_closed"
            try:
                await self._session()
            except (StreamClosedError, OSError) as error:
                reason = "agent_silent" if not getattr(error, "real_error", error) else "agent_unreachable"
            except (http.ProtocolError, TooLong, ValueError) as error:
                reason = "malformed_list"
                log.say("malformed_list", why=error)
            except Exception:
                reason = "exception"
                self.counters.add("exceptions")
                log.trouble("discovery_exception")
            self.counters.add("discovery_ended")
            log.say("discovery_ended", reason=reason, revision=self.revision)
            await asyncio.sleep(PAUSE / 1000)

    async def _session(self) -> None:
        stream = IOStream(socket.socket(family_of(self.agent)), max_buffer_size=2 * http.MAX_MESSAGE)
        try:
            await self._limited(stream, SILENCE, stream.connect(self.agent))
            buffer = ReadBuffer(http.MAX_MESSAGE)
            while True:
                path, limit = PATH, LIST_LIMIT
                if self.revision is not None:
                    path, limit = f"{PATH}?index={self.revision}&wait={WAIT}", WAIT + SILENCE
                await stream.write(http.get(path, f"{self.agent[0]}:{self.agent[1]}"))
                response = await self._limited(stream, limit, self._response(stream, buffer))
                if response.status != 200:
                    self.revision = None  # it may not know this revision: begin with the whole list
                    raise ValueError(f"status {response.status}")
                found = member_list(json.loads(bytes(response.body)))
                self.told(found)
                self.revision = found.revision
                if not response.keep:
                    return
        finally:
            stream.close()

    async def _response(self, stream: IOStream, buffer: ReadBuffer) -> http.Response:
        while not (found := http.parse_response(buffer.data, buffer.start, buffer.end)):
            await buffer.fill(stream)
        buffer.consume(found[1])
        return found[0]

    @staticmethod
    async def _limited(stream: IOStream, limit: int, step: Any) -> Any:
        """Await a step; past its limit the connection is closed, which ends the step."""
        timer = asyncio.get_running_loop().call_later(limit / 1000, stream.close)
        try:
            return await step
        finally:
            timer.cancel()
