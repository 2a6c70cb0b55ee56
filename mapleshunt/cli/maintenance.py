"""`mapleshunt maintenance ...`: take machines out for work, through the port that gateways' copies share.

Exit status: 0, 1 if it cannot be done or told now, 2 if what was asked is wrong. What is called again because
nobody answered is applied once: a request by its id, the rest because it changes nothing the second time.
"""

from __future__ import annotations

import asyncio
import os
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from ..maintenance.budget import Budget
from ..maintenance.commands import RequestMaintenance
from .copies import NOT_NOW, PATIENCE, _addresses, _section, _statuses, settings_option
from .output import Trouble, json_option, print_json, table

author_option = click.option(
    "--author", default=lambda: os.environ.get("USER", "operator"), help="Who asks; $USER if not given."
)


@click.group()
def maintenance() -> None:
    """Machines taken out for work, one after another."""


def _with(section: Any, do: Callable[[Any], Any]) -> Any:
    """Call group 0 until it is answered."""
    from ..testbed.replica_client import ReplicaClient

    async def run() -> Any:
        caller = ReplicaClient(
            f"cli-{os.getpid()}-{random.getrandbits(32):x}", _addresses(section), section.fleet, 0, [],
            time.monotonic, random.Random(),
        )  # fmt: skip
        try:
            return await asyncio.wait_for(do(caller), PATIENCE)
        finally:
            caller.close()

    try:
        return asyncio.run(run())
    except TimeoutError:
        click.echo("mapleshunt: nobody who leads group 0 answers", err=True)
        raise SystemExit(NOT_NOW) from None


def _works(section: Any) -> tuple[float, Any]:
    """The log's time, ms, and what is settled."""
    from ..maintenance.jobs import MaintenanceJobs
    from ..maintenance.records import MaintenanceSnapshot

    stamp, frozen = _with(section, lambda caller: caller.read("works", "", tuple[float, MaintenanceSnapshot]))
    works = MaintenanceJobs()
    works.restore(frozen)
    return stamp, works


def _do(section: Any, operation: Any) -> None:
    """Raises `Trouble` with why it was refused."""
    from ..replicated_state import commands as words
    from ..replicated_state.results import Denied

    async def once(caller: Any) -> Any:
        await caller.execute(words.OpenSession())
        return await caller.execute(operation)

    result = _with(section, once)
    if isinstance(result, Denied):
        raise Trouble(result.reason)


def _known(section: Any, machines: tuple[str, ...]) -> None:
    names = [one.name for one in section.peer]
    if odd := [one for one in machines if one not in names]:
        raise Trouble(f"no machine is named {odd[0]!r}; there are {', '.join(sorted(names))}")


@maintenance.command()
@click.argument("machines", nargs=-1)
@click.option("--all", "every", is_flag=True, help="All gateways of the fleet.")
@click.option("--reason", required=True)
@author_option
@click.option("--expected", default=600.0, show_default=True, help="Seconds that a machine is out.")
@click.option("--earliest", default=0.0, help="Unix time before which nobody goes.")
@click.option("--urgency", default=0, type=click.IntRange(0, 9), help="A step is worth ten minutes.")
@click.option("--long", "long_work", is_flag=True, help="Move its copies off first.")
@click.option("--version", default="", help="Machines have to be back with this version.")
@click.option("--id", "name", help="Of the request: the same again is taken once.")
@settings_option
@json_option
def request(
    machines: tuple[str, ...], every: bool, reason: str, author: str, expected: float, earliest: float,
    urgency: int, long_work: bool, version: str, name: str | None, file: Path | None, as_json: bool,
) -> None:  # fmt: skip
    """Ask for work on MACHINES; prints the request's id."""
    section = _section(file)
    if every == bool(machines):
        raise Trouble("name machines, or --all")
    chosen = tuple(sorted(one.name for one in section.peer)) if every else machines
    _known(section, chosen)
    name = name or f"{author}-{random.getrandbits(40):010x}"
    _do(
        section,
        RequestMaintenance(name, chosen, reason, author, expected, earliest, urgency, long_work, version),
    )
    if as_json:
        print_json({"id": name, "machines": chosen})
    else:
        click.echo(name)


def _rows(works: Any, stamp: float, only: str = "") -> list[dict[str, Any]]:
    return [
        {"request": one.request_id, "machine": one.machine, "state": one.state, "fence": one.fencing_token,
         "for_s": round((stamp - one.state_since) / 1000, 1),
         "left_s": round((one.expires_at - stamp) / 1000, 1) if one.expires_at and one.state in
         ("granted", "draining", "safe") else None}
        for one in works.jobs.values() if not only or one.request_id == only
    ]  # fmt: skip


def _table(rows: list[dict[str, Any]]) -> None:
    table(["request", "machine", "state", "for, s", "grant left, s"], [
        [one["request"], one["machine"], one["state"], one["for_s"],
         "" if one["left_s"] is None else one["left_s"]] for one in rows
    ])  # fmt: skip


@maintenance.command(name="list")
@settings_option
@json_option
def list_(file: Path | None, as_json: bool) -> None:
    """All requests that are known, and where each machine is."""
    stamp, works = _works(_section(file))
    if as_json:
        print_json(_rows(works, stamp))
    else:
        _table(_rows(works, stamp))


def _request_json(request: RequestMaintenance) -> dict[str, Any]:
    """By the keys that `show` has always had."""
    return {
        "id": request.request_id,
        "machines": request.machines,
        "reason": request.reason,
        "author": request.author,
        "expected": request.expected_s,
        "earliest": request.earliest_time,
        "urgency": request.urgency,
        "long": request.move_replicas,
        "version": request.target_version,
    }


def _budget_json(budget: Budget) -> dict[str, Any]:
    """By the keys that `status` has always had."""
    return {
        "most": budget.max_out,
        "zone": budget.max_out_per_zone,
        "load": budget.max_load,
        "slack": budget.load_slack,
        "pause": budget.pause_s,
        "drain": budget.drain_s,
        "failures": budget.max_failures,
        "closed": budget.closed_windows,
    }


@maintenance.command()
@click.argument("name", metavar="ID")
@settings_option
@json_option
def show(name: str, file: Path | None, as_json: bool) -> None:
    """A request's whole story: who, when, why, each record."""
    stamp, works = _works(_section(file))
    if name not in works.requests:
        raise Trouble(f"there is no request {name}")
    asked = works.requests[name]
    stories = [
        {"machine": one.machine, "ago_s": round((stamp - step.at) / 1000, 1), "state": step.state,
         "why": step.reason, "who": step.author}
        for one in works.jobs.values() if one.request_id == name for step in one.history
    ]  # fmt: skip
    if as_json:
        print_json({"request": _request_json(asked.details), "story": stories})
        return
    age_s = round((stamp - asked.submitted_at) / 1000)
    click.echo(f"{name}: {asked.details.reason} ({asked.details.author}), {age_s} s ago")
    table(["machine", "s ago", "state", "why", "who"], [list(one.values()) for one in stories])


@maintenance.command()
@click.option("--watch", is_flag=True, help="Again each second, until nothing is open.")
@settings_option
@json_option
def status(watch: bool, file: Path | None, as_json: bool) -> None:
    """What is at work, what waits, and why."""
    section = _section(file)
    while True:
        stamp, works = _works(section)
        rows = [one for one in _rows(works, stamp) if one["state"] not in ("done", "withdrawn", "failed")]
        over = len(works.jobs) - len(rows)
        told = {
            "open": rows, "over": over, "waits_for": works.blocked_reason, "held": works.hold_reason,
            "failures": works.failures, "budget": _budget_json(works.budget),
        }  # fmt: skip
        if as_json:
            print_json(told)
        else:
            _table(rows)
            click.echo(
                f"{over} over, {len(rows)} open; {works.blocked_reason or 'nobody waits for anything'}"
            )
        if not watch or not rows:
            return
        time.sleep(1.0)


@maintenance.command()
@settings_option
@json_option
def plan(file: Path | None, as_json: bool) -> None:
    """In what order machines would go if nothing else happened, in batches, and what would block them."""
    section = _section(file)
    stamp, works = _works(section)
    batches, took = _simulated(section, works, stamp, _statuses(section))
    left = [one.machine for one in works.open_jobs() if one.state == "queued"]
    went = [one for batch in batches for one in batch]
    stuck = [one for one in left if one not in went]
    spread = _spread(works)
    told = {
        "batches": batches, "expected_s": round(took), "spread_s": [round(took * one) for one in spread],
        "blocked": stuck, "why": works.blocked_reason if stuck else "",
    }  # fmt: skip
    if as_json:
        print_json(told)
    else:
        table(["batch", "machines"], [[n, " ".join(one)] for n, one in enumerate(batches, 1)])
        low, high = (round(took * one) for one in spread)
        click.echo(f"about {round(took)} s, {low} to {high} s by those done so far")
        if stuck:
            click.echo(f"would not go: {' '.join(stuck)}: {works.blocked_reason}")


def _spread(works: Any) -> tuple[float, float]:
    """Least and most of the times that machines were out, as parts of what was expected."""
    parts = []
    for one in works.jobs.values():
        at = {step.state: step.at for step in one.history}
        if one.state == "done" and "out" in at:
            parts.append((at["done"] - at["out"]) / 1000 / works.requests[one.request_id].details.expected_s)
    return (min(parts), max(parts)) if parts else (1.0, 1.0)


def _simulated(section: Any, works: Any, stamp: float, told: dict[str, Any]) -> tuple[list[list[str]], float]:
    """Batches, and s until all are done; `works` keeps what blocks the rest."""
    from ..maintenance import commands as w
    from ..maintenance import fleet_view as sight

    zones = {one.name: one.zone for one in section.peer}
    # Who is drained now takes clients again once it is back.
    told = {name: {**one, "takes": True} for name, one in told.items() if one is not None}
    now, wall, batches = stamp, time.time(), list[list[str]]()
    ways = {"granted": ("draining", "safe", "out"), "draining": ("safe", "out"), "safe": ("out",),
            "recalled": ("undone",)}  # fmt: skip
    idle, took = 0, 0.0
    while works.open_jobs() and idle < 100:
        works.apply(now, sight.build_fleet_view(wall, zones, section.groups, told, works))
        batch = []
        for one in works.open_jobs():
            for what in ways.get(one.state, ()):
                works.apply(now, w.ReportProgress(one.machine, one.fencing_token, what))
            if "out" in ways.get(one.state, ()):
                batch.append(one.machine)
        batches += [batch] if batch else []
        out = [one for one in works.open_jobs() if one.state in ("out", "overdue")]
        lasts = max(
            (works.requests[one.request_id].details.expected_s for one in out),
            default=works.budget.pause_s + 1,
        )
        now, wall = now + 1000 * lasts, wall + lasts
        for one in out:
            works.apply(now, w.ReportProgress(one.machine, one.fencing_token, "returning"))
        idle = 0 if out else idle + 1
        took = (now - stamp) / 1000 if out else took
    return batches, took


@maintenance.command()
@click.argument("name", metavar="ID")
@author_option
@settings_option
def withdraw(name: str, author: str, file: Path | None) -> None:
    """Take a request back: who waits does not go, who drains works again, who is out comes back."""
    from ..maintenance.commands import WithdrawRequest

    _do(_section(file), WithdrawRequest(name, author))


@maintenance.command()
@click.option("--reason", default="")
@author_option
@settings_option
def hold(reason: str, author: str, file: Path | None) -> None:
    """No grants from now on."""
    from ..maintenance.commands import SetHold

    _do(_section(file), SetHold(True, author, reason))


@maintenance.command()
@author_option
@settings_option
def resume(author: str, file: Path | None) -> None:
    """Go on after a hold, or after machines failed."""
    from ..maintenance.commands import SetHold

    _do(_section(file), SetHold(False, author))


@maintenance.command()
@click.argument("machine")
@click.option("--reason", required=True)
@author_option
@settings_option
def force(machine: str, reason: str, author: str, file: Path | None) -> None:
    """Let MACHINE go now, whatever the budget says; never below a majority of a group."""
    from ..maintenance.commands import ForceGrant

    section = _section(file)
    _known(section, (machine,))
    _do(section, ForceGrant(machine, author, reason))


@maintenance.command(name="await-safe")
@click.argument("machine")
@click.option("--patience", default=3600.0, show_default=True, help="Seconds.")
@settings_option
def await_safe(machine: str, patience: float, file: Path | None) -> None:
    """Wait until MACHINE may be worked on (exit status 0), or will not be (1). From then on it is out."""
    from ..maintenance import commands as w
    from ..replicated_state import commands as h
    from ..replicated_state.results import Applied

    section = _section(file)
    _known(section, (machine,))
    end = time.monotonic() + patience
    while time.monotonic() < end:
        _, works = _works(section)
        place = works.job_of(machine)
        if place is None:
            break
        if place.state == "out":
            return
        if place.state == "safe":
            told = w.ReportProgress(machine, place.fencing_token, "out")

            async def once(caller: Any, told: w.ReportProgress = told) -> Any:
                await caller.execute(h.OpenSession())
                return await caller.execute(told)

            if isinstance(_with(section, once), Applied):
                return
        time.sleep(0.3)
    click.echo(f"mapleshunt: {machine} is not to be worked on", err=True)
    raise SystemExit(NOT_NOW)


@maintenance.command(name="return")
@click.argument("machine")
@settings_option
def return_(machine: str, file: Path | None) -> None:
    """MACHINE is back: it is checked, and then done."""
    from ..maintenance.commands import ReportProgress

    section = _section(file)
    _known(section, (machine,))
    place = _works(section)[1].job_of(machine)
    if place is None or place.state not in ("out", "overdue", "returning"):
        raise Trouble(f"{machine} is not out, but {place.state if place is not None else 'not asked for'}")
    _do(section, ReportProgress(machine, place.fencing_token, "returning"))
