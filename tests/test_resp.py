"""The RESP parsers and the read buffer: complete, split and malformed messages."""

from __future__ import annotations

import asyncio
import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.iostream import IOStream

from mapleshunt.net.protocol import resp
from mapleshunt.net.protocol.read_buffer import CHUNK_BYTES, MessageTooLongError, ReadBuffer

settings.register_profile("steady", derandomize=True, deadline=None, database=None)
settings.load_profile("steady")

WORDS = st.lists(st.binary(max_size=40), min_size=1, max_size=resp.MAX_ITEMS)


@given(WORDS, st.binary(max_size=20), st.integers(0, 7))
def test_command_is_parsed_once_complete(words: list[bytes], after: bytes, before: int) -> None:
    data = resp.encode_command(words)
    buffer = bytearray(b"x" * before + data + after)
    parsed = resp.parse_command(buffer, before, len(buffer))
    assert parsed is not None and parsed[1] == before + len(data)
    assert [bytes(word) for word in parsed[0]] == words
    for end in range(before, before + len(data)):
        assert resp.parse_command(buffer, before, end) is None


REPLIES: list[tuple[bytes, resp.Reply]] = [
    (b"+OK\r\n", resp.SimpleReply("OK")),
    (b"-ERR failed\r\n", resp.ErrorReply("ERR failed")),
    (b":-12\r\n", -12),
    (b"$-1\r\n", None),
    (b"*-1\r\n", None),
    (b"$3\r\nabc\r\n", memoryview(b"abc")),
    (b"*3\r\n$1\r\nv\r\n$-1\r\n*1\r\n:1\r\n", [memoryview(b"v"), None, [1]]),
]


@pytest.mark.parametrize(("data", "reply"), REPLIES)
def test_reply_is_parsed_once_complete(data: bytes, reply: resp.Reply) -> None:
    buffer = bytearray(data)
    assert resp.parse_reply(buffer, 0, len(buffer)) == (reply, len(buffer))
    assert all(resp.parse_reply(buffer, 0, end) is None for end in range(len(buffer)))


@pytest.mark.parametrize(
    "data",
    [
        b"PING\r\n",
        b"*0\r\n",
        b"*99\r\n",
        b"*1\r\n+x\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$1_0\r\n",
        b"*1\r\n$65537\r\n",
        b"*1\r\n$%d\r\n" % (resp.MAX_HEAD_BYTES + 1),
        b"*4" + resp.encode_command([b"x" * 1000] * 3)[2:] + b"$99\r\n",
        b"*5" + resp.encode_command([b"x"] * 4)[2:] + b"$65537\r\n",
        b"*1\r\n$1\r\nabc",
        b"*" + b"1" * resp.MAX_LINE_BYTES,
    ],
)
def test_malformed_command_raises_protocol_error_at_once(data: bytes) -> None:
    with pytest.raises(resp.ProtocolError):
        resp.parse_command(bytearray(data), 0, len(data))


@given(st.binary(max_size=60))
def test_parsers_survive_arbitrary_bytes(data: bytes) -> None:
    for parse in (resp.parse_command, resp.parse_reply):
        try:
            parsed = parse(bytearray(data), 0, len(data))
        except resp.ProtocolError:
            continue
        assert parsed is None or 0 < parsed[1] <= len(data)


def test_error_reply_is_one_line() -> None:
    assert resp.encode_error("ERR a\r\nb") == b"-ERR a  b\r\n"


# The buffer


def test_fill_counts_from_replacement_of_full_buffer() -> None:
    # `self.end += await read(self.free_space())` used the old buffer's end, so zero bytes were parsed.
    async def run() -> list[bytes]:
        local, peer = socket.socketpair()
        stream, buffer, parsed_arguments = IOStream(local), ReadBuffer(resp.MAX_MESSAGE_BYTES), []
        words = [[b"PING", b"%d" % n * 40] for n in range(100)]
        for sent in words:
            peer.send(resp.encode_command(sent))
            await buffer.fill(stream)
            parsed = resp.parse_command(buffer.data, buffer.start, buffer.end)
            assert parsed is not None
            buffer.consume(parsed[1])
            parsed_arguments.append(bytes(parsed[0][1]))
        stream.close()
        peer.close()
        return parsed_arguments

    assert asyncio.run(run()) == [b"%d" % n * 40 for n in range(100)]


@given(st.lists(st.integers(1, CHUNK_BYTES), min_size=1, max_size=12))
def test_slices_outlive_their_buffer(sizes: list[int]) -> None:
    buffer, slices = ReadBuffer(3 * CHUNK_BYTES), []
    for number, size in enumerate(sizes):
        data = bytes([number]) * size
        while data:
            free_space = buffer.free_space()
            count = min(len(free_space), len(data))
            free_space[:count] = data[:count]
            buffer.end += count
            data = data[count:]
        slices.append(memoryview(buffer.data)[buffer.start : buffer.end])
        buffer.consume(buffer.end)
    assert [bytes(kept_slice) for kept_slice in slices] == [bytes([n]) * size for n, size in enumerate(sizes)]


def test_buffer_is_bounded() -> None:
    buffer = ReadBuffer(2 * CHUNK_BYTES)
    with pytest.raises(MessageTooLongError):
        while True:
            buffer.end += len(buffer.free_space())
