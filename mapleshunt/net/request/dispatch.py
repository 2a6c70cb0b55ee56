"""Dispatch: send one attempt to one endpoint, and report exactly how it ended.

An attempt may have run once its last byte was written; before that it cannot have run, whether it failed or
was cancelled. Retries depend on this distinction.
"""

from __future__ import annotations

from collections.abc import Callable

from ..messages import AttemptResult
from ..reasons import AttemptStatus
from ..upstream.connection import UpstreamConnection
from ..upstream.endpoint_group import EndpointGroup
from ..upstream.errors import ConnectionLostError, DialError, UpstreamError
from .context import Attempt, RequestContext

# Called immediately before the first byte is written, with the timeout in ms that is sent to the endpoint.
BeforeWrite = Callable[[RequestContext, Attempt, UpstreamConnection, float], None]

MIN_TIMEOUT_MS = 1  # the timeout is sent in whole ms; less would be sent as 0
# Fraction of the remaining time within which a started reply must be complete; the other part allows a retry.
REPLY_TIME_FRACTION = 0.5


def _skip_check(*_arguments: object) -> None:
    pass


async def dispatch(
    context: RequestContext,
    attempt: Attempt,
    group: EndpointGroup,
    now: Callable[[], float],
    before_write: BeforeWrite = _skip_check,
    is_at_most_once: bool = False,
) -> AttemptResult:
    """Send the attempt and wait for its reply. `now` is the driver's clock, in ms.

    With `is_at_most_once` its request must not run twice, nor be answered by what belongs to another.

    The timeout sent to the endpoint is the time left after connecting. Cancelling this coroutine leaves the
    connection open; `Attempt.cancel` closes it, which ends the wait.
    """

    def may_send() -> bool:
        """Return whether the attempt may still be sent.

        Connecting and loop iterations take time: since the decision the client may have disconnected, the
        endpoint may be draining, or the retry window or the deadline may have passed.
        """
        now_ms = now()
        is_wanted = context.awaiting_response and attempt.cancel_status is None
        in_time = attempt.deadline - now_ms >= MIN_TIMEOUT_MS and now_ms < attempt.send_before
        return is_wanted and in_time and group.may_send(attempt.endpoint)

    try:
        if not may_send():
            return AttemptResult(AttemptStatus.UNSENT)
        connection = group.take_idle(attempt.endpoint, is_at_most_once)
        if connection is None:
            connection = group.new_connection(attempt.endpoint)
            attempt.connection = connection
            await connection.connect()
        attempt.connection = connection
        if not may_send() or not group.is_current(connection):
            group.release(connection)
            return AttemptResult(AttemptStatus.UNSENT)
        assert context.message is not None  # the response is awaited
        timeout_ms = attempt.deadline - now()
        before_write(context, attempt, connection, timeout_ms)
        result = await connection.exchange(
            context.message.encode(int(timeout_ms)),
            lambda: group.counters.add_for_class("upstream_requests", context.request.request_class),
            timeout_ms * REPLY_TIME_FRACTION / 1000,
        )
    except UpstreamError as error:
        return AttemptResult(_status_after(attempt, error))
    group.release(connection)
    return result


def _status_after(attempt: Attempt, error: UpstreamError) -> AttemptStatus:
    """Return the status of an attempt that failed with this error."""
    is_cancelled = attempt.cancel_status is not None
    if isinstance(error, ConnectionLostError) and error.was_written:
        return attempt.cancel_status or AttemptStatus.RESET
    if isinstance(error, ConnectionLostError) or (isinstance(error, DialError) and not error.is_local):
        return AttemptStatus.UNSENT if is_cancelled else AttemptStatus.UNREACHABLE
    return AttemptStatus.UNSENT
