"""From a command on a client connection to a request that is parsed and admitted."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import Protocol

from ..counters import Counters
from ..messages import ParsedRequest, ResponseSink
from ..policy_driver import PolicyDriver
from ..protocol import command_protocol
from ..request.admit import admit
from ..request.context import RequestContext
from ..request.parse import parse
from . import limits

MIN_TIMEOUT_MS = 1.0  # what a request keeps whose time is up: the policy then rejects it


class RequestRegistry(Protocol):
    """What the requests of all client connections share."""

    driver: PolicyDriver
    counters: Counters
    max_open_requests: int
    request_ids: Iterator[int]
    open_client_ids: set[str]
    final_deadline: float
    rejecting_new_requests: bool


def parse_command(
    registry: RequestRegistry, words: list[memoryview], sink: ResponseSink, arrived_at: float, now: float
) -> RequestContext:
    """Make the context of a request from its command; the times are s on the loop's clock.

    Raises:
        InvalidCommandError: the command is no request.
        UnacceptableRequestError: the settings know no such request.
    """
    driver = registry.driver
    parsed = _with_time_left(command_protocol.parse_request(words), arrived_at, now, registry.final_deadline)
    request_id = next(registry.request_ids)
    return parse(parsed, sink, driver.settings, request_id, driver.now(), registry.open_client_ids)


def _with_time_left(
    parsed: ParsedRequest, arrived_at: float, now: float, final_deadline: float
) -> ParsedRequest:
    """Take off the time that a request waited behind others, or has no process to serve it."""
    waited_ms = (now - arrived_at) * 1000
    time_left_ms = min(parsed.timeout_ms - waited_ms, (final_deadline - now) * 1000)
    if time_left_ms <= parsed.timeout_ms - 1:
        return replace(parsed, timeout_ms=max(MIN_TIMEOUT_MS, time_left_ms))
    return parsed


def admit_request(registry: RequestRegistry, context: RequestContext, is_first: bool) -> None:
    """Admit a request; while new ones are rejected, only if it is its connection's first.

    A client that goes on sending would otherwise keep a draining connection open for ever.
    """
    retry_after_ms = 0.0
    if registry.rejecting_new_requests and not is_first:
        registry.counters.add("rejected_last_call")
        retry_after_ms = limits.IMMEDIATE_RETRY_AFTER_MS
    admit(context, registry.driver, registry.max_open_requests, retry_after_ms)
