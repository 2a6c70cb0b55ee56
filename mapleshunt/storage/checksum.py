"""Checksums of rows: SQLite checks its write-ahead log, but does not detect pages that decay on the disk."""

from __future__ import annotations

import struct

import xxhash

SIGNED_OFFSET = 1 << 63  # maps 64 unsigned bits to the range of SQLite's integers


def checksum(*parts: int | str | bytes) -> int:
    """Return the checksum of the parts and their lengths, as a signed 64-bit integer."""
    digest = xxhash.xxh3_64()
    for part in parts:
        raw = part if isinstance(part, bytes) else str(part).encode()
        digest.update(struct.pack("<Q", len(raw)))
        digest.update(raw)
    return digest.intdigest() - SIGNED_OFFSET
