"""Clients send 32 commands at once and read at full speed; the gateway ends connections with answers owed."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins
from stand_ins import ANSWER_SLACK_S, HOST, Discovery, Gateway, Record, TillServer, encode_command, read_reply

MEMORY_MB = 96  # the pages: "32 to 192 MB", "With limits halved"
SOCKETS = 512
CLIENTS = 4
COMMANDS_AT_ONCE = 32  # the page: "clients send many commands at once"
ANSWER_BYTES = 64000  # the page: "a value holds 64 KiB at most"
BATCHES = 20
TIMEOUT_S = 2.0
MEAN_WORK_S = 0.1


@dataclass
class Sent:
    """A command of a batch, and what became of it."""

    request_id: str
    end: str = "unanswered"


class VaryingServer(TillServer):
    """A till server whose work varies and whose values are long."""

    def __init__(self, name: str, record: Record, cell: int, seed: int) -> None:
        """Prepare a server with random work of its own."""
        super().__init__(name, record, MEAN_WORK_S, cell=cell)
        self.random = random.Random(seed)

    def value(self, request_id: bytes) -> bytes:
        """Return the value for a request."""
        return (b"%s did %s " % (self.name.encode(), request_id)).ljust(ANSWER_BYTES, b".")

    async def _work(self, seconds: float) -> None:
        await super()._work(min(5 * seconds, self.random.expovariate(1 / seconds)))


async def send_batch(port: int, at_once: int, rng: random.Random, record: Record) -> list[Sent]:
    """Send commands at once on a new connection, read every answer, and close."""
    batch = [Sent(f"{rng.getrandbits(64):016x}") for _ in range(at_once)]
    pairs = f"c=berth-find,t=full,units=1,spread=3,first=0,d={1000 * TIMEOUT_S:.0f}".encode()
    data = b"".join(
        encode_command(
            b"SVC.QUERY", f"{rng.randrange(1, 1 << 32):016x}".encode(), sent.request_id.encode(), pairs
        )
        for sent in batch
    )
    reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 20)
    began_at = time.monotonic()
    record.add("sent_at_once", commands=at_once, first=batch[0].request_id)
    writer.write(data)
    try:
        async with asyncio.timeout(TIMEOUT_S + ANSWER_SLACK_S):
            for sent in batch:
                answer = await read_reply(reader)
                sent.end = {b"$": "served", b"-": "refused_or_failed"}[answer[:1]]
                if sent.end == "served" and sent.request_id.encode() not in answer[:80]:
                    sent.end = "foreign"
    except TimeoutError:
        pass
    except (asyncio.IncompleteReadError, ConnectionError):
        for sent in batch:
            sent.end = "connection_ended" if sent.end == "unanswered" else sent.end
    finally:
        writer.close()
    waited = time.monotonic() - began_at
    ends = dict(Counter(sent.end for sent in batch))
    record.add("batch_ended", first=batch[0].request_id, waited=f"{waited:.3f}", ends=ends)
    return batch


async def ask_all(port: int, number: int, record: Record) -> list[Sent]:
    """Send the batches of one client, or with no disruption the same commands one at a time."""
    rng, sent = random.Random(number), []
    for _ in range(BATCHES):
        if stand_ins.trouble():
            sent += await send_batch(port, COMMANDS_AT_ONCE, rng, record)
        else:
            batches = [send_batch(port, 1, rng, record) for _ in range(COMMANDS_AT_ONCE)]
            for batch in await asyncio.gather(*batches):
                sent += batch
        await asyncio.sleep(0.5)
    return sent


async def play(record: Record, folder: Path) -> bool:
    """Play the case; return whether no request was lost."""
    servers = [VaryingServer(f"s-{number:08x}", record, number // 4, number) for number in range(14)]
    for server in servers:
        await server.start()
    discovery = Discovery(servers, record)
    await discovery.start()
    settings = stand_ins.durban_settings(0)
    config = stand_ins.gateway_config("n0", settings, discovery, sockets=SOCKETS, memory_mb=MEMORY_MB)
    gateway = Gateway(config, folder)
    try:
        gateway.start()
        await gateway.wait_until_ready()
        batches = await asyncio.gather(*(ask_all(gateway.port, number, record) for number in range(CLIENTS)))
        sent = [command for batch in batches for command in batch]
        if not gateway.is_running():
            raise stand_ins.NotRunError("the gateway has ended")
        ran = {run.request_id for server in servers for run in server.runs if not run.turned_away}
        lost = [command for command in sent if command.end in ("unanswered", "connection_ended", "foreign")]
        record.say(f"commands: {len(sent)}, by end: {dict(Counter(command.end for command in sent))}")
        record.say(f"lost: {len(lost)}, of which ran: {sum(command.request_id in ran for command in lost)}")
        for line in gateway.log.read_text().splitlines():
            if "client_connection_ended" in line and "reason=client_closed" not in line:
                record.add("gateway_log", line=line)
        return not lost
    finally:
        gateway.end()
        for server in servers:
            server.stop()
        discovery.stop()


if __name__ == "__main__":
    stand_ins.run_case(play, Path(__file__).resolve().parent)
