"""Clients that send a hundred long commands at once take the gateway over its memory limit."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
import threading
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins
from stand_ins import HOST, Client, Discovery, Gateway, Record, TillServer, encode_command

MEMORY_MB = 96  # the pages: "32 to 192 MB", "With limits halved"
SOCKETS = 512
BAD_CLIENTS = 170  # the page: "Others connect by hundreds", "a third of the descriptors at most"
COMMANDS_AT_ONCE = 100  # the page: "hundreds of commands at once"
BODY_BYTES = 64000  # the page: "a value holds 64 KiB at most"
FLOOD_AT_S = 6.0
REQUESTS_PER_S = 50.0  # a third of the 170 requests a second of three gateways
LOAD_S = 14.0
SAMPLE_S = 0.02


class Platform:
    """Watches the memory of a gateway, and kills it once it is over its limit."""

    def __init__(self, gateway: Gateway) -> None:
        """Begin to watch."""
        self.peak_mb, self.killed_at_mb = 0.0, 0.0
        self._gateway, self._ended = gateway, threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def _watch(self) -> None:
        while not self._ended.wait(SAMPLE_S):
            used_mb = self._gateway.memory_mb()
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > MEMORY_MB:
                self.killed_at_mb = used_mb
                self._gateway.send(signal.SIGKILL)
                return

    def stop(self) -> None:
        """Stop watching."""
        self._ended.set()
        self._thread.join()


async def send_many_at_once(port: int, number: int, record: Record) -> None:
    """Send many commands at full speed, and read what is sent until the connection ends."""
    rng = random.Random(number)
    answers, sent, body = 0, 0, b"x" * BODY_BYTES
    pairs = b"c=gate-pass,t=full,units=1,spread=3,first=0,d=4500"
    reader = writer = None
    reading = None
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        received = bytearray()

        async def read_all() -> None:
            while data := await reader.read(65536):
                received.extend(data)

        reading = asyncio.create_task(read_all())
        for _ in range(COMMANDS_AT_ONCE):
            customer = f"{rng.randrange(1, 1 << 32):016x}".encode()
            request_id = f"{rng.getrandbits(64):016x}".encode()
            writer.write(encode_command(b"SVC.SUBMIT", customer, request_id, pairs, body))
            await writer.drain()
            sent += 1
        await reading
    except (ConnectionError, OSError):
        pass
    finally:
        if reading is not None:
            reading.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await reading
            answers = received.count(b"\r\n-") + received.count(b"\r\n$") + bool(received)
        if writer is not None:
            writer.close()
        record.add("bad_client", number=number, commands=sent, answers=answers)


async def load(client: Client) -> None:
    """Send requests evenly, each on a new connection, and wait for their ends."""
    rng = random.Random(1)
    async with asyncio.TaskGroup() as group:
        for _ in range(int(LOAD_S * REQUESTS_PER_S)):
            group.create_task(client.ask(rng.randrange(1, 1 << 32)))
            await asyncio.sleep(1 / REQUESTS_PER_S)


async def play(record: Record, folder: Path) -> bool:
    """Play the case; return whether the gateway stayed within its memory limit."""
    servers = [
        TillServer(f"s-{number:08x}", record, 0.12, cell=number // 4, slots=4, queue=34)
        for number in range(14)
    ]
    for server in servers:
        server.work_by_class["gate-pass"] = 0.2
        await server.start()
    discovery = Discovery(servers, record)
    await discovery.start()
    settings = stand_ins.durban_settings(0)
    config = stand_ins.gateway_config("n0", settings, discovery, sockets=SOCKETS, memory_mb=MEMORY_MB)
    gateway = Gateway(config, folder)
    platform = None
    bad_clients: list[asyncio.Task[None]] = []
    try:
        gateway.start()
        await gateway.wait_until_ready()
        record.say(f"ready with {gateway.memory_mb():.0f} MB of {MEMORY_MB} MB")
        platform = Platform(gateway)
        client = Client(
            gateway.port, record, b"SVC.QUERY", "c=berth-find,t=full,units=1,spread=3,first=0", 2.0
        )
        loading = asyncio.create_task(load(client))
        await asyncio.sleep(FLOOD_AT_S)
        began_at = time.monotonic()
        if stand_ins.trouble():
            record.say(
                f"{BAD_CLIENTS} clients send {COMMANDS_AT_ONCE} commands of {BODY_BYTES} bytes at once"
            )
            bad_clients = [
                asyncio.create_task(send_many_at_once(gateway.port, number, record))
                for number in range(BAD_CLIENTS)
            ]
        await loading
        platform.stop()
        ends = Counter(request.end for request in client.requests)
        record.say(f"memory of the gateway: at most {platform.peak_mb:.0f} MB, limit {MEMORY_MB} MB")
        record.say(f"sound requests: {len(client.requests)}, by end: {dict(ends)}")
        if platform.killed_at_mb:
            record.say(f"killed over the limit, at {platform.killed_at_mb:.0f} MB")
        elif not gateway.is_running():
            raise stand_ins.NotRunError("the gateway has ended by itself")
        record.add("flood_lasted", seconds=f"{time.monotonic() - began_at:.3f}")
        return not platform.killed_at_mb
    finally:
        if platform is not None:
            platform.stop()
        for task in bad_clients:
            task.cancel()
        await asyncio.gather(*bad_clients, return_exceptions=True)
        gateway.end()
        for server in servers:
            server.stop()
        discovery.stop()


if __name__ == "__main__":
    stand_ins.run_case(play, Path(__file__).resolve().parent)
