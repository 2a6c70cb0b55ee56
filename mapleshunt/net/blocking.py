"""Blocking calls, each in a thread of its own, so that the event loop goes on serving connections."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")


async def run_in_thread(call: Callable[[], Result]) -> Result:
    """Run `call` in a new thread; return what it returns, or raise what it raises.

    Cancelling it lets the call run to its end and drops the result. The thread is a daemon: a call that
    never returns does not delay the end of the process, as one in the loop's executor would.
    """
    loop = asyncio.get_running_loop()
    future: asyncio.Future[Result] = loop.create_future()

    def run() -> None:
        try:
            result = call()
        except Exception as error:
            _call_in_loop(loop, _set_exception, future, error)
        else:
            _call_in_loop(loop, _set_result, future, result)

    threading.Thread(target=run, name="blocking-call", daemon=True).start()
    return await future


# `...`: the callback's parameters, which the loop passes on.
def _call_in_loop(loop: asyncio.AbstractEventLoop, callback: Callable[..., None], *arguments: object) -> None:
    with contextlib.suppress(RuntimeError):  # the loop has been closed
        loop.call_soon_threadsafe(callback, *arguments)


def _set_result(future: asyncio.Future[Result], result: Result) -> None:
    if not future.done():
        future.set_result(result)


def _set_exception(future: asyncio.Future[Result], error: Exception) -> None:
    if not future.done():
        future.set_exception(error)
