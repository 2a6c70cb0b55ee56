"""Checkouts of the former layout, whose types are translated, and former names of settings and constants."""

from __future__ import annotations

from pathlib import Path

import pytest

from mapleshunt import (
    AttemptEnded,
    EndpointInfo,
    EndpointUpdate,
    Plan,
    RejectReason,
    RejectRequest,
    RequestClass,
    RequestReceived,
    Settings,
    StartAttempt,
)
from mapleshunt.simulation import checkouts
from mapleshunt.simulation.variants import parse_pair

INTERFACE = """
from dataclasses import make_dataclass

def fields(text):
    return [(name, object) for name in text.split()]

def kind(name, text):
    return make_dataclass(name, fields(text))

Settings = kind("Settings", "me instances classes plans mail_per_s largest")
RequestClass = kind(
    "RequestClass", "name aim deadline effect group window late_worth stream worth"
)
Plan = kind("Plan", "name rate burst open_limit ceiling_rate ceiling_burst")
ServerEntry = kind("ServerEntry", "server zone cell state started age")
Members = kind("Members", "kind entries")
Request = kind("Request", "ref cls plan customer patience units spread first retry")
Outcome = kind("Outcome", "ref status closed attempt server latency cost")
Send = kind("Send", "ref server timeout before")
Refuse = kind("Refuse", "ref wait why")
Fail = kind("Fail", "ref")
Cancel = kind("Cancel", "ref attempt")
SetTimer = kind("SetTimer", "at token")
Tell = kind("Tell", "peer data")
Watch = kind("Watch", "")
"""
CONTROL = """
from . import interface as i

class Gateway:
    def __init__(self, settings, seed, now):
        self.settings, self.servers = settings, []

    def start(self):
        return []

    def handle(self, now, event):
        if isinstance(event, i.Members):
            self.servers = [one.server for one in event.entries]
            return []
        if isinstance(event, i.Request):
            return [i.Send(event.ref, self.servers[0], 0.0, event.patience)]
        return [i.Refuse(event.ref, self.settings.mail_per_s, "tries")]
"""


def test_checkout_of_the_former_layout_runs_with_translated_types(tmp_path: Path) -> None:
    package = tmp_path / "mapleshunt"
    package.mkdir()
    for name, text in (("__init__", ""), ("interface", INTERFACE), ("control", CONTROL)):
        (package / f"{name}.py").write_text(text)
    assert checkouts.is_checkout(tmp_path) and not checkouts.is_checkout(package)
    factory, _ = checkouts.load_decisions(checkouts.load_package(package, "former_layout_of_a_test"))
    settings = Settings(
        gateway_index=0,
        gateway_count=1,
        classes={"look": RequestClass("look", latency_objective=500, deadline=2000)},
        plans={"thin": Plan("thin", rate=1, burst=2)},
        gossip_intake_per_s=40.0,
    )
    gateway = factory(settings, 1, 0.0)
    assert gateway.handle(0.0, EndpointUpdate("complete", (EndpointInfo(5),))) == []
    request = RequestReceived(3, "look", "thin", "c", remaining_time=900.0)
    assert gateway.handle(1.0, request) == [StartAttempt(3, 5, 0.0, 900.0)]
    (rejected,) = gateway.handle(2.0, AttemptEnded(3, "error", False, 0, 5, 1.0))
    assert rejected == RejectRequest(3, 40.0) and rejected.reason is RejectReason.ATTEMPTS_FAILED


def test_former_names_are_accepted_and_current_names_reported_once(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert parse_pair("tip_over=3") == ("overload_crash_multiple", 3)
    assert parse_pair("tip_over=4") == ("overload_crash_multiple", 4)
    assert parse_pair("STRETCH=2.5") == ("MAX_STRETCH_OVER_BEST", 2.5)
    reported = capsys.readouterr().err.splitlines()
    assert reported == [
        "tip_over is now called overload_crash_multiple",
        "STRETCH is now called MAX_STRETCH_OVER_BEST",
    ]


def test_each_former_name_maps_to_a_current_setting_or_constant() -> None:
    for former in (*checkouts.SETTINGS.values(), *checkouts.CONSTANTS):
        if former not in ("me", "instances"):  # the simulation sets these
            key, _ = parse_pair(f"{former}=1")
            assert key != former
