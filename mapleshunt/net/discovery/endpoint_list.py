"""The endpoint list in discovery's JSON format."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, cast

from ...platform_terms import ENDPOINT_STATES
from ...policy import EndpointState
from ..config import ConfigError, parse_address
from ..upstream.endpoint import Endpoint


class MalformedListError(ValueError):
    """The endpoint list that discovery or the configuration gives is malformed."""


@dataclass(slots=True, frozen=True)
class EndpointList:
    """An endpoint list, or a change of one (`complete` is False), as of a revision."""

    revision: int
    complete: bool
    endpoints: tuple[Endpoint, ...]


def parse_endpoint_list(raw: Mapping[str, Any]) -> EndpointList:
    """Parse a list; `raw` is any JSON object, whose fields are checked here.

    Raises:
        MalformedListError: a field is missing or has an unexpected type or value.
    """
    try:
        endpoints = tuple(_endpoint(row) for row in raw["members"])
        return EndpointList(int(raw["revision"]), bool(raw["complete"]), endpoints)
    except (KeyError, TypeError, AttributeError, ConfigError) as error:
        raise MalformedListError(f"a list of members is malformed: {error!r}") from None


def _endpoint(row: Mapping[str, Any]) -> Endpoint:
    """Parse a row; `row` is any JSON object."""
    return Endpoint(
        id=str(row["id"]),
        address=parse_address(row["host_port"], "host_port"),
        zone=str(row.get("locality") or ""),
        cell=int(row.get("cell") or 0),
        state=cast(EndpointState, ENDPOINT_STATES[row["phase"]]),
        started_at_ms=float(row.get("up_since_ms") or 0.0),
    )
