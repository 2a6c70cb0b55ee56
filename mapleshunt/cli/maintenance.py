"""The command `mapleshunt maintenance`: take machines out for work, through the gateways' replication ports.

Exit status: 0; 1 if it cannot be done or answered now; 2 if the call is wrong. A command that is repeated
because no answer came is applied once: a request by its id, the others because a repetition changes nothing.
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
from .copies import (
    CALL_TIMEOUT_S,
    EXIT_UNAVAILABLE,
    _fetch_statuses,
    _load_section,
    _peer_addresses,
    settings_option,
)
from .output import CommandError, json_option, print_json, table

author_option = click.option(
    "--author",
    default=lambda: os.environ.get("USER", "operator"),
    help="Author of the change; by default $USER.",
)


@click.group()
def maintenance() -> None:
    """Take machines out for work, one after another."""


def _call_group_zero(section: Any, call: Callable[[Any], Any]) -> Any:
    """Return the result of a call to the leader of group 0; exit with status 1 if none answers."""
    from ..testbed.replica_client import ReplicaClient

    async def run() -> Any:
        client = ReplicaClient(
            f"cli-{os.getpid()}-{random.getrandbits(32):x}", _peer_addresses(section), section.fleet, 0, [],
            time.monotonic, random.Random(),
        )  # fmt: skip
        try:
            return await asyncio.wait_for(call(client), CALL_TIMEOUT_S)
        finally:
            client.close()

    try:
        return asyncio.run(run())
    except TimeoutError:
        click.echo(f"mapleshunt: no leader of group 0 answered within {CALL_TIMEOUT_S:g} s", err=True)
        raise SystemExit(EXIT_UNAVAILABLE) from None


def _read_jobs(section: Any) -> tuple[float, Any]:
    """Return the log's time in ms and the committed maintenance jobs."""
    from ..maintenance.jobs import MaintenanceJobs
    from ..maintenance.records import MaintenanceSnapshot

    log_time_ms, snapshot = _call_group_zero(
        section, lambda client: client.read("works", "", tuple[float, MaintenanceSnapshot])
    )
    jobs = MaintenanceJobs()
    jobs.restore(snapshot)
    return log_time_ms, jobs


def _execute(section: Any, operation: Any) -> None:
    """Execute an operation.

    Raises:
        CommandError: the operation is denied; the message is the reason.
    """
    from ..replicated_state import commands as state_commands
    from ..replicated_state.results import Denied

    async def execute(client: Any) -> Any:
        await client.execute(state_commands.OpenSession())
        return await client.execute(operation)

    result = _call_group_zero(section, execute)
    if isinstance(result, Denied):
        raise CommandError(result.reason)


def _check_machine_names(section: Any, machines: tuple[str, ...]) -> None:
    names = [peer.name for peer in section.peer]
    if unknown := [machine for machine in machines if machine not in names]:
        raise CommandError(f"no machine is named {unknown[0]!r}; the machines are {', '.join(sorted(names))}")


@maintenance.command()
@click.argument("machines", nargs=-1)
@click.option("--all", "every", is_flag=True, help="All gateways of the fleet.")
@click.option("--reason", required=True)
@author_option
@click.option(
    "--expected", default=600.0, show_default=True, help="Seconds that each machine is expected to be out."
)
@click.option("--earliest", default=0.0, help="Unix time before which no machine is taken out.")
@click.option(
    "--urgency",
    default=0,
    type=click.IntRange(0, 9),
    help="0 to 9; each step counts as ten minutes of waiting.",
)
@click.option("--long", "long_work", is_flag=True, help="Move the replicas off each machine first.")
@click.option("--version", default="", help="Version that returning machines must run.")
@click.option("--id", "name", help="Id of the request; a repeated id is accepted once.")
@settings_option
@json_option
def request(
    machines: tuple[str, ...], every: bool, reason: str, author: str, expected: float, earliest: float,
    urgency: int, long_work: bool, version: str, name: str | None, file: Path | None, as_json: bool,
) -> None:  # fmt: skip
    """Request maintenance of MACHINES and print the request's id."""
    section = _load_section(file)
    if every == bool(machines):
        raise CommandError("name machines or pass --all, not both")
    chosen = tuple(sorted(peer.name for peer in section.peer)) if every else machines
    _check_machine_names(section, chosen)
    name = name or f"{author}-{random.getrandbits(40):010x}"
    _execute(
        section,
        RequestMaintenance(name, chosen, reason, author, expected, earliest, urgency, long_work, version),
    )
    if as_json:
        print_json({"id": name, "machines": chosen})
    else:
        click.echo(name)


def _job_rows(jobs: Any, log_time_ms: float, only: str = "") -> list[dict[str, Any]]:
    return [
        {"request": job.request_id, "machine": job.machine, "state": job.state, "fence": job.fencing_token,
         "for_s": round((log_time_ms - job.state_since) / 1000, 1),
         "left_s": round((job.expires_at - log_time_ms) / 1000, 1) if job.expires_at and job.state in
         ("granted", "draining", "safe") else None}
        for job in jobs.jobs.values() if not only or job.request_id == only
    ]  # fmt: skip


def _print_jobs(rows: list[dict[str, Any]]) -> None:
    table(["request", "machine", "state", "s in state", "s left of grant"], [
        [row["request"], row["machine"], row["state"], row["for_s"],
         "" if row["left_s"] is None else row["left_s"]] for row in rows
    ])  # fmt: skip


@maintenance.command(name="list")
@settings_option
@json_option
def list_(file: Path | None, as_json: bool) -> None:
    """List all known requests and the state of each machine."""
    log_time_ms, jobs = _read_jobs(_load_section(file))
    if as_json:
        print_json(_job_rows(jobs, log_time_ms))
    else:
        _print_jobs(_job_rows(jobs, log_time_ms))


def _request_json(request: RequestMaintenance) -> dict[str, Any]:
    """Return a request under the keys of the JSON output of `show`."""
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
    """Return a budget under the keys of the JSON output of `status`."""
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
    """Show a request and the history of its machines."""
    log_time_ms, jobs = _read_jobs(_load_section(file))
    if name not in jobs.requests:
        raise CommandError(f"no request has the id {name!r}")
    submitted = jobs.requests[name]
    history = [
        {"machine": job.machine, "ago_s": round((log_time_ms - step.at) / 1000, 1), "state": step.state,
         "why": step.reason, "who": step.author}
        for job in jobs.jobs.values() if job.request_id == name for step in job.history
    ]  # fmt: skip
    if as_json:
        print_json({"request": _request_json(submitted.details), "story": history})
        return
    age_s = round((log_time_ms - submitted.submitted_at) / 1000)
    click.echo(f"{name}: {submitted.details.reason} ({submitted.details.author}), {age_s} s ago")
    table(["machine", "s ago", "state", "reason", "author"], [list(step.values()) for step in history])


@maintenance.command()
@click.option("--watch", is_flag=True, help="Repeat each second until no job is open.")
@settings_option
@json_option
def status(watch: bool, file: Path | None, as_json: bool) -> None:
    """Show the open jobs, and why the waiting ones wait."""
    section = _load_section(file)
    while True:
        log_time_ms, jobs = _read_jobs(section)
        rows = [
            row for row in _job_rows(jobs, log_time_ms) if row["state"] not in ("done", "withdrawn", "failed")
        ]
        ended = len(jobs.jobs) - len(rows)
        report = {
            "open": rows, "over": ended, "waits_for": jobs.blocked_reason, "held": jobs.hold_reason,
            "failures": jobs.failures, "budget": _budget_json(jobs.budget),
        }  # fmt: skip
        if as_json:
            print_json(report)
        else:
            _print_jobs(rows)
            click.echo(f"{ended} ended, {len(rows)} open; {jobs.blocked_reason or 'no machine waits'}")
        if not watch or not rows:
            return
        time.sleep(1.0)


@maintenance.command()
@settings_option
@json_option
def plan(file: Path | None, as_json: bool) -> None:
    """Simulate the open requests: batches of machines in order, and what would block the others."""
    section = _load_section(file)
    log_time_ms, jobs = _read_jobs(section)
    batches, duration_s = _simulate_batches(section, jobs, log_time_ms, _fetch_statuses(section))
    queued = [job.machine for job in jobs.open_jobs() if job.state == "queued"]
    planned = [machine for batch in batches for machine in batch]
    blocked = [machine for machine in queued if machine not in planned]
    spread = _duration_spread(jobs)
    report = {
        "batches": batches, "expected_s": round(duration_s),
        "spread_s": [round(duration_s * factor) for factor in spread],
        "blocked": blocked, "why": jobs.blocked_reason if blocked else "",
    }  # fmt: skip
    if as_json:
        print_json(report)
    else:
        table(["batch", "machines"], [[number, " ".join(batch)] for number, batch in enumerate(batches, 1)])
        low, high = (round(duration_s * factor) for factor in spread)
        click.echo(f"about {round(duration_s)} s, {low} to {high} s at the pace of finished machines")
        if blocked:
            click.echo(f"blocked: {' '.join(blocked)}: {jobs.blocked_reason}")


def _duration_spread(jobs: Any) -> tuple[float, float]:
    """Return the least and the greatest ratio of the time a machine was out to the expected time."""
    ratios = []
    for job in jobs.jobs.values():
        entered_at = {step.state: step.at for step in job.history}
        if job.state == "done" and "out" in entered_at:
            ratios.append(
                (entered_at["done"] - entered_at["out"])
                / 1000
                / jobs.requests[job.request_id].details.expected_s
            )
    return (min(ratios), max(ratios)) if ratios else (1.0, 1.0)


def _simulate_batches(
    section: Any, jobs: Any, log_time_ms: float, statuses: dict[str, Any]
) -> tuple[list[list[str]], float]:
    """Return the batches and the s until all are done; `jobs` is changed and holds what blocks the others."""
    from ..maintenance import commands as maintenance_commands
    from ..maintenance import fleet_view

    zones = {peer.name: peer.zone for peer in section.peer}
    # A machine that is drained now takes clients again once it is back.
    statuses = {name: {**status, "takes": True} for name, status in statuses.items() if status is not None}
    now, wall, batches = log_time_ms, time.time(), list[list[str]]()
    next_states = {"granted": ("draining", "safe", "out"), "draining": ("safe", "out"), "safe": ("out",),
            "recalled": ("undone",)}  # fmt: skip
    idle_rounds, duration_s = 0, 0.0
    while jobs.open_jobs() and idle_rounds < 100:
        jobs.apply(now, fleet_view.build_fleet_view(wall, zones, section.groups, statuses, jobs))
        batch = []
        for job in jobs.open_jobs():
            for state in next_states.get(job.state, ()):
                jobs.apply(now, maintenance_commands.ReportProgress(job.machine, job.fencing_token, state))
            if "out" in next_states.get(job.state, ()):
                batch.append(job.machine)
        batches += [batch] if batch else []
        out = [job for job in jobs.open_jobs() if job.state in ("out", "overdue")]
        step_s = max(
            (jobs.requests[job.request_id].details.expected_s for job in out),
            default=jobs.budget.pause_s + 1,
        )
        now, wall = now + 1000 * step_s, wall + step_s
        for job in out:
            jobs.apply(now, maintenance_commands.ReportProgress(job.machine, job.fencing_token, "returning"))
        idle_rounds = 0 if out else idle_rounds + 1
        duration_s = (now - log_time_ms) / 1000 if out else duration_s
    return batches, duration_s


@maintenance.command()
@click.argument("name", metavar="ID")
@author_option
@settings_option
def withdraw(name: str, author: str, file: Path | None) -> None:
    """Withdraw a request: queued machines stay, draining ones serve again, those out return as usual."""
    from ..maintenance.commands import WithdrawRequest

    _execute(_load_section(file), WithdrawRequest(name, author))


@maintenance.command()
@click.option("--reason", default="")
@author_option
@settings_option
def hold(reason: str, author: str, file: Path | None) -> None:
    """Grant no maintenance until `resume`."""
    from ..maintenance.commands import SetHold

    _execute(_load_section(file), SetHold(True, author, reason))


@maintenance.command()
@author_option
@settings_option
def resume(author: str, file: Path | None) -> None:
    """Grant maintenance again after a hold or after failures of machines."""
    from ..maintenance.commands import SetHold

    _execute(_load_section(file), SetHold(False, author))


@maintenance.command()
@click.argument("machine")
@click.option("--reason", required=True)
@author_option
@settings_option
def force(machine: str, reason: str, author: str, file: Path | None) -> None:
    """Grant MACHINE now, regardless of the budget, but never below a majority of a group."""
    from ..maintenance.commands import ForceGrant

    section = _load_section(file)
    _check_machine_names(section, (machine,))
    _execute(section, ForceGrant(machine, author, reason))


@maintenance.command(name="await-safe")
@click.argument("machine")
@click.option("--patience", default=3600.0, show_default=True, help="Seconds to wait at most.")
@settings_option
def await_safe(machine: str, patience: float, file: Path | None) -> None:
    """Wait until MACHINE is safe to work on and mark it out (exit status 0), or will not be safe (1)."""
    from ..maintenance import commands as maintenance_commands
    from ..replicated_state import commands as state_commands
    from ..replicated_state.results import Applied

    section = _load_section(file)
    _check_machine_names(section, (machine,))
    end = time.monotonic() + patience
    while time.monotonic() < end:
        _, jobs = _read_jobs(section)
        job = jobs.job_of(machine)
        if job is None:
            break
        if job.state == "out":
            return
        if job.state == "safe":
            report = maintenance_commands.ReportProgress(machine, job.fencing_token, "out")

            async def execute(client: Any, report: maintenance_commands.ReportProgress = report) -> Any:
                await client.execute(state_commands.OpenSession())
                return await client.execute(report)

            if isinstance(_call_group_zero(section, execute), Applied):
                return
        time.sleep(0.3)
    click.echo(f"mapleshunt: {machine} is not safe to work on", err=True)
    raise SystemExit(EXIT_UNAVAILABLE)


@maintenance.command(name="return")
@click.argument("machine")
@settings_option
def return_(machine: str, file: Path | None) -> None:
    """Report that MACHINE is back; its job is done once it has passed the checks."""
    from ..maintenance.commands import ReportProgress

    section = _load_section(file)
    _check_machine_names(section, (machine,))
    job = _read_jobs(section)[1].job_of(machine)
    if job is None or job.state not in ("out", "overdue", "returning"):
        raise CommandError(
            f"{machine} is not out, but {job.state if job is not None else 'in no open request'}"
        )
    _execute(section, ReportProgress(machine, job.fencing_token, "returning"))
