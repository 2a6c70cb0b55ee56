"""The errors of the testbed."""

from __future__ import annotations


class TestbedError(Exception):
    """A run cannot go on; its text is one line for the operator."""

    __test__ = False  # pytest: no test class


class GatewayError(TestbedError):
    """A gateway did not start, ended by itself, or the fleet did not get into the state that is awaited."""


class LibraryBuildError(TestbedError):
    """The library of failing system calls cannot be built here; the text says why."""
