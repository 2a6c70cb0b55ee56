"""What leases from copies cost a request: the rig's calm day with three real gateways, on and off in turn.

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


def operators(folder: Path) -> Path:
    peers = " ".join(
        f'(peer (name "n{n}") (address "127.0.0.1:{free_port(socket.SOCK_STREAM)}") (zone "z{n}"))'
        for n in range(GATEWAYS)
    )
    file = folder / "operators.sexp"
    file.write_text(f'(copies (fleet "calm") (folder "{folder}/disk-{{name}}") (groups 8) (size 3) {peers})')
    return file


def day(seed: int, on: bool) -> Score:
    with tempfile.TemporaryDirectory(dir="/var/tmp") as text:
        folder = Path(text)
        env = {"PROXY_OPERATORS": str(operators(folder))} if on else {}
        scenario = load_scenario("quiet", GATEWAYS, 14, 150.0, 20.0)
        _, found = run_on_loopback(draw_run(scenario, seed), folder / "logs", env=env)
        return found


def main() -> None:
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    ratios, late = [], []
    for seed in range(1, rounds + 1):
        order = (False, True) if seed % 2 else (True, False)
        found = {on: day(seed, on) for on in order}
        cost = {on: 1e6 * one.gateway_cpu_s / one.requests for on, one in found.items()}
        ratios.append(cost[True] / cost[False])
        late.append(found[True].p99_ms - found[False].p99_ms)
        print(
            f"seed {seed}: CPU a request {cost[False]:.0f} us off, {cost[True]:.0f} on ({ratios[-1]:.3f}); "
            f"99 in 100 answers in {found[False].p99_ms:.0f} and {found[True].p99_ms:.0f} ms; service "
            f"{found[False].service:.3f} and {found[True].service:.3f}; units beyond quotas "
            f"{found[False].over_quota:.4f} and {found[True].over_quota:.4f}",
            flush=True,
        )
    print(f"on over off, median {statistics.median(ratios):.3f}")
    print(f"99 in 100 later by {statistics.median(late):.0f} ms, median")


if __name__ == "__main__":
    main()
