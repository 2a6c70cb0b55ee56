"""Dispatch: send one attempt to one endpoint, and tell exactly how it ended."""

from __future__ import annotations

from collections.abc import Callable

from ..messages import AttemptResult
from ..reasons import AttemptStatus
from ..upstream.connection import UpstreamConnection
from ..upstream.endpoint_group import EndpointGroup
from ..upstream.errors import ConnectionLostError, DialError, NoConnectionAvailableError
from .context import Attempt, RequestContext

# Called right before the first byte is written, with the timeout in ms that the endpoint is told.
BeforeWrite = Callable[[RequestContext, Attempt, UpstreamConnection, float], None]

MIN_TIMEOUT_MS = 1  # an endpoint is told whole ms: with less left there is nothing to tell
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
    """Send the attempt and wait for its reply.

    The endpoint is told for how long the gateway waits once it is connected, since dialling takes time.
    Whether an attempt may have run decides if it may be retried: it may have, once its last byte was
    written. Before that it never ran, whatever broke or was cancelled.

    Cancelling this coroutine leaves the connection open; `Attempt.cancel` closes it and ends the wait.

    Args:
        context: the request.
        attempt: its attempt, which gets the connection.
        group: the endpoints and the connections to them.
        now: the driver's clock, in ms.
        before_write: called before the first byte is written.
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
    except NoConnectionAvailableError:
        return AttemptResult(AttemptStatus.UNSENT)
    except DialError as error:
        return AttemptResult(_status_after_dial(attempt, error))
    except ConnectionLostError as error:
        return AttemptResult(_status_after_loss(attempt, error))
    group.release(connection)
    return result


def _status_after_dial(attempt: Attempt, error: DialError) -> AttemptStatus:
    if error.is_local or attempt.cancel_status is not None:
        return AttemptStatus.UNSENT
    return AttemptStatus.UNREACHABLE


def _status_after_loss(attempt: Attempt, error: ConnectionLostError) -> AttemptStatus:
    if attempt.cancel_status is not None:
        return attempt.cancel_status if error.was_written else AttemptStatus.UNSENT
    return AttemptStatus.RESET if error.was_written else AttemptStatus.UNREACHABLE
