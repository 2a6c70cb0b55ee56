"""The codec of gossip messages between gateways: packed base-64 digits with a checksum.

A message consists of the sender's latency ratio, the number of entries, the entries, latency ratios of
endpoints, and a checksum. No I/O and no decisions.
"""

from __future__ import annotations

import enum
import math
import zlib
from collections.abc import Sequence
from dataclasses import dataclass

DIGITS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
VALUES = {digit: value for value, digit in enumerate(DIGITS)}
UNIT_STEPS = 8  # steps per unit that amounts are rounded to
UNIT_OFFSET = 2048  # added to the steps, so that amounts below 0 can be encoded
MAX_UNIT_STEPS = 4095  # largest value of two digits
REQUEST_NUMBERS = 64**3  # request numbers in entries wrap around here
SILENT = math.inf  # latency ratio of an endpoint that does not answer
RATIOS = [0.005 * math.exp2(step / 6) for step in range(63)] + [SILENT]
# Digits of an entry, of an endpoint's ratio, and of the message's own ratio, count and checksum.
ENTRY_DIGITS, ENDPOINT_DIGITS, FRAME_DIGITS = 13, 5, 5
CHECKSUM_DIGITS = 3
# Maximum number of endpoint latency ratios in a message.
MAX_ENDPOINT_RATIOS = 2


class EntryKind(enum.StrEnum):
    """The kind of an entry. The order of the members is that of the digits on the wire."""

    NOTE = "note"  # a member reports use; the owner replies with the level
    ASK = "ask"  # a member asks for units
    GRANTED = "granted"  # an owner grants the units
    DENIED = "denied"  # an owner denies the units
    LEVEL = "level"  # an owner reports the bucket's level
    USED = "used"  # a member reports use and expects no reply


KINDS = tuple(EntryKind)


@dataclass(slots=True, frozen=True)
class GossipEntry:
    """An entry of a message, about one customer.

    Attributes:
        kind: Its kind.
        customer_tag: Tag of the customer's name.
        request_number: Number of the request that asks.
        units: Units asked for, or newly used (below 0: returned).
        bucket_left: Fraction of the customer's bucket that is left, in the sender's view.
        code: From a member, its plan's number plus the number of plans times n if one request in 2^n asks;
            from an owner, the recent use by all gateways as a code of `encode_use`.
    """

    kind: EntryKind
    customer_tag: int
    request_number: int = 0
    units: float = 0.0
    bucket_left: float = 1.0
    code: int = 0


@dataclass(slots=True, frozen=True)
class GossipMessage:
    """A decoded message.

    Attributes:
        latency_ratio: The sender's mean latency over the objective.
        entries: Its entries about customers.
        endpoint_ratios: Pairs of an endpoint tag and the latency ratio of an answer, or `SILENT`.
    """

    latency_ratio: float
    entries: tuple[GossipEntry, ...] = ()
    endpoint_ratios: tuple[tuple[int, float], ...] = ()


def tag_of(customer: str) -> int:
    """Return the tag of a customer's name."""
    return zlib.crc32(customer.encode()) % 64**5


def endpoint_tag(endpoint: int) -> int:
    """Return the tag of an endpoint's number."""
    return endpoint % 64**4


def encode_use(bursts: float) -> int:
    """Return the code of a recent use, in bursts, on a logarithmic scale."""
    return min(63, round(8 * math.log2(1 + 8 * max(0.0, bursts))))


def decode_use(code: int) -> float:
    """Return the recent use, in bursts, that a code stands for."""
    return (math.exp2(code / 8) - 1) / 8


def max_entries(message_bytes: int) -> int:
    """Return how many entries fit in a message beside the endpoints' ratios."""
    return (message_bytes - FRAME_DIGITS - MAX_ENDPOINT_RATIOS * ENDPOINT_DIGITS) // ENTRY_DIGITS


def _pack(value: int, width: int) -> str:
    return "".join([DIGITS[(value >> 6 * n) & 63] for n in range(width)])


def _unpack(text: str) -> int:
    value = 0
    for char in reversed(text):
        value = value << 6 | VALUES[char]
    return value


def _ratio_digit(ratio: float) -> str:
    if ratio == SILENT:
        return DIGITS[63]
    return DIGITS[min(62, max(0, round(6 * math.log2(max(ratio, 1e-6) / RATIOS[0]))))]


def encode(
    latency_ratio: float,
    entries: Sequence[GossipEntry] = (),
    endpoint_ratios: Sequence[tuple[int, float]] = (),
) -> str:
    """Return the encoded message."""
    text = _ratio_digit(latency_ratio) + DIGITS[len(entries)]
    for entry in entries:
        units = min(MAX_UNIT_STEPS, max(0, round(entry.units * UNIT_STEPS) + UNIT_OFFSET))
        left = min(63, max(0, math.ceil(63 * entry.bucket_left)))
        text += DIGITS[KINDS.index(entry.kind)] + _pack(entry.customer_tag, 5)
        text += _pack(entry.request_number, 3)
        text += _pack(units, 2) + DIGITS[left] + DIGITS[min(63, max(0, entry.code))]
    for tag, ratio in endpoint_ratios:
        text += _pack(tag, 4) + _ratio_digit(ratio)
    return text + _pack(zlib.crc32(text.encode()), CHECKSUM_DIGITS)


def decode(data: str) -> GossipMessage | None:
    """Return the decoded message, or None if the data is incomplete or malformed."""
    text = data[:-CHECKSUM_DIGITS]
    if len(text) < 2 or any(char not in VALUES for char in text):
        return None
    end = 2 + ENTRY_DIGITS * VALUES[text[1]]
    if _pack(zlib.crc32(text.encode()), CHECKSUM_DIGITS) != data[-CHECKSUM_DIGITS:]:
        return None
    if len(text) < end or (len(text) - end) % ENDPOINT_DIGITS:
        return None
    entries = [_decode_entry(text[at : at + ENTRY_DIGITS]) for at in range(2, end, ENTRY_DIGITS)]
    ratios = [
        (_unpack(text[at : at + 4]), RATIOS[VALUES[text[at + 4]]])
        for at in range(end, len(text), ENDPOINT_DIGITS)
    ]
    return GossipMessage(min(RATIOS[62], RATIOS[VALUES[text[0]]]), tuple(entries), tuple(ratios))


def _decode_entry(digits: str) -> GossipEntry:
    return GossipEntry(
        KINDS[VALUES[digits[0]] % len(KINDS)],
        _unpack(digits[1:6]),
        _unpack(digits[6:9]),
        (_unpack(digits[9:11]) - UNIT_OFFSET) / UNIT_STEPS,
        VALUES[digits[11]] / 63,
        VALUES[digits[12]],
    )
