"""Imports and memory of the gateway process: no libraries of the extra 'tools', a bounded size."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path

from tests.processes import EXAMPLE_CONFIG, ROOT, free_port, run

TOOLS = ("click", "joblib", "matplotlib", "msgspec", "numpy", "scipy", "zstandard", "mapleshunt.fleet",
         "mapleshunt.simulation", "mapleshunt.testbed", "mapleshunt.cli", "mapleshunt.recording")  # fmt: skip
MAX_ANONYMOUS_KB = 17_100  # 1 MB above 16,112 KB, the size before the simulation model was added


def test_gateway_and_adapter_import_no_library_of_the_tools() -> None:
    for module in ("mapleshunt.__main__", "mapleshunt.simulator_adapter"):
        code = f"import sys, json, {module}; print(json.dumps(sorted(sys.modules)))"
        done = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
        )
        loaded = json.loads(done.stdout)
        assert [name for name in loaded if name.startswith(TOOLS)] == []


def test_module_that_is_deferred_is_loaded_at_the_first_use_of_an_attribute() -> None:
    # Guards against a gateway that holds a table of character references (0.4 MB), which it never reads.
    code = (
        "import sys, mapleshunt.__main__, tornado.escape as escape; name = 'html.entities';"
        "before = name in sys.modules; text = escape.xhtml_unescape('&eacute;&amp;');"
        "print(before, text == chr(233) + '&', name in sys.modules)"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.split() == ["False", "True", "True"]


def test_started_gateway_stays_within_its_memory_bound() -> None:
    # Compiled beforehand, so that the memory of the byte compiler is not counted.
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
        assert anonymous < MAX_ANONYMOUS_KB, anonymous
    finally:
        for process in (gateway, toy):
            process.kill()
            process.communicate()
