"""Take in: check what a request says against the settings, and make its context."""

from __future__ import annotations

from ...policy import RequestReceived, Settings
from .context import ParsedRequest, RequestContext, ResponseSink


class UnacceptableRequestError(Exception):
    """The request is not one the settings know; nothing of it is sent on."""


def parse(
    intake: ParsedRequest, answer: ResponseSink, settings: Settings, ref: int, now: float, ids: set[str]
) -> RequestContext:
    """`ids` are those of the open requests; the new one's is added to them.

    A till server would refuse what is out of range, or close on it; a second request under an open one's
    id would be a second attempt of that, out beside the first.
    """
    cls = settings.classes.get(intake.cls)
    if cls is None:
        raise UnacceptableRequestError("unknown class")
    if intake.plan not in settings.plans:
        raise UnacceptableRequestError("unknown plan")
    if intake.is_query != (cls.effect == "safe"):
        raise UnacceptableRequestError("this class goes by the other command")
    if cls.effect == "keyed" and not intake.has_idempotency_key:
        raise UnacceptableRequestError("this class needs a key")
    if not 0 < intake.units <= settings.max_request_units:
        raise UnacceptableRequestError("units are out of range")
    if not (1 <= intake.spread <= settings.gateway_count and 0 <= intake.first < settings.gateway_count):
        raise UnacceptableRequestError("the customer's set is out of range")
    if intake.request_id in ids:
        raise UnacceptableRequestError("a request of this id is open")
    request = RequestReceived(
        request_id=ref,
        request_class=intake.cls,
        plan=intake.plan,
        customer=intake.customer,
        remaining_time=intake.timeout_ms,
        units=intake.units,
        gateway_set_size=intake.spread,
        gateway_set_offset=intake.first,
        is_retry=intake.is_retry,
    )
    ids.add(intake.request_id)
    return RequestContext(ref, request, intake.message, answer, now, intake.request_id, ids)
