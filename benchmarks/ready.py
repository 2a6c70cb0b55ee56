"""Time from the start of a gateway's process until it is ready, with several started at once.

Real processes on loopback, each with an endpoint list from its configuration, as after a restart. With more
processes than cores of this machine, each has a fraction of a core, as on a crowded host.

    .venv/bin/python -m benchmarks.ready [SEEDS]
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import statistics
import sys
import tempfile
import time
from pathlib import Path

from mapleshunt.net.protocol import resp

ROOT = Path(__file__).parent.parent
READY_WITHIN_S = 10.0  # for at least 90% of the processes
BACKENDS = 200


def write_configuration(folder: Path, seed: int) -> Path:
    """Write the configuration of a gateway with known endpoints and no discovery; return its path."""
    unreachable = "127.0.0.1:1"  # no port listens there
    members = [
        {"id": f"s-{number}", "host_port": unreachable, "cell": number, "phase": "Ready"}
        for number in range(BACKENDS)
    ]
    example = json.loads((ROOT / "examples" / "config.json").read_text())
    known = {"revision": 1, "complete": True, "members": members}
    path = folder / f"config-{seed}.json"
    path.write_text(json.dumps({**example, "discovery": unreachable, "seed": f"{seed:x}", "known": known}))
    return path


async def measure_ready_time(config: Path) -> float:
    """Start a gateway and return the time (s) until it answered PING."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port = probe.getsockname()[1]
    begun = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "mapleshunt", cwd=ROOT, stderr=asyncio.subprocess.DEVNULL,
        env={**os.environ, "PROXY_CONFIG": str(config), "PROXY_LISTEN": f"127.0.0.1:{port}"},
    )  # fmt: skip
    try:
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(resp.encode_command([b"PING"]))
                reply = await reader.readline()
                writer.close()
                if reply == b"+PONG\r\n":
                    return time.monotonic() - begun
            except OSError:
                pass
            await asyncio.sleep(0.02)
    finally:
        process.kill()
        await process.wait()


async def measure_ready_times(count: int, seed: int) -> list[float]:
    """Return the times of that many gateways started at once."""
    with tempfile.TemporaryDirectory() as folder:
        config = write_configuration(Path(folder), seed)
        return list(await asyncio.gather(*(measure_ready_time(config) for _ in range(count))))


def main() -> None:
    """Print the times for several numbers of gateways."""
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 5)
    print(
        f"started at once on {os.cpu_count()} cores: s until ready: "
        "median, 90th percentile, last; fraction in time"
    )
    for count in (1, 8, 40, 200):
        durations_s = sorted(
            duration_s for seed in seeds for duration_s in asyncio.run(measure_ready_times(count, seed))
        )
        percentile_90 = durations_s[int(0.9 * (len(durations_s) - 1))]
        fraction_in_time = sum(duration_s <= READY_WITHIN_S for duration_s in durations_s) / len(durations_s)
        print(
            f"{count:4}: {statistics.median(durations_s):.2f} {percentile_90:.2f} {durations_s[-1]:.2f}; "
            f"{fraction_in_time:.3f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
