"""The file format of a recording: a header, then slots of a fixed size that are written in a ring.

Each slot holds one block of rows (requests): its number, a checksum, and the compressed rows in msgpack. The
newest block overwrites the oldest, so the file never grows past its size. A reader returns the blocks that
are complete, in the order of their numbers, and names those that are not.
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

FILE_MAGIC = b"MSREC1\0\0"
# Magic, bytes of a slot, slots, gateway, gateways, start (Unix ms), random id of the recording.
FILE_HEADER = struct.Struct("<8sIIHHd16s")
# Magic, number, checksum, bytes, rows, arrival of the first row (Unix ms).
BLOCK_HEADER = struct.Struct("<4sQIIId")
BLOCK_MAGIC = b"MSBK"
SLOT_BYTES = 32768
# Of encoded rows in a block: they compress to a third, and a block that does not is split.
MAX_BLOCK_ROW_BYTES = 2 * SLOT_BYTES
COMPRESSION_LEVEL = 3  # of zstandard: cheap, and rows compress to a third already
UNWRITTEN_MAGIC = b"\0\0\0\0"  # of a slot that has no block yet
MAX_DECOMPRESSED_BYTES = 16 * SLOT_BYTES
MAX_SLOT_BYTES = 1 << 24  # a header that says more is damaged
MAX_SLOTS = 1 << 20


class RecordingError(ValueError):
    """A file that is no recording; its text is for the operator."""


class RecordedAttempt(msgspec.Struct, array_like=True, frozen=True):
    """An attempt at an endpoint."""

    endpoint: int
    status: str
    sent_after_ms: float  # the arrival of its request
    duration_ms: float


class RecordedRequest(msgspec.Struct, array_like=True, frozen=True):
    """A request as a gateway met it."""

    arrived_at: float  # Unix time, ms
    request_class: str
    plan: str
    customer: bytes  # hashed with the operators' salt
    estimated_cost: float
    true_cost: float  # 0 if no backend reported it
    remaining_time_ms: float
    gateway_set_size: int
    gateway_set_offset: int
    is_retry: bool
    outcome: str  # served, refused, failed, gone
    duration_ms: float  # until the final answer
    attempts: tuple[RecordedAttempt, ...] = ()


ROW_ENCODER = msgspec.msgpack.Encoder()
ROWS_DECODER: msgspec.msgpack.Decoder[list[RecordedRequest]] = msgspec.msgpack.Decoder(list[RecordedRequest])


def hash_customer(customer: str, salt: bytes) -> bytes:
    """A customer's name as recordings hold it: 8 bytes of keyed BLAKE2b."""
    return hashlib.blake2b(customer.encode(), digest_size=8, key=salt[:64]).digest()


def encode_array_header(count: int) -> bytes:
    """The header of a msgpack array of so many items, up to 65,535."""
    return b"\xdc" + struct.pack(">H", count)


def pack_block(number: int, rows: list[bytes], first: float) -> bytes:
    """A block of encoded rows; `first` is the arrival of the first of them, Unix time in ms."""
    raw = encode_array_header(len(rows)) + b"".join(rows)
    body = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(raw)
    header = BLOCK_HEADER.pack(BLOCK_MAGIC, number, zlib.crc32(body), len(body), len(rows), first)
    return header + body


@dataclass(slots=True)
class Recording:
    """What a file holds: rows by time, the gateway that wrote them, and what could not be read."""

    gateway: int
    gateways: int
    rows: list[RecordedRequest]
    blocks: int = 0
    problems: list[str] = field(default_factory=list)


def read_blocks(
    data: bytes, slot_bytes: int, slots: int
) -> Iterator[tuple[int, list[RecordedRequest]] | str]:
    """Of each slot that was written the block's number and rows, or what is wrong with it."""
    for slot in range(slots):
        begin = FILE_HEADER.size + slot * slot_bytes
        header = data[begin : begin + BLOCK_HEADER.size]
        if len(header) < BLOCK_HEADER.size:
            if header.strip(b"\0"):
                yield f"slot {slot}: the file ends within it"
            return
        if header.startswith(UNWRITTEN_MAGIC):
            continue
        try:
            yield _read_block(data, begin, slot_bytes)
        except (RecordingError, zstandard.ZstdError, msgspec.DecodeError) as error:
            yield f"slot {slot}: {error}"


def _read_block(data: bytes, begin: int, slot_bytes: int) -> tuple[int, list[RecordedRequest]]:
    magic, number, checksum, size, count, _ = BLOCK_HEADER.unpack_from(data, begin)
    body_begin = begin + BLOCK_HEADER.size
    body = data[body_begin : body_begin + size]
    if magic != BLOCK_MAGIC or size > slot_bytes or len(body) < size or zlib.crc32(body) != checksum:
        raise RecordingError("the block is damaged or not whole")
    raw = zstandard.ZstdDecompressor().decompress(body, max_output_size=MAX_DECOMPRESSED_BYTES)
    rows = ROWS_DECODER.decode(raw)
    if len(rows) != count:
        raise RecordingError(f"{len(rows)} rows in place of {count}")
    return number, rows


def read_recording(data: bytes) -> Recording:
    """All blocks that are complete, and a line for each that is not.

    Raises:
        RecordingError: not even the header of the file is valid.
    """
    if len(data) < FILE_HEADER.size or data[:8] != FILE_MAGIC:
        raise RecordingError("this is no recording: its header is missing or damaged")
    _, slot_bytes, slots, gateway, gateways, _, _ = FILE_HEADER.unpack(data[: FILE_HEADER.size])
    if not BLOCK_HEADER.size < slot_bytes <= MAX_SLOT_BYTES or slots > MAX_SLOTS:
        raise RecordingError("this is no recording: its header makes no sense")
    blocks = list[tuple[int, list[RecordedRequest]]]()
    problems = list[str]()
    for found in read_blocks(data, slot_bytes, slots):
        if isinstance(found, str):
            problems.append(found)
        else:
            blocks.append(found)
    blocks.sort(key=lambda block: block[0])
    numbers = [number for number, _ in blocks]
    for before, after in itertools.pairwise(numbers):
        if after != before + 1:
            problems.append(f"blocks {before + 1} to {after - 1} are missing")
    rows = sorted((row for _, rows in blocks for row in rows), key=lambda row: row.arrived_at)
    return Recording(gateway, gateways, rows, len(blocks), problems)
