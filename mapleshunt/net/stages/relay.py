"""Relay: the one final answer to the client."""

from __future__ import annotations

from ..context import RequestContext
from ..counters import Counters


def serve(context: RequestContext, value: memoryview, counters: Counters) -> None:
    if context.end():
        context.final = "served"
        counters.add("answers_served")
        context.answer.serve(value)


def reject(context: RequestContext, wait: float, counters: Counters) -> None:
    if context.end():
        context.final = "refused"
        counters.add("answers_rejected")
        context.answer.reject(wait)


def fail(context: RequestContext, counters: Counters) -> None:
    if context.end():
        context.final = "failed"
        counters.add("answers_failed")
        context.answer.fail()
