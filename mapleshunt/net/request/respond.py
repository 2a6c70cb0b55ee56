"""Relay: the one final answer to the client."""

from __future__ import annotations

from ..counters import Counters
from .context import RequestContext


def serve(context: RequestContext, value: memoryview, counters: Counters) -> None:
    if context.claim_response():
        context.final_result = "served"
        counters.add("answers_served")
        counters.add_for_class("completed", context.request.request_class)
        context.response_sink.serve(value)


def reject(context: RequestContext, wait: float, counters: Counters) -> None:
    if context.claim_response():
        context.final_result = "refused"
        counters.add("answers_rejected")
        counters.add_for_class("rejected", context.request.request_class)
        context.response_sink.reject(wait)


def fail(context: RequestContext, counters: Counters) -> None:
    if context.claim_response():
        context.final_result = "failed"
        counters.add("answers_failed")
        counters.add_for_class("failed", context.request.request_class)
        context.response_sink.fail()
