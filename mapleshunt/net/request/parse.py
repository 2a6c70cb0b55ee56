"""Parse: check what a request says of itself against the settings, and make its context."""

from __future__ import annotations

from ...policy import RequestClass, RequestReceived, Settings
from ..messages import ParsedRequest, ResponseSink
from .context import RequestContext


class UnacceptableRequestError(Exception):
    """The request contradicts the settings; nothing of it is forwarded. The text goes to the client."""


def parse(
    parsed: ParsedRequest,
    response_sink: ResponseSink,
    settings: Settings,
    request_id: int,
    now: float,
    open_client_ids: set[str],
) -> RequestContext:
    """Make the context of a request.

    Args:
        parsed: what the request says of itself.
        response_sink: where its response goes.
        settings: the classes, plans and bounds that it is checked against.
        request_id: the number by which the policy is to know it.
        now: ms on the driver's clock.
        open_client_ids: the clients' ids of the open requests; this one's is added to them.

    Raises:
        UnacceptableRequestError: the settings do not know such a request, or its client's id is that of an
        open
            one, of which it would be a second attempt beside the first.
    """
    cls = settings.classes.get(parsed.request_class)
    if cls is None:
        raise UnacceptableRequestError("unknown class")
    _check(parsed, cls, settings)
    if parsed.request_id in open_client_ids:
        raise UnacceptableRequestError("a request of this id is open")
    request = RequestReceived(
        request_id=request_id,
        request_class=parsed.request_class,
        plan=parsed.plan,
        customer=parsed.customer,
        remaining_time=parsed.timeout_ms,
        units=parsed.units,
        gateway_set_size=parsed.gateway_set_size,
        gateway_set_offset=parsed.gateway_set_offset,
        is_retry=parsed.is_retry,
    )
    open_client_ids.add(parsed.request_id)
    return RequestContext(
        request_id, request, parsed.message, response_sink, now, parsed.request_id, open_client_ids
    )


def _check(parsed: ParsedRequest, cls: RequestClass, settings: Settings) -> None:
    """Raise UnacceptableRequestError for what an endpoint would reject, or close its connection on."""
    if parsed.plan not in settings.plans:
        raise UnacceptableRequestError("unknown plan")
    if parsed.is_query != (cls.effect == "safe"):
        raise UnacceptableRequestError("this class goes by the other command")
    if cls.effect == "keyed" and not parsed.has_idempotency_key:
        raise UnacceptableRequestError("this class needs a key")
    if not 0 < parsed.units <= settings.max_request_units:
        raise UnacceptableRequestError("units are out of range")
    if not (
        1 <= parsed.gateway_set_size <= settings.gateway_count
        and 0 <= parsed.gateway_set_offset < settings.gateway_count
    ):
        raise UnacceptableRequestError("the customer's set is out of range")
