"""Clients that send pipelines or single requests, and read at full speed."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import random
from collections import Counter
from dataclasses import dataclass

from ...net.protocol import resp
from ..ports import HOST
from .parameters import DEADLINE_MS, PLAN_NAME, READ_CLASS, WRITE_CLASS, PipelineParameters

# A final answer counts until this long after the client's deadline, with 50 ms more on sockets.
ANSWER_SLACK_S = 0.55
SOUND_DEADLINE_MS = 2000.0
# A connection that ends unanswered so soon after its first command was sent ended before it was read.
CROSSING_S = 0.1
READER_LIMIT_BYTES = 1 << 20
CUSTOMERS = 1 << 32
POLL_INTERVAL_S = 0.1  # of the wait for an answer


class AnswerKind(enum.StrEnum):
    """What became of a command."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    FOREIGN = "foreign"  # served with the value of another command
    UNANSWERED = "unanswered"  # no whole answer in time
    ENDED = "ended"  # the gateway ended the connection before its answer
    NOT_JUDGED = "not_judged"  # behind an unanswered one, for which its client left
    CROSSED = "crossed"  # the connection ended as its first command was sent
    NOT_TAKEN = "not_taken"  # the connection was refused


FINAL_KINDS = (AnswerKind.SERVED, AnswerKind.REJECTED, AnswerKind.FAILED)
LOST_KINDS = (AnswerKind.FOREIGN, AnswerKind.UNANSWERED, AnswerKind.ENDED)


@dataclass(slots=True, frozen=True)
class Command:
    """A command that is encoded when it is sent: those of a run would fill the memory together."""

    request_id: bytes
    customer: bytes
    deadline_ms: float
    body_bytes: int

    def encode(self) -> bytes:
        """Return the command on the wire."""
        verb, class_name = (b"SVC.SUBMIT", WRITE_CLASS) if self.body_bytes else (b"SVC.QUERY", READ_CLASS)
        pairs = f"c={class_name},t={PLAN_NAME},units=1,spread=1,first=0,d={self.deadline_ms:.0f}".encode()
        words = [verb, self.customer, self.request_id, pairs]
        if self.body_bytes:
            words.append(b"x" * self.body_bytes)
        return resp.encode_command(words)


def draw_command(rng: random.Random, deadline_ms: float, body_bytes: int) -> Command:
    """Return a new request's command, of a customer that is drawn too."""
    request_id = b"%016x" % rng.getrandbits(64)
    return Command(request_id, b"%016x" % rng.randrange(CUSTOMERS), deadline_ms, body_bytes)


class ClientLoad:
    """The clients of one run, and the answers to their commands by kind."""

    def __init__(self, port: int, parameters: PipelineParameters) -> None:
        """Prepare clients of the gateway at `port`."""
        self._port, self._parameters = port, parameters
        self.pipelined: Counter[AnswerKind] = Counter()
        self.sound: Counter[AnswerKind] = Counter()
        self.sound_waits_s: list[float] = []  # until an answer that is served
        # One client connects at a time: a connection on which nothing is sent at once may be evicted.
        self._connecting = asyncio.Lock()

    async def send_pipelines(self) -> None:
        """Send the pipelines of all clients, and wait for the answers."""
        async with asyncio.TaskGroup() as group:
            for number in range(self._parameters.clients):
                group.create_task(self._send_pipelines(random.Random(f"{self._parameters.seed}/{number}")))

    async def _send_pipelines(self, rng: random.Random) -> None:
        for _ in range(self._parameters.pipelines):
            commands = [
                draw_command(rng, DEADLINE_MS, self._parameters.body_bytes)
                for _ in range(self._parameters.commands_at_once)
            ]
            self.pipelined.update(await self._exchange(commands, DEADLINE_MS, []))

    async def send_sound_requests(self) -> None:
        """Send short requests evenly until cancelled; those that are open then are not judged."""
        rng = random.Random(f"{self._parameters.seed}/sound")
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._send_sound_request(draw_command(rng, SOUND_DEADLINE_MS, 0)))
                await asyncio.sleep(1 / self._parameters.sound_rate)

    async def _send_sound_request(self, command: Command) -> None:
        sent_at: list[float] = []
        kinds = await self._exchange([command], SOUND_DEADLINE_MS, sent_at)
        self.sound.update(kinds)
        if kinds == [AnswerKind.SERVED]:
            self.sound_waits_s.append(asyncio.get_running_loop().time() - sent_at[0])

    async def _exchange(
        self, commands: list[Command], deadline_ms: float, sent_at: list[float]
    ) -> list[AnswerKind]:
        """Send commands at once on a new connection; return their answers.

        When the last byte of each was in the kernel is added to `sent_at`, in s on the loop's clock.
        """
        kinds: list[AnswerKind] = []
        try:
            async with self._connecting:
                reader, writer = await asyncio.open_connection(HOST, self._port, limit=READER_LIMIT_BYTES)
                writer.transport.set_write_buffer_limits(0)
                await _send(writer, commands[:1], sent_at)
        except OSError:
            return [AnswerKind.NOT_TAKEN] * len(commands)
        sending = asyncio.get_running_loop().create_task(_send(writer, commands[1:], sent_at))
        try:
            for command in commands:
                reply = await read_in_time(reader, sent_at, len(kinds), deadline_ms / 1000 + ANSWER_SLACK_S)
                kinds.append(kind_of(reply, command.request_id))
        except TimeoutError:
            kinds.append(AnswerKind.UNANSWERED)
            kinds += [AnswerKind.NOT_JUDGED] * (len(commands) - len(kinds))
        except (asyncio.IncompleteReadError, ConnectionError):
            is_taken = kinds or (sent_at and asyncio.get_running_loop().time() - sent_at[0] >= CROSSING_S)
            ended = AnswerKind.ENDED if is_taken else AnswerKind.CROSSED
            kinds += [ended] * (len(commands) - len(kinds))
        finally:
            sending.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sending
            writer.close()
        return kinds


async def _send(writer: asyncio.StreamWriter, commands: list[Command], sent_at: list[float]) -> None:
    """Send commands, and add to `sent_at` when the last byte of each was in the kernel."""
    with contextlib.suppress(ConnectionError):
        for command in commands:
            writer.write(command.encode())
            await writer.drain()
            sent_at.append(asyncio.get_running_loop().time())


async def read_in_time(
    reader: asyncio.StreamReader, sent_at: list[float], number: int, timeout_s: float
) -> bytes:
    """Read the reply to the command of that number.

    Its time counts from its last byte, and not while earlier answers are awaited. Raises `TimeoutError`.
    """
    loop = asyncio.get_running_loop()
    earlier_answered_at = loop.time()
    reading = loop.create_task(_read_reply(reader))
    try:
        while not (await asyncio.wait([reading], timeout=POLL_INTERVAL_S))[0]:
            is_sent = len(sent_at) > number
            if is_sent and loop.time() - max(sent_at[number], earlier_answered_at) > timeout_s:
                raise TimeoutError
        return await reading
    finally:
        reading.cancel()


async def _read_reply(reader: asyncio.StreamReader) -> bytes:
    """Read a reply: an error or simple line, or the content of a bulk string with its type byte."""
    line = await reader.readuntil(resp.CRLF)
    if line[:1] != b"$":
        return line
    return line[:1] + await reader.readexactly(int(line[1:]) + len(resp.CRLF))


def kind_of(reply: bytes, request_id: bytes) -> AnswerKind:
    """Return what a reply to the request of that id is."""
    if reply[:1] == b"$":
        return AnswerKind.SERVED if reply[1:].startswith(request_id) else AnswerKind.FOREIGN
    return AnswerKind.REJECTED if reply.startswith(b"-BUSY") else AnswerKind.FAILED
