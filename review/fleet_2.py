"""Gateways with replication and maintenance, the links between them, and their operators."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any

import stand_ins_2 as s

FLEET = "tanga"


class Link(s.Server):
    """A link between two gateways. While it is cut, bytes and new connections wait."""

    def __init__(self, target_port: int) -> None:
        super().__init__()
        self._target_port = target_port
        self.is_open = asyncio.Event()
        self.is_open.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carry bytes both ways."""
        await self.is_open.wait()
        far_reader, far_writer = await asyncio.open_connection(s.HOST, self._target_port)
        copies = [
            asyncio.ensure_future(self._copy(reader, far_writer)),
            asyncio.ensure_future(self._copy(far_reader, writer)),
        ]
        await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        for copy in copies:
            copy.cancel()
        await asyncio.gather(*copies, return_exceptions=True)
        far_writer.close()

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self.is_open.wait()
                writer.write(data)
                await writer.drain()


class Operators:
    """What operators do and see through the replication ports, as `mapleshunt maintenance` does."""

    def __init__(self, addresses: dict[str, tuple[str, int]], groups: int, record: s.Record) -> None:
        self.addresses, self.groups, self.record = addresses, groups, record

    async def call(self, action: Any, group: int = 0, timeout_s: float = 10.0) -> Any:
        """Call `action` with a client of a group."""
        from mapleshunt.testbed.replica_client import ReplicaClient

        client = ReplicaClient(
            f"cli-{random.getrandbits(40):x}",
            self.addresses,
            FLEET,
            group,
            [],
            time.monotonic,
            random.Random(),
        )
        try:
            return await asyncio.wait_for(action(client), timeout_s)
        except TimeoutError:
            raise s.CannotRunError(f"group {group} does not answer the operators") from None
        finally:
            client.close()

    async def execute(self, operation: Any, group: int = 0) -> None:
        """Carry out an operation."""
        from mapleshunt.replicated_state import commands
        from mapleshunt.replicated_state.results import Applied

        async def execute(client: Any) -> Any:
            await client.execute(commands.OpenSession())
            return await client.execute(operation)

        result = await self.call(execute, group)
        self.record.write(f"operators: {operation}: {result}")
        if not isinstance(result, Applied):
            raise s.CannotRunError(f"denied: {result}")

    async def jobs(self) -> Any:
        """Return the maintenance jobs, as `mapleshunt maintenance show` reads them."""
        from mapleshunt.maintenance.jobs import MaintenanceJobs
        from mapleshunt.maintenance.records import MaintenanceSnapshot

        _, snapshot = await self.call(
            lambda client: client.read("works", "", tuple[float, MaintenanceSnapshot])
        )
        jobs = MaintenanceJobs()
        jobs.restore(snapshot)
        return jobs

    async def leaders(self) -> list[dict[str, Any] | None]:
        """Return the status of each group from its leader, None for a group without one."""
        from mapleshunt.testbed.replica_client import gateway_statuses, leader_status

        statuses = await gateway_statuses(self.addresses, FLEET)
        return [leader_status(statuses, group) for group in range(self.groups)]

    async def wait_for_commit(self, gateway: str) -> None:
        """Wait until a leader of group 0 has just committed all that its log holds, 5 s at most."""
        from mapleshunt.testbed.replica_client import gateway_statuses, leader_status

        commit, end = -1, time.monotonic() + 5.0
        while time.monotonic() < end:
            statuses = await gateway_statuses({gateway: self.addresses[gateway]}, FLEET)
            status = leader_status(statuses, 0)
            if status is not None and status["last"] == status["commit"]:
                if 0 <= commit < status["commit"]:
                    return
                commit = status["commit"]
            await asyncio.sleep(0.02)


def voters_of(status: dict[str, Any]) -> set[str]:
    """Return the gateways that vote in a group."""
    return {replica.rpartition("/")[0] for replica in status["voters"]}


async def wait_for_leaders(operators: Operators) -> list[dict[str, Any]]:
    """Return the status of each group once all have a leader and three voters, for 2 s."""
    deadline = time.monotonic() + 40.0
    seen_at = 0.0
    while time.monotonic() < deadline:
        leaders = [status for status in await operators.leaders() if status is not None]
        if len(leaders) < operators.groups or any(len(status["voters"]) != 3 for status in leaders):
            seen_at = 0.0
        elif not seen_at:
            seen_at = time.monotonic()
        elif time.monotonic() > seen_at + 2.0:
            return leaders
        await asyncio.sleep(0.2)
    raise s.CannotRunError("a group has no leader")


class Fleet:
    """Gateways that hold replicas, with a backend, discovery, and links that can be cut."""

    def __init__(self, record: s.Record, folder: Path, count: int, groups: int, options: str) -> None:
        self.record, self.folder, self.count, self.groups = record, folder, count, groups
        self.options = options  # further settings of the section `copies`
        self.gateways: dict[str, s.Gateway] = {}
        self.links: dict[frozenset[str], Link] = {}
        self.mail = s.Mail([s.free_port(s.socket.SOCK_DGRAM) for _ in range(count)])
        self.backend = s.Backend("s-0", record)
        self.operators = Operators(
            {f"n{number}": (s.HOST, s.free_port()) for number in range(count)}, groups, record
        )

    async def start(self) -> None:
        """Start all, and wait until each group has a leader."""
        await self.mail.start()
        await self.backend.start()
        members = s.Members([self.backend.row()])
        self.discovery = s.Discovery(members, self.record)
        await self.discovery.start()
        libraries = os.pathsep.join(path for path in sys.path if path.endswith("site-packages"))
        for number, name in enumerate(self.operators.addresses):
            config = {
                "discovery": f"{s.HOST}:{self.discovery.port}", "seed": f"8c1f30d27a5be96{number}",
                "counter": f"{s.HOST}:{s.free_port()}", "known": members.answer(None),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "peer_listen": f"{s.HOST}:{self.mail.ports[number]}",
                "peers": [self.mail.address(number, peer) for peer in range(self.count)],
                "peers_all": self.mail.address(number, -1),
                "settings": {**s.TANGA_KIOSK, "Me": number, "NInstances": self.count},
            }  # fmt: skip
            env = {"PROXY_OPERATORS": str(await self._operators_file(name)), "PYTHONPATH": libraries}
            self.gateways[name] = s.Gateway(name, self.folder, config, env)
        gateways = self.gateways.values()
        await asyncio.gather(*(gateway.start() for gateway in gateways))
        await asyncio.gather(*(gateway.wait_until_ready() for gateway in gateways))

    async def _operators_file(self, own: str) -> Path:
        """Write the operators' file of a gateway, which reaches the others through links."""
        peers = []
        for peer, (host, port) in self.operators.addresses.items():
            if own < peer:  # of each pair the earlier name dials
                link = self.links[frozenset((own, peer))] = Link(port)
                await link.start()
                port = link.port
            peers.append(f'  (peer (name "{peer}") (address "{host}:{port}") (zone "pier_{peer[1]}"))')
        path = self.folder / f"{own}.sexp"
        listed = "\n".join(peers)
        path.write_text(
            f'(copies (fleet "{FLEET}") (folder "{self.folder}/store-{{name}}") (groups {self.groups})\n'
            f"  (size 3) (lease false) {self.options}\n{listed})\n"
            "(maintenance (most 1) (zone 1) (pause-s 1) (drain-s 20))\n",
            encoding="utf-8",
        )
        return path

    def lose(self, name: str) -> None:
        """Kill a machine for good: its connections are reset."""
        self.gateways[name].signal(signal.SIGKILL)
        self.record.write(f"{name} is killed, and stays down")

    def vanish(self, name: str) -> None:
        """Stop a machine for good: its connections stay open and silent, and no new one gets an answer."""
        self.gateways[name].signal(signal.SIGSTOP)
        self.record.write(f"{name} vanishes: it is stopped, and stays so")

    async def stop(self) -> None:
        """End all, and record what the gateways logged about replication and maintenance."""
        await asyncio.gather(*(gateway.stop() for gateway in self.gateways.values()))
        for server in (*self.links.values(), self.discovery, self.backend):
            server.stop()
        self.mail.stop()
        for gateway in self.gateways.values():
            for line in gateway.log().splitlines():
                if "event=maintenance" in line or "event=copies_" in line:
                    self.record.write(f"log of {gateway.name}: {line}")


async def show_voters(fleet: Fleet, record: s.Record) -> None:
    """Record who votes in each group, as `mapleshunt copies groups` shows it."""
    for group, status in enumerate(await fleet.operators.leaders()):
        voters = "no leader" if status is None else sorted(voters_of(status))
        record.write(f"group {group}: {voters}")


async def unanswered_groups(fleet: Fleet, record: s.Record, within_s: float) -> list[int]:
    """Write a record in each group; return those that do not answer."""
    from mapleshunt.replicated_state import commands

    async def write(client: Any) -> Any:
        await client.execute(commands.OpenSession())
        return await client.execute(commands.SetRecord("after", "kept", 0))

    async def is_unanswered(group: int) -> bool:
        try:
            result = await fleet.operators.call(write, group, within_s)
        except s.CannotRunError:
            record.write(f"client: group {group} has not answered within {within_s} s")
            return True
        record.write(f"client: group {group} answers {result}")
        return False

    answers = await asyncio.gather(*(is_unanswered(group) for group in range(fleet.groups)))
    return [group for group, unanswered in enumerate(answers) if unanswered]
