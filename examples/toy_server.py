"""Two toy till servers and a toy discovery in one process, to try the gateway with.

    python -m examples.toy_server [DISCOVERY_PORT]

A till server answers every request with its own name and the request's id, after 20 ms.
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
WORK = 0.02  # s


class TillServer(TCPServer):
    def __init__(self, name: str) -> None:
        super().__init__()
        self.name = name
        (listener,) = bind_sockets(0, HOST)
        self.add_socket(listener)
        self.port = listener.getsockname()[1]

    async def handle_stream(self, stream: IOStream, address: object) -> None:
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
        if bytes(words[0]) not in (b"SVC.QUERY", b"SVC.SUBMIT"):
            return resp.encode_error("ERR unknown command")
        print(self.name, *(str(word, "latin-1") for word in words), flush=True)
        await asyncio.sleep(WORK)
        value = b"%s did %s" % (self.name.encode(), words[2])
        load = b"qps=1,latency_ms=20,inflight=1"
        return b"*3\r\n" + resp.encode_bulk(value) + resp.encode_bulk(b"cost=1") + resp.encode_bulk(load)


class Members(RequestHandler):
    """The list never changes: a watch waits its time and is told of nothing."""

    def initialize(self, servers: list[TillServer]) -> None:
        self.servers = servers

    async def get(self) -> None:
        rows: list[dict[str, object]] = []
        if watch := self.get_query_argument("index", ""):
            await asyncio.sleep(float(self.get_query_argument("wait", "0")) / 1000)
        else:
            rows = [
                {
                    "id": s.name,
                    "host_port": f"{HOST}:{s.port}",
                    "locality": "toy",
                    "flavor": "toy",
                    "cell": 0,
                    "phase": "Ready",
                    "size": 1.0,
                    "up_since_ms": 0,
                }
                for s in self.servers
            ]
        self.write(json.dumps({"revision": 1, "complete": not watch, "members": rows}))


async def main(port: int) -> None:
    servers = [TillServer("toy-1"), TillServer("toy-2")]
    sockets = bind_sockets(port, HOST)
    HTTPServer(Application([("/catalog/members", Members, {"servers": servers})])).add_sockets(sockets)
    print(f"discovery at {HOST}:{sockets[0].getsockname()[1]}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 8500))
