"""Log lines of key=value pairs, by structlog over `logging`; lines of libraries have the same form."""

from __future__ import annotations

import codecs
import logging
import sys
import time
from collections.abc import MutableMapping
from typing import Any

import structlog

# Codecs are imported at first use; by then there may be no descriptor left for the import.
codecs.lookup("unicode_escape")

LOG: Any = structlog.stdlib.get_logger("mapleshunt")  # structlog types its proxies as Any


def _quoted(value: object) -> str:
    """Format a value, in quotes if it is empty or has characters that need them."""
    text = f"{value:.{1 if abs(value) >= 10 else 3}f}" if isinstance(value, float) else str(value)
    if text and not any(char in ' "=\\' or not char.isprintable() for char in text):
        return text
    return '"' + text.encode("unicode_escape").decode("ascii").replace('"', '\\"') + '"'


def _stamp(_logger: object, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Put `time`, `level` and `event` first, and an exception as `error` last. The values are of any type."""
    now = time.time()
    stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now))
    level = event.pop("level", method)
    event.pop("_record", None)
    event.pop("_from_structlog", None)
    error = event.pop("exception", None)
    line = {
        "time": f"{stamp}.{int(now % 1 * 1000):03d}Z",
        "level": level,
        "event": event.pop("event"),
        **event,
    }
    if error:
        line["error"] = error
    return line


def render(_logger: object, _method: str, event: MutableMapping[str, Any]) -> str:
    """Render a line of key=value pairs, whose values are of any type.

    structlog's logfmt renderer does not escape control characters, which untrusted input may contain.
    """
    return " ".join(f"{key}={_quoted(value)}" for key, value in event.items())


def configure(level: int = logging.INFO) -> None:
    """Write log lines of `level` and above to standard error, those of libraries included."""
    shared: list[Any] = [structlog.stdlib.add_log_level, structlog.processors.format_exc_info]
    structlog.configure(
        processors=[
            structlog.stdlib.filter_by_level,
            *shared,
            structlog.stdlib.ProcessorFormatter.wrap_for_formatter,
        ],
        logger_factory=structlog.stdlib.LoggerFactory(),
        cache_logger_on_first_use=True,
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(processors=[_stamp, render], foreign_pre_chain=shared)
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)


def log_event(event: str, /, **fields: object) -> None:
    """Log an event with its fields."""
    LOG.info(event, **fields)


def log_exception(event: str, /, **fields: object) -> None:
    """Log an exception that is being handled, with its traceback."""
    LOG.error(event, exc_info=True, **fields)
