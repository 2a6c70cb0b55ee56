"""Half-written connections fill a gateway's descriptors; sound clients connect, send and get no answer."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins
from stand_ins import HOST, Client, Discovery, Gateway, Record, TillServer

HALF_WRITTEN = 1000  # the page: "thousands of idle or half-written connections come in"
CROWD_AT_S = 3.0
CROWD_LASTS_S = 2.0  # time over which they come in
REQUESTS_PER_S = 10.0
LOAD_S = 16.0
SOCKETS = 256
HALF_A_COMMAND = b"*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000"


async def hold_half_written(port: int, record: Record) -> None:
    """Connect, send half a command, and read what comes until the gateway ends the connection."""
    began_at = time.monotonic()
    end = "closed"
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        record.add("half_written", end="refused")
        return
    try:
        writer.write(HALF_A_COMMAND)
        while await reader.read(4096):
            end = "error_and_close"
    except ConnectionError:
        end = "reset"
    finally:
        writer.close()
        record.add("half_written", end=end, after=f"{time.monotonic() - began_at:.3f}")


async def crowd(port: int, record: Record) -> None:
    """Let the half-written connections come in."""
    tasks = []
    for _ in range(HALF_WRITTEN):
        tasks.append(asyncio.create_task(hold_half_written(port, record)))
        await asyncio.sleep(CROWD_LASTS_S / HALF_WRITTEN)
    try:
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()


async def load(client: Client) -> None:
    """Send requests evenly, each on a new connection, and wait for their ends."""
    rng = random.Random(1)
    async with asyncio.TaskGroup() as group:
        for _ in range(int(LOAD_S * REQUESTS_PER_S)):
            group.create_task(client.ask(rng.randrange(1, 1 << 32)))
            await asyncio.sleep(1 / REQUESTS_PER_S)


async def play(record: Record, folder: Path) -> bool:
    """Play the case; return whether no sound request was lost."""
    servers = [TillServer(f"s-{number:08x}", record, 0.1, cell=number // 4) for number in range(10)]
    for server in servers:
        await server.start()
    discovery = Discovery(servers, record)
    await discovery.start()
    gateway = Gateway(
        stand_ins.gateway_config("n0", stand_ins.durban_settings(0), discovery, sockets=SOCKETS), folder
    )
    try:
        gateway.start()
        await gateway.wait_until_ready()
        client = Client(
            gateway.port, record, b"SVC.QUERY", "c=berth-find,t=basic,units=1,spread=3,first=0", 2.0
        )
        loading = asyncio.create_task(load(client))
        await asyncio.sleep(CROWD_AT_S)
        crowding = None
        if stand_ins.trouble():
            record.say(f"{HALF_WRITTEN} half-written connections come in")
            crowding = asyncio.create_task(crowd(gateway.port, record))
        await loading
        if crowding is not None:
            crowding.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await crowding
        if not gateway.is_running():
            raise stand_ins.NotRunError("the gateway has ended")
        ends = Counter(request.end for request in client.requests)
        record.say(f"sound requests: {len(client.requests)}, by end: {dict(ends)}")
        lost = [request for request in client.requests if request.is_lost]
        ran = {run.request_id for server in servers for run in server.runs}
        record.say(
            f"lost: {len(lost)}, of which reached a till server: {sum(r.request_id in ran for r in lost)}"
        )
        return not lost
    finally:
        gateway.end()
        for server in servers:
            server.stop()
        discovery.stop()


if __name__ == "__main__":
    stand_ins.run_case(play, Path(__file__).resolve().parent)
