"""The testbed: real gateways on loopback, faults on sockets, and violations by broken programs."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from mapleshunt.fleet.backend import BackendRequest
from mapleshunt.fleet.discovery import EndpointEntry
from mapleshunt.fleet.faults import Fault
from mapleshunt.recording import file_format
from mapleshunt.simulation.day import RuleLimits, Scenario, draw_run, resized
from mapleshunt.simulation.records import ClientAttempt, RequestRecord, UpstreamAttempt
from mapleshunt.simulation.rule_checker import RuleChecker
from mapleshunt.simulation.scenarios import SCENARIOS
from mapleshunt.testbed import clients, fleet, summary
from mapleshunt.testbed.clock import RunClock
from mapleshunt.testbed.errors import GatewayError

# Real gateways with timing checks: run one after another, also when other tests run in parallel.
pytestmark = pytest.mark.xdist_group("gateways")

ROOT = Path(__file__).parent.parent


def scenario(*faults: Fault, seconds: float = 4.0, **changes: Any) -> Scenario:
    base = resized(SCENARIOS["quiet"], gateways=2, backends=4, seconds=seconds)
    return replace(base, fault_plan=lambda rng, scenario: list(faults), **changes)


def test_demo_answers_every_request_exactly_once() -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "mapleshunt", "demo", "--seconds", "2", "--json"],
        cwd=ROOT,
        text=True,
        capture_output=True,
    )
    report = json.loads(completed.stdout)
    assert completed.returncode == 0 and report["exactly_one"] is True
    assert (
        report["served"] > 50
        and sum(report[result] for result in ("served", "refused", "failed")) == report["requests"]
    )
    assert not any(report["rules"].values())


def test_gateway_kill_backend_crash_and_drain_break_no_rule(tmp_path: Path) -> None:
    scenario_run = draw_run(scenario(
        Fault(800, "crash", 1200, (0,)), Fault(1000, "restart", 600, (1,)), Fault(1500, "drain", 300, (1,)),
        Fault(1200, "add", magnitude=1), Fault(500, "loss", 2000, magnitude=0.5),
        Fault(600, "counter_down", 900),
        fixed_parameters={"notice_ms": 300, "add_ms": 100, "front_notice_ms": 400},
    ), 5)  # fmt: skip
    loopback, score = fleet.run_on_loopback(scenario_run, tmp_path)
    assert not any(score.rules.values()), score.stories
    attempts = loopback.rule_checker.client_attempts
    assert any(
        attempt.gateway == 1 and attempt.accepted and attempt.result is None for attempt in attempts
    ), "no request was in flight at the kill"
    # When the machine stalls, a few answers may come only after their clients have left.
    unanswered = [
        attempt
        for attempt in attempts
        if attempt.accepted and attempt.gateway == 0 and attempt.result is None
    ]
    assert (
        all(attempt in loopback.timed_out for attempt in unanswered)
        and len(unanswered) <= len(attempts) / 100
    )
    assert any(
        attempt.gateway == 1 and attempt.result is not None and attempt.sent_at > 1700 for attempt in attempts
    ), "the killed gateway did not come back"
    assert (
        loopback.gateways[1].starts == 2
        and loopback.unknown_requests == 0
        and loopback.gossip.oversized_datagrams == 0
    )
    after_drain = [
        upstream
        for attempt in attempts
        for upstream in attempt.attempts
        if upstream.endpoint == 1 and upstream.sent_at > 1500 + 300 + 550 + 400
    ]
    assert not after_drain, "sent to a draining backend"
    assert any(upstream.endpoint == 4 for attempt in attempts for upstream in attempt.attempts), (
        "the new backend was not used"
    )
    assert summary.exactly_once(loopback) is False  # requests in flight at the kill got no answer


@pytest.mark.parametrize(
    ("timeout_ms", "connect_s", "response_s", "expected"),
    [(1000.0, 0.6, 0.7, "refused"), (200.0, 0.0, 0.4, "late")],
    ids=["time_to_connect_does_not_count", "response_within_the_slack_is_late"],
)
def test_client_timeout_counts_from_the_sending_of_the_request(
    monkeypatch: pytest.MonkeyPatch, timeout_ms: float, connect_s: float, response_s: float, expected: str
) -> None:
    async def gateway(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        await asyncio.sleep(response_s)
        writer.write(b"-BUSY 7\r\n")
        await reader.read()
        writer.close()

    async def slow_connect(connection: clients.ClientConnection) -> None:
        await asyncio.sleep(connect_s)
        await connect(connection)

    connect = clients.ClientConnection.connect
    monkeypatch.setattr(clients.ClientConnection, "connect", slow_connect)

    async def send() -> tuple[Any, Any, Any]:
        server = await asyncio.start_server(gateway, "127.0.0.1", 0)
        results: list[str] = []
        loopback: Any = SimpleNamespace(
            gateways=[SimpleNamespace(port=server.sockets[0].getsockname()[1])],
            clock=RunClock(), timed_out=[],
            scenario_run=SimpleNamespace(rules=RuleLimits(answer_slack_ms=2000.0)),
            command=lambda *_: b"PING\r\n",
            rule_checker=SimpleNamespace(client_answered=lambda attempt, result, at: results.append(result)),
        )  # fmt: skip
        attempt: Any = ClientAttempt(1, SimpleNamespace(), 1, 0, 0.0, timeout_ms)  # type: ignore[arg-type]
        socket_clients = clients.SocketClients(loopback)
        ended = await socket_clients._send(attempt, "x")
        socket_clients.close_idle_connections(0)
        server.close()
        return ended[0], results, loopback.timed_out

    assert asyncio.run(send()) == (expected, ["refused"], [])


@pytest.mark.parametrize("ignores_quotas", [False, True])
def test_quotas_hold_over_all_gateways_under_low_load(tmp_path: Path, ignores_quotas: bool) -> None:
    """The allowed excess is 0.1 over that of a policy that sees all usage with a delay, here taken as 0.

    A program that admits requests beyond its view of the quota exceeds that, so the scenario shows the fault.
    """
    scenario_run = draw_run(resized(SCENARIOS["quiet"], gateways=3, backends=4, seconds=5.0), 2)
    program = copy_program(tmp_path, IGNORE_QUOTAS) if ignores_quotas else ROOT
    _, score = fleet.run_on_loopback(scenario_run, tmp_path / "logs", program)
    assert not any(score.rules.values()), score.stories
    assert (score.penalties["over_quota"] > 0.1) is ignores_quotas and score.service > 0.9


def test_unresponsive_backend_is_avoided_and_used_again_after_it_recovers(tmp_path: Path) -> None:
    fault = Fault(500, "silent", 1500, (0,))
    scenario_run = draw_run(
        scenario(fault, seconds=5.0, fixed_parameters={"silent_notice_ms": 5000, "add_ms": 100}), 6
    )
    loopback, score = fleet.run_on_loopback(scenario_run, tmp_path)
    assert not any(score.rules.values()), score.stories
    sent_at = [
        upstream.sent_at
        for attempt in loopback.rule_checker.client_attempts
        for upstream in attempt.attempts
        if upstream.endpoint == 0
    ]
    assert sum(1200 < at < 2000 for at in sent_at) < sum(at < 500 for at in sent_at)
    assert any(at > 2500 for at in sent_at)


def test_planned_leave_of_a_gateway_loses_no_request(tmp_path: Path) -> None:
    scenario_run = draw_run(scenario(Fault(1000, "leave", 500, (0,)), seconds=3.0), 7)
    loopback, score = fleet.run_on_loopback(scenario_run, tmp_path)
    assert not any(score.rules.values()), score.stories
    assert all(
        attempt.result is not None for attempt in loopback.rule_checker.client_attempts if attempt.accepted
    )


def copy_program(tmp_path: Path, *changes: tuple[str, str, str]) -> Path:
    """Copy the program with lines changed; a change is file (below the package), line and replacement."""
    target, pending = tmp_path / "program", list(changes)
    package = ROOT / "mapleshunt"
    for source in package.rglob("*.py"):
        copy = target / source.relative_to(ROOT)
        copy.parent.mkdir(parents=True, exist_ok=True)
        text = source.read_text()
        file = source.relative_to(package).as_posix()
        for change in [change for change in pending if change[0] == file and change[1] in text]:
            text = text.replace(change[1], change[2])
            pending.remove(change)
        copy.write_text(text)
    assert not pending, f"lines to change were not found: {pending}"
    return target


APPEND_ATTEMPT = "        request.attempts.append(Attempt(endpoint, now))\n"
APPEND_SECOND_ATTEMPT = """        if len(request.attempts) == 1:
            request.attempts.append(Attempt(endpoint, now))
            self._actions.append(StartAttempt(request.request_id, endpoint.info.endpoint))
"""
IGNORE_QUOTAS = (
    "policy/quota_check.py", "if shortfall > 0 or self._has_too_many_open", "if self._has_too_many_open"
)  # fmt: skip
BROKEN_PROGRAMS = {
    "two_out": [("policy/dispatch.py", APPEND_ATTEMPT, APPEND_ATTEMPT + APPEND_SECOND_ATTEMPT)],
    "lost": [("net/request/respond.py", "        context.response_sink.serve(value)\n",
              "        context.response_sink.serve(memoryview(b'nonsense'))\n")],
    # The state is checked again before bytes go out: both checks must be broken.
    "drain": [("policy/endpoints.py", 'endpoint.info.state == "ready"',
               'endpoint.info.state in ("ready", "draining")'),
              ("net/upstream/endpoint_group.py", 'pool.endpoint.state == "ready"',
               'pool.endpoint.state != "gone"')],
}  # fmt: skip


def test_attempts_of_a_killed_gateway_are_checked_against_its_last_endpoint_list() -> None:
    # Bytes that it sent arrive after the kill. Its endpoint list was dropped with the process, and each such
    # attempt counted as a violation.
    scenario_run = draw_run(scenario(), 8)
    checker = RuleChecker(scenario_run, scenario_run.settings()[0])
    checker.endpoint_list_delivered(0, [EndpointEntry(1, 0), EndpointEntry(2, 0, "draining")], 100.0)
    request = RequestRecord(scenario_run.traffic.requests[0]).request
    for endpoint, violations in (1, 0), (2, 1), (3, 2):
        attempt = ClientAttempt(endpoint, request, 1, 0, 2000.0, 1000.0)
        upstream = UpstreamAttempt(
            endpoint, 0, 2000.0, BackendRequest((endpoint, 0), 1.0, 3000.0, None, 1.0, 0)
        )
        checker.attempt_sent(attempt, upstream, 0, 2000.0)
        assert checker.violations["drain"] == violations, checker.descriptions


@pytest.mark.parametrize("rule", BROKEN_PROGRAMS)
def test_violations_of_a_broken_program_are_counted(tmp_path: Path, rule: str) -> None:
    scenario_run = draw_run(scenario(Fault(300, "drain", 100, (0,)), seconds=2.5), 8)
    _, score = fleet.run_on_loopback(
        scenario_run, tmp_path / "logs", copy_program(tmp_path, *BROKEN_PROGRAMS[rule])
    )
    assert score.rules[rule] > 0, score.rules


def test_gateway_that_does_not_start_or_exits_raises_an_error(tmp_path: Path) -> None:
    scenario_run = draw_run(scenario(seconds=2.0), 9)
    broken = copy_program(
        tmp_path / "a",
        (
            "server/bootstrap.py",
            "def run_gateway() -> int:\n",
            "def run_gateway() -> int:\n    raise SystemExit(3)\n",
        ),
    )
    with pytest.raises(GatewayError, match="exited at startup"):
        fleet.run_on_loopback(scenario_run, tmp_path / "logs", broken)
    exiting = copy_program(
        tmp_path / "b",
        (
            "net/policy_driver.py",
            "        self._execute(actions)\n",
            "        self._execute(actions)\n        if len(self.open_requests) > 2:\n"
            "            import os\n\n"
            "            os._exit(4)\n",
        ),
    )
    with pytest.raises(GatewayError, match="exited unexpectedly"):
        fleet.run_on_loopback(scenario_run, tmp_path / "logs", exiting)


def test_recordings_hold_the_requests_and_attempts_that_crossed_the_sockets(tmp_path: Path) -> None:
    (tmp_path / "o.sexp").write_text(f'(record (file "{tmp_path}/{{name}}.rec") (salt "s"))')
    scenario_run = draw_run(scenario(seconds=2.0, rate=60.0), 10)
    loopback, _ = fleet.run_on_loopback(
        scenario_run, tmp_path, env={"PROXY_OPERATORS": str(tmp_path / "o.sexp")}
    )
    rows = [
        row
        for number in range(2)
        for row in file_format.read_recording((tmp_path / f"n{number}.rec").read_bytes()).rows
    ]
    attempts = [attempt for attempt in loopback.rule_checker.client_attempts if attempt.accepted]
    assert len(rows) == len(attempts)
    for result in ("served", "refused", "failed"):
        assert sum(recorded.outcome == result for recorded in rows) == sum(
            attempt.result == result for attempt in attempts
        )
    sent = [upstream for recorded in rows for upstream in recorded.attempts if upstream.status != "unsent"]
    assert abs(len(sent) - sum(len(attempt.attempts) for attempt in attempts)) <= 2
    assert sum(recorded.true_cost for recorded in rows) == sum(
        attempt.request.units for attempt in attempts if attempt.result == "served"
    )


def test_invalid_operators_file_ends_the_start_with_one_line(tmp_path: Path) -> None:
    (tmp_path / "o.sexp").write_text("(record (file 3))")
    scenario_run = draw_run(scenario(seconds=1.0), 9)
    with pytest.raises(GatewayError, match=r"mapleshunt: .*o\.sexp:1:15: file: expected `str`, got `int`"):
        fleet.run_on_loopback(scenario_run, tmp_path, env={"PROXY_OPERATORS": str(tmp_path / "o.sexp")})
