"""Parse: validate a request's fields against the settings, and create its context."""

from __future__ import annotations

from ...policy import RequestClass, RequestReceived, Settings
from ..messages import ParsedRequest, ResponseSink
from .client_ids import ClientRequestIds
from .context import RequestContext


class UnacceptableRequestError(Exception):
    """The settings do not allow the request, which is not forwarded. The text is sent to the client."""


def parse(
    parsed: ParsedRequest,
    response_sink: ResponseSink,
    settings: Settings,
    request_id: int,
    now: float,
    client_ids: ClientRequestIds,
) -> RequestContext:
    """Return the context of a request.

    Args:
        parsed: the request's fields.
        response_sink: receives its response.
        settings: the classes, plans and limits that it is checked against.
        request_id: identifies it to the policy.
        now: ms on the driver's clock.
        client_ids: client request IDs that are in use; its own is added.

    Raises:
        UnacceptableRequestError: the settings do not allow the request, or a request with its client request
            ID is open, of which it would be a concurrent second attempt.
    """
    request_class = settings.classes.get(parsed.request_class)
    if request_class is None:
        raise UnacceptableRequestError("unknown class")
    _check(parsed, request_class, settings)
    if client_ids.is_in_use(parsed.request_id, now):
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
    client_ids.add(parsed.request_id)
    return RequestContext(
        request_id, request, parsed.message, response_sink, now, parsed.request_id, client_ids
    )


def _check(parsed: ParsedRequest, request_class: RequestClass, settings: Settings) -> None:
    """Raise UnacceptableRequestError if an endpoint would reject the request or close its connection."""
    if parsed.plan not in settings.plans:
        raise UnacceptableRequestError("unknown plan")
    if parsed.is_query != (request_class.effect == "safe"):
        raise UnacceptableRequestError("this class goes by the other command")
    if request_class.effect == "keyed" and not parsed.has_idempotency_key:
        raise UnacceptableRequestError("this class needs a key")
    if not 0 < parsed.units <= settings.max_request_units:
        raise UnacceptableRequestError("units are out of range")
    if not (
        1 <= parsed.gateway_set_size <= settings.gateway_count
        and 0 <= parsed.gateway_set_offset < settings.gateway_count
    ):
        raise UnacceptableRequestError("the customer's set is out of range")
