"""Days on loopback whose gateways record the requests that they handle."""

from __future__ import annotations

import tempfile
from pathlib import Path

from ..simulation.day import Scenario, draw_run
from ..simulation.score import Score
from .fleet import play_day


def play_and_record(scenario: Scenario, seed: int, recordings: Path | None) -> Score:
    """Play a day; each gateway leaves its recording in the folder, if one is given.

    Raises:
        GatewayError: a gateway did not start, or ended by itself.
    """
    with tempfile.TemporaryDirectory() as folder:
        env = {}
        if recordings is not None:
            operators = Path(folder) / "operators.sexp"
            operators.write_text(f'(record (file "{recordings}/{{name}}.rec") (size-mb 64) (salt "rig"))')
            env["PROXY_OPERATORS"] = str(operators)
        _, score = play_day(draw_run(scenario, seed), Path(folder), env=env)
        return score
