"""What is seen of the fleet, worked out from what its gateways tell of themselves. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from . import commands as w
from .jobs import MaintenanceJobs

MAX_REPLICA_LAG_ENTRIES = 1000  # entries by which a copy may be behind and still be sound

GatewayStatus = Mapping[str, Any]  # as `net.copies.Copies.status` has it


def build_fleet_view(
    wall: float,
    zones: Mapping[str, str],
    groups: int,
    told: Mapping[str, GatewayStatus | None],
    works: MaintenanceJobs,
) -> w.FleetView:
    """`told` holds what each gateway that was heard of late told; those that are missing are not here.

    One that takes no clients and has no grant is out, whoever drained it.
    """
    heard = {name: status for name, status in told.items() if status is not None}
    busy = {
        one.machine for one in works.open_jobs() if one.state in ("granted", "draining", "safe", "recalled")
    }
    leads: dict[int, tuple[int, Mapping[str, Any]]] = {}
    copies: dict[int, dict[str, int]] = {}
    for name, status in heard.items():
        for one in status["groups"]:
            copies.setdefault(one["group"], {})[f"{name}/{status['incarnation']}"] = one["commit"]
            if one["role"] == "leader" and one["term"] >= leads.get(one["group"], (0, {}))[0]:
                leads[one["group"]] = (one["term"], one)
    machines = []
    for name, zone in sorted(zones.items()):
        status = heard.get(name, {})
        here = name in heard and (bool(status.get("takes", True)) or name in busy)
        mine = sum(one["leader"] == name for _, one in leads.values())
        load, version = float(status.get("load", 0.0)), str(status.get("version", ""))
        machines.append(w.MachineView(name, zone, here, mine, load, version))
    found = []
    for number in range(groups):
        if number not in leads:  # nobody can tell: none of its machines may go
            found.append(w.GroupView(tuple(sorted(zones)), ()))
            continue
        one = leads[number][1]
        sound = [
            c for c in one["voters"] if copies[number].get(c, -1) >= one["commit"] - MAX_REPLICA_LAG_ENTRIES
        ]
        found.append(w.GroupView(
            tuple(c.rpartition("/")[0] for c in one["voters"]), tuple(c.rpartition("/")[0] for c in sound)
        ))  # fmt: skip
    return w.FleetView(wall, tuple(machines), tuple(found))
