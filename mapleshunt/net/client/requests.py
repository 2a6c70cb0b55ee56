"""Turns a command on a client connection into a request, and admits it."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

from ...lifecycle.lifecycle import DrainStage
from ..counters import Counters
from ..messages import ParsedRequest, ResponseSink
from ..policy_driver import PolicyDriver
from ..protocol import command_protocol
from ..request.admit import admit
from ..request.client_ids import ClientRequestIds
from ..request.context import RequestContext
from ..request.parse import parse
from . import limits

MIN_TIMEOUT_MS = 1.0  # lower bound for a request whose time is used up; the policy then rejects it

if TYPE_CHECKING:  # a protocol class costs memory in every gateway

    class RequestRegistry(Protocol):
        """State shared by the requests of all client connections."""

        driver: PolicyDriver
        counters: Counters
        max_open_requests: int
        request_ids: Iterator[int]
        client_ids: ClientRequestIds
        final_deadline: float
        drain_stage: DrainStage


def parse_command(
    registry: RequestRegistry, words: list[memoryview], sink: ResponseSink, arrived_at: float, now: float
) -> RequestContext:
    """Return the context of a command's request. Times are seconds on the loop's clock.

    Raises:
        InvalidCommandError: the command is not a valid request.
        UnacceptableRequestError: the settings do not allow the request.
    """
    driver = registry.driver
    parsed = _deduct_wait(command_protocol.parse_request(words), arrived_at, now, registry.final_deadline)
    request_id = next(registry.request_ids)
    return parse(parsed, sink, driver.settings, request_id, driver.now(), registry.client_ids)


def _deduct_wait(
    parsed: ParsedRequest, arrived_at: float, now: float, final_deadline: float
) -> ParsedRequest:
    """Reduce the timeout by the time waited, and end it before this process stops at `final_deadline`."""
    waited_ms = (now - arrived_at) * 1000
    time_left_ms = min(parsed.timeout_ms - waited_ms, (final_deadline - now) * 1000)
    if time_left_ms <= parsed.timeout_ms - 1:
        return replace(parsed, timeout_ms=max(MIN_TIMEOUT_MS, time_left_ms))
    return parsed


def admit_request(
    registry: RequestRegistry, context: RequestContext, is_first: bool, has_memory: bool
) -> None:
    """Admit a request, or reject it if there is no memory for it.

    Late in a drain only the first one of a connection is admitted: otherwise a client that keeps sending
    would hold a draining connection open indefinitely.
    """
    retry_after_ms = 0.0
    if not has_memory:
        registry.counters.add("rejected_memory")
        retry_after_ms = registry.driver.settings.max_retry_after
    elif registry.drain_stage >= DrainStage.REJECT_FURTHER and not is_first:
        registry.counters.add("rejected_last_call")
        retry_after_ms = limits.IMMEDIATE_RETRY_AFTER_MS
    admit(context, registry.driver, registry.max_open_requests, retry_after_ms)
