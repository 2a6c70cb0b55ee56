"""Send: one try at one till server, and the exact word for how it ended."""

from __future__ import annotations

from collections.abc import Callable

from ..upstream.endpoint_group import (
    ConnectionLostError,
    DialError,
    EndpointGroup,
    NoConnectionAvailableError,
    UpstreamConnection,
)
from .context import Attempt, AttemptResult, RequestContext

# Called with the time that the server is told, right before the first byte is written.
BeforeWrite = Callable[[RequestContext, Attempt, UpstreamConnection, float], None]


async def dispatch(
    context: RequestContext,
    attempt: Attempt,
    group: EndpointGroup,
    now: Callable[[], float],
    check: BeforeWrite = lambda context, attempt, connection, passed_on: None,
) -> AttemptResult:
    """The till server is told for how long the gateway will wait once it is connected: dialling takes time.

    Whether a try may have run decides if it may be repeated. It may have, once its last byte was written;
    before that it never ran, whatever broke or was given up.
    """

    def wanted() -> bool:
        """The one check before bytes go out. A dial takes time, and so does a turn of the loop: since the
        decision its client may have left, its server be told to drain, its window or its patience have ended.
        """
        time = now()
        going = context.awaiting_response and attempt.cancel_status is None and attempt.deadline - time >= 1
        return going and time < attempt.send_before and group.may_send(attempt.server)

    try:
        if not wanted():
            return AttemptResult("unsent")
        connection = group.take_idle(attempt.server)
        if connection is None:
            connection = group.new_connection(attempt.server)
            attempt.connection = connection
            await connection.connect()
        attempt.connection = connection
        if not wanted() or not group.is_current(connection):
            group.release(connection)
            return AttemptResult("unsent")
        left = attempt.deadline - now()
        check(context, attempt, connection, left)
        reply = await connection.exchange(
            context.message.encode(int(left)),
            lambda: group.counters.add_for_class("upstream_requests", context.request.request_class),
            left / 2000,
        )
    except NoConnectionAvailableError:
        return AttemptResult("unsent")
    except DialError as failed:
        return AttemptResult("unsent" if failed.local or attempt.cancel_status is not None else "unreachable")
    except ConnectionLostError as lost:
        if attempt.cancel_status is not None:
            return AttemptResult(attempt.cancel_status if lost.written else "unsent")
        return AttemptResult("reset" if lost.written else "unreachable")
    group.release(connection)
    return reply
