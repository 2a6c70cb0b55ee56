"""Calls that block, in a thread of their own: the loop serves its connections meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")


async def run_in_thread(call: Callable[[], Result]) -> Result:
    """What the call returns, or raises. Cancelled, it leaves the call to its end, which nobody is told of.

    The thread is a daemon: a call that never returns does not hold up the end of the process, as one in the
    loop's executor would.
    """
    loop = asyncio.get_running_loop()
    ended: asyncio.Future[Result] = loop.create_future()

    def run() -> None:
        try:
            result = call()
        except Exception as error:
            _tell(loop, _raise, ended, error)
        else:
            _tell(loop, _return, ended, result)

    threading.Thread(target=run, name="blocking-call", daemon=True).start()
    return await ended


def _tell(loop: asyncio.AbstractEventLoop, tell: Callable[..., None], *arguments: object) -> None:
    with contextlib.suppress(RuntimeError):  # the loop has been closed
        loop.call_soon_threadsafe(tell, *arguments)


def _return(ended: asyncio.Future[Result], result: Result) -> None:
    if not ended.done():
        ended.set_result(result)


def _raise(ended: asyncio.Future[Result], error: Exception) -> None:
    if not ended.done():
        ended.set_exception(error)
