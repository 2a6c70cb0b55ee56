"""Two toy backends and a toy discovery service in one process, to try the gateway with.

    python -m examples.toy_server [DISCOVERY_PORT]

A backend answers each request with its own name and the request's id, after 20 ms.
"""

from __future__ import annotations

import asyncio
import json
import sys

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer
from tornado.web import Application, RequestHandler

from mapleshunt.net.protocol import resp
from mapleshunt.net.protocol.read_buffer import ReadBuffer

HOST = "127.0.0.1"
RESPONSE_DELAY_S = 0.02


class ToyBackend(TCPServer):
    """A backend on a free port, named `name`."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self.name = name
        (listener,) = bind_sockets(0, HOST)
        self.add_socket(listener)
        self.port = listener.getsockname()[1]

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Answer a connection's commands one after another until it ends."""
        buffer = ReadBuffer(resp.MAX_MESSAGE_BYTES)
        try:
            while True:
                await buffer.fill(stream)
                while found := resp.parse_command(buffer.data, buffer.start, buffer.end):
                    buffer.consume(found[1])
                    await stream.write(await self.answer(found[0]))
        except (StreamClosedError, resp.ProtocolError):
            stream.close()

    async def answer(self, words: list[memoryview]) -> bytes:
        """Return the encoded reply to a command."""
        if bytes(words[0]) not in (b"SVC.QUERY", b"SVC.SUBMIT"):
            return resp.encode_error("ERR unknown command")
        print(self.name, *(str(word, "latin-1") for word in words), flush=True)
        await asyncio.sleep(RESPONSE_DELAY_S)
        value = b"%s did %s" % (self.name.encode(), words[2])
        load = b"qps=1,latency_ms=20,inflight=1"
        return b"*3\r\n" + resp.encode_bulk(value) + resp.encode_bulk(b"cost=1") + resp.encode_bulk(load)


class EndpointList(RequestHandler):
    """The list of endpoints. It never changes, so a watch ends with no event after its `wait` time."""

    def initialize(self, backends: list[ToyBackend]) -> None:
        """Store the backends to list."""
        self.backends = backends

    async def get(self) -> None:
        """Answer with the whole list, or with no entries after `wait` ms if `index` is given."""
        rows: list[dict[str, object]] = []
        if watch := self.get_query_argument("index", ""):
            await asyncio.sleep(float(self.get_query_argument("wait", "0")) / 1000)
        else:
            rows = [
                {
                    "id": backend.name,
                    "host_port": f"{HOST}:{backend.port}",
                    "locality": "toy",
                    "flavor": "toy",
                    "cell": 0,
                    "phase": "Ready",
                    "size": 1.0,
                    "up_since_ms": 0,
                }
                for backend in self.backends
            ]
        self.write(json.dumps({"revision": 1, "complete": not watch, "members": rows}))


async def main(port: int) -> None:
    """Serve discovery on a port, 0 for a free one, until the process is ended."""
    backends = [ToyBackend("toy-1"), ToyBackend("toy-2")]
    sockets = bind_sockets(port, HOST)
    HTTPServer(Application([("/catalog/members", EndpointList, {"backends": backends})])).add_sockets(sockets)
    print(f"discovery at {HOST}:{sockets[0].getsockname()[1]}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 8500))
