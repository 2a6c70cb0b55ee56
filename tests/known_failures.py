"""The tests that KNOWN-RED.txt lists as known to fail, marked as strictly expected failures.

A line of the file is ``test id | cause | issue``. Blank lines and lines that begin with ``#`` are comments.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import pytest

KNOWN_FAILURES_PATH = Path(__file__).parents[1] / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3


class MalformedListError(ValueError):
    """The list of known failures cannot be used; the message says why."""


@dataclass(frozen=True)
class KnownFailure:
    """A test that fails because of a known defect that is not yet repaired."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> tuple[KnownFailure, ...]:
    """Return the failures that the text of the file lists.

    Raises:
        MalformedListError: a line has another form, or too many tests are listed.
    """
    lines = [line.strip() for line in text.splitlines()]
    entries = [line for line in lines if line and not line.startswith("#")]
    if len(entries) > MAX_KNOWN_FAILURES:
        raise MalformedListError(f"at most {MAX_KNOWN_FAILURES} tests may be listed, got {len(entries)}")
    return tuple(_parse_entry(entry) for entry in entries)


def _parse_entry(entry: str) -> KnownFailure:
    fields = [field.strip() for field in entry.split("|")]
    if len(fields) != 3 or not all(fields):
        raise MalformedListError(f"a line must be 'test | cause | issue', got {entry!r}")
    return KnownFailure(*fields)


def load(path: Path = KNOWN_FAILURES_PATH) -> tuple[KnownFailure, ...]:
    """Return the failures that the file lists, none if there is no file.

    Raises:
        MalformedListError: the file is malformed.
    """
    return parse(path.read_text()) if path.exists() else ()


def expect_failures(
    failures: Sequence[KnownFailure], items: Sequence[pytest.Item], whole_files: bool
) -> None:
    """Mark the listed tests as strictly expected failures: one that passes fails the run.

    Args:
        failures: The tests that have to fail.
        items: The collected tests.
        whole_files: Whether the collected files were collected with all their tests.

    Raises:
        MalformedListError: `whole_files` is set, and a collected file lacks a test that is listed.
    """
    collected = {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    for failure in failures:
        if failure.test in collected:
            reason = f"{failure.cause} ({failure.issue})"
            collected[failure.test].add_marker(pytest.mark.xfail(strict=True, reason=reason))
        elif whole_files and failure.test.partition("::")[0] in files:
            raise MalformedListError(f"a listed test does not exist: {failure.test}")
