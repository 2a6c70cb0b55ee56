"""The daemon loads none of the tools' libraries, and starts as small as it was."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path

from tests.processes import EXAMPLE_CONFIG, ROOT, free_port, run

TOOLS = ("click", "joblib", "matplotlib", "msgspec", "numpy", "scipy", "zstandard", "mapleshunt.fleet",
         "mapleshunt.simulation", "mapleshunt.testbed", "mapleshunt.cli", "mapleshunt.recording")  # fmt: skip
MOST_KB = 17_100  # 16,112 before the model, and one MB


def test_the_daemon_and_the_adapter_load_none_of_the_tools() -> None:
    for module in ("mapleshunt.__main__", "mapleshunt.simulator_adapter"):
        code = f"import sys, json, {module}; print(json.dumps(sorted(sys.modules)))"
        found = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
        )
        loaded = json.loads(found.stdout)
        assert [name for name in loaded if name.startswith(TOOLS)] == []


def test_the_daemon_starts_at_no_more_memory() -> None:
    # Compiled before: what a compiler leaves in the daemon's memory is not the daemon's.
    subprocess.run([sys.executable, "-m", "compileall", "-q", "mapleshunt"], cwd=ROOT, check=True)
    toy = run("-m", "examples.toy_server", "0")
    assert toy.stdout is not None
    discovery = toy.stdout.readline().split()[-1]
    gateway = run(
        "-m",
        "mapleshunt",
        PROXY_CONFIG=str(EXAMPLE_CONFIG),
        PROXY_DISCOVERY=discovery,
        PROXY_LISTEN=f"127.0.0.1:{free_port()}",
    )
    try:
        assert gateway.stderr is not None
        while "event=members" not in gateway.stderr.readline():
            assert gateway.poll() is None
        time.sleep(0.2)
        status = Path(f"/proc/{gateway.pid}/status").read_text().splitlines()
        anonymous = next(int(line.split()[1]) for line in status if line.startswith("RssAnon"))
        assert anonymous < MOST_KB, anonymous
    finally:
        for one in (gateway, toy):
            one.kill()
            one.communicate()
