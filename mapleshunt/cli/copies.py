"""The commands `mapleshunt copies` and `mapleshunt holdings`, which call the gateways' replication ports.

Exit status: 0; 1 if there is no answer now (no leader, or no gateway answers); 2 if the call is wrong.
"""

from __future__ import annotations

import asyncio
import os
import random
import time
from pathlib import Path
from typing import Any

import click

from .output import CommandError, json_option, print_json, table

EXIT_UNAVAILABLE = 1
CALL_TIMEOUT_S = 5.0


def _load_section(file: Path | None) -> Any:
    from ..settings import operators
    from ..settings.reader import SettingsError

    path = file or operators.path_from_environment()
    if path is None:
        raise CommandError(
            f"no operators' file given: pass --settings or set {operators.ENVIRONMENT_VARIABLE}"
        )
    try:
        section = operators.load(path).copies
    except (SettingsError, OSError) as error:
        raise CommandError(str(error)) from None
    if section is None:
        raise CommandError(f"{path} has no section (copies ...)")
    return section


def _peer_addresses(section: Any) -> dict[str, tuple[str, int]]:
    from ..net.config import ConfigError, parse_address

    try:
        return {peer.name: parse_address(peer.address, f"peer {peer.name}") for peer in section.peer}
    except ConfigError as error:
        raise CommandError(str(error)) from None


def _fetch_statuses(section: Any) -> dict[str, Any]:
    from ..testbed.replica_client import gateway_statuses

    return asyncio.run(gateway_statuses(_peer_addresses(section), section.fleet))


settings_option = click.option(
    "--settings", "file", type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help="The operators' file; by default that of PROXY_OPERATORS.",
)  # fmt: skip


@click.group()
def copies() -> None:
    """Inspect and repair the replicas on gateways."""


@copies.command()
@settings_option
@json_option
def status(file: Path | None, as_json: bool) -> None:
    """Show each gateway's incarnation, connections, replicas and slowest commit."""
    statuses = _fetch_statuses(_load_section(file))
    if as_json:
        print_json(statuses)
    else:
        rows: list[list[Any]] = []
        for name, gateway in statuses.items():
            if gateway is None:
                rows.append([name, "does not answer", "", "", "", "", ""])
                continue
            roles = [group["role"] for group in gateway["groups"]]
            rows.append([
                name, gateway["incarnation"], gateway["boot"], len(gateway["links"]), len(roles),
                roles.count("leader"), gateway["slowest_commit_ms"],
            ])  # fmt: skip
        table(
            ["gateway", "incarnation", "boot", "connections", "replicas", "led", "slowest commit, ms"], rows
        )
    if all(gateway is None for gateway in statuses.values()):
        raise SystemExit(EXIT_UNAVAILABLE)


def _leaderless_state(best: Any, statuses: dict[str, Any]) -> str:
    """Return the state of a group without a leader, from the status of its most up-to-date replica."""
    if best is None or not best["voters"]:
        return "not formed"
    remaining = sum(not _is_lost(voter, statuses) for voter in best["voters"])
    return "lost" if 2 * remaining <= len(best["voters"]) else "no quorum"


def _is_lost(replica: str, statuses: dict[str, Any]) -> bool:
    """Whether the replica's gateway answers as another incarnation.

    A gateway that does not answer may return with its disk, so its replicas are not lost.
    """
    gateway, _, incarnation = replica.rpartition("/")
    status = statuses.get(gateway)
    return status is not None and status["incarnation"] != incarnation


@copies.command()
@settings_option
@json_option
def groups(file: Path | None, as_json: bool) -> None:
    """Show each group's leader, voters, learners and commit; exit status 1 if one has no leader."""
    from ..testbed.replica_client import leader_status

    section = _load_section(file)
    statuses = _fetch_statuses(section)
    rows, leaderless = [], 0
    for number in range(section.groups):
        replicas = [
            replica
            for gateway in statuses.values() if gateway
            for replica in gateway["groups"] if replica["group"] == number
        ]  # fmt: skip
        leader = leader_status(statuses, number)
        best = leader or max(replicas, key=lambda replica: (replica["term"], replica["commit"]), default=None)
        leaderless += leader is None
        rows.append({
            "group": number, "leader": leader["leader"] if leader else "none",
            "state": "led" if leader else _leaderless_state(best, statuses),
            "voters": best["voters"] if best else [], "learners": best["learners"] if best else [],
            "commit": best["commit"] if best else 0, "behind": sum(
                replica["commit"] < (best["commit"] if best else 0)
                for replica in replicas if replica["voters"]),
        })  # fmt: skip
    if as_json:
        print_json(rows)
    else:
        table(["group", "state", "leader", "voters", "learners", "commit", "replicas behind"], [
            [row["group"], row["state"], row["leader"], " ".join(row["voters"]) or "none",
             " ".join(row["learners"]) or "none", row["commit"], row["behind"]] for row in rows
        ])  # fmt: skip
    if leaderless:
        raise SystemExit(EXIT_UNAVAILABLE)


@copies.command()
@click.argument("gateway")
@click.option("--group", "only", type=int, help="Only this group; all by default.")
@click.option("--back", is_flag=True, help="Let the gateway hold replicas again.")
@settings_option
@json_option
def replace(gateway: str, only: int | None, back: bool, file: Path | None, as_json: bool) -> None:
    """Move all replicas off GATEWAY, each once its new gateway has caught up.

    Each group keeps this as a record, under any leader, until --back clears it. Exit status 1 if the record
    of a group could not be set now (it has no leader): call again, records that are set stay as they are.
    """
    from ..net.replication.group_host import EVACUATED_PREFIX

    section = _load_section(file)
    if gateway not in (addresses := _peer_addresses(section)):
        raise CommandError(f"no peer is named {gateway!r}; the peers are {', '.join(sorted(addresses))}")
    groups = list(range(section.groups)) if only is None else [only]
    rows = asyncio.run(_set_records(section, groups, f"{EVACUATED_PREFIX}{gateway}", "" if back else "1"))
    if as_json:
        print_json(rows)
    else:
        table(["group", "result"], [[row["group"], row["said"]] for row in rows])
    if any(row["said"] != "told" for row in rows):
        raise SystemExit(EXIT_UNAVAILABLE)


@copies.command()
@click.argument("group", type=int)
@click.option("--confirm", help="The value that this command printed; continue without the missing replicas.")
@settings_option
@json_option
def recover(group: int, confirm: str | None, file: Path | None, as_json: bool) -> None:
    """Recover GROUP from its most up-to-date replica after a majority is lost for good.

    Without --confirm, only print what would be lost. Exit status 0 once the replica leads; 1 if it does not
    now; 2 if no recovery is needed, or --confirm does not match the most up-to-date replica.
    """
    from ..testbed.replica_client import leader_status, query_operator_port

    section = _load_section(file)
    statuses = _fetch_statuses(section)
    if not 0 <= group < section.groups:
        raise CommandError(f"group must be between 0 and {section.groups - 1}, got {group}")
    if leader_status(statuses, group) is not None:
        raise CommandError(f"group {group} has a leader and needs no recovery")
    replicas = [
        (name, replica)
        for name, gateway in statuses.items() if gateway
        for replica in gateway["groups"]
        if replica["group"] == group and replica["last"] and replica["voters"]
    ]  # fmt: skip
    if not replicas:
        click.echo(f"mapleshunt: no gateway that answers holds a replica of group {group}", err=True)
        raise SystemExit(EXIT_UNAVAILABLE)
    name, best = max(replicas, key=lambda replica: (replica[1]["last_term"], replica[1]["last"]))
    if best["quorum"]:
        raise CommandError(
            f"group {group} has a majority of its replicas, or had a leader just now: wait for a leader"
        )
    if confirm is not None:
        if confirm != best["state"]:
            raise CommandError(
                f"--confirm must be {best['state']}, the most up-to-date replica, got {confirm}: "
                "check the plan again"
            )
        reply = asyncio.run(
            query_operator_port(_peer_addresses(section)[name], section.fleet, "recover", group, confirm)
        )
        end = time.monotonic() + CALL_TIMEOUT_S
        while reply is not None and reply.status == "done" and time.monotonic() < end:
            if (leader := leader_status(_fetch_statuses(section), group)) is not None:
                click.echo(f"group {group} is led by {leader['leader']}; its other replicas follow")
                return
            time.sleep(0.1)
        click.echo(
            f"mapleshunt: {name} does not lead group {group} yet; see `mapleshunt copies groups`", err=True
        )
        raise SystemExit(EXIT_UNAVAILABLE)
    plan = {
        "group": group, "goes_on_with": name, "confirm": best["state"], "last": best["last"],
        "surely_kept": best["commit"], "log_time_ms": round(best["stamp"]),
        "missing": [voter for voter in best["voters"] if voter not in
                    {f"{gateway}/{statuses[gateway]['incarnation']}" for gateway, _ in replicas}],
        "lost_for_good": [voter for voter in best["voters"] if _is_lost(voter, statuses)],
        "others": {gateway: replica["last"] for gateway, replica in replicas if gateway != name},
    }  # fmt: skip
    if as_json:
        print_json(plan)
        return
    table(["group", "recover from", "last entry", "committed entry", "missing voters", "lost for good"], [[
        group, name, best["last"], best["commit"], " ".join(plan["missing"]) or "none",
        " ".join(plan["lost_for_good"]) or "none",
    ]])  # fmt: skip
    click.echo(
        f"What the missing replicas acknowledged after entry {best['last']} will be lost: leases may be\n"
        "granted again while gateways still use them, usage counted since is not billed, and records\n"
        "return to earlier values. The replica of a missing machine that returns is cleared. If a missing\n"
        "machine can be restored, restore it instead.\n"
        f"To continue: mapleshunt copies recover {group} --confirm {best['state']}"
    )


async def _set_records(section: Any, groups: list[int], key: str, value: str) -> list[dict[str, Any]]:
    """Set a record of each group, unless it has that value."""
    from ..replicated_state import commands as state_commands
    from ..replicated_state.results import Applied
    from ..testbed.replica_client import ReplicaClient

    async def set_record(group: int) -> dict[str, Any]:
        client = ReplicaClient(
            f"cli-{os.getpid()}-{random.getrandbits(32):x}", _peer_addresses(section), section.fleet,
            group, [], time.monotonic, random.Random(),
        )  # fmt: skip
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                record: Any = await client.read("record", key)
                if value == (record.value if record is not None else ""):
                    return {"group": group, "said": "told"}
                await client.execute(state_commands.OpenSession())
                command = state_commands.SetRecord(key, value, record.version if record is not None else 0)
                result = await client.execute(command)
                return {"group": group, "said": "told" if isinstance(result, Applied) else "told otherwise"}
        except TimeoutError:
            return {"group": group, "said": "nobody leads"}
        finally:
            client.close()

    return list(await asyncio.gather(*(set_record(group) for group in groups)))


def _bucket_json(bucket: Any) -> dict[str, Any]:
    """Return a bucket under the keys of the command's JSON output."""
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
    """Inspect the buckets that gateways keep for customers."""


@holdings.command()
@click.argument("customer")
@settings_option
@json_option
def show(customer: str, file: Path | None, as_json: bool) -> None:
    """Show a customer's token bucket at the leader of its group."""
    from ..replication.placement import group_of_customer
    from ..testbed.replica_client import ReplicaClient

    section = _load_section(file)

    async def read() -> Any:
        client = ReplicaClient(
            f"cli-{os.getpid()}", _peer_addresses(section), section.fleet,
            group_of_customer(customer, section.groups), [], time.monotonic, random.Random(),
        )  # fmt: skip
        try:
            return await asyncio.wait_for(client.read("store", customer), CALL_TIMEOUT_S)
        finally:
            client.close()

    try:
        bucket = asyncio.run(read())
    except TimeoutError:
        click.echo("mapleshunt: no leader of the customer's group answered", err=True)
        raise SystemExit(EXIT_UNAVAILABLE) from None
    if as_json:
        print_json(_bucket_json(bucket) if bucket is not None else None)
    elif bucket is None:
        click.echo(f"nothing is held for {customer}")
    else:
        table(["figure", "value"], [
            ["level, units", bucket.level], ["burst, units", bucket.burst],
            ["rate, units/s", bucket.rate_per_ms * 1000],
            ["leases", len(bucket.leases)],
            ["units leased", sum(lease.units for _, lease in bucket.leases)],
            ["reservations", len(bucket.reservations)], ["counted usage, units", bucket.counted_usage],
        ])  # fmt: skip
