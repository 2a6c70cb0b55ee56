"""`mapleshunt copies ...` and `mapleshunt holdings ...`: through the port that gateways' copies share.

Exit status: 0, 1 if it cannot be told now (nobody leads, or nobody answers), 2 if what was asked is wrong.
"""

from __future__ import annotations

import asyncio
import os
import random
import time
from pathlib import Path
from typing import Any

import click

from .output import Trouble, json_option, print_json, table

NOT_NOW = 1
PATIENCE = 5.0  # s


def _section(file: Path | None) -> Any:
    from ..settings import operators
    from ..settings.reader import SettingsError

    path = file or operators.path_from_environment()
    if path is None:
        raise Trouble(f"name the operators' file, or set {operators.ENVIRONMENT_VARIABLE}")
    try:
        chosen = operators.load(path).copies
    except (SettingsError, OSError) as error:
        raise Trouble(str(error)) from None
    if chosen is None:
        raise Trouble(f"{path} has no section (copies ...)")
    return chosen


def _addresses(section: Any) -> dict[str, tuple[str, int]]:
    from ..net.config import ConfigError, parse_address

    try:
        return {one.name: parse_address(one.address, f"peer {one.name}") for one in section.peer}
    except ConfigError as error:
        raise Trouble(str(error)) from None


def _statuses(section: Any) -> dict[str, Any]:
    from ..testbed.replica_client import gateway_statuses

    return asyncio.run(gateway_statuses(_addresses(section), section.fleet))


settings_option = click.option(
    "--settings", "file", type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help="The operators' file; PROXY_OPERATORS if not given.",
)  # fmt: skip


@click.group()
def copies() -> None:
    """The copies of what gateways promise."""


@copies.command()
@settings_option
@json_option
def status(file: Path | None, as_json: bool) -> None:
    """Each gateway: incarnation, links, commits, and the roles of its copies."""
    found = _statuses(_section(file))
    if as_json:
        print_json(found)
    else:
        rows: list[list[Any]] = []
        for name, told in found.items():
            if told is None:
                rows.append([name, "does not answer", "", "", "", "", ""])
                continue
            roles = [group["role"] for group in told["groups"]]
            rows.append([
                name, told["incarnation"], told["boot"], len(told["links"]), len(roles),
                roles.count("leader"), told["slowest_commit_ms"],
            ])  # fmt: skip
        table(["gateway", "incarnation", "boot", "links", "copies", "leads", "slowest commit, ms"], rows)
    if all(told is None for told in found.values()):
        raise SystemExit(NOT_NOW)


def _without_leader(best: Any, found: dict[str, Any]) -> str:
    """What is said of a group that nobody leads, by the copy that is furthest."""
    if best is None or not best["voters"]:
        return "not formed"
    left = sum(not _lost(voter, found) for voter in best["voters"])
    return "lost" if 2 * left <= len(best["voters"]) else "no quorum"


def _lost(copy: str, found: dict[str, Any]) -> bool:
    """Does its gateway answer as another incarnation? One that does not answer may be back with its disk."""
    gateway, _, incarnation = copy.rpartition("/")
    told = found.get(gateway)
    return told is not None and told["incarnation"] != incarnation


@copies.command()
@settings_option
@json_option
def groups(file: Path | None, as_json: bool) -> None:
    """Each group: who leads, decides and listens, and how far it is; exit status 1 if one has no leader."""
    from ..testbed.replica_client import leader_status

    section = _section(file)
    found = _statuses(section)
    rows, lacking = [], 0
    for number in range(section.groups):
        told = [one for each in found.values() if each for one in each["groups"] if one["group"] == number]
        leads = leader_status(found, number)
        best = leads or max(told, key=lambda one: (one["term"], one["commit"]), default=None)
        lacking += leads is None
        rows.append({
            "group": number, "leader": leads["leader"] if leads else "none",
            "state": "led" if leads else _without_leader(best, found),
            "voters": best["voters"] if best else [], "learners": best["learners"] if best else [],
            "commit": best["commit"] if best else 0, "behind": sum(
                one["commit"] < (best["commit"] if best else 0) for one in told if one["voters"]),
        })  # fmt: skip
    if as_json:
        print_json(rows)
    else:
        table(["group", "state", "leader", "voters", "learners", "commit", "behind"], [
            [one["group"], one["state"], one["leader"], " ".join(one["voters"]) or "none",
             " ".join(one["learners"]) or "none", one["commit"], one["behind"]] for one in rows
        ])  # fmt: skip
    if lacking:
        raise SystemExit(NOT_NOW)


@copies.command()
@click.argument("gateway")
@click.option("--group", "only", type=int, help="This group alone, not all.")
@click.option("--back", is_flag=True, help="It may hold copies again.")
@settings_option
@json_option
def replace(gateway: str, only: int | None, back: bool, file: Path | None, as_json: bool) -> None:
    """Let GATEWAY hold no copies: each moves to another gateway once that has caught up.

    It is a record of each group, which holds until it is taken back, whoever leads. Exit status 1 if a group
    could not be told now (nobody leads it): call again, what was told is not told twice.
    """
    from ..net.replication.group_host import EVACUATED_PREFIX

    section = _section(file)
    if gateway not in (addresses := _addresses(section)):
        raise Trouble(f"no peer is named {gateway!r}; there are {', '.join(sorted(addresses))}")
    groups = list(range(section.groups)) if only is None else [only]
    rows = asyncio.run(_mark(section, groups, f"{EVACUATED_PREFIX}{gateway}", "" if back else "1"))
    if as_json:
        print_json(rows)
    else:
        table(["group", "said"], [[one["group"], one["said"]] for one in rows])
    if any(one["said"] != "told" for one in rows):
        raise SystemExit(NOT_NOW)


@copies.command()
@click.argument("group", type=int)
@click.option("--confirm", help="The word that this command told: go on without what is missing.")
@settings_option
@json_option
def recover(group: int, confirm: str | None, file: Path | None, as_json: bool) -> None:
    """Go on with what is left of GROUP, whose most copies are lost for good. First tells what goes with them.

    Exit status 0 once that copy leads again, 1 if it is not to be had now, 2 if there is no need, or the word
    is not that of the copy that is furthest.
    """
    from ..testbed.replica_client import leader_status, query_operator_port

    section = _section(file)
    found = _statuses(section)
    if not 0 <= group < section.groups:
        raise Trouble(f"there is no group {group}")
    if leader_status(found, group) is not None:
        raise Trouble(f"group {group} has a leader: nothing is to be recovered")
    held = [(name, one) for name, told in found.items() if told for one in told["groups"]
            if one["group"] == group and one["last"] and one["voters"]]  # fmt: skip
    if not held:
        click.echo(f"mapleshunt: no gateway that answers holds a copy of group {group}", err=True)
        raise SystemExit(NOT_NOW)
    name, best = max(held, key=lambda one: (one[1]["last_term"], one[1]["last"]))
    if best["quorum"]:
        raise Trouble(f"most copies of group {group} are there, or one has just led: wait for a leader")
    if confirm is not None:
        if confirm != best["state"]:
            raise Trouble(f"the copy that is furthest is {best['state']}, not {confirm}: look again")
        reply = asyncio.run(
            query_operator_port(_addresses(section)[name], section.fleet, "recover", group, confirm)
        )
        end = time.monotonic() + PATIENCE
        while reply is not None and reply.status == "done" and time.monotonic() < end:
            if (leads := leader_status(_statuses(section), group)) is not None:
                click.echo(f"group {group} goes on at {leads['leader']}; other copies follow")
                return
            time.sleep(0.1)
        click.echo(f"mapleshunt: {name} does not lead group {group} yet; look at copies groups", err=True)
        raise SystemExit(NOT_NOW)
    plan = {
        "group": group, "goes_on_with": name, "confirm": best["state"], "last": best["last"],
        "surely_kept": best["commit"], "log_time_ms": round(best["stamp"]),
        "missing": [one for one in best["voters"] if one not in
                    {f"{gateway}/{found[gateway]['incarnation']}" for gateway, _ in held}],
        "lost_for_good": [one for one in best["voters"] if _lost(one, found)],
        "others": {gateway: one["last"] for gateway, one in held if gateway != name},
    }  # fmt: skip
    if as_json:
        print_json(plan)
        return
    table(["group", "goes on with", "up to entry", "surely kept", "missing voters", "lost for good"], [[
        group, name, best["last"], best["commit"], " ".join(plan["missing"]) or "none",
        " ".join(plan["lost_for_good"]) or "none",
    ]])  # fmt: skip
    click.echo(
        f"What the missing acknowledged after entry {best['last']} will be lost: leases may be granted\n"
        "again while their holders still spend them, use counted since is not billed, records are as\n"
        "before. A missing machine that comes back is emptied of this group. If one can be had back, get\n"
        "it back instead.\n"
        f"To go on: mapleshunt copies recover {group} --confirm {best['state']}"
    )


async def _mark(section: Any, groups: list[int], key: str, value: str) -> list[dict[str, Any]]:
    """Set a record of each group, unless it is so already."""
    from ..replicated_state import commands as words
    from ..replicated_state.results import Applied
    from ..testbed.replica_client import ReplicaClient

    async def one(group: int) -> dict[str, Any]:
        caller = ReplicaClient(
            f"cli-{os.getpid()}-{random.getrandbits(32):x}", _addresses(section), section.fleet, group, [],
            time.monotonic, random.Random(),
        )  # fmt: skip
        try:
            async with asyncio.timeout(PATIENCE):
                known: Any = await caller.read("record", key)
                if value == (known.value if known is not None else ""):
                    return {"group": group, "said": "told"}
                await caller.execute(words.OpenSession())
                put = words.SetRecord(key, value, known.version if known is not None else 0)
                done = await caller.execute(put)
                return {"group": group, "said": "told" if isinstance(done, Applied) else "told otherwise"}
        except TimeoutError:
            return {"group": group, "said": "nobody leads"}
        finally:
            caller.close()

    return list(await asyncio.gather(*(one(group) for group in groups)))


def _bucket_json(bucket: Any) -> dict[str, Any]:
    """By the keys that the command has always had."""
    return {
        "rate": bucket.rate_per_ms,
        "burst": bucket.burst,
        "level": bucket.level,
        "at": bucket.updated_at,
        "held": bucket.leases,
        "names": bucket.reservations,
        "counted": bucket.counted_usage,
    }


@click.group()
def holdings() -> None:
    """What gateways hold for customers."""


@holdings.command()
@click.argument("customer")
@settings_option
@json_option
def show(customer: str, file: Path | None, as_json: bool) -> None:
    """A customer's store as its group's leader holds it now: level, leases, reservations, counted use."""
    from ..replication.placement import group_of_customer
    from ..testbed.replica_client import ReplicaClient

    section = _section(file)

    async def read() -> Any:
        caller = ReplicaClient(
            f"cli-{os.getpid()}", _addresses(section), section.fleet,
            group_of_customer(customer, section.groups), [], time.monotonic, random.Random(),
        )  # fmt: skip
        try:
            return await asyncio.wait_for(caller.read("store", customer), PATIENCE)
        finally:
            caller.close()

    try:
        found = asyncio.run(read())
    except TimeoutError:
        click.echo("mapleshunt: nobody who leads that customer's group answers", err=True)
        raise SystemExit(NOT_NOW) from None
    if as_json:
        print_json(_bucket_json(found) if found is not None else None)
    elif found is None:
        click.echo(f"nothing is held for {customer}")
    else:
        table(["figure", "value"], [
            ["level, units", found.level], ["burst, units", found.burst],
            ["rate, units/s", found.rate_per_ms * 1000],
            ["leases", len(found.leases)], ["units leased", sum(one.units for _, one in found.leases)],
            ["reservations", len(found.reservations)], ["counted use, units", found.counted_usage],
        ])  # fmt: skip
