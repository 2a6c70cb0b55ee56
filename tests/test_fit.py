"""Fits of recordings: estimates, replays at other rates, and partial or damaged recordings."""

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
    """Return the rows that gateways would have recorded of a run, with the gateway of each."""
    run, rows = engine.scenario_run, []
    for attempt in engine.rule_checker.client_attempts:
        if attempt.accepted:
            request, customer = attempt.request, run.traffic.customers[attempt.request.customer]
            rows.append((RecordedRequest(
                attempt.sent_at, engine.classes[request.class_index],
                run.parameters.plans[customer.plan].name, customer.name.encode(),
                request.estimated_units, request.units if attempt.result == "served" else 0.0,
                attempt.timeout_ms, customer.gateway_set_size, customer.first_gateway, attempt.number > 1,
                str(attempt.result or "gone"), attempt.answered_at - attempt.sent_at,
                tuple(
                    RecordedAttempt(
                        upstream.endpoint, upstream.status or "out", upstream.sent_at - attempt.sent_at,
                        attempt.answered_at - upstream.sent_at,
                    )
                    for upstream in attempt.attempts
                ),
            ), attempt.gateway))  # fmt: skip
    return rows


@pytest.fixture(scope="module")
def scenario_run() -> ScenarioRun:
    return draw_run(BASE, 1)


@pytest.fixture(scope="module")
def rows(scenario_run: ScenarioRun) -> list[tuple[RecordedRequest, int]]:
    engine = Engine(scenario_run, Gateway)
    engine.run()
    return rows_of(engine)


def write_recordings(
    rows: list[tuple[RecordedRequest, int]], folder: Path, gateways: int, recording_gateways: tuple[int, ...]
) -> list[Path]:
    files = []
    for gateway in recording_gateways:
        encoded = [form.ROW_ENCODER.encode(row) for row, recorded_by in rows if recorded_by == gateway]
        data = form.FILE_HEADER.pack(form.FILE_MAGIC, form.SLOT_BYTES, 64, gateway, gateways, 0.0, b"run")
        for number, at in enumerate(range(0, len(encoded), 200)):
            data += form.pack_block(number, encoded[at : at + 200], 0.0).ljust(form.SLOT_BYTES, b"\0")
        files.append(folder / f"g{gateway}.rec")
        files[-1].write_bytes(data)
    return files


@pytest.fixture(scope="module")
def fitted(
    scenario_run: ScenarioRun,
    rows: list[tuple[RecordedRequest, int]],
    tmp_path_factory: pytest.TempPathFactory,
) -> fitted_fleet.Fit:
    traffic = recorded_traffic.read_recordings(
        write_recordings(rows, tmp_path_factory.mktemp("r"), 3, (0, 1, 2))
    )
    priority_weights = {c.name: c.priority_weight for c in scenario_run.parameters.classes}
    return fit.fit_fleet(
        traffic,
        fit.plans_of(scenario_run),
        priority_weights,
        6,
        {"cores": 3.0},
        fit.Search(draws=16, keep=6, jobs=4),
    )


def test_fit_finds_work_units_and_customers_without_recorded_speeds(
    scenario_run: ScenarioRun, fitted: fitted_fleet.Fit
) -> None:
    slow = float(
        np.mean([1 / backend.speed for backend in Engine(scenario_run, Gateway).backend_models.values()])
    )
    for fitted_class in fitted.classes:
        true = next(c for c in scenario_run.parameters.classes if c.name == fitted_class.name)
        # Four standard errors, and a tenth for what the estimate of shared cores leaves out.
        assert abs(fitted_class.work / (true.work * slow) - 1) < 4 * fitted_class.error + 0.1, fitted_class
        assert abs(fitted_class.share - true.share) < 0.05
    assert 0.85 < fitted.unit_ms / (scenario_run.parameters["unit_ms"] * slow) < 1.15
    assert len(fitted.customers) <= len(scenario_run.traffic.customers)
    recorded_rate = len(scenario_run.traffic.requests) / scenario_run.length_ms * 1000
    replayed = sum(replay.customer_rates(c, 100).mean() for c in fitted.customers)
    assert abs(replayed / recorded_rate - 1) < 0.05
    assert len(fitted.draws) == 6 and len({draw["peer_ms"] for draw in fitted.draws}) == 6


def test_retries_are_not_replayed_as_new_requests(
    scenario_run: ScenarioRun, rows: list[tuple[RecordedRequest, int]], fitted: fitted_fleet.Fit
) -> None:
    repeats = sum(row.is_retry for row, _ in rows)
    assert repeats > 100
    replayed = replay.draw_fitted_run(fitted, BASE, 3, replay.Replay(fitted))
    assert abs(len(replayed.traffic.requests) / len(scenario_run.traffic.requests) - 1) < 0.15


def dispersion(scenario_run: ScenarioRun, customers: int) -> float:
    """Return the variance over the mean of requests in windows of 2 s, averaged over the busy customers."""
    dispersions = []
    for number in range(customers):
        at = [a.arrives_at for a in scenario_run.traffic.requests if a.customer == number]
        counts = np.bincount((np.array(at) / 2000).astype(int), minlength=int(scenario_run.length_ms / 2000))
        if counts.mean() > 1.5:
            dispersions.append(counts.var(ddof=1) / counts.mean())
    return float(np.mean(dispersions))


def test_replay_at_three_times_the_rate_keeps_each_customers_burstiness(
    fitted: fitted_fleet.Fit,
) -> None:
    long = replace(BASE, seconds=60.0)

    def draw_runs(scale: float, by: str) -> list[ScenarioRun]:
        return [
            replay.draw_fitted_run(fitted, long, seed, replay.Replay(fitted, scale, by)) for seed in (1, 2, 3)
        ]

    once, more_customers, higher_rates = (
        draw_runs(1, "customers"),
        draw_runs(3, "customers"),
        draw_runs(3, "rates"),
    )

    def count(drawn: list[ScenarioRun]) -> float:
        return float(np.mean([len(d.traffic.requests) for d in drawn]))

    assert 2.8 < count(more_customers) / count(once) < 3.2 and 2.8 < count(higher_rates) / count(once) < 3.2
    assert len(more_customers[0].traffic.customers) == 3 * len(once[0].traffic.customers)
    assert len(higher_rates[0].traffic.customers) == len(once[0].traffic.customers)
    plain = np.mean([dispersion(d, len(d.traffic.customers)) for d in once])
    tripled = np.mean([dispersion(d, len(d.traffic.customers)) for d in more_customers])
    assert abs(tripled / plain - 1) < 0.25
    # At three times the rate Poisson noise is relatively smaller, so the dispersion of the spells stands out.
    grown = np.mean([dispersion(d, len(d.traffic.customers)) for d in higher_rates])
    assert grown > plain


def test_fit_of_two_of_three_recordings_finds_the_same_fleet(
    scenario_run: ScenarioRun,
    rows: list[tuple[RecordedRequest, int]],
    fitted: fitted_fleet.Fit,
    tmp_path: Path,
) -> None:
    traffic = recorded_traffic.read_recordings(write_recordings(rows, tmp_path, 3, (0, 2)))
    assert traffic.coverage == pytest.approx(2 / 3) and traffic.recorded == (0, 2)
    customers = fit_estimates.fit_customers(traffic)
    recorded_rate = sum(replay.customer_rates(c, 100).mean() for c in customers)
    complete_rate = sum(replay.customer_rates(c, 100).mean() for c in fitted.customers)
    assert 0.8 < recorded_rate / complete_rate < 1.2
    classes, _ = fit_estimates.fit_classes(traffic, recorded_traffic.served_work(traffic, 3), {})
    for partial, complete in zip(classes, fitted.classes, strict=True):
        assert abs(partial.work / complete.work - 1) < 4 * partial.error + 0.1


def test_recordings_that_do_not_fit_together_are_rejected(
    rows: list[tuple[RecordedRequest, int]], tmp_path: Path
) -> None:
    good = write_recordings(rows, tmp_path, 3, (0,))
    (tmp_path / "b").mkdir()
    other = write_recordings(rows, tmp_path / "b", 2, (1,))
    with pytest.raises(recorded_traffic.RecordedTrafficError, match="different sizes"):
        recorded_traffic.read_recordings(good + other)
    (tmp_path / "c").mkdir()
    with pytest.raises(recorded_traffic.RecordedTrafficError, match="no requests"):
        recorded_traffic.read_recordings(write_recordings([], tmp_path / "c", 3, (0,)))
    few = recorded_traffic.read_recordings(good)
    few.rows = few.rows[:50]
    with pytest.raises(ValueError, match="too few"):
        fit_estimates.fit_classes(few, recorded_traffic.served_work(few, 3), {})
    damaged = bytearray(good[0].read_bytes())
    damaged[form.FILE_HEADER.size + 300] ^= 0xFF
    good[0].write_bytes(bytes(damaged))
    assert any("damaged" in line for line in recorded_traffic.read_recordings(good).problems)


def test_segments_are_found_for_spells_and_not_for_noise() -> None:
    rng = np.random.default_rng(1)
    even = [len(np.unique(recorded_traffic.segment_rates(rng.poisson(0.5, 200)))) for _ in range(50)]
    assert np.mean(even) < 1.4
    spell = np.concatenate([rng.poisson(0.3, 100), rng.poisson(4, 20), rng.poisson(0.3, 100)])
    rate = recorded_traffic.segment_rates(spell)
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
    # One run in ten lies outside a 90% interval by chance, but not by this margin.
    assert service.low - 0.05 < service.real < service.high + 0.05


def test_fit_command_writes_a_fit_that_the_run_command_plays(
    scenario_run: ScenarioRun, rows: list[tuple[RecordedRequest, int]], tmp_path: Path
) -> None:
    files = write_recordings(rows, tmp_path, 3, (0, 1, 2))
    plans = [
        {"Name": p.name, "QuotaRate": p.rate, "Burst": p.burst, "ValueFactor": p.price, "ExcessCost": 1.0}
        for p in scenario_run.parameters.plans
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
    with pytest.raises(ValueError, match="not a fit"):
        fitted_fleet.decode_fit(msgspec.json.encode({"form": 1}))


def test_scale_out_of_range_is_rejected(fitted: fitted_fleet.Fit) -> None:
    base: Scenario = SCENARIOS["quiet"]
    for scale, by in ((0.0, "customers"), (3.0, "luck")):
        with pytest.raises(ValueError, match="scale"):
            replay.scenario_from(fitted, base, scale, by)
