"""The text that gateways tell each other: packed base-64 digits with a checksum. No decisions."""

from __future__ import annotations

import math
import zlib
from collections.abc import Sequence
from dataclasses import dataclass

DIGITS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
VALUES = {digit: value for value, digit in enumerate(DIGITS)}
PARTS = 8  # steps of a unit
NUMBERS = 64**3  # requests that ask are numbered up to here and round again
KINDS = "note", "ask", "granted", "denied", "level", "used"
SILENT = math.inf
PACES = [0.005 * math.exp2(step / 6) for step in range(63)] + [SILENT]
WIDTH, WORD, FRAME = 13, 5, 5  # digits of a line, of a word on a server, of pace, count and checksum


@dataclass(slots=True, frozen=True)
class Line:
    """One customer: what a member asks or notes ("used" wants no answer), or its keeper grants or denies."""

    kind: str
    tag: int
    number: int = 0  # of the request
    units: float = 0.0  # asked for, or used since the last note (below 0: given back)
    left: float = 1.0  # part of the store left, as the sender sees it
    code: int = 0  # a member's plan, plus plans times n if one in 2^n asks; a reply's use by all, in steps


@dataclass(slots=True, frozen=True)
class Report:
    pace: float
    lines: tuple[Line, ...] = ()
    words: tuple[tuple[int, float], ...] = ()  # servers by tag: the pace of an answer, or SILENT


def tag_of(customer: str) -> int:
    return zlib.crc32(customer.encode()) % 64**5


def server_tag(server: int) -> int:
    return server % 64**4


def code_of(share: float) -> int:
    """Use of late, in stores, on a scale that grows with it."""
    return min(63, round(8 * math.log2(1 + 8 * max(0.0, share))))


def share_of(code: int) -> float:
    return (math.exp2(code / 8) - 1) / 8


def room(message_bytes: int) -> int:
    """Lines that fit in a message, with words on two servers."""
    return (message_bytes - FRAME - 2 * WORD) // WIDTH


def _pack(value: int, width: int) -> str:
    return "".join([DIGITS[(value >> 6 * n) & 63] for n in range(width)])


def _unpack(text: str) -> int:
    value = 0
    for char in reversed(text):
        value = value << 6 | VALUES[char]
    return value


def _pace(pace: float) -> str:
    return DIGITS[63 if pace == SILENT else min(62, max(0, round(6 * math.log2(max(pace, 1e-6) / PACES[0]))))]


def encode(pace: float, lines: Sequence[Line] = (), words: Sequence[tuple[int, float]] = ()) -> str:
    text = _pace(pace) + DIGITS[len(lines)]
    for line in lines:
        units = min(4095, max(0, round(line.units * PARTS) + 2048))
        left = min(63, max(0, math.ceil(63 * line.left)))
        text += DIGITS[KINDS.index(line.kind)] + _pack(line.tag, 5) + _pack(line.number, 3)
        text += _pack(units, 2) + DIGITS[left] + DIGITS[min(63, max(0, line.code))]
    for server, told in words:
        text += _pack(server, 4) + _pace(told)
    return text + _pack(zlib.crc32(text.encode()), 3)


def decode(data: str) -> Report | None:
    """What a peer told; None for anything that is not whole and well formed."""
    text = data[:-3]
    if len(text) < 2 or any(char not in VALUES for char in text):
        return None
    end = 2 + WIDTH * VALUES[text[1]]
    if _pack(zlib.crc32(text.encode()), 3) != data[-3:] or len(text) < end or (len(text) - end) % WORD:
        return None
    lines = []
    for at in range(2, end, WIDTH):
        row = text[at : at + WIDTH]
        lines.append(
            Line(
                KINDS[VALUES[row[0]] % len(KINDS)],
                _unpack(row[1:6]),
                _unpack(row[6:9]),
                (_unpack(row[9:11]) - 2048) / PARTS,
                VALUES[row[11]] / 63,
                VALUES[row[12]],
            )
        )
    words = [(_unpack(text[at : at + 4]), PACES[VALUES[text[at + 4]]]) for at in range(end, len(text), WORD)]
    return Report(min(PACES[62], PACES[VALUES[text[0]]]), tuple(lines), tuple(words))
