"""Respond: send and count a request's single final response. Later calls for a request do nothing."""

from __future__ import annotations

from ..counters import Counters
from ..reasons import RequestResult
from .context import RequestContext


def serve(context: RequestContext, value: memoryview, counters: Counters) -> None:
    """Send the value from an endpoint's reply."""
    if context.claim_response():
        context.final_result = RequestResult.SERVED
        counters.add("answers_served")
        counters.add_for_class("completed", context.request.request_class)
        context.response_sink.serve(value)


def reject(context: RequestContext, retry_after_ms: float, counters: Counters) -> None:
    """Reject the request, which may be retried after `retry_after_ms`."""
    if context.claim_response():
        context.final_result = RequestResult.REJECTED
        counters.add("answers_rejected")
        counters.add_for_class("rejected", context.request.request_class)
        context.response_sink.reject(retry_after_ms)


def fail(context: RequestContext, counters: Counters) -> None:
    """Report failure, without promising that the request did not run."""
    if context.claim_response():
        context.final_result = RequestResult.FAILED
        counters.add("answers_failed")
        counters.add_for_class("failed", context.request.request_class)
        context.response_sink.fail()
