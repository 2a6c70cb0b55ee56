"""Crowds of clients that do not finish, read or pace their requests, at real gateways with a memory limit."""

from __future__ import annotations

import pytest

from mapleshunt.testbed.crowds.parameters import CrowdKind, CrowdParameters
from mapleshunt.testbed.crowds.run import MAX_MEMORY_FRACTION, play

CROWD_S = 3.0


def play_crowd(kind: CrowdKind, memory_mb: int, clients: int, descriptors: int = 1024) -> list[str]:
    """Play a crowd, and return what was broken."""
    return play(
        CrowdParameters(kind, memory_mb=memory_mb, descriptors=descriptors, clients=clients, seconds=CROWD_S)
    ).violations()


@pytest.mark.xdist_group("gateways")
@pytest.mark.parametrize(
    ("kind", "memory_mb", "clients"),
    [
        (CrowdKind.STOPPED_CLOSING, 32, 340),
        (CrowdKind.STOPPED, 32, 340),
        (CrowdKind.STOPPED, 64, 580),
        (CrowdKind.STOPPED, 64, 900),
        (CrowdKind.SLOW, 32, 340),
    ],
)
def test_commands_that_are_not_complete_stay_within_the_memory_and_starve_no_sound_client(
    kind: CrowdKind, memory_mb: int, clients: int
) -> None:
    assert play_crowd(kind, memory_mb, clients) == []


@pytest.mark.xdist_group("gateways")
@pytest.mark.parametrize("memory_mb", [32, 96])
def test_commands_of_thousands_of_fields_are_refused_within_the_memory(memory_mb: int) -> None:
    assert play_crowd(CrowdKind.MANY_FIELDS, memory_mb, 340) == []


@pytest.mark.xdist_group("gateways")
def test_long_replies_to_short_requests_stay_within_the_memory() -> None:
    parameters = CrowdParameters(
        CrowdKind.ASKING, memory_mb=32, clients=340, seconds=CROWD_S, value_bytes=64000
    )
    report = play(parameters)
    assert not report.has_ended and not report.beside.lost
    assert report.peak_memory_mb <= MAX_MEMORY_FRACTION * parameters.memory_mb
