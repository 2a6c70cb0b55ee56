"""Send PING and some requests to a gateway and print the replies.

python -m examples.ask [HOST:PORT [REQUESTS]]
"""

from __future__ import annotations

import asyncio
import os
import sys

from tornado.tcpclient import TCPClient

from mapleshunt.net.protocol import resp
from mapleshunt.net.protocol.read_buffer import ReadBuffer

CUSTOMER = b"00000000b4d65521"


async def main(address: str, requests: int) -> None:
    """Send PING and that many requests, one after another."""
    host, _, port = address.rpartition(":")
    stream = await TCPClient().connect(host, int(port))
    buffer = ReadBuffer(resp.MAX_MESSAGE_BYTES)
    commands = [[b"PING"]]
    pairs = b"c=lookup,t=small,d=2000,units=1,spread=1,first=0"
    for _ in range(requests):
        request_id = os.urandom(8).hex().encode()
        commands.append([b"SVC.QUERY", CUSTOMER, request_id, pairs])
    for command in commands:
        await stream.write(resp.encode_command(command))
        while not (found := resp.parse_reply(buffer.data, buffer.start, buffer.end)):
            await buffer.fill(stream)
        buffer.consume(found[1])
        reply = found[0]
        print(str(reply, "latin-1") if isinstance(reply, memoryview) else getattr(reply, "text", reply))
    stream.close()


if __name__ == "__main__":
    gateway = sys.argv[1] if len(sys.argv) > 1 else "127.0.0.1:6379"
    asyncio.run(main(gateway, int(sys.argv[2]) if len(sys.argv) > 2 else 8))
