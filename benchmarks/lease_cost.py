"""CPU and latency that leases from replicas cpu_us a request: the quiet scenario on three real gateways.

Runs with replication off and on alternate.

    python -m benchmarks.lease_cost [ROUNDS]
"""

from __future__ import annotations

import socket
import statistics
import sys
import tempfile
from pathlib import Path

from mapleshunt.cli.model import load_scenario
from mapleshunt.simulation.day import draw_run
from mapleshunt.simulation.score import Score
from mapleshunt.testbed.fleet import run_on_loopback
from mapleshunt.testbed.ports import free_port

GATEWAYS = 3


def write_operators_file(folder: Path) -> Path:
    """Write an operators' file that enables replication; return its path."""
    peers = " ".join(
        f'(peer (name "n{n}") (address "127.0.0.1:{free_port(socket.SOCK_STREAM)}") (zone "z{n}"))'
        for n in range(GATEWAYS)
    )
    file = folder / "operators.sexp"
    file.write_text(f'(copies (fleet "calm") (folder "{folder}/disk-{{name}}") (groups 8) (size 3) {peers})')
    return file


def run(seed: int, on: bool) -> Score:
    """Return the score of a run with replication on or off."""
    with tempfile.TemporaryDirectory(dir="/var/tmp") as text:
        folder = Path(text)
        env = {"PROXY_OPERATORS": str(write_operators_file(folder))} if on else {}
        scenario = load_scenario("quiet", GATEWAYS, 14, 150.0, 20.0)
        _, score = run_on_loopback(draw_run(scenario, seed), folder / "logs", env=env)
        return score


def main() -> None:
    """Print the cost of each round, and the medians."""
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    cpu_ratios, added_p99_ms = [], []
    for seed in range(1, rounds + 1):
        order = (False, True) if seed % 2 else (True, False)
        scores = {on: run(seed, on) for on in order}
        cpu_us = {on: 1e6 * score.gateway_cpu_s / score.requests for on, score in scores.items()}
        cpu_ratios.append(cpu_us[True] / cpu_us[False])
        added_p99_ms.append(scores[True].p99_ms - scores[False].p99_ms)
        print(
            f"seed {seed}: CPU per request {cpu_us[False]:.0f} us off, {cpu_us[True]:.0f} us on "
            f"({cpu_ratios[-1]:.3f}); "
            f"99th percentile {scores[False].p99_ms:.0f} and {scores[True].p99_ms:.0f} ms; service "
            f"{scores[False].service:.3f} and {scores[True].service:.3f}; units beyond quotas "
            f"{scores[False].over_quota:.4f} and {scores[True].over_quota:.4f}",
            flush=True,
        )
    print(f"CPU on / off, median {statistics.median(cpu_ratios):.3f}")
    print(f"99th percentile later by {statistics.median(added_p99_ms):.0f} ms, median")


if __name__ == "__main__":
    main()
