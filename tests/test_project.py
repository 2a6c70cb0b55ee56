"""The simulator adapter, validation of settings, the README's example, the policy's text, the deploy file."""

from __future__ import annotations

import ast
import io
import json
import os
import re
import shutil
import subprocess
import tomllib
from pathlib import Path
from typing import Any

import pytest

from mapleshunt import Plan, RequestClass, Settings
from mapleshunt.simulator_adapter import main

INVALID_EFFECT: Any = "odd"
ROOT = Path(__file__).parent.parent
ENV: dict[str, Any] = {
    "Me": 0,
    "NInstances": 1,
    "Zone": "z0",
    "Quantum": 4.0,
    "Discovery": "pushed",
    "SomethingNew": 1,
    "RequestClasses": [{"Name": "look", "Slo": 500.0, "Deadline": 2000.0, "Effect": "idempotent"}],
    "Packages": [{"Name": "thin", "QuotaRate": 1.0, "Burst": 1.0}],
    "PolicyLimits": {"MaxAttempts": 3, "RetryAfter": True, "MaxRetryAfter": 1000.0},
    "Invariants": {"ColdFrom": 0.25, "Cold": 1000.0, "Unheard": 1},
    "Specifics": {},
}
ROW = [5, "z0", "kind", 0, "Ready", 1, None]


def batch(now: float, *lines: list[Any]) -> list[list[Any]]:
    return [["BeginBatch", now], *lines, ["Go"]]


def run_adapter(*batches: list[list[Any]]) -> tuple[int, list[list[Any]]]:
    text = "\n".join(json.dumps(line) for messages in batches for line in messages)
    out = io.StringIO()
    code = main(io.StringIO(text), out)
    return code, [json.loads(line) for line in out.getvalue().splitlines()]


START = batch(10.0, ["Init", 3, 9, ENV], ["Catalog", 0, [ROW]], ["Topology", 3, "Persisted", 1, 0])


def ingress(ref: int, node: int = 3) -> list[Any]:
    return ["Ingress", node, ref, "look", "thin", "00ff", 900.0, 1, 1, 0, False, False]


def test_requests_within_the_quota_are_submitted_and_others_shed() -> None:
    code, got = run_adapter([], START, batch(20.0, ingress(1), ingress(2)))
    assert code == 0
    assert [line[0] for line in got] == ["Ready", "SubmitTo", "SetAlarm", "Shed", "Ready"]
    assert got[1] == ["SubmitTo", 3, 1, 0.0, 5]


def test_each_event_is_accepted() -> None:
    lines = [
        ["Finished", 3, 1, "served", True, 86, 0, 3, 18.5, 5, {"odd": 1}],
        ["ClientGone", 3, 99],
        ["Fired", 3, 0],
        ["Memo", 3, 1, "garbled"],
        ["StatusBack", 3, 5, "served", 1.0, {}],
        ["Begun", 3, 1, 0, 5, 2.0],
        ["Tallied", 3, 7, "no_answer", 0, 50.0],
        ["Topology", 3, "Error", 0, 0],
    ]
    code, got = run_adapter(START, batch(20.0, ingress(1)), batch(30.0, *lines))
    assert code == 0 and not [line for line in got if line[0] == "Broken"]


def test_destroy_and_init_in_one_batch_reset_the_gateway() -> None:
    code, got = run_adapter(
        START, batch(20.0, ingress(1)), batch(30.0, ["Destroy", 3], *START[1:-1], ingress(2))
    )
    assert code == 0 and [line for line in got if line[0] == "Shed"] == []


def test_redefined_catalog_number_has_its_new_meaning_from_then_on() -> None:
    other = [6, *ROW[1:]]
    code, got = run_adapter(
        START, batch(20.0, ["Catalog", 0, [other]], ["Topology", 3, "Complete", 2, 0], ingress(1))
    )
    assert code == 0 and ["SubmitTo", 3, 1, 0.0, 6] in got


def test_exception_in_the_policy_is_reported_as_broken() -> None:
    request = ingress(1)
    request[3] = "no such class"
    code, got = run_adapter(START, batch(20.0, request))
    assert code == 0 and [line[:2] for line in got if line[0] == "Broken"] == [["Broken", 3]]


@pytest.mark.parametrize(
    "text",
    [
        "nonsense",
        "{}",
        "[]",
        '["Novel",3]',
        '["Finished",3,1,"odd",true,0,0,0,1,5,{}]',
        '["Ingress",3]',
        '["Topology",3,"Complete",1,9]',
    ],
)
def test_malformed_line_gives_a_message_with_its_number_and_exit_status_2(
    text: str, capsys: pytest.CaptureFixture[str]
) -> None:
    out = io.StringIO()
    assert main(io.StringIO("\n" + text), out) == 2
    message = capsys.readouterr().err
    assert message.startswith("line 2: ") and "Traceback" not in message and out.getvalue() == ""


@pytest.mark.parametrize(
    ("make", "message"),
    [
        (lambda: Plan("p", rate=-1, burst=1), "rate must be 0 or more, not -1"),
        (lambda: Plan("p", rate=1), "burst must be above 0 with a rate"),
        (lambda: RequestClass("c", latency_objective=0, deadline=1), "latency_objective must be above 0 ms"),
        (
            lambda: RequestClass("c", latency_objective=1, deadline=1, effect=INVALID_EFFECT),
            "effect must be 'safe', 'keyed' or 'unsafe'",
        ),
        (
            lambda: Settings(gateway_index=2, gateway_count=2, classes={}, plans={}),
            "gateway_index must be from 0 to 1, not 2",
        ),
        (
            lambda: Settings(gateway_index=0, gateway_count=1, classes={}, plans={}, gossip_intake_per_s=0),
            "gossip_intake_per_s must be above 0",
        ),
    ],
)
def test_invalid_settings_raise_value_error(make: Any, message: str) -> None:
    with pytest.raises(ValueError, match=re.escape(message)):
        make()


def test_readme_example_gives_the_documented_output(capsys: pytest.CaptureFixture[str]) -> None:
    example = (ROOT / "README.md").read_text().split("```python\n")[1].split("```")[0]
    exec(compile(example, "README.md", "exec"), {})
    assert capsys.readouterr().out.splitlines() == ["start attempt 0", "start attempt 1", "reject 2"]


@pytest.mark.parametrize("path", sorted((ROOT / "mapleshunt" / "policy").glob("*.py")), ids=lambda p: p.stem)
def test_policy_module_is_short_and_has_no_name_of_a_deployment(path: Path) -> None:
    text = path.read_text()
    lines = text.splitlines()
    assert len(lines) < 400 and max(map(len, lines)) <= 110
    names = [
        "tender",
        "bangna",
        "kyushu",
        "search",
        "register",
        "submit-bid",
        "timetable",
        "book",
        "stock",
        "donation",
        "allocation",
        "basis",
        "standard",
        "premium",
        "basic",
        "business",
        "enterprise",
        "pantry",
        "local",
        "district",
        "hub",
        "room-",
        "building",
        "fukuoka",
        "2core",
        "3core",
        "4core",
    ]
    assert [name for name in names if re.search(rf"\b{name}", text.lower())] == []


POLICY = ROOT / "mapleshunt" / "policy"
# Policy modules with types, encodings and arithmetic only.
WITHOUT_DECISIONS = {
    "__init__", "actions", "bounded_table", "events", "exponential_decay", "gossip_codec", "settings",
    "token_bucket",
}  # fmt: skip


def test_deploy_file_lists_all_policy_modules_that_make_decisions() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    modules = [path for path in sorted(POLICY.glob("*.py")) if path.stem not in WITHOUT_DECISIONS]
    assert deploy["policy"] == [str(path.relative_to(ROOT)) for path in modules]


def imported_modules(path: Path) -> set[str]:
    """Return the modules that a file imports, in any scope; relative ones with their dots."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            found.add("." * node.level + (node.module or ""))
    return found


@pytest.mark.parametrize("path", sorted(POLICY.glob("*.py")), ids=lambda p: p.stem)
def test_policy_module_imports_only_the_allowed_modules_and_other_policy_modules(path: Path) -> None:
    allowed = {
        "__future__", "collections", "collections.abc", "dataclasses", "enum", "heapq", "math", "random",
        "typing", "zlib",
    }  # fmt: skip
    own = {f".{module.stem}" for module in POLICY.glob("*.py")}
    assert imported_modules(path) <= allowed | own


def test_build_recreates_an_incomplete_or_outdated_environment(tmp_path: Path) -> None:
    # An interrupted build left an incomplete folder that counted as complete: the gateway did not start, and
    # building again did nothing.
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    shutil.copy(ROOT / "requirements.txt", tmp_path)
    tools = tmp_path / "tools"
    tools.mkdir()
    python = tools / "python3"  # a fake python: logs its calls and creates what `venv` would create
    python.write_text(
        '#!/bin/sh\necho "$*" >> "$CALLS"\n'
        'case "$*" in "-m venv"*) rm -rf .venv-run; mkdir -p .venv-run/bin; cp "$0" .venv-run/bin/python;;\n'
        '"-m pip"*) exit "$FAILS";; esac\n'
    )
    python.chmod(0o755)

    def build(fails: int) -> tuple[int, list[str]]:
        calls = tmp_path / "calls"
        calls.write_text("")
        env = {"PATH": f"{tools}:{os.environ['PATH']}", "CALLS": str(calls), "FAILS": str(fails)}
        completed = subprocess.run(["/bin/sh", "-c", deploy["build"]], cwd=tmp_path, env=env, timeout=60)
        return completed.returncode, [line.split()[1] for line in calls.read_text().splitlines()]

    assert build(1) == (1, ["venv", "pip"])  # the installation of packages fails
    assert build(0) == (0, ["venv", "pip", "compileall"])
    assert build(0) == (0, ["compileall"])
    with (tmp_path / "requirements.txt").open("a") as file:
        file.write("another==1\n")
    assert build(0) == (0, ["venv", "pip", "compileall"])


def test_run_and_sim_replace_the_shell_by_one_process() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    # Before `exec` the shell may only ignore a signal, which starts no process.
    assert re.fullmatch(r"(trap '' HUP; )?exec [^;&|`$()]+", deploy["run"])
    assert re.fullmatch(r"exec [^;&|`$()]+", deploy["sim"])
