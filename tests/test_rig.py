"""The rig: real gateways on loopback, faults on sockets, and that it sees rules broken by a bad program."""

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
from mapleshunt.recording import file_format as form
from mapleshunt.simulation.day import RuleLimits, Scenario, draw_run, resized
from mapleshunt.simulation.records import ClientAttempt, RequestRecord, UpstreamAttempt
from mapleshunt.simulation.rule_checker import RuleChecker
from mapleshunt.simulation.scenarios import SCENARIOS
from mapleshunt.testbed import clients, fleet, summary
from mapleshunt.testbed.clock import DayClock
from mapleshunt.testbed.errors import GatewayError

# Real gateways, timed: one after another, whatever runs beside them.
pytestmark = pytest.mark.xdist_group("gateways")

ROOT = Path(__file__).parent.parent


def scenario(*faults: Fault, seconds: float = 4.0, **changes: Any) -> Scenario:
    base = resized(SCENARIOS["quiet"], gateways=2, backends=4, seconds=seconds)
    return replace(base, fault_plan=lambda rng, scenario: list(faults), **changes)


def test_demo_answers_every_request_exactly_once() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "mapleshunt", "demo", "--seconds", "2", "--json"],
        cwd=ROOT,
        text=True,
        capture_output=True,
    )
    found = json.loads(done.stdout)
    assert done.returncode == 0 and found["exactly_one"] is True
    assert (
        found["served"] > 50 and sum(found[k] for k in ("served", "refused", "failed")) == found["requests"]
    )
    assert not any(found["rules"].values())


def test_a_gateway_killed_with_requests_open_a_crash_and_a_drain_break_no_rule(tmp_path: Path) -> None:
    day = draw_run(scenario(
        Fault(800, "crash", 1200, (0,)), Fault(1000, "restart", 600, (1,)), Fault(1500, "drain", 300, (1,)),
        Fault(1200, "add", magnitude=1), Fault(500, "loss", 2000, magnitude=0.5),
        Fault(600, "counter_down", 900),
        fixed_parameters={"notice_ms": 300, "add_ms": 100, "front_notice_ms": 400},
    ), 5)  # fmt: skip
    found, score = fleet.play_day(day, tmp_path)
    assert not any(score.rules.values()), score.stories
    tries = found.rule_checker.client_attempts
    assert any(t.gateway == 1 and t.accepted and t.result is None for t in tries), (
        "nothing was open at the kill"
    )
    # A machine that stands still may keep the gateway from a few answers until their clients have gone.
    silent = [t for t in tries if t.accepted and t.gateway == 0 and t.result is None]
    assert all(t in found.timed_out for t in silent) and len(silent) <= len(tries) / 100
    assert any(t.gateway == 1 and t.result is not None and t.sent_at > 1700 for t in tries), "it is back"
    assert (
        found.gateways[1].starts == 2
        and found.unknown_requests == 0
        and found.gossip.oversized_datagrams == 0
    )
    after = [a for t in tries for a in t.attempts if a.endpoint == 1 and a.sent_at > 1500 + 300 + 550 + 400]
    assert not after, "sent to a draining server"
    assert any(a.endpoint == 4 for t in tries for a in t.attempts), "the new server was not used"
    assert summary.exactly_once(found) is False  # the kill left some without an answer, and that shows


@pytest.mark.parametrize(
    ("patience", "connecting", "answering", "told"),
    [(1000.0, 0.6, 0.7, "refused"), (200.0, 0.0, 0.4, "late")],
    ids=["counted_from_the_sending", "after_its_patience_and_within_the_slack"],
)
def test_an_answer_counts_by_the_time_since_the_request_was_sent(
    monkeypatch: pytest.MonkeyPatch, patience: float, connecting: float, answering: float, told: str
) -> None:
    async def gateway(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        await asyncio.sleep(answering)
        writer.write(b"-BUSY 7\r\n")
        await reader.read()
        writer.close()

    async def connect(link: clients.ClientConnection) -> None:
        await asyncio.sleep(connecting)
        await really(link)

    really = clients.ClientConnection.connect
    monkeypatch.setattr(clients.ClientConnection, "connect", connect)

    async def play() -> tuple[Any, Any, Any]:
        server = await asyncio.start_server(gateway, "127.0.0.1", 0)
        heard: list[str] = []
        day: Any = SimpleNamespace(
            gateways=[SimpleNamespace(port=server.sockets[0].getsockname()[1])],
            clock=DayClock(), timed_out=[],
            scenario_run=SimpleNamespace(rules=RuleLimits(answer_slack_ms=2000.0)),
            command=lambda *_: b"PING\r\n",
            rule_checker=SimpleNamespace(client_answered=lambda one, final, at: heard.append(final)),
        )  # fmt: skip
        one: Any = ClientAttempt(1, SimpleNamespace(), 1, 0, 0.0, patience)  # type: ignore[arg-type]
        found = clients.SocketClients(day)
        ended = await found._send(one, "x")
        found.drop(0)
        server.close()
        return ended[0], heard, day.timed_out

    assert asyncio.run(play()) == (told, ["refused"], [])


@pytest.mark.parametrize("bad", [False, True])
def test_on_a_quiet_day_quotas_hold_over_all_gateways(tmp_path: Path, bad: bool) -> None:
    """0.1 more than a policy that sees all, if late, is allowed; here against none. A program that lets in
    whoever its view refuses shows that the day would tell.
    """
    day = draw_run(resized(SCENARIOS["quiet"], gateways=3, backends=4, seconds=5.0), 2)
    program = checkout(tmp_path, QUOTA_IGNORED) if bad else ROOT
    _, score = fleet.play_day(day, tmp_path / "logs", program)
    assert not any(score.rules.values()), score.stories
    assert (score.penalties["over_quota"] > 0.1) is bad and score.service > 0.9


def test_a_silent_machine_is_left_alone_and_found_again(tmp_path: Path) -> None:
    fault = Fault(500, "silent", 1500, (0,))
    day = draw_run(
        scenario(fault, seconds=5.0, fixed_parameters={"silent_notice_ms": 5000, "add_ms": 100}), 6
    )
    found, score = fleet.play_day(day, tmp_path)
    assert not any(score.rules.values()), score.stories
    at = [a.sent_at for t in found.rule_checker.client_attempts for a in t.attempts if a.endpoint == 0]
    assert sum(1200 < one < 2000 for one in at) < sum(one < 500 for one in at)
    assert any(one > 2500 for one in at)


def test_a_planned_leave_loses_nothing(tmp_path: Path) -> None:
    day = draw_run(scenario(Fault(1000, "leave", 500, (0,)), seconds=3.0), 7)
    found, score = fleet.play_day(day, tmp_path)
    assert not any(score.rules.values()), score.stories
    assert all(t.result is not None for t in found.rule_checker.client_attempts if t.accepted)


def checkout(tmp_path: Path, *changes: tuple[str, str, str]) -> Path:
    """A copy of the program with some lines changed: file below the package, line, replacement."""
    target, left = tmp_path / "program", list(changes)
    package = ROOT / "mapleshunt"
    for source in package.rglob("*.py"):
        place = target / source.relative_to(ROOT)
        place.parent.mkdir(parents=True, exist_ok=True)
        text = source.read_text()
        file = source.relative_to(package).as_posix()
        for change in [one for one in left if one[0] == file and one[1] in text]:
            text = text.replace(change[1], change[2])
            left.remove(change)
        place.write_text(text)
    assert not left, "a line to change is not there"
    return target


APPENDED = "        request.attempts.append(Attempt(endpoint, now))\n"
TWICE = """        if len(request.attempts) == 1:
            request.attempts.append(Attempt(endpoint, now))
            self._actions.append(StartAttempt(request.request_id, endpoint.info.endpoint))
"""
QUOTA_IGNORED = (
    "policy/quota_check.py", "if lack > 0 or self._has_too_many_open", "if self._has_too_many_open"
)  # fmt: skip
BAD = {
    "two_out": [("policy/dispatch.py", APPENDED, APPENDED + TWICE)],
    "lost": [("net/request/respond.py", "        context.response_sink.serve(value)\n",
              "        context.response_sink.serve(memoryview(b'nonsense'))\n")],
    # The host asks again before bytes go out: both must be bad.
    "drain": [("policy/endpoints.py", 'one.info.state == "ready"', 'one.info.state in ("ready", "draining")'),
              ("net/upstream/endpoint_group.py", 'pool.endpoint.state == "ready"',
               'pool.endpoint.state != "gone"')],
}  # fmt: skip


def test_bytes_that_a_killed_gateway_left_are_judged_by_what_it_had_been_told() -> None:
    # They arrive after the kill. The list was forgotten with the process: each such attempt broke the rule.
    day = draw_run(scenario(), 8)
    watchman = RuleChecker(day, day.settings()[0])
    watchman.endpoint_list_delivered(0, [EndpointEntry(1, 0), EndpointEntry(2, 0, "draining")], 100.0)
    ask = RequestRecord(day.traffic.requests[0]).request
    for server, broken in (1, 0), (2, 1), (3, 2):
        one = ClientAttempt(server, ask, 1, 0, 2000.0, 1000.0)
        attempt = UpstreamAttempt(server, 0, 2000.0, BackendRequest((server, 0), 1.0, 3000.0, None, 1.0, 0))
        watchman.attempt_sent(one, attempt, 0, 2000.0)
        assert watchman.violations["drain"] == broken, watchman.descriptions


@pytest.mark.parametrize("rule", BAD)
def test_the_rig_sees_a_bad_program_break_a_rule(tmp_path: Path, rule: str) -> None:
    day = draw_run(scenario(Fault(300, "drain", 100, (0,)), seconds=2.5), 8)
    _, score = fleet.play_day(day, tmp_path / "logs", checkout(tmp_path, *BAD[rule]))
    assert score.rules[rule] > 0, score.rules


def test_a_program_that_does_not_start_or_ends_is_told_in_a_line(tmp_path: Path) -> None:
    day = draw_run(scenario(seconds=2.0), 9)
    broken = checkout(
        tmp_path / "a",
        (
            "server/bootstrap.py",
            "def run_gateway() -> int:\n",
            "def run_gateway() -> int:\n    raise SystemExit(3)\n",
        ),
    )
    with pytest.raises(GatewayError, match="ended at its start"):
        fleet.play_day(day, tmp_path / "logs", broken)
    dies = checkout(
        tmp_path / "b",
        (
            "net/policy_driver.py",
            "        self._execute(actions)\n",
            "        self._execute(actions)\n        if len(self.open_requests) > 2:\n"
            "            import os\n\n"
            "            os._exit(4)\n",
        ),
    )
    with pytest.raises(GatewayError, match="ended by themselves"):
        fleet.play_day(day, tmp_path / "logs", dies)


def test_gateways_record_what_crossed_the_sockets(tmp_path: Path) -> None:
    (tmp_path / "o.sexp").write_text(f'(record (file "{tmp_path}/{{name}}.rec") (salt "s"))')
    day = draw_run(scenario(seconds=2.0, rate=60.0), 10)
    found, _ = fleet.play_day(day, tmp_path, env={"PROXY_OPERATORS": str(tmp_path / "o.sexp")})
    rows = [row for n in range(2) for row in form.read_recording((tmp_path / f"n{n}.rec").read_bytes()).rows]
    tries = [t for t in found.rule_checker.client_attempts if t.accepted]
    assert len(rows) == len(tries)
    for final in ("served", "refused", "failed"):
        assert sum(r.outcome == final for r in rows) == sum(t.result == final for t in tries)
    sent = [a for r in rows for a in r.attempts if a.status != "unsent"]
    assert abs(len(sent) - sum(len(t.attempts) for t in tries)) <= 2
    assert sum(r.true_cost for r in rows) == sum(t.request.units for t in tries if t.result == "served")


def test_an_operators_file_that_makes_no_sense_is_one_line_and_exit_status_2(tmp_path: Path) -> None:
    (tmp_path / "o.sexp").write_text("(record (file 3))")
    day = draw_run(scenario(seconds=1.0), 9)
    with pytest.raises(GatewayError, match=r"mapleshunt: .*o\.sexp:1:15: file: expected `str`, got `int`"):
        fleet.play_day(day, tmp_path, env={"PROXY_OPERATORS": str(tmp_path / "o.sexp")})
