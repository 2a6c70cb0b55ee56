"""Sound clients: they send one request on a new connection at an even rate, and read the answer."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from ..pipelines.clients import (
    ANSWER_SLACK_S,
    CROSSING_S,
    LOST_KINDS,
    AnswerKind,
    draw_command,
    kind_of,
    read_in_time,
)
from ..ports import HOST

DEADLINE_MS = 2000.0
READER_LIMIT_BYTES = 1 << 20


@dataclass(slots=True, frozen=True)
class Outcome:
    """What became of a request; the times are seconds on the loop's clock."""

    sent_at: float
    kind: AnswerKind
    wait_s: float  # from its sending to its answer or end


@dataclass(slots=True, frozen=True)
class Service:
    """How the requests of a part of a run were served."""

    requests: int
    kinds: dict[str, int]
    unserved_fraction: float  # rejected, failed, or not answered at all
    lost: int
    median_ms: float
    p99_ms: float  # of the answers


class SoundClients:
    """Sends requests, and records what became of each."""

    def __init__(self, port: int, rate: float, body_bytes: int, seed: int) -> None:
        """Prepare clients of the gateway at `port`."""
        self._port, self._rate, self._body_bytes = port, rate, body_bytes
        self._random = random.Random(f"{seed}/sound")
        self.outcomes: list[Outcome] = []

    async def run(self, seconds: float) -> None:
        """Send requests for that long, and wait for the last answers."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        async with asyncio.TaskGroup() as group:
            for number in range(int(seconds * self._rate)):
                await asyncio.sleep(began_at + number / self._rate - loop.time())
                group.create_task(self._send_request())

    async def _send_request(self) -> None:
        loop = asyncio.get_running_loop()
        command = draw_command(self._random, DEADLINE_MS, self._body_bytes)
        began_at = loop.time()
        sent_at: list[float] = []
        writer = None
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + ANSWER_SLACK_S):
                reader, writer = await asyncio.open_connection(HOST, self._port, limit=READER_LIMIT_BYTES)
                writer.transport.set_write_buffer_limits(0)
                writer.write(command.encode())
                await writer.drain()
            sent_at.append(loop.time())
            reply = await read_in_time(reader, sent_at, 0, DEADLINE_MS / 1000 + ANSWER_SLACK_S)
            kind = kind_of(reply, command.request_id)
        except TimeoutError:
            kind = AnswerKind.UNANSWERED if sent_at else AnswerKind.NOT_TAKEN
        except (asyncio.IncompleteReadError, ConnectionError):
            is_taken = sent_at and loop.time() - sent_at[0] >= CROSSING_S
            kind = (
                AnswerKind.NOT_TAKEN
                if writer is None
                else AnswerKind.ENDED
                if is_taken
                else AnswerKind.CROSSED
            )
        finally:
            if writer is not None:
                writer.close()
        self.outcomes.append(Outcome(began_at, kind, loop.time() - began_at))

    def service(self, since: float, until: float) -> Service:
        """Return how the requests were served that were sent in that time, in s on the loop's clock."""
        return _service([outcome for outcome in self.outcomes if since <= outcome.sent_at < until])


def _service(outcomes: Sequence[Outcome]) -> Service:
    kinds = Counter(str(outcome.kind) for outcome in outcomes)
    waits_ms = sorted(1000 * outcome.wait_s for outcome in outcomes if outcome.kind not in LOST_KINDS) or [
        0.0
    ]
    requests = max(1, len(outcomes))
    return Service(
        requests=len(outcomes),
        kinds=dict(sorted(kinds.items())),
        unserved_fraction=1 - kinds[str(AnswerKind.SERVED)] / requests,
        lost=sum(kinds[str(kind)] for kind in LOST_KINDS),
        median_ms=waits_ms[len(waits_ms) // 2],
        p99_ms=waits_ms[int(0.99 * (len(waits_ms) - 1))],
    )
