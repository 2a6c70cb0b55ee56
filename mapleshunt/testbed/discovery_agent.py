"""Discovery's agent beside one gateway: the endpoint list over HTTP, and watches of its changes."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable, Mapping
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from ..fleet.discovery import EndpointEntry
from ..platform_terms import ENDPOINT_STATES
from .answer_modes import AnswerSender
from .clock import RunClock
from .ports import HOST

# Discovery's name of each endpoint state.
PHASES = {state: phase for phase, state in ENDPOINT_STATES.items()}
MAX_WATCH_MS = 60_000.0  # for which a watch waits without a change


class DiscoveryAgent:
    """An agent with an HTTP server of its own; its revision is the number of changes so far."""

    def __init__(
        self,
        endpoints: Mapping[int, EndpointEntry],
        zone: str,
        clock: RunClock,
        port_of: Callable[[int], int],
        on_sent: Callable[[EndpointEntry], None],
        answers: AnswerSender | None = None,
    ) -> None:
        """`endpoints` is the agent's current list, which its owner changes.

        `port_of` returns a backend's port; `on_sent` is called with each entry that is sent to the gateway.
        `answers` sends the answers, by default each at once.
        """
        self.answers = answers or AnswerSender()
        self._endpoints, self._zone, self._clock = endpoints, zone, clock
        self._port_of, self._on_sent = port_of, on_sent
        self._changes: list[EndpointEntry] = []
        self._changed = asyncio.Event()  # set at the next change, then replaced
        (listener,) = bind_sockets(0, HOST)
        self.port: int = listener.getsockname()[1]
        routes = [("/catalog/members", CatalogHandler, {"agent": self})]
        self._server = HTTPServer(Application(routes, log_function=_log_nothing))
        self._server.add_sockets([listener])

    @property
    def revision(self) -> int:
        """The revision of the current list."""
        return len(self._changes)

    def change(self, entry: EndpointEntry) -> None:
        """Add a change and answer all pending watches with it."""
        self._changes.append(entry)
        self._changed.set()
        self._changed = asyncio.Event()

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.stop()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait for the next change or the timeout, which is no error."""
        changed = self._changed
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await changed.wait()

    def response(self, since: int | None) -> dict[str, Any]:
        """Return the response (JSON) with the whole list, or with the changes since that revision."""
        entries = list(self._endpoints.values()) if since is None else self._changes[since:]
        for entry in entries:
            self._notify_sent(entry)
        return self._list(entries, complete=since is None)

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list (JSON), as a gateway gets it in its configuration."""
        return self._list(list(self._endpoints.values()), complete=True)

    def _notify_sent(self, entry: EndpointEntry) -> None:
        self._on_sent(entry)

    def _list(self, entries: list[EndpointEntry], *, complete: bool) -> dict[str, Any]:
        members = [self._member(entry) for entry in entries]
        return {"revision": self.revision, "complete": complete, "members": members}

    def _member(self, entry: EndpointEntry) -> dict[str, Any]:
        started = round(self._clock.unix_ms + entry.started_at) if entry.started_at else 0
        return {
            "id": f"s-{entry.endpoint:08x}",
            "host_port": f"{HOST}:{self._port_of(entry.endpoint)}",
            "locality": self._zone,
            "flavor": "std-3core",
            "cell": entry.cell,
            "phase": PHASES[entry.state],
            "size": 1.0,
            "up_since_ms": started,
        }


class CatalogHandler(RequestHandler):
    """A request for the list, or a watch: `index` is the revision that the gateway has, `wait` is in ms."""

    def initialize(self, agent: DiscoveryAgent) -> None:
        """Called by tornado with the route's arguments."""
        self.agent = agent

    async def get(self) -> None:
        """Respond with the whole list, or with the changes since a revision once there are any."""
        index = self.get_query_argument("index", "")
        since = int(index) if index else None
        if since is not None and since >= self.agent.revision:
            wait_ms = min(MAX_WATCH_MS, float(self.get_query_argument("wait", "0")))
            await self.agent.wait_for_change(wait_ms / 1000)
        await self.agent.answers.send(self, lambda: self._list_body(since))

    def _list_body(self, since: int | None) -> bytes:
        """Return the whole list as of now, or the changes since that revision, as JSON."""
        known = None if since is None else min(since, self.agent.revision)
        return json.dumps(self.agent.response(known)).encode()


def _log_nothing(_handler: RequestHandler) -> None:
    """Log nothing: requests to discovery are too frequent for a line each."""
