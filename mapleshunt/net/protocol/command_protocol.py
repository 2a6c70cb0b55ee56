"""The `SVC` commands on RESP: a client's request, the command to a till server, and its reply."""

from __future__ import annotations

import re
from collections.abc import Sequence

from ..messages import AttemptResult, ParsedRequest
from ..reasons import AttemptStatus
from . import resp

QUERY, SUBMIT = b"SVC.QUERY", b"SVC.SUBMIT"
HEX_ID_FORM = re.compile(r"[0-9a-f]{16}")
MAX_CUSTOMERS = 1 << 33  # a till server refuses a customer's number from here on
DURATION_FORM = re.compile(r"[0-9]{1,7}(\.[0-9]{1,6})?")
UNITS_FORM = re.compile(r"[0-9]{1,6}(\.[0-9]{1,6})?")
COUNT_FORM = re.compile(r"[0-9]{1,6}")


class InvalidCommandError(Exception):
    """A whole command that asks for nothing this gateway does; its text goes to the client."""


class CommandMessage:
    """A client's words. Nothing but `d` changes on the way."""

    __slots__ = ("pairs", "words")

    def __init__(self, words: Sequence[memoryview], pairs: dict[str, str]) -> None:
        self.words, self.pairs = words, pairs

    def encode(self, wait: int) -> bytes:
        pairs = ",".join([f"{name}={wait if name == 'd' else value}" for name, value in self.pairs.items()])
        return resp.encode_command([*self.words[:3], pairs.encode(), *self.words[4:]])


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


def parse_request(words: Sequence[memoryview]) -> ParsedRequest:
    """Read a request. Raises `BadCommand`."""
    verb = bytes(words[0]).upper()
    if verb not in (QUERY, SUBMIT):
        raise InvalidCommandError("unknown command")
    if len(words) not in ((4,) if verb == QUERY else (4, 5)):
        raise InvalidCommandError("wrong number of words")
    customer = bytes(words[1]).decode("latin-1")
    if not HEX_ID_FORM.fullmatch(customer) or int(customer, 16) >= MAX_CUSTOMERS:
        raise InvalidCommandError("the customer must be 16 hex digits, a number below 2^33")
    request = bytes(words[2]).decode("latin-1")
    if not HEX_ID_FORM.fullmatch(request):
        raise InvalidCommandError("the request's id must be 16 hex digits")
    pairs = _pairs(words[3])
    patience = float(_figure(pairs, "d", DURATION_FORM))
    if patience <= 0:
        raise InvalidCommandError("d is missing or malformed")
    if "k" in pairs and not HEX_ID_FORM.fullmatch(pairs["k"]):
        raise InvalidCommandError("k must be 16 hex digits")
    return ParsedRequest(
        request_id=request,
        cls=pairs.get("c", ""),
        plan=pairs.get("t", ""),
        customer=customer,
        timeout_ms=patience,
        units=float(_figure(pairs, "units", UNITS_FORM, "1")),
        spread=int(_figure(pairs, "spread", COUNT_FORM, "1")),
        first=int(_figure(pairs, "first", COUNT_FORM, "0")),
        is_retry=pairs.get("r") == "1",
        has_idempotency_key=bool(pairs.get("k")),
        is_query=verb == QUERY,
        message=CommandMessage(words, pairs),
    )


def _cost(figures: resp.Reply) -> float:
    """The true units in figures on use such as `used=37,cost=4`; 0 if they do not tell."""
    if isinstance(figures, memoryview):
        for item in str(figures, "latin-1").split(","):
            name, _, value = item.partition("=")
            if name == "cost" and UNITS_FORM.fullmatch(value):
                return float(value)
    return 0.0


def parse_attempt_result(reply: resp.Reply) -> AttemptResult:
    """How a try ended that a till server replied to. Raises `resp.ProtocolError`."""
    match reply:
        case [memoryview() as value, *more]:  # whatever the rest is like, the value is good
            return AttemptResult(AttemptStatus.OK, value, _cost(more[0] if more else None))
        case resp.ErrorReply(text):
            return AttemptResult(
                AttemptStatus.FULL if text.split(" ", 1)[0] == "BUSY" else AttemptStatus.ERROR
            )
    raise resp.ProtocolError("a till server's reply has none of the known forms")


def encode_rejection(wait: float) -> bytes:
    return resp.encode_error(f"BUSY {max(1, round(wait))}" if wait > 0 else "BUSY")


FAILURE_REPLY = resp.encode_error("ERR failed")
