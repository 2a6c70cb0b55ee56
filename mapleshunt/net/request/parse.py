"""Take in: check what a request says against the settings, and make its context."""

from __future__ import annotations

from ...policy import RequestReceived, Settings
from .context import Answer, Intake, RequestContext


class Unacceptable(Exception):
    """The request is not one the settings know; nothing of it is sent on."""


def take_in(
    intake: Intake, answer: Answer, settings: Settings, ref: int, now: float, ids: set[str]
) -> RequestContext:
    """`ids` are those of the open requests; the new one's is added to them.

    A till server would refuse what is out of range, or close on it; a second request under an open one's
    id would be a second attempt of that, out beside the first.
    """
    cls = settings.classes.get(intake.cls)
    if cls is None:
        raise Unacceptable("unknown class")
    if intake.plan not in settings.plans:
        raise Unacceptable("unknown plan")
    if intake.query != (cls.effect == "safe"):
        raise Unacceptable("this class goes by the other command")
    if cls.effect == "keyed" and not intake.key:
        raise Unacceptable("this class needs a key")
    if not 0 < intake.units <= settings.max_request_units:
        raise Unacceptable("units are out of range")
    if not (1 <= intake.spread <= settings.gateway_count and 0 <= intake.first < settings.gateway_count):
        raise Unacceptable("the customer's set is out of range")
    if intake.id in ids:
        raise Unacceptable("a request of this id is open")
    request = RequestReceived(
        request_id=ref,
        request_class=intake.cls,
        plan=intake.plan,
        customer=intake.customer,
        remaining_time=intake.patience,
        units=intake.units,
        gateway_set_size=intake.spread,
        gateway_set_offset=intake.first,
        is_retry=intake.retry,
    )
    ids.add(intake.id)
    return RequestContext(ref, request, intake.message, answer, now, intake.id, ids)
