"""Errors of sending an attempt to an endpoint."""

from __future__ import annotations


class UpstreamError(Exception):
    """The base of errors that end an attempt without a reply."""


class NoConnectionAvailableError(UpstreamError):
    """No connection to the endpoint can be created, or it is not listed. Nothing was sent."""


class DialError(UpstreamError):
    """The connection was not established; nothing was sent.

    Attributes:
        is_local: this machine lacks a resource, which says nothing about the endpoint.
    """

    def __init__(self, is_local: bool) -> None:
        super().__init__(
            "cannot dial: no resource left on this machine" if is_local else "endpoint not reached"
        )
        self.is_local = is_local


class ConnectionLostError(UpstreamError):
    """The connection was closed during an attempt.

    Attributes:
        was_written: the attempt's last byte had been written, so that it may have run.
    """

    def __init__(self, was_written: bool) -> None:
        super().__init__(
            "lost after the last byte was written" if was_written else "lost before the last byte was written"
        )
        self.was_written = was_written
