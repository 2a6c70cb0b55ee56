"""The form of a recording: a header, then slots of a fixed size that are written round and round.

Each slot holds one block of rows: an own number, a checksum, and rows in msgpack, compressed. The newest
block takes the place of the oldest, so the file never grows past its size. A reader takes what is whole, in
the order of the numbers, and says what was not.
"""

from __future__ import annotations

import hashlib
import itertools
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec
import zstandard

MAGIC = b"MSREC1\0\0"
HEADER = struct.Struct("<8sIIHHd16s")  # magic, slot bytes, slots, gateway, gateways, started (Unix ms), run
BLOCK = struct.Struct("<4sQIIId")  # magic, number, checksum, bytes, rows, first (Unix ms)
BLOCK_MAGIC = b"MSBK"
SLOT = 32768  # bytes
RAW = 2 * SLOT  # bytes of rows in a block; they compress to a third, and a block that does not is split
LEVEL = 3  # of compression


class BadRecording(ValueError):
    """A file that is no recording; its text is for the operator."""


class Attempt(msgspec.Struct, array_like=True, frozen=True):
    """One try at a till server. Times in ms; `sent` counts from the request's arrival."""

    server: int
    status: str
    sent: float
    took: float


class Row(msgspec.Struct, array_like=True, frozen=True):
    """One request as a gateway met it. `at` is Unix ms; other times are ms."""

    at: float
    cls: str
    plan: str
    customer: bytes  # hashed with the operators' salt
    guess: float
    cost: float  # true units, 0 if untold
    patience: float
    spread: int
    first: int
    retry: bool
    final: str  # served, refused, failed, gone
    took: float  # until the final answer
    attempts: tuple[Attempt, ...] = ()


ENCODER = msgspec.msgpack.Encoder()
DECODER: msgspec.msgpack.Decoder[list[Row]] = msgspec.msgpack.Decoder(list[Row])


def hashed(customer: str, salt: bytes) -> bytes:
    """A customer's name as recordings hold it: 8 bytes of keyed BLAKE2b."""
    return hashlib.blake2b(customer.encode(), digest_size=8, key=salt[:64]).digest()


def array_head(count: int) -> bytes:
    """The head of a msgpack array of so many items, up to 65,535."""
    return b"\xdc" + struct.pack(">H", count)


def pack_block(number: int, rows: list[bytes], first: float) -> bytes:
    """A block of rows that were encoded before."""
    body = zstandard.ZstdCompressor(level=LEVEL).compress(array_head(len(rows)) + b"".join(rows))
    return BLOCK.pack(BLOCK_MAGIC, number, zlib.crc32(body), len(body), len(rows), first) + body


@dataclass(slots=True)
class Recording:
    """What a file holds: rows by time, whose they are, and what could not be read."""

    gateway: int
    gateways: int
    rows: list[Row]
    blocks: int = 0
    trouble: list[str] = field(default_factory=list)


def blocks(data: bytes, slot: int, slots: int) -> Iterator[tuple[int, list[Row]] | str]:
    """Each slot that holds one: its number and rows, or what is wrong with it."""
    for place in range(slots):
        begin = HEADER.size + place * slot
        head = data[begin : begin + BLOCK.size]
        if len(head) < BLOCK.size:
            if head.strip(b"\0"):
                yield f"slot {place}: the file ends within it"
            return
        magic, number, checksum, size, count, _ = BLOCK.unpack(head)
        if magic == b"\0\0\0\0":
            continue  # not written yet
        body = data[begin + BLOCK.size : begin + BLOCK.size + size]
        if magic != BLOCK_MAGIC or size > slot or len(body) < size or zlib.crc32(body) != checksum:
            yield f"slot {place}: the block is damaged or not whole"
            continue
        try:
            raw = zstandard.ZstdDecompressor().decompress(body, max_output_size=16 * SLOT)
            rows = DECODER.decode(raw)
        except (zstandard.ZstdError, msgspec.DecodeError) as error:
            yield f"slot {place}: {error}"
            continue
        if len(rows) != count:
            yield f"slot {place}: {len(rows)} rows in place of {count}"
            continue
        yield number, rows


def read(data: bytes) -> Recording:
    """All that is whole. Raises `BadRecording` if not even the header is."""
    if len(data) < HEADER.size or data[:8] != MAGIC:
        raise BadRecording("this is no recording: its header is missing or damaged")
    _, slot, slots, gateway, gateways, _, _ = HEADER.unpack(data[: HEADER.size])
    if not BLOCK.size < slot <= 1 << 24 or slots > 1 << 20:
        raise BadRecording("this is no recording: its header makes no sense")
    found, trouble = list[tuple[int, list[Row]]](), list[str]()
    for one in blocks(data, slot, slots):
        if isinstance(one, str):
            trouble.append(one)
        else:
            found.append(one)
    found.sort(key=lambda one: one[0])
    numbers = [number for number, _ in found]
    for before, after in itertools.pairwise(numbers):
        if after != before + 1:
            trouble.append(f"blocks {before + 1} to {after - 1} are missing")
    rows = sorted((row for _, held in found for row in held), key=lambda row: row.at)
    return Recording(gateway, gateways, rows, len(found), trouble)
