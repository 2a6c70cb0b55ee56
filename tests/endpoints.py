"""Endpoints on real sockets, and attempts at them, for tests of the connections to endpoints."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

from tornado.ioloop import IOLoop

from mapleshunt import RequestReceived
from mapleshunt.net.counters import Counters
from mapleshunt.net.messages import AttemptResult, ResponseSink
from mapleshunt.net.protocol import resp
from mapleshunt.net.protocol.command_protocol import CommandMessage
from mapleshunt.net.request.context import Attempt, RequestContext
from mapleshunt.net.request.dispatch import dispatch
from mapleshunt.net.upstream.connection import UpstreamConnection
from mapleshunt.net.upstream.endpoint import Endpoint
from mapleshunt.net.upstream.endpoint_group import EndpointGroup

VALID_REPLY = b"*3\r\n$5\r\nvalue\r\n$14\r\nused=37,cost=4\r\n$-1\r\n"
Steps = Callable[[EndpointGroup, int, socket.socket], Awaitable[list[AttemptResult]]]
COMMAND_ARGUMENTS = [
    memoryview(b"SVC.QUERY"),
    memoryview(b"c" * 16),
    memoryview(b"i" * 16),
    memoryview(b"c=look"),
]


class NullSink:
    def serve(self, value: memoryview) -> None: ...
    def reject(self, retry_after_ms: float) -> None: ...
    def fail(self) -> None: ...


def run_steps(steps: Steps) -> list[AttemptResult]:
    """Run `steps` with a group of one endpoint, its number and its listening socket."""

    async def run() -> list[AttemptResult]:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.settimeout(10)
            group = EndpointGroup(Counters(), 5000, 10000, 2)
            endpoint = Endpoint("s-1", listener.getsockname(), "", 0, "ready", 0.0)
            group.apply_endpoint_list("complete", [endpoint])
            try:
                return await steps(group, endpoint.number, listener)
            finally:
                group.close()

    return asyncio.run(run())


def new_request(number: int) -> tuple[RequestContext, Attempt]:
    sink: ResponseSink = NullSink()
    message = CommandMessage(COMMAND_ARGUMENTS, {"c": "look", "d": "480", "r": "1"})
    context = RequestContext(1, RequestReceived(1, "look", "wide", "c", 480), message, sink, 0.0)
    return context, Attempt(0, number, 0.0, 480.0)


def start_attempt(group: EndpointGroup, number: int) -> tuple[Attempt, asyncio.Task[AttemptResult]]:
    context, attempt = new_request(number)
    return attempt, asyncio.create_task(dispatch(context, attempt, group, lambda: 179.3))


async def receive_command(server: socket.socket) -> bytes:
    server.settimeout(10)
    data = b""
    while not resp.parse_command(bytearray(data), 0, len(data)):
        if not (received := await asyncio.to_thread(server.recv, 65536)):
            raise ConnectionResetError
        data += received
    return data


async def accept(listener: socket.socket) -> socket.socket:
    return (await asyncio.to_thread(listener.accept))[0]


def read_ahead(connection: UpstreamConnection) -> None:
    """Let the stream read what has arrived, as the loop does before timers and tasks run."""
    connection.stream._handle_events(connection.stream.fileno(), IOLoop.READ)
    assert connection.buffer.has_completed_read()


async def accept_while(dial: Awaitable[None], listener: socket.socket) -> socket.socket:
    _, server = await asyncio.gather(dial, accept(listener))
    return server
