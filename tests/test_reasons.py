"""The enums of reasons and the on-call page list the same counters and log values."""

from __future__ import annotations

import re

import pytest

from mapleshunt.net.reasons import (
    AttemptStatus,
    ClientCloseReason,
    DiscoveryEnd,
    DiscoveryEndReason,
    UpstreamCloseReason,
)
from mapleshunt.policy.actions import RejectReason

from .processes import ROOT

PAGE = (ROOT / "docs" / "on-call.md").read_text()


def section(title: str) -> str:
    """Return the text from a title of the page to the next one."""
    match = re.search(rf"^## {re.escape(title)}\n(.*?)(?=^## |\Z)", PAGE, re.M | re.S)
    assert match is not None, f"docs/on-call.md has no section {title!r}"
    return match[1]


def first_cells(title: str) -> list[str]:
    """Return the words in backticks in the first column of a section's table."""
    rows = [line for line in section(title).splitlines() if line.startswith("| `")]
    return [word for row in rows for word in re.findall(r"`([^`]+)`", row.split("|")[1])]


def test_client_close_reasons_are_those_of_the_page() -> None:
    listed = first_cells("Why a client connection was closed")
    assert sorted(listed) == sorted(ClientCloseReason)


def test_upstream_close_reasons_are_those_of_the_page() -> None:
    listed = first_cells("Why a connection to an endpoint was closed")
    assert sorted(listed) == sorted(UpstreamCloseReason)


def test_discovery_end_reasons_are_those_of_the_page() -> None:
    listed = first_cells("Why a call to discovery ended")
    expected = [
        f"{reason}_CODE" if reason is DiscoveryEndReason.HTTP_STATUS else reason
        for reason in DiscoveryEndReason
    ]
    assert sorted(listed) == sorted(expected)


def test_attempt_statuses_are_the_counters_of_the_page() -> None:
    listed = [name for name in first_cells("Counters") if name.startswith("tries_") and name != "tries_sent"]
    assert sorted(listed) == sorted(f"tries_{status}" for status in AttemptStatus)


def test_reject_reasons_are_the_counters_of_the_page() -> None:
    # The row gives the first counter's full name and only the suffixes of the others.
    row = next(line for line in section("Counters").splitlines() if line.startswith("| `rejected_quota`"))
    suffixes = [word.removeprefix("rejected").removeprefix("_") for word in re.findall(r"`([^`]+)`", row)]
    assert sorted(suffixes) == sorted(reason for reason in RejectReason if reason)


@pytest.mark.parametrize(
    "name",
    [
        "client_connections_closed_REASON",
        "server_connections_closed_REASON",
        "requests_crossed_REASON",
        "retries_after_STATUS",
    ],
)
def test_counters_by_reason_are_named_on_the_page(name: str) -> None:
    assert f"`{name}`" in PAGE


@pytest.mark.parametrize(
    "event", ["client_connection_ended", "request_crossed_end", "server_connection_ended", "discovery_ended"]
)
def test_log_events_that_carry_a_reason_are_named_on_the_page(event: str) -> None:
    assert event in first_cells("Lines")


def test_end_of_a_discovery_call_is_logged_with_its_http_status() -> None:
    assert str(DiscoveryEnd(DiscoveryEndReason.HTTP_STATUS, 503)) == "status_503"
    assert str(DiscoveryEnd(DiscoveryEndReason.AGENT_SILENT)) == "agent_silent"
