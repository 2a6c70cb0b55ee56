"""Discovery against an agent that plays one fate after another on a real socket."""

from __future__ import annotations

import asyncio
import json

from mapleshunt.net.counters import Counters
from mapleshunt.net.discovery import SILENCE, WAIT, Discovery, MemberList


def answer(revision: int, complete: bool, status: bytes = b"200 OK") -> bytes:
    row = {"id": "s-1", "host_port": "127.0.0.1:1", "phase": "Ready"}
    body = json.dumps({"revision": revision, "complete": complete, "members": [row]}).encode()
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


def test_watches_go_on_through_silence_nonsense_and_ends() -> None:
    # Each answer is given to one call. None: the agent stays silent; b"": it ends the connection.
    answers: list[bytes | None] = [
        answer(41, True), answer(43, False), None, answer(44, False), b"", answer(45, False),
        b"nonsense\r\n\r\n", answer(46, False), answer(0, False, b"500 Odd"), answer(50, True)]
    asked: list[str] = []
    told: list[MemberList] = []

    def tell(found: MemberList) -> None:
        told.append(found)
        discovery.watch_limit = 0.05 if answers[:1] == [None] else 60.0  # short only where silence follows

    discovery = Discovery(("", 0), tell, Counters())

    async def agent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while answers:
                asked.append((await reader.readuntil(b"\r\n\r\n")).decode().split()[1])
                data = answers.pop(0)
                if data is None:
                    discovery.watch_limit = 60.0
                    await reader.read()
                if not data:
                    break
                writer.write(data)
        except asyncio.IncompleteReadError:
            pass
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(agent, "127.0.0.1", 0)
        discovery.agent = server.sockets[0].getsockname()
        task = asyncio.create_task(discovery.run())
        while len(told) < 6:
            await asyncio.sleep(0.01)
        task.cancel()
        server.close()

    asyncio.run(run())
    assert [(one.revision, one.complete) for one in told] == [
        (41, True), (43, False), (44, False), (45, False), (46, False), (50, True)]
    whole, watch = "/catalog/members", f"/catalog/members?index={{}}&wait={WAIT}"
    # After silence or an end the watch goes on from the revision held; after a refusal with the whole list.
    assert asked[:10] == [whole, *(watch.format(n) for n in (41, 43, 43, 44, 44, 45, 45, 46)), whole]


def test_watch_that_falls_silent_is_found_before_what_it_had_to_tell_counts_as_told() -> None:
    # It was found after 21 s; for all that time draining servers were asked, and new ones were not.
    assert WAIT + SILENCE <= 2000
    assert Discovery(("", 0), lambda found: None, Counters()).watch_limit == (WAIT + SILENCE) / 1000
