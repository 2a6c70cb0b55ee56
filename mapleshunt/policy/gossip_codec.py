"""The text of gossip between gateways: packed base-64 digits with a checksum.

A message is the sender's latency ratio, the number of entries, the entries, latency ratios of endpoints,
and a checksum. No I/O and no decisions.
"""

from __future__ import annotations

import enum
import math
import zlib
from collections.abc import Sequence
from dataclasses import dataclass

DIGITS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
VALUES = {digit: value for value, digit in enumerate(DIGITS)}
UNIT_STEPS = 8  # steps of a unit that amounts are rounded to
UNIT_OFFSET = 2048  # added to the steps, so that amounts below 0 have digits too
MAX_UNIT_STEPS = 4095  # largest value of two digits
REQUEST_NUMBERS = 64**3  # requests that ask are numbered up to here and round again
SILENT = math.inf  # in place of an endpoint's latency ratio: it does not answer
RATIOS = [0.005 * math.exp2(step / 6) for step in range(63)] + [SILENT]
# Digits of an entry, of an endpoint's ratio, and of the message's own ratio, count and checksum.
ENTRY_DIGITS, ENDPOINT_DIGITS, FRAME_DIGITS = 13, 5, 5
CHECKSUM_DIGITS = 3
# Endpoints whose latency ratios a message has at most.
MAX_ENDPOINT_RATIOS = 2


class EntryKind(enum.StrEnum):
    """The kind of an entry. The order is that of the digits on the wire."""

    NOTE = "note"  # a member has used units; the owner answers with the level
    ASK = "ask"  # a member asks for units
    GRANTED = "granted"  # an owner grants what was asked for
    DENIED = "denied"  # an owner denies it
    LEVEL = "level"  # an owner publishes the bucket's level
    USED = "used"  # a member has used units and wants no answer


KINDS = tuple(EntryKind)


@dataclass(slots=True, frozen=True)
class GossipEntry:
    """An entry of a message, on one customer.

    Attributes:
        kind: Its kind.
        customer_tag: The customer, by the tag of its name.
        request_number: The request that asks.
        units: Units asked for, or used since the last note (below 0: given back).
        bucket_left: Part of the customer's bucket that is left, as the sender sees it.
        code: A member's plan, plus the number of plans times n if one request in 2^n asks; in an owner's
            reply the recent use by all, in steps of `encode_use`.
    """

    kind: EntryKind
    customer_tag: int
    request_number: int = 0
    units: float = 0.0
    bucket_left: float = 1.0
    code: int = 0


@dataclass(slots=True, frozen=True)
class GossipMessage:
    """A message as it was read.

    Attributes:
        latency_ratio: The sender's mean latency over the objective.
        entries: Its entries on customers.
        endpoint_ratios: Endpoint tags with the latency ratio of an answer, or `SILENT`.
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


def encode_use(share: float) -> int:
    """Return the code of a recent use, in bursts, on a scale that grows with it."""
    return min(63, round(8 * math.log2(1 + 8 * max(0.0, share))))


def decode_use(code: int) -> float:
    """Return the recent use, in bursts, of a code."""
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
    """Return the text of a message."""
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
    """Return a message; None for anything that is not complete and well formed."""
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


def _decode_entry(row: str) -> GossipEntry:
    return GossipEntry(
        KINDS[VALUES[row[0]] % len(KINDS)],
        _unpack(row[1:6]),
        _unpack(row[6:9]),
        (_unpack(row[9:11]) - UNIT_OFFSET) / UNIT_STEPS,
        VALUES[row[11]] / 63,
        VALUES[row[12]],
    )
