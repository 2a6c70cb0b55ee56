"""Real gateways with replicas, and faults between them: short schedules; `benchmarks/` has more."""

from __future__ import annotations

import asyncio
import contextlib
import json
import shutil
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tornado.iostream import IOStream

from mapleshunt.net.counters import Counters
from mapleshunt.net.replication.connection import ConnectionHandlers, PeerConnection
from mapleshunt.replicated_state import commands as w
from mapleshunt.replicated_state.results import Applied
from mapleshunt.replication import boots, wire
from mapleshunt.replication import messages as m
from mapleshunt.replication.placement import group_of_customer, place_replicas, rank_gateways
from mapleshunt.settings import operators
from mapleshunt.settings.reader import SettingsError
from mapleshunt.testbed.faults.fault_injection import FaultKind
from mapleshunt.testbed.faults.replicated_fleet import ReplicatedFleet, replicas_only_config
from mapleshunt.testbed.faults.report import FaultReport
from mapleshunt.testbed.faults.schedule import DRAWN_KINDS, FaultScheduleRun

# Real gateways with timing checks: run one after another, also when other tests run in parallel.
pytestmark = pytest.mark.xdist_group("gateways")

ROOT = Path(__file__).parent.parent
SCHEDULES = [
    (3, 1, ["kill_leader", "wipe_follower", "pause_leader"]),
    (3, 2, ["old_disk", "deafen_leader", "reset"]),
    (3, 3, ["wipe_leader", "kill_all", "mute_leader"]),
    (5, 4, ["kill_two", "wipe_leader", "cut_leader"]),
    (5, 5, ["transfer", "delay", "term", "disk_full", "slow_disk", "clocks"]),
    (3, 6, ["die", "die", "die", "die", "die", "die"]),
]


@pytest.mark.parametrize(("gateways", "seed", "schedule"), SCHEDULES)
def test_guarantees_hold_under_faults(gateways: int, seed: int, schedule: list[str], tmp_path: Path) -> None:
    fleet = ReplicatedFleet(tmp_path, replicas_only_config(), gateways, seed, gateways, election_ms=600.0)
    report = asyncio.run(FaultScheduleRun(fleet).run(schedule=schedule))
    assert not report.broken and report.faults == schedule and sum(report.calls.values()) > 60
    logs = "".join(log.read_text() for log in tmp_path.glob("*/log"))
    assert "exception" not in logs
    if "old_disk" in schedule:
        assert "event=copies_disk_older" in logs and "event=copies_renewed" in logs
    if "wipe_leader" in schedule:
        assert logs.count("event=copies_members") >= 3 * gateways // 2


def test_schedules_contain_every_drawn_fault_but_two() -> None:
    assert {name for _, _, names in SCHEDULES for name in names} >= {kind.value for kind in DRAWN_KINDS} - {
        "kill",
        "start_again",
    }


def test_group_works_while_a_new_protocol_version_is_rolled_out_and_back(tmp_path: Path) -> None:
    """Two of three gateways speak one more version than the third, and the group works through restarts."""
    newer = tmp_path / "newer"
    shutil.copytree(ROOT / "mapleshunt", newer / "mapleshunt", ignore=shutil.ignore_patterns("__pycache__"))
    file = newer / "mapleshunt" / "replication" / "wire.py"
    file.write_text(
        file.read_text().replace("MIN_VERSION, MAX_VERSION = 1, 1 ", "MIN_VERSION, MAX_VERSION = 1, 2 ")
    )
    assert "MAX_VERSION = 1, 2" in file.read_text()
    fleet = ReplicatedFleet(tmp_path / "fleet", replicas_only_config(), 3, 7, 3, election_ms=600.0)
    first, second, third = fleet.machines.values()
    first.program = second.program = newer

    async def run_schedule() -> FaultReport:
        run = FaultScheduleRun(fleet)
        inject = run.injector.inject

        async def swap_and_inject(kind: FaultKind) -> None:
            # One gateway gets the new version and one goes back, while the clients call.
            third.program, first.program = newer, ROOT
            await inject(kind)

        run.injector.inject = swap_and_inject  # type: ignore[method-assign]
        return await run.run(schedule=["start_again", "kill_leader"])

    report = asyncio.run(run_schedule())
    assert not report.broken and sum(report.calls.values()) > 40
    logs = "".join(log.read_text() for log in (tmp_path / "fleet").glob("*/log"))
    assert "event=link_up" in logs and "speaks versions" not in logs


def command_line(file: Path) -> Callable[..., Awaitable[tuple[int, str]]]:
    """Return a function that runs the command line with that operators' file: exit status and output."""

    async def run(*args: str) -> tuple[int, str]:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "mapleshunt", *args, "--settings", str(file),
            cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        out, err = await process.communicate()
        return process.returncode or 0, (out + err).decode()

    return run


def test_operators_move_and_inspect_replicas_by_the_command_line(tmp_path: Path) -> None:
    """The command line against four real gateways, with a group on three of them."""
    fleet = ReplicatedFleet(tmp_path, replicas_only_config(), 4, 9, 3, election_ms=600.0)
    fleet.settings.replace_after_s = fleet.settings.settle_after_s = 3.0

    async def run_commands() -> None:
        try:
            await fleet.start()
            leader = await fleet.wait_for_leader()
            run = command_line(tmp_path / "g0" / "operators.sexp")

            async def wait_for_voters(names: set[str]) -> None:
                for _ in range(100):
                    (group,) = json.loads((await run("copies", "groups", "--json"))[1])
                    if {m.gateway_of(voter) for voter in group["voters"]} == names and not group["learners"]:
                        return
                raise AssertionError(group)

            status, text = await run("copies", "groups", "--json")
            (group,) = json.loads(text)
            voters = {m.gateway_of(voter) for voter in group["voters"]}
            assert status == 0 and group["state"] == "led" and len(voters) == 3
            spare = next(name for name in fleet.machines if name not in voters)
            # A leader transfers its leadership first. It gets no replica until the command is taken back.
            assert (await run("copies", "replace", leader.name))[0] == 0
            assert (await run("copies", "replace", "nobody"))[0] == 2
            await wait_for_voters({*voters, spare} - {leader.name})
            assert (await run("copies", "replace", leader.name, "--back"))[0] == 0
            await wait_for_voters(voters)  # it is preferred for this group again
            assert (await run("holdings", "show", "nobody"))[1] == "nothing is held for nobody\n"
            assert (await run("copies", "status"))[0] == 0
            lost = fleet.machines[next(name for name in sorted(voters))]
            lost.kill()  # for longer than `replace_after_s`
            await wait_for_voters({*voters, spare} - {lost.name})
            lost.start()
            await wait_for_voters(voters)
            for machine in fleet.machines.values():
                machine.kill()
            assert (await run("copies", "status"))[0] == 1 and (await run("copies", "groups"))[0] == 1
        finally:
            await fleet.stop()

    asyncio.run(run_commands())


def test_lost_group_continues_only_after_recover_and_restored_disks_do_not_revive_it(tmp_path: Path) -> None:
    """Two of three machines lose their disks; later both get their saved disks back."""
    fleet = ReplicatedFleet(tmp_path, replicas_only_config(), 3, 11, 3, election_ms=600.0)
    fleet.settings.lease = False

    async def run_commands() -> None:
        try:
            await fleet.start()
            run = command_line(tmp_path / "g0" / "operators.sexp")
            client = fleet.client(1)
            await client.execute(w.OpenSession())
            for number in range(8):
                assert isinstance(await client.execute(w.CountUsage("c0", 1.0 + number)), Applied)
            status, output = await run("copies", "recover", "0")
            assert status == 2 and "has a leader" in output
            leader = await fleet.wait_for_leader()
            survivor = next(machine for machine in fleet.machines.values() if machine is not leader)
            lost = [machine for machine in fleet.machines.values() if machine is not survivor]
            for machine in lost:  # restored below
                machine.save_store()
            for machine in lost:
                machine.lose_store()
                machine.start()
            for _ in range(100):
                status, output = await run("copies", "groups", "--json")
                if status == 1 and json.loads(output)[0]["state"] == "lost":
                    status, output = await run("copies", "recover", "0", "--json")
                    if status == 0:  # rejected while the survivor may still learn of a leader
                        break
            else:
                raise AssertionError(output)
            plan = json.loads(output)
            assert plan["goes_on_with"] == survivor.name and len(plan["lost_for_good"]) == 2
            assert (await run("copies", "recover", "0", "--confirm", "g9.1.1"))[0] == 2
            assert (await run("copies", "groups"))[0] == 1  # nothing was done yet
            status, output = await run("copies", "recover", "0", "--confirm", plan["confirm"])
            assert status == 0, output
            await fleet.wait_until_settled()
            bucket: Any = await client.read("store", "c0")
            assert bucket is not None and bucket.counted_usage == 36.0  # the survivor had all entries
            await client.execute(w.CountUsage("c0", 4.0))
            for machine in lost:  # with their old disks, which were a majority of the group
                machine.restore_saved_store()
                machine.start()
                await fleet.wait_until_settled()
            bucket = await client.read("store", "c0")
            assert bucket is not None and bucket.counted_usage == 40.0
            client.close()
        finally:
            await fleet.stop()

    asyncio.run(run_commands())
    logs = "".join(log.read_text() for log in tmp_path.glob("*/log"))
    assert logs.count("event=copies_recovered") == 1 and "event=copies_superseded" in logs
    assert "exception" not in logs


def test_replication_modules_are_not_loaded_when_replication_is_off() -> None:
    code = (
        "import sys; import mapleshunt.__main__;"
        "print([m for m in sys.modules if m.startswith(('mapleshunt.replication', 'mapleshunt.storage',"
        " 'mapleshunt.replicated_state', 'mapleshunt.net.replication.host', 'mapleshunt.maintenance',"
        " 'apsw', 'immutables', 'xxhash', 'msgspec'))])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert completed.stdout == "[]\n"


PEERS = " ".join(f'(peer (name "n{k}") (address "127.0.0.1:{7000 + k}"))' for k in range(3))


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (f'(copies (fleet "f") (folder "x") (size 4) {PEERS})', "size must be 3 or 5"),
        (f'(copies (fleet "f") (folder "x") (size 5) {PEERS})', "5 copies need 5 peers at least"),
        (f'(copies (fleet "f") (folder "x") {PEERS} {PEERS})', "a peer is named twice"),
        (f'(copies (folder "x") {PEERS})', "'fleet' is missing"),
        (f'(copies (fleet "f") (folder "x") (groups 65) {PEERS})', "groups: expected `int` <= 64"),
    ],
)
def test_invalid_section_is_rejected_with_its_reason(text: str, message: str) -> None:
    with pytest.raises(SettingsError, match=message):
        operators.parse_settings(text)


# Frames and placement

HANDSHAKE = wire.Handshake("f", 1, 1, "n0", "ab", 3, {"ab": 3}, 5)
BATCH = wire.MessageBatch(
    ((0, m.AppendEntries(1, 2, 1, (m.Entry(3, 1, 4.0, b"x"),), 2, 7)), (1, m.TimeoutNow(4)))
)


@given(st.integers(0, 200), st.binary(max_size=40))
def test_frames_are_decoded_whole_or_not_at_all_and_noise_raises_only_protocol_errors(
    cut: int, noise: bytes
) -> None:
    whole = bytearray(wire.encode_frame(HANDSHAKE) + wire.encode_frame(BATCH))
    first = wire.decode_frame(whole, 0, len(whole))
    assert first is not None and first[0] == HANDSHAKE
    assert wire.decode_frame(whole, first[1], len(whole)) == (BATCH, len(whole))
    part = wire.decode_frame(whole, 0, min(cut, len(whole)))
    assert part is None or part == first
    malformed = bytearray(wire.FRAME_HEADER.pack(len(noise)) + noise)
    with contextlib.suppress(wire.ProtocolError):
        wire.decode_frame(malformed, 0, len(malformed))


@pytest.mark.parametrize(
    ("handshake", "message"),
    [
        (wire.Handshake("other", 1, 1, "n0", "ab", 3, {}, 0), "another fleet"),
        (wire.Handshake("f", 2, 3, "n0", "ab", 3, {}, 0), "versions 2 to 3"),
        (wire.Handshake("f", 1, 1, "n0", "ab", 3, {str(k): 1 for k in range(2000)}, 0), "knows too many"),
    ],
)
def test_handshake_that_does_not_fit_is_rejected_with_its_reason(
    handshake: wire.Handshake, message: str
) -> None:
    with pytest.raises(wire.ProtocolError, match=message):
        wire.check_handshake(handshake, "f")
    # A gateway of the next version speaks this one too.
    wire.check_handshake(wire.Handshake("f", 1, 2, "n0", "ab", 3, {}, 0), "f")


def test_restored_disk_is_detected_by_its_boot() -> None:
    first, second, again = (1 << 32) + 5, (2 << 32) + 9, (2 << 32) + 11
    assert not boots.is_store_outdated(second, second) and not boots.is_store_outdated(second, first)
    assert boots.is_store_outdated(first, second)
    assert boots.is_store_outdated(again, second) and not boots.is_store_outdated(second, 0)
    assert boots.merge_known_boots({"a": second}, {"a": again, "b": 1}) == {"a": second, "b": 1}
    assert boots.merge_known_boots({"a": first}, {"a": second}) == {"a": second}


def test_boot_of_a_connected_peer_is_remembered_beside_many_lost_incarnations() -> None:
    """Each lost disk leaves an incarnation behind. Without its boot a restored disk is not detected."""
    gone = {f"gone-{number}": 1 << 32 for number in range(2 * boots.MAX_KNOWN_INCARNATIONS)}
    known = boots.merge_known_boots({}, gone)
    known = boots.remember_boot(known, "here", 2 << 32)
    assert known["here"] == 2 << 32 and len(known) <= boots.MAX_KNOWN_INCARNATIONS
    for number in range(boots.MAX_KNOWN_INCARNATIONS // 2):
        known = boots.remember_boot(boots.merge_known_boots(known, gone), f"new-{number}", 1 << 32)
    assert known["here"] == 2 << 32 and len(known) <= boots.MAX_KNOWN_INCARNATIONS
    assert boots.remember_boot(known, "here", 1 << 32)["here"] == 2 << 32  # its disk was restored


def test_too_long_frame_is_rejected_by_its_header() -> None:
    with pytest.raises(wire.ProtocolError, match="too long"):
        wire.decode_frame(bytearray(wire.FRAME_HEADER.pack(1 << 30)), 0, 4)


def test_groups_are_spread_and_only_those_on_a_removed_gateway_move() -> None:
    fleet = {f"g{n}": f"z{n % 3}" for n in range(12)}
    placed = {group: list(place_replicas(group, fleet, 3)) for group in range(64)}
    assert all(len({fleet[gateway] for gateway in names}) == 3 for names in placed.values())  # a zone each
    counts = [sum(name in names for names in placed.values()) for name in fleet]
    assert min(counts) >= 6 and max(counts) <= 30
    fewer = {name: zone for name, zone in fleet.items() if name != "g5"}
    moved = [group for group, names in placed.items() if list(place_replicas(group, fewer, 3)) != names]
    assert all("g5" in placed[group] for group in moved)
    assert set(rank_gateways(3, fleet)) == set(fleet) and 0 <= group_of_customer("c", 64) < 64


def test_no_message_passes_on_a_connection_opened_as_another_incarnation() -> None:
    """On a connection that came up while a disk was replaced, votes of the lost incarnation were given."""
    incarnation = ["old"]
    received: list[object] = []

    def handshake() -> wire.Handshake:
        return wire.Handshake("f", 1, 1, "n0", incarnation[0], 3, {}, 0)

    async def run() -> str:
        ours, theirs = socket.socketpair()
        handlers = ConnectionHandlers(
            handshake=handshake,
            on_handshake=lambda connection: received.append(connection.remote_handshake),
            on_message=lambda *message: received.append(message),
            on_request=lambda *request: received.append(request),
            on_response=received.append,
        )
        peer_connection = PeerConnection(IOStream(ours), "f", handlers, Counters())
        task = asyncio.create_task(peer_connection.run())
        await asyncio.sleep(0)
        incarnation[0] = "new"
        theirs.sendall(wire.encode_frame(HANDSHAKE))
        reason = await task
        assert not received
        theirs.close()
        return reason

    assert asyncio.run(run()) == "this gateway's incarnation has changed since its handshake"
