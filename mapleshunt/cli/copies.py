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
import msgspec

from .output import Trouble, json_option, print_json, table

NOT_NOW = 1
PATIENCE = 5.0  # s


def _section(file: Path | None) -> Any:
    from ..settings import operators
    from ..settings.reader import SettingsError

    path = file or operators.named()
    if path is None:
        raise Trouble(f"name the operators' file, or set {operators.VARIABLE}")
    try:
        chosen = operators.load(path).copies
    except SettingsError as error:
        raise Trouble(str(error)) from None
    if chosen is None:
        raise Trouble(f"{path} has no section (copies ...)")
    return chosen


def _addresses(section: Any) -> dict[str, tuple[str, int]]:
    from ..net.config import ConfigError, address

    try:
        return {one.name: address(one.address, f"peer {one.name}") for one in section.peer}
    except ConfigError as error:
        raise Trouble(str(error)) from None


def _statuses(section: Any) -> dict[str, Any]:
    from ..rig.callers import statuses

    return asyncio.run(statuses(_addresses(section), section.fleet))


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


@copies.command()
@settings_option
@json_option
def groups(file: Path | None, as_json: bool) -> None:
    """Each group: who leads, decides and listens, and how far it is; exit status 1 if one has no leader."""
    from ..rig.callers import leading

    section = _section(file)
    found = _statuses(section)
    rows, lacking = [], 0
    for number in range(section.groups):
        told = [one for each in found.values() if each for one in each["groups"] if one["group"] == number]
        leads = leading(found, number)
        best = leads or max(told, key=lambda one: (one["term"], one["commit"]), default=None)
        lacking += leads is None
        rows.append({
            "group": number, "leader": leads["leader"] if leads else "none",
            "state": "led" if leads else "no quorum" if best and best["voters"] else "not formed",
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
@click.option("--group", "only", type=int, help="This group alone, not all that the gateway holds.")
@settings_option
@json_option
def replace(gateway: str, only: int | None, file: Path | None, as_json: bool) -> None:
    """Move the copies that GATEWAY holds to others, each once its successor has caught up.

    Exit status 1 if a group could not be told now (nobody leads it, or it has just handed over): call again.
    """
    from ..copies.messages import gateway_of
    from ..rig.callers import ask, leading

    section = _section(file)
    addresses = _addresses(section)
    if gateway not in addresses:
        raise Trouble(f"no peer is named {gateway!r}; there are {', '.join(sorted(addresses))}")

    found, rows = _statuses(section), []
    for number in range(section.groups) if only is None else (only,):
        leads = leading(found, number)
        if leads is None:
            rows.append({"group": number, "said": "nobody leads"})
        elif gateway in map(gateway_of, leads["voters"]):
            reply = asyncio.run(ask(addresses[leads["leader"]], section.fleet, "replace", number, gateway))
            said = reply.how if reply is not None else "not answered"
            rows.append({"group": number, "said": "begun" if said == "done" else said})
    if as_json:
        print_json(rows)
    else:
        table(["group", "said"], [[one["group"], one["said"]] for one in rows])
    if any(one["said"] != "begun" for one in rows):
        raise SystemExit(NOT_NOW)


@click.group()
def holdings() -> None:
    """What gateways hold for customers."""


@holdings.command()
@click.argument("customer")
@settings_option
@json_option
def show(customer: str, file: Path | None, as_json: bool) -> None:
    """A customer's store as its group's leader holds it now: level, leases, reservations, counted use."""
    from ..copies.placement import group_of
    from ..rig.callers import Caller

    section = _section(file)

    async def read() -> Any:
        caller = Caller(
            f"cli-{os.getpid()}", _addresses(section), section.fleet, group_of(customer, section.groups), [],
            time.monotonic, random.Random(),
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
        print_json(msgspec.structs.asdict(found) if found is not None else None)
    elif found is None:
        click.echo(f"nothing is held for {customer}")
    else:
        table(["figure", "value"], [
            ["level, units", found.level], ["burst, units", found.burst],
            ["rate, units/s", found.rate * 1000],
            ["leases", len(found.held)], ["units leased", sum(one.units for _, one in found.held)],
            ["reservations", len(found.names)], ["counted use, units", found.counted],
        ])  # fmt: skip
