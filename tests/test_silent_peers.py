"""A gateway that vanishes leaves its replication connections open and silent: they end after a while."""

from __future__ import annotations

import asyncio

import pytest

from mapleshunt.replication import wire

from .in_process import WAIT_TIMEOUT_S, peer_connections, wait_until

CHECK_INTERVAL_S = 0.01
PEER = "a1"  # a name before ours: it dials


async def answer_requests(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answers: bool) -> int:
    """Return how many requests came until the connection ended; answer each one if `answers` is set."""
    received, requests = bytearray(), 0
    while data := await reader.read(65536):
        received += data
        while decoded := wire.decode_frame(received, 0, len(received)):
            frame, end = decoded
            del received[:end]
            if isinstance(frame, wire.AdminRequest):
                requests += 1
                if answers:
                    writer.write(wire.encode_frame(wire.ClientResponse(frame.number, "done")))
    return requests


@pytest.mark.parametrize("answers", [False, True])
def test_connection_to_a_silent_peer_ends_and_one_that_answers_stays(answers: bool) -> None:
    # Without it a vanished gateway counted as present for ever, and no other one took its place.
    async def run() -> None:
        connections = peer_connections([PEER], CHECK_INTERVAL_S)
        connections.open()
        reader, writer = await asyncio.open_connection(*connections._listener.getsockname())
        writer.write(wire.encode_frame(wire.Handshake("f", 1, 1, PEER, "theirs", 3, {}, 0)))
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await wait_until(lambda: connections.connected_peers() == [PEER])
            answering = asyncio.create_task(answer_requests(reader, writer, answers))
            if answers:
                await asyncio.sleep(100 * CHECK_INTERVAL_S)
                assert connections.connected_peers() == [PEER]
                connections.close()
            else:
                await wait_until(lambda: not connections.connected_peers())
            assert await answering > 0
        connections.close()
        writer.close()

    asyncio.run(run())
