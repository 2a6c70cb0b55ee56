"""A gateway that vanishes leaves its replication connections open and silent: they end after a while."""

from __future__ import annotations

import asyncio

import pytest

from mapleshunt.net.replication.connection import MAX_SILENT_CHECKS, SILENT_CHECKS_PER_PROBE
from mapleshunt.replication import wire

from .in_process import WAIT_TIMEOUT_S, peer_connections

CHECK_INTERVAL_S = 0.01
PEER = "a1"  # a name before ours: it dials
REQUESTS_OF_A_SILENCE = MAX_SILENT_CHECKS // SILENT_CHECKS_PER_PROBE - 1
ENOUGH_REQUESTS = 3 * REQUESTS_OF_A_SILENCE


@pytest.mark.parametrize("answers", [False, True])
def test_connection_to_a_silent_peer_ends_and_one_that_answers_stays(answers: bool) -> None:
    # Without it a vanished gateway counted as present for ever, and no other one took its place.
    async def run() -> None:
        connections = peer_connections([PEER], CHECK_INTERVAL_S)
        connections.open()
        reader, writer = await asyncio.open_connection(*connections._listener.getsockname())
        writer.write(wire.encode_frame(wire.Handshake("f", 1, 1, PEER, "theirs", 3, {}, 0)))
        received, requests = bytearray(), 0
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while requests < ENOUGH_REQUESTS and (data := await reader.read(65536)):
                received += data
                while decoded := wire.decode_frame(received, 0, len(received)):
                    del received[: decoded[1]]
                    if isinstance(decoded[0], wire.AdminRequest):
                        requests += 1
                        if answers:
                            writer.write(wire.encode_frame(wire.ClientResponse(decoded[0].number, "done")))
        assert connections.connected_peers() == ([PEER] if answers else [])
        assert requests == (ENOUGH_REQUESTS if answers else REQUESTS_OF_A_SILENCE)
        connections.close()
        writer.close()

    asyncio.run(run())
