"""The file format of a recording: a header, then a ring of slots of a fixed size.

Each slot holds one block of rows (requests): its number, a checksum, and the compressed rows in msgpack. The
newest block overwrites the oldest, so the file never grows past its size. A reader returns the rows of all
blocks that are complete, and reports those that are not.
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
# Magic, slot size in bytes, slots, gateway, gateways, start (Unix time, ms), random id of the recording.
FILE_HEADER = struct.Struct("<8sIIHHd16s")
# Magic, block number, checksum, body size in bytes, rows, arrival of the first row (Unix time, ms).
BLOCK_HEADER = struct.Struct("<4sQIIId")
BLOCK_MAGIC = b"MSBK"
SLOT_BYTES = 32768
# Encoded rows before compression: usually they compress to a third, and a block that does not fit is split.
MAX_BLOCK_ROW_BYTES = 2 * SLOT_BYTES
COMPRESSION_LEVEL = 3  # of zstandard: cheap, and enough to compress rows to a third
UNWRITTEN_MAGIC = b"\0\0\0\0"  # of a slot without a block
MAX_DECOMPRESSED_BYTES = 16 * SLOT_BYTES
MAX_SLOT_BYTES = 1 << 24  # a header with a larger size is damaged
MAX_SLOTS = 1 << 20


class RecordingError(ValueError):
    """A file that is not a valid recording; the message is for operators."""


class RecordedAttempt(msgspec.Struct, array_like=True, frozen=True):
    """An attempt at an endpoint."""

    endpoint: int
    status: str
    sent_after_ms: float  # since the arrival of its request
    duration_ms: float


class RecordedRequest(msgspec.Struct, array_like=True, frozen=True):
    """A request with its outcome at one gateway."""

    arrived_at: float  # Unix time, ms
    request_class: str
    plan: str
    customer: bytes  # hash with the operators' salt
    estimated_cost: float
    true_cost: float  # 0 if no backend reported it
    remaining_time_ms: float
    gateway_set_size: int
    gateway_set_offset: int
    is_retry: bool
    outcome: str  # served, refused, failed, gone
    duration_ms: float  # from arrival to the final response
    attempts: tuple[RecordedAttempt, ...] = ()


ROW_ENCODER = msgspec.msgpack.Encoder()
ROWS_DECODER: msgspec.msgpack.Decoder[list[RecordedRequest]] = msgspec.msgpack.Decoder(list[RecordedRequest])


def hash_customer(customer: str, salt: bytes) -> bytes:
    """Return a customer's name as recordings hold it: 8 bytes of keyed BLAKE2b."""
    return hashlib.blake2b(customer.encode(), digest_size=8, key=salt[:64]).digest()


def encode_array_header(count: int) -> bytes:
    """Return the header of a msgpack array of `count` items, up to 65,535."""
    return b"\xdc" + struct.pack(">H", count)


def pack_block(number: int, rows: list[bytes], first_arrival: float) -> bytes:
    """Return a block of encoded rows; `first_arrival` is when the first one arrived, Unix time in ms."""
    raw = encode_array_header(len(rows)) + b"".join(rows)
    body = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(raw)
    header = BLOCK_HEADER.pack(BLOCK_MAGIC, number, zlib.crc32(body), len(body), len(rows), first_arrival)
    return header + body


@dataclass(slots=True)
class Recording:
    """The contents of a file: rows by time, the gateway that wrote them, and the problems found."""

    gateway: int
    gateways: int
    rows: list[RecordedRequest]
    blocks: int = 0
    problems: list[str] = field(default_factory=list)


def read_blocks(
    data: bytes, slot_bytes: int, slots: int
) -> Iterator[tuple[int, list[RecordedRequest]] | str]:
    """Yield the block number and rows of each slot that was written, or a description of its problem."""
    for slot in range(slots):
        slot_begin = FILE_HEADER.size + slot * slot_bytes
        header = data[slot_begin : slot_begin + BLOCK_HEADER.size]
        if len(header) < BLOCK_HEADER.size:
            if header.strip(b"\0"):
                yield f"slot {slot}: the file ends within its header"
            return
        if header.startswith(UNWRITTEN_MAGIC):
            continue
        try:
            yield _read_block(data, slot_begin, slot_bytes)
        except (RecordingError, zstandard.ZstdError, msgspec.DecodeError) as error:
            yield f"slot {slot}: {error}"


def _read_block(data: bytes, slot_begin: int, slot_bytes: int) -> tuple[int, list[RecordedRequest]]:
    magic, number, checksum, size, count, _ = BLOCK_HEADER.unpack_from(data, slot_begin)
    body_begin = slot_begin + BLOCK_HEADER.size
    body = data[body_begin : body_begin + size]
    if magic != BLOCK_MAGIC or size > slot_bytes or len(body) < size or zlib.crc32(body) != checksum:
        raise RecordingError("the block is damaged or incomplete")
    raw = zstandard.ZstdDecompressor().decompress(body, max_output_size=MAX_DECOMPRESSED_BYTES)
    rows = ROWS_DECODER.decode(raw)
    if len(rows) != count:
        raise RecordingError(f"the block must have {count} rows, got {len(rows)}")
    return number, rows


def read_recording(data: bytes) -> Recording:
    """Return the rows of all complete blocks, and a line for each other one.

    Raises:
        RecordingError: the header of the file is missing or invalid.
    """
    if len(data) < FILE_HEADER.size or data[:8] != FILE_MAGIC:
        raise RecordingError("this is no recording: its header is missing or damaged")
    _, slot_bytes, slots, gateway, gateways, _, _ = FILE_HEADER.unpack(data[: FILE_HEADER.size])
    if not BLOCK_HEADER.size < slot_bytes <= MAX_SLOT_BYTES or slots > MAX_SLOTS:
        raise RecordingError(f"this is no recording: its header has {slots} slots of {slot_bytes} bytes")
    blocks = list[tuple[int, list[RecordedRequest]]]()
    problems = list[str]()
    for result in read_blocks(data, slot_bytes, slots):
        if isinstance(result, str):
            problems.append(result)
        else:
            blocks.append(result)
    blocks.sort(key=lambda block: block[0])
    numbers = [number for number, _ in blocks]
    for number, next_number in itertools.pairwise(numbers):
        if next_number != number + 1:
            problems.append(f"blocks {number + 1} to {next_number - 1} are missing")
    rows = sorted((row for _, rows in blocks for row in rows), key=lambda row: row.arrived_at)
    return Recording(gateway, gateways, rows, len(blocks), problems)
