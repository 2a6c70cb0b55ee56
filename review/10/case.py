"""A server drains while new configurations come each second and discovery takes 1.2 s for an answer."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import stand_ins_2 as s  # noqa: E402 - found by the path above

SLOW_ANSWER_S = 1.2  # of each call, while discovery is slow
RELOADS, RELOAD_INTERVAL_S = 11, 1.0  # new configurations, each of which moves discovery
OLD_CLOSES_AFTER_S = 1.5  # after SIGHUP
SLOW_FROM_S, DRAINS_AT_S, ENDS_AT_S = 2.0, 4.0, 17.0  # since the first request
REQUEST_INTERVAL_S = 0.02
TOLD_AFTER_S = 6.0  # after discovery had the change
DRAIN_GRACE_S = s.TANGA_KIOSK["Invariants"]["DrainGrace"] / 1000 + 0.05  # as on sockets


class Mover:
    """Moves discovery to another address by a new configuration and SIGHUP, as the page says."""

    def __init__(self, deployment: s.Deployment, record: s.Record) -> None:
        self.deployment, self.record = deployment, record
        self.discovery: s.Discovery | None = None
        self.delay_s = 0.0
        self._task: asyncio.Task[None] | None = None
        self._old: list[s.Discovery] = []

    def address(self) -> str:
        """Return the address of discovery."""
        assert self.discovery is not None
        return f"{s.HOST}:{self.discovery.port}"

    def set_delay(self, delay_s: float) -> None:
        """Make each answer of discovery take that long."""
        self.delay_s = delay_s
        if self.discovery is not None:
            self.discovery.delay_s = delay_s
        self.record.write(f"discovery: each answer takes {delay_s} s from now on")

    async def move(self) -> None:
        """Open discovery at another address; the old one takes no new connection and closes soon."""
        old, self.discovery = self.discovery, s.Discovery(self.deployment.members, self.record)
        self.discovery.delay_s = self.delay_s
        await self.discovery.start()
        for gateway in self.deployment.gateways:
            gateway.config["discovery"] = self.address()
            gateway.write_config()
            gateway.signal(signal.SIGHUP)
        self.record.write(f"discovery is at {self.discovery.port}")
        if old is not None:
            old.stop_listening()
            self._old.append(old)
            asyncio.get_running_loop().call_later(OLD_CLOSES_AFTER_S, old.stop)

    def begin(self) -> None:
        """Begin to move."""
        self._task = asyncio.get_running_loop().create_task(self._move_often())

    async def _move_often(self) -> None:
        for _ in range(RELOADS):
            await self.move()
            await asyncio.sleep(RELOAD_INTERVAL_S)

    async def stop(self) -> None:
        """End the moves and discovery."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for discovery in [*self._old, *([self.discovery] if self.discovery is not None else [])]:
            discovery.stop()


async def case(record: s.Record, folder: Path) -> int:
    """Return whether a request began at the draining server after the grace."""
    backends = [s.Backend(f"s-{number}", record, f"pier_{1 + number % 3}") for number in range(5)]
    deployment = s.Deployment(record, folder, 2, backends)
    for backend in backends:
        await backend.start()
    deployment.members = s.Members([backend.row() for backend in backends])
    mover = Mover(deployment, record)
    await mover.move()
    clients = None
    try:
        await deployment.start(s.TANGA_KIOSK, lambda _: mover.address())
        clients = s.Clients(deployment.gateways, record)
        begun_at, drains_at = record.now(), float("inf")
        while (elapsed := record.now() - begun_at) < ENDS_AT_S:
            if elapsed >= SLOW_FROM_S and s.has_trouble() and not mover.delay_s:
                mover.set_delay(SLOW_ANSWER_S)
                mover.begin()
            if elapsed >= DRAINS_AT_S and not backends[0].draining:
                backends[0].draining, drains_at = True, record.now()
                deployment.members.set_phase("s-0", "Terminating")
                record.write("discovery: has s-0 as Terminating from now on")
            clients.ask("stock_look.v2", 900)
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await clients.finish()
    finally:
        await mover.stop()
        await deployment.stop()
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
