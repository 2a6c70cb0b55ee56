"""Checksums of rows: SQLite checks its write-ahead log, but does not notice pages that rot on the disk."""

from __future__ import annotations

import struct

import xxhash

SIGNED_OFFSET = 1 << 63  # brings 64 unsigned bits into the range of SQLite's integers


def checksum(*parts: int | str | bytes) -> int:
    """The checksum of the parts and of where each ends, as a signed 64-bit integer."""
    digest = xxhash.xxh3_64()
    for part in parts:
        raw = part if isinstance(part, bytes) else str(part).encode()
        digest.update(struct.pack("<Q", len(raw)))
        digest.update(raw)
    return digest.intdigest() - SIGNED_OFFSET
