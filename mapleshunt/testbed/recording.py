"""Runs on loopback whose gateways record the requests that they handle."""

from __future__ import annotations

import tempfile
from pathlib import Path

from ..simulation.day import Scenario, draw_run
from ..simulation.score import Score
from .fleet import run_on_loopback


def run_and_record(scenario: Scenario, seed: int, recordings: Path | None) -> Score:
    """Run a scenario; each gateway writes its recording to the folder, if one is given.

    Raises:
        GatewayError: a gateway did not start, or exited unexpectedly.
    """
    with tempfile.TemporaryDirectory() as folder:
        env = {}
        if recordings is not None:
            operators = Path(folder) / "operators.sexp"
            operators.write_text(f'(record (file "{recordings}/{{name}}.rec") (size-mb 64) (salt "rig"))')
            env["PROXY_OPERATORS"] = str(operators)
        _, score = run_on_loopback(draw_run(scenario, seed), Path(folder), env=env)
        return score
