"""From the start of a gateway's process to its first yes, with as many started at once.

Real processes on loopback, each with a list of till servers known from its configuration, as after a restart.
The cores are this machine's: with more processes than cores each has a part of one, as on a crowded host.

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
BOUND = 10.0  # s in which nine in ten have to be ready
SERVERS = 200


def configuration(folder: Path, seed: int) -> Path:
    """Of a gateway that knows `SERVERS` till servers and reaches no discovery."""
    where = "127.0.0.1:1"  # nobody is called
    members = [{"id": f"s-{n}", "host_port": where, "cell": n, "phase": "Ready"} for n in range(SERVERS)]
    raw = json.loads((ROOT / "examples" / "config.json").read_text())
    known = {"revision": 1, "complete": True, "members": members}
    path = folder / f"config-{seed}.json"
    path.write_text(json.dumps({**raw, "discovery": where, "seed": f"{seed:x}", "known": known}))
    return path


async def ready(config: Path) -> float:
    """s until it said yes."""
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
                said = await reader.readline()
                writer.close()
                if said == b"+PONG\r\n":
                    return time.monotonic() - begun
            except OSError:
                pass
            await asyncio.sleep(0.02)
    finally:
        process.kill()
        await process.wait()


async def together(count: int, seed: int) -> list[float]:
    with tempfile.TemporaryDirectory() as folder:
        config = configuration(Path(folder), seed)
        return list(await asyncio.gather(*(ready(config) for _ in range(count))))


def main() -> None:
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 5)
    print(f"started at once on {os.cpu_count()} cores: s to a yes: median, nine in ten, last; part in time")
    for count in (1, 8, 40, 200):
        took = sorted(one for seed in seeds for one in asyncio.run(together(count, seed)))
        ninth = took[int(0.9 * (len(took) - 1))]
        part = sum(one <= BOUND for one in took) / len(took)
        print(f"{count:4}: {statistics.median(took):.2f} {ninth:.2f} {took[-1]:.2f}; {part:.3f}", flush=True)


if __name__ == "__main__":
    main()
