"""A server drains while discovery is slow: each answer takes 2.5 s, and is right."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import stand_ins_2 as s  # noqa: E402 - found by the path above

SLOW_ANSWER_S = 2.5  # of each call, while discovery is slow
SLOW_FROM_S, DRAINS_AT_S, ENDS_AT_S = 2.0, 4.0, 24.0  # since the first request
REQUEST_INTERVAL_S = 0.02
TOLD_AFTER_S = 6.0  # after discovery had the change
DRAIN_GRACE_S = s.TANGA_KIOSK["Invariants"]["DrainGrace"] / 1000 + 0.05  # as on sockets


async def case(record: s.Record, folder: Path) -> int:
    """Return whether a request began at the draining server after the grace."""
    backends = [s.Backend(f"s-{number}", record, f"pier_{1 + number % 3}") for number in range(5)]
    deployment = s.Deployment(record, folder, 2, backends)
    for backend in backends:
        await backend.start()
    deployment.members = s.Members([backend.row() for backend in backends])
    discovery = s.Discovery(deployment.members, record)
    await discovery.start()
    clients = None
    try:
        await deployment.start(s.TANGA_KIOSK, lambda _: f"{s.HOST}:{discovery.port}")
        clients = s.Clients(deployment.gateways, record)
        begun_at, drains_at = record.now(), float("inf")
        while (elapsed := record.now() - begun_at) < ENDS_AT_S:
            if elapsed >= SLOW_FROM_S and s.has_trouble() and not discovery.delay_s:
                discovery.delay_s = SLOW_ANSWER_S
                record.write(f"discovery: each answer takes {SLOW_ANSWER_S} s from now on")
            if elapsed >= DRAINS_AT_S and not backends[0].draining:
                backends[0].draining, drains_at = True, record.now()
                deployment.members.set_phase("s-0", "Terminating")
                record.write("discovery: has s-0 as Terminating from now on")
            clients.ask("stock_look.v2", 900)
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await clients.finish()
    finally:
        await deployment.stop()
        discovery.stop()
    limit = drains_at + TOLD_AFTER_S + DRAIN_GRACE_S
    late = [(at, wire_id) for at, wire_id in backends[0].arrivals if at > limit]
    record.write(f"sent {clients.sent}, answers {clients.results}")
    record.write(f"attempts at s-0 later than {limit - drains_at:.2f} s after the change: {len(late)}")
    for at, wire_id in late[:20]:
        record.write(f"late: {wire_id} at {at - drains_at:.2f} s after the change")
    print(f"{len(late)} attempts at the draining server after the limit; {clients.results}")
    if clients.results.get("served", 0) < clients.sent // 2:
        raise s.CannotRunError("too few requests were served")
    return s.RULE_BROKEN if late else s.RULE_HELD


if __name__ == "__main__":
    sys.exit(s.run_case(HERE, case))
