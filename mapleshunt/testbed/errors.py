"""Errors of the testbed."""

from __future__ import annotations


class TestbedError(Exception):
    """A run cannot continue; the text is one line for the operator."""

    __test__ = False  # not a test class for pytest


class GatewayError(TestbedError):
    """A gateway did not start or exited unexpectedly, or the fleet did not reach an awaited state in time."""


class LibraryBuildError(TestbedError):
    """The library of failing system calls cannot be built on this machine; the text says why."""
