"""The `SVC` commands on RESP: a client's request, the command to an endpoint, and its reply."""

from __future__ import annotations

import re
from collections.abc import Sequence

from ..messages import AttemptResult, ParsedRequest
from ..reasons import AttemptStatus
from . import resp

QUERY, SUBMIT = b"SVC.QUERY", b"SVC.SUBMIT"
PAIRS_INDEX = 3  # of the word with the name=value pairs
HEX_ID_FORM = re.compile(r"[0-9a-f]{16}")
MAX_CUSTOMERS = 1 << 33  # an endpoint rejects a customer's number from here on
DURATION_FORM = re.compile(r"[0-9]{1,7}(\.[0-9]{1,6})?")
UNITS_FORM = re.compile(r"[0-9]{1,6}(\.[0-9]{1,6})?")
COUNT_FORM = re.compile(r"[0-9]{1,6}")
FAILURE_REPLY = resp.encode_error("ERR failed")


class InvalidCommandError(Exception):
    """A complete command that asks for nothing this gateway does; the text goes to the client."""


class CommandMessage:
    """A client's command, to be forwarded. Nothing but the time limit `d` changes on the way."""

    __slots__ = ("pairs", "words")

    def __init__(self, words: Sequence[memoryview], pairs: dict[str, str]) -> None:
        """Keep the command's words, and its name=value pairs in their order."""
        self.words, self.pairs = words, pairs

    def encode(self, timeout_ms: int) -> bytes:
        """Return the command for an endpoint, with the time for which the gateway waits."""
        pairs = ",".join(
            [f"{name}={timeout_ms if name == 'd' else value}" for name, value in self.pairs.items()]
        )
        words: list[bytes | memoryview] = [
            *self.words[:PAIRS_INDEX],
            pairs.encode(),
            *self.words[PAIRS_INDEX + 1 :],
        ]
        return resp.encode_command(words)


def _pairs(word: memoryview) -> dict[str, str]:
    try:
        text = str(word, "utf-8")  # classes and plans are named as the settings, a JSON text, name them
    except UnicodeDecodeError:
        raise InvalidCommandError("names and values must be UTF-8") from None
    pairs: dict[str, str] = {}
    for item in text.split(","):
        name, equals, value = item.partition("=")
        if not name or not equals or name in pairs:
            raise InvalidCommandError("names and values must be name=value, each name once")
        pairs[name] = value
    return pairs


def _figure(pairs: dict[str, str], name: str, form: re.Pattern[str], default: str = "") -> str:
    value = pairs.get(name, default)
    if not form.fullmatch(value):
        raise InvalidCommandError(f"{name} is missing or malformed")
    return value


def _customer(word: memoryview) -> str:
    customer = bytes(word).decode("latin-1")
    if not HEX_ID_FORM.fullmatch(customer) or int(customer, 16) >= MAX_CUSTOMERS:
        raise InvalidCommandError("the customer must be 16 hex digits, a number below 2^33")
    return customer


def _request_id(word: memoryview) -> str:
    request_id = bytes(word).decode("latin-1")
    if not HEX_ID_FORM.fullmatch(request_id):
        raise InvalidCommandError("the request's id must be 16 hex digits")
    return request_id


def parse_request(words: Sequence[memoryview]) -> ParsedRequest:
    """Parse a client's command.

    Raises:
        InvalidCommandError: it is no request, or one of its parts is malformed.
    """
    verb = bytes(words[0]).upper()
    if verb not in (QUERY, SUBMIT):
        raise InvalidCommandError("unknown command")
    if len(words) not in ((4,) if verb == QUERY else (4, 5)):
        raise InvalidCommandError("wrong number of words")
    customer = _customer(words[1])
    request_id = _request_id(words[2])
    pairs = _pairs(words[PAIRS_INDEX])
    timeout_ms = float(_figure(pairs, "d", DURATION_FORM))
    if timeout_ms <= 0:
        raise InvalidCommandError("d is missing or malformed")
    if "k" in pairs and not HEX_ID_FORM.fullmatch(pairs["k"]):
        raise InvalidCommandError("k must be 16 hex digits")
    return ParsedRequest(
        request_id=request_id,
        request_class=pairs.get("c", ""),
        plan=pairs.get("t", ""),
        customer=customer,
        timeout_ms=timeout_ms,
        units=float(_figure(pairs, "units", UNITS_FORM, "1")),
        gateway_set_size=int(_figure(pairs, "spread", COUNT_FORM, "1")),
        gateway_set_offset=int(_figure(pairs, "first", COUNT_FORM, "0")),
        is_retry=pairs.get("r") == "1",
        has_idempotency_key=bool(pairs.get("k")),
        is_query=verb == QUERY,
        message=CommandMessage(words, pairs),
    )


def _cost(usage: resp.Reply) -> float:
    """Return the true units in figures on use such as `used=37,cost=4`; 0 if they do not name them."""
    if isinstance(usage, memoryview):
        for item in str(usage, "latin-1").split(","):
            name, _, value = item.partition("=")
            if name == "cost" and UNITS_FORM.fullmatch(value):
                return float(value)
    return 0.0


def parse_attempt_result(reply: resp.Reply) -> AttemptResult:
    """Return how an attempt ended that an endpoint replied to.

    Raises:
        resp.ProtocolError: an endpoint sends no such reply.
    """
    match reply:
        case [memoryview() as value, *more]:  # whatever the rest is like, the value is good
            return AttemptResult(AttemptStatus.OK, value, _cost(more[0] if more else None))
        case resp.ErrorReply(text):
            is_full = text.split(" ", 1)[0] == "BUSY"
            return AttemptResult(AttemptStatus.FULL if is_full else AttemptStatus.ERROR)
    raise resp.ProtocolError("an endpoint's reply has none of the known forms")


def encode_rejection(retry_after_ms: float) -> bytes:
    """Encode that a request is declined; 0 names no time for a retry."""
    return resp.encode_error(f"BUSY {max(1, round(retry_after_ms))}" if retry_after_ms > 0 else "BUSY")
