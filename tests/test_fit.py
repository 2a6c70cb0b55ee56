"""From a recording to a fitted world: figures found again, other rates, partial and bad recordings."""

from __future__ import annotations

import json
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import msgspec
import numpy as np
import pytest

from mapleshunt.policy.gateway import Gateway
from mapleshunt.recording import file_format as form
from mapleshunt.recording.file_format import RecordedAttempt, RecordedRequest
from mapleshunt.simulation import fit, fit_estimates, fitted_fleet, recorded_traffic, replay
from mapleshunt.simulation.day import Scenario, ScenarioRun, draw_run, resized
from mapleshunt.simulation.engine import Engine
from mapleshunt.simulation.experiments import run_scenario
from mapleshunt.simulation.scenarios import SCENARIOS
from mapleshunt.simulation.score import score_run
from mapleshunt.simulation.validation import compare_with_prediction

ROOT = Path(__file__).parent.parent
BASE = replace(resized(SCENARIOS["quiet"], 3, 6, seconds=25), installation_seed=4, load=(0.45, 0.45))


def rows_of(engine: Engine) -> list[tuple[RecordedRequest, int]]:
    """What gateways would have recorded of a played day."""
    day, out = engine.scenario_run, []
    for one in engine.rule_checker.client_attempts:
        if one.accepted:
            request, customer = one.request, day.traffic.customers[one.request.customer]
            out.append((RecordedRequest(
                one.sent_at, engine.classes[request.class_index],
                day.parameters.plans[customer.plan].name, customer.name.encode(),
                request.estimated_units, request.units if one.result == "served" else 0.0, one.timeout_ms,
                customer.gateway_set_size, customer.first_gateway, one.number > 1, str(one.result or "gone"),
                one.answered_at - one.sent_at,
                tuple(
                    RecordedAttempt(
                        a.endpoint, a.status or "out", a.sent_at - one.sent_at, one.answered_at - a.sent_at
                    )
                    for a in one.attempts
                ),
            ), one.gateway))  # fmt: skip
    return out


@pytest.fixture(scope="module")
def day() -> ScenarioRun:
    return draw_run(BASE, 1)


@pytest.fixture(scope="module")
def rows(day: ScenarioRun) -> list[tuple[RecordedRequest, int]]:
    engine = Engine(day, Gateway)
    engine.run()
    return rows_of(engine)


def write(
    rows: list[tuple[RecordedRequest, int]], folder: Path, gateways: int, only: tuple[int, ...]
) -> list[Path]:
    files = []
    for gateway in only:
        mine = [form.ROW_ENCODER.encode(row) for row, owner in rows if owner == gateway]
        data = form.FILE_HEADER.pack(form.FILE_MAGIC, form.SLOT_BYTES, 64, gateway, gateways, 0.0, b"run")
        for number, at in enumerate(range(0, len(mine), 200)):
            data += form.pack_block(number, mine[at : at + 200], 0.0).ljust(form.SLOT_BYTES, b"\0")
        files.append(folder / f"g{gateway}.rec")
        files[-1].write_bytes(data)
    return files


@pytest.fixture(scope="module")
def fitted(
    day: ScenarioRun, rows: list[tuple[RecordedRequest, int]], tmp_path_factory: pytest.TempPathFactory
) -> fitted_fleet.Fit:
    traffic = recorded_traffic.read_recordings(write(rows, tmp_path_factory.mktemp("r"), 3, (0, 1, 2)))
    priority_weights = {c.name: c.priority_weight for c in day.parameters.classes}
    return fit.fit_fleet(
        traffic, fit.plans_of(day), priority_weights, 6, {"cores": 3.0}, fit.Search(draws=16, keep=6, jobs=4)
    )


def test_fit_finds_work_units_and_customers_without_recorded_speeds(
    day: ScenarioRun, fitted: fitted_fleet.Fit
) -> None:
    slow = float(np.mean([1 / backend.speed for backend in Engine(day, Gateway).backend_models.values()]))
    for found in fitted.classes:
        true = next(c for c in day.parameters.classes if c.name == found.name)
        # Within four standard errors, and a tenth for what the reckoning of shared cores leaves out.
        assert abs(found.work / (true.work * slow) - 1) < 4 * found.error + 0.1, found
        assert abs(found.share - true.share) < 0.05
    assert 0.85 < fitted.unit_ms / (day.parameters["unit_ms"] * slow) < 1.15
    assert len(fitted.customers) <= len(day.traffic.customers)
    recorded_rate = len(day.traffic.requests) / day.length_ms * 1000
    replayed = sum(replay.customer_rates(c, 100).mean() for c in fitted.customers)
    assert abs(replayed / recorded_rate - 1) < 0.05
    assert len(fitted.draws) == 6 and len({draw["peer_ms"] for draw in fitted.draws}) == 6


def test_retries_are_not_replayed_as_new_requests(
    day: ScenarioRun, rows: list[tuple[RecordedRequest, int]], fitted: fitted_fleet.Fit
) -> None:
    repeats = sum(row.is_retry for row, _ in rows)
    assert repeats > 100
    replayed = replay.day_from(fitted, BASE, 3, replay.Replay(fitted))
    assert abs(len(replayed.traffic.requests) / len(day.traffic.requests) - 1) < 0.15


def dispersion(day: ScenarioRun, customers: int) -> float:
    """Variance over mean of a customer's requests in windows of 2 s, mean over those with many."""
    found = []
    for number in range(customers):
        at = [a.arrives_at for a in day.traffic.requests if a.customer == number]
        counts = np.bincount((np.array(at) / 2000).astype(int), minlength=int(day.length_ms / 2000))
        if counts.mean() > 1.5:
            found.append(counts.var(ddof=1) / counts.mean())
    return float(np.mean(found))


def test_replay_at_three_times_the_rate_keeps_each_customers_burstiness(
    fitted: fitted_fleet.Fit,
) -> None:
    long = replace(BASE, seconds=60.0)

    def days(scale: float, by: str) -> list[ScenarioRun]:
        return [replay.day_from(fitted, long, seed, replay.Replay(fitted, scale, by)) for seed in (1, 2, 3)]

    once, more, faster = days(1, "customers"), days(3, "customers"), days(3, "rates")

    def count(drawn: list[ScenarioRun]) -> float:
        return float(np.mean([len(d.traffic.requests) for d in drawn]))

    assert 2.8 < count(more) / count(once) < 3.2 and 2.8 < count(faster) / count(once) < 3.2
    assert len(more[0].traffic.customers) == 3 * len(once[0].traffic.customers)
    assert len(faster[0].traffic.customers) == len(once[0].traffic.customers)
    plain = np.mean([dispersion(d, len(d.traffic.customers)) for d in once])
    tripled = np.mean([dispersion(d, len(d.traffic.customers)) for d in more])
    assert abs(tripled / plain - 1) < 0.25
    # At three times the rate chance is a third beside the spells: what exceeds it grows threefold.
    grown = np.mean([dispersion(d, len(d.traffic.customers)) for d in faster])
    assert grown > plain


def test_fit_of_two_of_three_recordings_finds_the_same_fleet(
    day: ScenarioRun, rows: list[tuple[RecordedRequest, int]], fitted: fitted_fleet.Fit, tmp_path: Path
) -> None:
    traffic = recorded_traffic.read_recordings(write(rows, tmp_path, 3, (0, 2)))
    assert traffic.coverage == pytest.approx(2 / 3) and traffic.recorded == (0, 2)
    found = fit_estimates.fit_customers(traffic)
    recorded_rate = sum(replay.customer_rates(c, 100).mean() for c in found)
    whole = sum(replay.customer_rates(c, 100).mean() for c in fitted.customers)
    assert 0.8 < recorded_rate / whole < 1.2
    classes, _ = fit_estimates.fit_classes(traffic, recorded_traffic.received(traffic, 3), {})
    for one, other in zip(classes, fitted.classes, strict=True):
        assert abs(one.work / other.work - 1) < 4 * one.error + 0.1


def test_recordings_that_do_not_fit_together_are_rejected(
    rows: list[tuple[RecordedRequest, int]], tmp_path: Path
) -> None:
    good = write(rows, tmp_path, 3, (0,))
    (tmp_path / "b").mkdir()
    other = write(rows, tmp_path / "b", 2, (1,))
    with pytest.raises(recorded_traffic.RecordedTrafficError, match="different sizes"):
        recorded_traffic.read_recordings(good + other)
    (tmp_path / "c").mkdir()
    with pytest.raises(recorded_traffic.RecordedTrafficError, match="no requests"):
        recorded_traffic.read_recordings(write([], tmp_path / "c", 3, (0,)))
    few = recorded_traffic.read_recordings(good)
    few.rows = few.rows[:50]
    with pytest.raises(ValueError, match="too few"):
        fit_estimates.fit_classes(few, recorded_traffic.received(few, 3), {})
    hurt = bytearray(good[0].read_bytes())
    hurt[form.FILE_HEADER.size + 300] ^= 0xFF
    good[0].write_bytes(bytes(hurt))
    assert any("damaged" in line for line in recorded_traffic.read_recordings(good).problems)


def test_segments_are_found_for_spells_and_not_for_noise() -> None:
    rng = np.random.default_rng(1)
    even = [len(np.unique(recorded_traffic.segments(rng.poisson(0.5, 200)))) for _ in range(50)]
    assert np.mean(even) < 1.4
    spell = np.concatenate([rng.poisson(0.3, 100), rng.poisson(4, 20), rng.poisson(0.3, 100)])
    rate = recorded_traffic.segments(spell)
    assert rate[105:115].mean() > 2.5 and rate[:90].mean() < 0.6
    assert rate.sum() == pytest.approx(spell.sum())


def test_fitted_fleet_predicts_another_day_of_the_same_installation(fitted: fitted_fleet.Fit) -> None:
    predicted = replay.scenario_from(fitted, BASE)
    model = [run_scenario(predicted, 100 + seed) for seed in range(19)]
    engine = Engine(draw_run(BASE, 2), Gateway)
    engine.run()
    lines = compare_with_prediction("quiet", 2, model, score_run(engine))
    assert {line.figure for line in lines} == {"service", "waste", "late_fail", "messages", "over_quota"}
    service = lines[0]
    assert service.low < service.mean < service.high
    # A day of chance lies outside one bar in ten, and outside this by far never.
    assert service.low - 0.05 < service.real < service.high + 0.05


def test_fit_command_writes_a_fit_that_the_run_command_plays(
    day: ScenarioRun, rows: list[tuple[RecordedRequest, int]], tmp_path: Path
) -> None:
    files = write(rows, tmp_path, 3, (0, 1, 2))
    plans = [
        {"Name": p.name, "QuotaRate": p.rate, "Burst": p.burst, "ValueFactor": p.price, "ExcessCost": 1.0}
        for p in day.parameters.plans
    ]
    (tmp_path / "config.json").write_text(json.dumps({"settings": {"Packages": plans}}))

    def command(*arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "mapleshunt", *arguments], cwd=ROOT, text=True, capture_output=True
        )

    done = command(
        "model",
        "fit",
        *map(str, files),
        "--settings",
        str(tmp_path / "config.json"),
        "--out",
        str(tmp_path / "fit.json"),
        "--draws",
        "8",
        "--keep",
        "3",
        "--know",
        "cores=3",
        "--json",
    )
    assert done.returncode == 0, done.stderr
    assert json.loads(done.stdout)["coverage"] == 1
    run = command("model", "run", f"fit:{tmp_path}/fit.json,crash,x2", "--seconds", "5", "--json")
    assert run.returncode == 0 and json.loads(run.stdout)["requests"] > 100, run.stderr
    for bad in (f"fit:{tmp_path}/none", f"fit:{tmp_path}/config.json", f"fit:{tmp_path}/fit.json,nosuch"):
        wrong = command("model", "run", bad)
        assert wrong.returncode == 2 and wrong.stderr.count("\n") == 1
    assert fitted_fleet.decode_fit((tmp_path / "fit.json").read_bytes()).gateways == 3
    with pytest.raises(ValueError, match="no fit"):
        fitted_fleet.decode_fit(msgspec.json.encode({"form": 1}))


def test_scale_out_of_range_is_rejected(fitted: fitted_fleet.Fit) -> None:
    base: Scenario = SCENARIOS["quiet"]
    for scale, by in ((0.0, "customers"), (3.0, "luck")):
        with pytest.raises(ValueError, match="scale"):
            replay.scenario_from(fitted, base, scale, by)
