"""Days on loopback whose gateways record what they meet."""

from __future__ import annotations

import tempfile
from pathlib import Path

from ..simulation.day import Scenario, draw_day
from ..simulation.score import Score
from .fleet import play_day


def play_and_record(scenario: Scenario, seed: int, folder: Path | None) -> Score:
    """Play a day; with a folder, each gateway leaves its recording there. Raises `GatewayError`."""
    with tempfile.TemporaryDirectory() as place:
        env = {}
        if folder is not None:
            chosen = Path(place) / "operators.sexp"
            chosen.write_text(f'(record (file "{folder}/{{name}}.rec") (size-mb 64) (salt "rig"))')
            env["PROXY_OPERATORS"] = str(chosen)
        return play_day(draw_day(scenario, seed), Path(place), env=env)[1]
