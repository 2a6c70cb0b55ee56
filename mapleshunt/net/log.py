"""Log lines of key=value pairs."""

from __future__ import annotations

import logging
import sys
import time

LOG = logging.getLogger("mapleshunt")


def _quoted(value: object) -> str:
    text = f"{value:.1f}" if isinstance(value, float) else str(value)
    if text and not any(char in ' "=\\' or not char.isprintable() for char in text):
        return text
    return '"' + text.encode("unicode_escape").decode("ascii").replace('"', '\\"') + '"'


class KeyValueFormatter(logging.Formatter):
    """`time=... level=... event=...`, then the fields that the call gave with `extra={"fields": ...}`."""

    def format(self, record: logging.LogRecord) -> str:
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        pairs: dict[str, object] = {
            "time": f"{stamp}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            pairs["error"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_quoted(value)}" for key, value in pairs.items())


def set_up(level: int = logging.INFO) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)


def say(event: str, /, **fields: object) -> None:
    LOG.info(event, extra={"fields": fields})


def trouble(event: str, /, **fields: object) -> None:
    """An exception that was contained; called while it is handled."""
    LOG.error(event, exc_info=True, extra={"fields": fields})
