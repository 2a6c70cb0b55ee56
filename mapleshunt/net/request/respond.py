"""Relay: the one final answer to the client."""

from __future__ import annotations

from ..counters import Counters
from .context import RequestContext


def serve(context: RequestContext, value: memoryview, counters: Counters) -> None:
    if context.end():
        context.final = "served"
        counters.add("answers_served")
        counters.add_class("completed", context.request.request_class)
        context.answer.serve(value)


def reject(context: RequestContext, wait: float, counters: Counters) -> None:
    if context.end():
        context.final = "refused"
        counters.add("answers_rejected")
        counters.add_class("rejected", context.request.request_class)
        context.answer.reject(wait)


def fail(context: RequestContext, counters: Counters) -> None:
    if context.end():
        context.final = "failed"
        counters.add("answers_failed")
        counters.add_class("failed", context.request.request_class)
        context.answer.fail()
