"""The coordinator's view of the fleet, built from the status of its gateways."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from .commands import FleetView, GroupView, MachineView
from .jobs import MaintenanceJobs
from .records import GRANT_STATES, JobState

MAX_REPLICA_LAG_ENTRIES = 1000  # by which an up-to-date replica may be behind its leader's commit

# The status that a gateway's `ReplicationHost` sends: JSON values by key.
GatewayStatus = Mapping[str, Any]


def build_fleet_view(
    wall_time: float,
    zones: Mapping[str, str],
    groups: int,
    statuses: Mapping[str, GatewayStatus | None],
    jobs: MaintenanceJobs,
) -> FleetView:
    """Return the fleet at `wall_time` (Unix time, s), from the zone and latest status of each gateway.

    A machine is available if its gateway answers and either accepts clients or has a grant, also a recalled
    one.
    """
    answering = {name: status for name, status in statuses.items() if status is not None}
    leaders = _leaders(answering)
    granted = {job.machine for job in jobs.open_jobs() if job.state in (*GRANT_STATES, JobState.RECALLED)}
    machines = []
    for name, zone in sorted(zones.items()):
        status = answering.get(name, {})
        available = name in answering and (bool(status.get("takes", True)) or name in granted)
        groups_led = sum(group["leader"] == name for group in leaders.values())
        load, version = float(status.get("load", 0.0)), str(status.get("version", ""))
        machines.append(MachineView(name, zone, available, groups_led, load, version))
    commits = _commits(answering)
    views = [
        _group_view(leaders[number], commits[number])
        if number in leaders
        else GroupView(tuple(sorted(zones)), ())  # unknown voters: no machine may be taken out
        for number in range(groups)
    ]
    return FleetView(wall_time, tuple(machines), tuple(views))


def _leaders(statuses: Mapping[str, GatewayStatus]) -> dict[int, Mapping[str, Any]]:
    """Return the leader's status of each group: the highest term, and the last one of equal terms."""
    leaders: dict[int, Mapping[str, Any]] = {}
    for status in statuses.values():
        for group in status["groups"]:
            known = leaders.get(group["group"])
            if group["role"] == "leader" and (known is None or group["term"] >= known["term"]):
                leaders[group["group"]] = group
    return leaders


def _commits(statuses: Mapping[str, GatewayStatus]) -> dict[int, dict[str, int]]:
    """Return the commit index of each replica, by group and replica id."""
    commits: dict[int, dict[str, int]] = {}
    for name, status in statuses.items():
        for group in status["groups"]:
            commits.setdefault(group["group"], {})[f"{name}/{status['incarnation']}"] = group["commit"]
    return commits


def _group_view(leader: Mapping[str, Any], commits: Mapping[str, int]) -> GroupView:
    lowest = leader["commit"] - MAX_REPLICA_LAG_ENTRIES
    up_to_date = [replica for replica in leader["voters"] if commits.get(replica, -1) >= lowest]
    return GroupView(_gateways(leader["voters"]), _gateways(up_to_date))


def _gateways(replicas: list[str]) -> tuple[str, ...]:
    return tuple(replica.rpartition("/")[0] for replica in replicas)
