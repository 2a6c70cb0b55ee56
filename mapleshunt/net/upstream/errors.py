"""Errors of sending an attempt to an endpoint."""

from __future__ import annotations


class UpstreamError(Exception):
    """An attempt could not be carried to its reply."""


class NoConnectionAvailableError(UpstreamError):
    """No descriptor is left, or the endpoint is not known: nothing was sent."""


class DialError(UpstreamError):
    """The connection was not established; nothing was sent.

    Attributes:
        is_local: the cause is a lack of this machine's, which tells nothing about the endpoint.
    """

    def __init__(self, is_local: bool) -> None:
        super().__init__("this machine lacks a resource" if is_local else "the endpoint was not reached")
        self.is_local = is_local


class ConnectionLostError(UpstreamError):
    """The connection ended under an attempt.

    Attributes:
        was_written: the attempt's last byte had been written, so that it may have run.
    """

    def __init__(self, was_written: bool) -> None:
        super().__init__("lost after the last byte" if was_written else "lost before the last byte")
        self.was_written = was_written
