"""Dispatch: send one attempt to one endpoint, and report exactly how it ended.

Whether an attempt may have run decides if it may be retried: it may have, once its last byte was written.
Before that it never ran, whatever broke or was cancelled.
"""

from __future__ import annotations

from collections.abc import Callable

from ..messages import AttemptResult
from ..reasons import AttemptStatus
from ..upstream.connection import UpstreamConnection
from ..upstream.endpoint_group import EndpointGroup
from ..upstream.errors import ConnectionLostError, DialError, UpstreamError
from .context import Attempt, RequestContext

# Called right before the first byte is written, with the timeout in ms that the endpoint gets.
BeforeWrite = Callable[[RequestContext, Attempt, UpstreamConnection, float], None]

MIN_TIMEOUT_MS = 1  # an endpoint gets whole ms: with less left it would have no time at all
# Part of the time left in which a reply that has begun must be complete: the rest is left for a retry.
REPLY_TIME_PART = 0.5


def _check_nothing(*_arguments: object) -> None:
    pass


async def dispatch(
    context: RequestContext,
    attempt: Attempt,
    group: EndpointGroup,
    now: Callable[[], float],
    before_write: BeforeWrite = _check_nothing,
) -> AttemptResult:
    """Send the attempt and wait for its reply. `now` is the driver's clock, in ms.

    The endpoint gets the timeout that is left once it is connected, since dialling takes time. Cancelling
    this coroutine leaves the connection open; `Attempt.cancel` closes it and ends the wait.
    """

    def may_send() -> bool:
        """Check once more before bytes go out.

        A dial takes time, and so does a turn of the loop: since the decision the client may have
        disconnected, the endpoint drained, the window for retries or the deadline passed.
        """
        time = now()
        is_wanted = context.awaiting_response and attempt.cancel_status is None
        in_time = attempt.deadline - time >= MIN_TIMEOUT_MS and time < attempt.send_before
        return is_wanted and in_time and group.may_send(attempt.endpoint)

    try:
        if not may_send():
            return AttemptResult(AttemptStatus.UNSENT)
        connection = group.take_idle(attempt.endpoint)
        if connection is None:
            connection = group.new_connection(attempt.endpoint)
            attempt.connection = connection
            await connection.connect()
        attempt.connection = connection
        if not may_send() or not group.is_current(connection):
            group.release(connection)
            return AttemptResult(AttemptStatus.UNSENT)
        timeout_ms = attempt.deadline - now()
        before_write(context, attempt, connection, timeout_ms)
        result = await connection.exchange(
            context.message.encode(int(timeout_ms)),
            lambda: group.counters.add_for_class("upstream_requests", context.request.request_class),
            timeout_ms * REPLY_TIME_PART / 1000,
        )
    except UpstreamError as error:
        return AttemptResult(_status_after(attempt, error))
    group.release(connection)
    return result


def _status_after(attempt: Attempt, error: UpstreamError) -> AttemptStatus:
    """Return how an attempt ended that met this error."""
    is_cancelled = attempt.cancel_status is not None
    if isinstance(error, ConnectionLostError) and error.was_written:
        return attempt.cancel_status or AttemptStatus.RESET
    if isinstance(error, ConnectionLostError) or (isinstance(error, DialError) and not error.is_local):
        return AttemptStatus.UNSENT if is_cancelled else AttemptStatus.UNREACHABLE
    return AttemptStatus.UNSENT
