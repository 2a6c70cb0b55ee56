"""The enums of reasons and the page for on-call engineers name the same counters and log words."""

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
    """The page from a title to the next one."""
    found = re.search(rf"^## {re.escape(title)}\n(.*?)(?=^## |\Z)", PAGE, re.M | re.S)
    assert found is not None, f"docs/on-call.md has no section {title!r}"
    return found[1]


def first_cells(title: str) -> list[str]:
    """The words in backticks in the first column of a section's table."""
    rows = [line for line in section(title).splitlines() if line.startswith("| `")]
    return [word for row in rows for word in re.findall(r"`([^`]+)`", row.split("|")[1])]


def test_client_close_reasons_are_those_of_the_page() -> None:
    named = first_cells("Why a client connection was closed")
    assert sorted(named) == sorted(ClientCloseReason)


def test_upstream_close_reasons_are_those_of_the_page() -> None:
    named = first_cells("Why a connection to an endpoint was closed")
    assert sorted(named) == sorted(UpstreamCloseReason)


def test_discovery_end_reasons_are_those_of_the_page() -> None:
    named = first_cells("Why a call to discovery ended")
    words = [
        f"{reason}_CODE" if reason is DiscoveryEndReason.HTTP_STATUS else reason
        for reason in DiscoveryEndReason
    ]
    assert sorted(named) == sorted(words)


def test_attempt_statuses_are_the_counters_of_the_page() -> None:
    named = [name for name in first_cells("Counters") if name.startswith("tries_") and name != "tries_sent"]
    assert sorted(named) == sorted(f"tries_{status}" for status in AttemptStatus)


def test_reject_reasons_are_the_counters_of_the_page() -> None:
    # The row names the first counter whole and of the others only how they end.
    row = next(line for line in section("Counters").splitlines() if line.startswith("| `rejected_quota`"))
    endings = [word.removeprefix("rejected").removeprefix("_") for word in re.findall(r"`([^`]+)`", row)]
    assert sorted(endings) == sorted(reason for reason in RejectReason if reason)


@pytest.mark.parametrize(
    "name",
    ["client_connections_closed_REASON", "server_connections_closed_REASON", "retries_after_STATUS"],
)
def test_counters_by_reason_are_named_on_the_page(name: str) -> None:
    assert f"`{name}`" in PAGE


@pytest.mark.parametrize("event", ["client_connection_ended", "server_connection_ended", "discovery_ended"])
def test_log_events_that_carry_a_reason_are_named_on_the_page(event: str) -> None:
    assert event in first_cells("Lines")


def test_end_of_a_discovery_call_is_logged_with_its_http_status() -> None:
    assert str(DiscoveryEnd(DiscoveryEndReason.HTTP_STATUS, 503)) == "status_503"
    assert str(DiscoveryEnd(DiscoveryEndReason.AGENT_SILENT)) == "agent_silent"
