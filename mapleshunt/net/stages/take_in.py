"""Take in: check what a request says against the settings, and make its context."""

from __future__ import annotations

from ... import interface as i
from ..context import Answer, Intake, RequestContext


class Unacceptable(Exception):
    """The request is not one the settings know; nothing of it is sent on."""


def take_in(intake: Intake, answer: Answer, settings: i.Settings, ref: int, now: float) -> RequestContext:
    cls = settings.classes.get(intake.cls)
    if cls is None:
        raise Unacceptable("unknown class")
    if intake.plan not in settings.plans:
        raise Unacceptable("unknown plan")
    if intake.query != (cls.effect == "safe"):
        raise Unacceptable("this class goes by the other command")
    if cls.effect == "keyed" and not intake.key:
        raise Unacceptable("this class needs a key")
    request = i.Request(
        ref=ref,
        cls=intake.cls,
        plan=intake.plan,
        customer=intake.customer,
        patience=intake.patience,
        units=intake.units or 1.0,
        spread=max(1, intake.spread),
        first=intake.first % settings.instances,
        retry=intake.retry,
    )
    return RequestContext(ref, request, intake.message, answer, now)
