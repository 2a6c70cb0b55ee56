"""The `SVC` commands over RESP: client requests, the commands to endpoints, and their replies."""

from __future__ import annotations

import re
from collections.abc import Sequence

from ..messages import AttemptResult, ParsedRequest
from ..reasons import AttemptStatus
from . import resp

QUERY, SUBMIT = b"SVC.QUERY", b"SVC.SUBMIT"
PAIRS_INDEX = 3  # position of the word with the name=value pairs
MAX_PAIRS = 32  # four times the names that the protocol has
HEX_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
MAX_CUSTOMERS = 1 << 33  # endpoints reject a customer number of this value or above
DURATION_PATTERN = re.compile(r"[0-9]{1,7}(\.[0-9]{1,6})?")
UNITS_PATTERN = re.compile(r"[0-9]{1,6}(\.[0-9]{1,6})?")
COUNT_PATTERN = re.compile(r"[0-9]{1,6}")
FAILURE_REPLY = resp.encode_error("ERR failed")


class InvalidCommandError(Exception):
    """A complete command that is not a valid request. The text is sent to the client."""


class CommandMessage:
    """A client's command to be forwarded, unchanged except for the timeout `d`."""

    __slots__ = ("pairs", "words")

    def __init__(self, words: Sequence[memoryview], pairs: dict[str, str]) -> None:
        """Store the command's words and its name=value pairs, in order."""
        self.words, self.pairs = words, pairs

    def encode(self, timeout_ms: int) -> bytes:
        """Return the command for an endpoint, with the time in ms for which the gateway waits."""
        pairs = ",".join(
            [f"{name}={timeout_ms if name == 'd' else value}" for name, value in self.pairs.items()]
        )
        words: list[bytes | memoryview] = [
            *self.words[:PAIRS_INDEX],
            pairs.encode(),
            *self.words[PAIRS_INDEX + 1 :],
        ]
        return resp.encode_command(words)


def _parse_pairs(word: memoryview) -> dict[str, str]:
    try:
        text = str(word, "utf-8")  # the settings are JSON, so names of classes and plans may be non-ASCII
    except UnicodeDecodeError:
        raise InvalidCommandError("names and values must be UTF-8") from None
    if text.count(",") >= MAX_PAIRS:
        raise InvalidCommandError(f"a command has at most {MAX_PAIRS} names and values")
    pairs: dict[str, str] = {}
    for item in text.split(","):
        name, equals, value = item.partition("=")
        if not name or not equals or name in pairs:
            raise InvalidCommandError("names and values must be name=value, each name once")
        pairs[name] = value
    return pairs


def _matching_value(pairs: dict[str, str], name: str, pattern: re.Pattern[str], default: str = "") -> str:
    value = pairs.get(name, default)
    if not pattern.fullmatch(value):
        raise InvalidCommandError(f"{name} is missing or malformed")
    return value


def _parse_customer(word: memoryview) -> str:
    customer = bytes(word).decode("latin-1")
    if not HEX_ID_PATTERN.fullmatch(customer) or int(customer, 16) >= MAX_CUSTOMERS:
        raise InvalidCommandError("the customer must be 16 hex digits, a number below 2^33")
    return customer


def _parse_request_id(word: memoryview) -> str:
    request_id = bytes(word).decode("latin-1")
    if not HEX_ID_PATTERN.fullmatch(request_id):
        raise InvalidCommandError("the request's id must be 16 hex digits")
    return request_id


def parse_request(words: Sequence[memoryview]) -> ParsedRequest:
    """Parse a client's command.

    Raises:
        InvalidCommandError: the command is not a request, or a part of it is malformed.
    """
    verb = bytes(words[0]).upper()
    if verb not in (QUERY, SUBMIT):
        raise InvalidCommandError("unknown command")
    if len(words) not in ((4,) if verb == QUERY else (4, 5)):
        raise InvalidCommandError("wrong number of words")
    customer = _parse_customer(words[1])
    request_id = _parse_request_id(words[2])
    pairs = _parse_pairs(words[PAIRS_INDEX])
    timeout_ms = float(_matching_value(pairs, "d", DURATION_PATTERN))
    if timeout_ms <= 0:
        raise InvalidCommandError("d is missing or malformed")
    if "k" in pairs and not HEX_ID_PATTERN.fullmatch(pairs["k"]):
        raise InvalidCommandError("k must be 16 hex digits")
    return ParsedRequest(
        request_id=request_id,
        request_class=pairs.get("c", ""),
        plan=pairs.get("t", ""),
        customer=customer,
        timeout_ms=timeout_ms,
        units=float(_matching_value(pairs, "units", UNITS_PATTERN, "1")),
        gateway_set_size=int(_matching_value(pairs, "spread", COUNT_PATTERN, "1")),
        gateway_set_offset=int(_matching_value(pairs, "first", COUNT_PATTERN, "0")),
        is_retry=pairs.get("r") == "1",
        has_idempotency_key=bool(pairs.get("k")),
        is_query=verb == QUERY,
        message=CommandMessage(words, pairs),
    )


def _parse_cost(usage: resp.Reply) -> float:
    """Return the true units from a usage report such as `used=37,cost=4`; 0 if it has no valid cost."""
    if isinstance(usage, memoryview):
        for item in str(usage, "latin-1").split(","):
            name, _, value = item.partition("=")
            if name == "cost" and UNITS_PATTERN.fullmatch(value):
                return float(value)
    return 0.0


def parse_attempt_result(reply: resp.Reply) -> AttemptResult:
    """Return the result of an attempt from the endpoint's reply.

    Raises:
        resp.ProtocolError: the reply has an unexpected type.
    """
    match reply:
        case [memoryview() as value, *extra_items]:  # the value is valid whatever follows it
            return AttemptResult(
                AttemptStatus.OK, value, _parse_cost(extra_items[0] if extra_items else None)
            )
        case resp.ErrorReply(text):
            is_full = text.split(" ", 1)[0] == "BUSY"
            return AttemptResult(AttemptStatus.FULL if is_full else AttemptStatus.ERROR)
    raise resp.ProtocolError(
        f"expected an error reply or an array that begins with a bulk string, got {type(reply).__name__}"
    )


def encode_rejection(retry_after_ms: float) -> bytes:
    """Encode a rejection; a `retry_after_ms` of 0 is omitted."""
    return resp.encode_error(f"BUSY {max(1, round(retry_after_ms))}" if retry_after_ms > 0 else "BUSY")
