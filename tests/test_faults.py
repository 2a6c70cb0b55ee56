"""Real gateways with copies, and faults between them: short schedules; many are in `benchmarks/`."""

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

# Real gateways, timed: one after another, whatever runs beside them.
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
def test_promises_hold(gateways: int, seed: int, schedule: list[str], tmp_path: Path) -> None:
    fleet = ReplicatedFleet(tmp_path, replicas_only_config(), gateways, seed, gateways, election_ms=600.0)
    report = asyncio.run(FaultScheduleRun(fleet).run(schedule=schedule))
    assert not report.broken and report.faults == schedule and sum(report.calls.values()) > 60
    logs = "".join(one.read_text() for one in tmp_path.glob("*/log"))
    assert "exception" not in logs
    if "old_disk" in schedule:
        assert "event=copies_disk_older" in logs and "event=copies_renewed" in logs
    if "wipe_leader" in schedule:
        assert logs.count("event=copies_members") >= 3 * gateways // 2


def test_schedules_of_ci_meet_every_fault_but_the_plainest() -> None:
    assert {one for _, _, some in SCHEDULES for one in some} >= {kind.value for kind in DRAWN_KINDS} - {
        "kill",
        "start_again",
    }


def test_the_next_version_is_rolled_out_and_back_again(tmp_path: Path) -> None:
    """Half of the group speaks one version more than the other half, and goes on with it."""
    newer = tmp_path / "newer"
    shutil.copytree(ROOT / "mapleshunt", newer / "mapleshunt", ignore=shutil.ignore_patterns("__pycache__"))
    file = newer / "mapleshunt" / "replication" / "wire.py"
    file.write_text(
        file.read_text().replace("MIN_VERSION, MAX_VERSION = 1, 1 ", "MIN_VERSION, MAX_VERSION = 1, 2 ")
    )
    assert "MAX_VERSION = 1, 2" in file.read_text()
    fleet = ReplicatedFleet(tmp_path / "play", replicas_only_config(), 3, 7, 3, election_ms=600.0)
    first, second, third = fleet.machines.values()
    first.program = second.program = newer

    async def roll() -> FaultReport:
        run = FaultScheduleRun(fleet)
        inject = run.injector.inject

        async def back(kind: FaultKind) -> None:
            third.program, first.program = newer, ROOT  # one forward, one back, with work going on
            await inject(kind)

        run.injector.inject = back  # type: ignore[method-assign]
        return await run.run(schedule=["start_again", "kill_leader"])

    report = asyncio.run(roll())
    assert not report.broken and sum(report.calls.values()) > 40
    logs = "".join(one.read_text() for one in (tmp_path / "play").glob("*/log"))
    assert "event=link_up" in logs and "speaks versions" not in logs


def command(file: Path) -> Callable[..., Awaitable[tuple[int, str]]]:
    """The command line with that operators' file: exit status and what it said."""

    async def run(*args: str) -> tuple[int, str]:
        one = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "mapleshunt", *args, "--settings", str(file),
            cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        out, err = await one.communicate()
        return one.returncode or 0, (out + err).decode()

    return run


def test_operators_move_a_copy_and_look_at_it(tmp_path: Path) -> None:
    """The command line against four real gateways, a group on three of them."""
    fleet = ReplicatedFleet(tmp_path, replicas_only_config(), 4, 9, 3, election_ms=600.0)
    fleet.settings.replace_after_s = fleet.settings.settle_after_s = 3.0

    async def play() -> None:
        try:
            await fleet.start()
            leader = await fleet.wait_for_leader()
            run = command(tmp_path / "g0" / "operators.sexp")

            async def held_by(names: set[str]) -> None:
                for _ in range(100):
                    (group,) = json.loads((await run("copies", "groups", "--json"))[1])
                    if {m.gateway_of(one) for one in group["voters"]} == names and not group["learners"]:
                        return
                raise AssertionError(group)

            status, text = await run("copies", "groups", "--json")
            (group,) = json.loads(text)
            voters = {m.gateway_of(one) for one in group["voters"]}
            assert status == 0 and group["state"] == "led" and len(voters) == 3
            spare = next(one for one in fleet.machines if one not in voters)
            # Whoever leads, too: it hands over first. It stays away until that is taken back.
            assert (await run("copies", "replace", leader.name))[0] == 0
            assert (await run("copies", "replace", "nobody"))[0] == 2
            await held_by({*voters, spare} - {leader.name})
            assert (await run("copies", "replace", leader.name, "--back"))[0] == 0
            await held_by(voters)  # it has been here for long: its place in the order is its own again
            assert (await run("holdings", "show", "nobody"))[1] == "nothing is held for nobody\n"
            assert (await run("copies", "status"))[0] == 0
            lost = fleet.machines[next(one for one in sorted(voters))]
            lost.kill()  # gone for longer than it may be
            await held_by({*voters, spare} - {lost.name})
            lost.start()
            await held_by(voters)
            for machine in fleet.machines.values():
                machine.kill()
            assert (await run("copies", "status"))[0] == 1 and (await run("copies", "groups"))[0] == 1
        finally:
            await fleet.stop()

    asyncio.run(play())


def test_what_is_left_of_a_lost_group_goes_on_only_when_told_and_the_old_one_never_comes_back(
    tmp_path: Path,
) -> None:
    """Two of three machines are lost with their disks; later one is found after all."""
    fleet = ReplicatedFleet(tmp_path, replicas_only_config(), 3, 11, 3, election_ms=600.0)
    fleet.settings.lease = False

    async def play() -> None:
        try:
            await fleet.start()
            run = command(tmp_path / "g0" / "operators.sexp")
            caller = fleet.client(1)
            await caller.do(w.OpenSession())
            for number in range(8):
                assert isinstance(await caller.do(w.CountUsage("c0", 1.0 + number)), Applied)
            code, said = await run("copies", "recover", "0")
            assert code == 2 and "has a leader" in said
            leader = await fleet.wait_for_leader()
            left = next(one for one in fleet.machines.values() if one is not leader)
            lost = [one for one in fleet.machines.values() if one is not left]
            for one in lost:  # found is what the first had on its disk
                one.save_store()
            for one in lost:
                one.lose_store()
                one.start()
            for _ in range(100):
                code, said = await run("copies", "groups", "--json")
                if code == 1 and json.loads(said)[0]["state"] == "lost":
                    code, said = await run("copies", "recover", "0", "--json")
                    if code == 0:  # not while it may still hear of a leader
                        break
            else:
                raise AssertionError(said)
            plan = json.loads(said)
            assert plan["goes_on_with"] == left.name and len(plan["lost_for_good"]) == 2
            assert (await run("copies", "recover", "0", "--confirm", "g9.1.1"))[0] == 2
            assert (await run("copies", "groups"))[0] == 1  # nothing was done yet
            code, said = await run("copies", "recover", "0", "--confirm", plan["confirm"])
            assert code == 0, said
            await fleet.wait_until_settled()
            found: Any = await caller.read("store", "c0")
            assert found is not None and found.counted_usage == 36.0  # most had it, and so had this one
            await caller.do(w.CountUsage("c0", 4.0))
            for one in lost:  # each comes back as it was, first one: together they were most of the group
                one.restore_saved_store()
                one.start()
                await fleet.wait_until_settled()
            found = await caller.read("store", "c0")
            assert found is not None and found.counted_usage == 40.0
            caller.close()
        finally:
            await fleet.stop()

    asyncio.run(play())
    logs = "".join(one.read_text() for one in tmp_path.glob("*/log"))
    assert logs.count("event=copies_recovered") == 1 and "event=copies_superseded" in logs
    assert "exception" not in logs


def test_off_nothing_of_it_is_loaded() -> None:
    code = (
        "import sys; import mapleshunt.__main__;"
        "print([m for m in sys.modules if m.startswith(('mapleshunt.replication', 'mapleshunt.storage',"
        " 'mapleshunt.replicated_state', 'mapleshunt.net.replication.host', 'mapleshunt.maintenance',"
        " 'apsw', 'immutables', 'xxhash', 'msgspec'))])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.stdout == "[]\n"


PEERS = " ".join(f'(peer (name "n{k}") (address "127.0.0.1:{7000 + k}"))' for k in range(3))


@pytest.mark.parametrize(
    ("text", "said"),
    [
        (f'(copies (fleet "f") (folder "x") (size 4) {PEERS})', "size must be 3 or 5"),
        (f'(copies (fleet "f") (folder "x") (size 5) {PEERS})', "5 copies need 5 peers at least"),
        (f'(copies (fleet "f") (folder "x") {PEERS} {PEERS})', "a peer is named twice"),
        (f'(copies (folder "x") {PEERS})', "'fleet' is missing"),
        (f'(copies (fleet "f") (folder "x") (groups 65) {PEERS})', "groups: expected `int` <= 64"),
    ],
)
def test_a_section_that_makes_no_sense_is_told(text: str, said: str) -> None:
    with pytest.raises(SettingsError, match=said):
        operators.parse_settings(text)


# Frames and placement

HELLO = wire.Handshake("f", 1, 1, "n0", "ab", 3, {"ab": 3}, 5)
PACKET = wire.MessageBatch(
    ((0, m.AppendEntries(1, 2, 1, (m.Entry(3, 1, 4.0, b"x"),), 2, 7)), (1, m.TimeoutNow(4)))
)


@given(st.integers(0, 200), st.binary(max_size=40))
def test_frames_are_read_alike_in_whatever_pieces_they_come(cut: int, noise: bytes) -> None:
    whole = bytearray(wire.encode_frame(HELLO) + wire.encode_frame(PACKET))
    first = wire.decode_frame(whole, 0, len(whole))
    assert first is not None and first[0] == HELLO
    assert wire.decode_frame(whole, first[1], len(whole)) == (PACKET, len(whole))
    part = wire.decode_frame(whole, 0, min(cut, len(whole)))
    assert part is None or part == first
    spoilt = bytearray(wire.FRAME_HEADER.pack(len(noise)) + noise)
    with contextlib.suppress(wire.ProtocolError):
        wire.decode_frame(spoilt, 0, len(spoilt))


@pytest.mark.parametrize(
    ("hello", "said"),
    [
        (wire.Handshake("other", 1, 1, "n0", "ab", 3, {}, 0), "another fleet"),
        (wire.Handshake("f", 2, 3, "n0", "ab", 3, {}, 0), "versions 2 to 3"),
        (wire.Handshake("f", 1, 1, "n0", "ab", 3, {str(k): 1 for k in range(2000)}, 0), "knows too many"),
    ],
)
def test_who_cannot_take_part_is_told_why(hello: wire.Handshake, said: str) -> None:
    with pytest.raises(wire.ProtocolError, match=said):
        wire.check_handshake(hello, "f")
    # The next version speaks this one too.
    wire.check_handshake(wire.Handshake("f", 1, 2, "n0", "ab", 3, {}, 0), "f")


def test_a_disk_that_was_put_back_is_known_by_its_boot() -> None:
    first, second, again = (1 << 32) + 5, (2 << 32) + 9, (2 << 32) + 11
    assert not boots.is_store_outdated(second, second) and not boots.is_store_outdated(second, first)
    assert boots.is_store_outdated(first, second)
    assert boots.is_store_outdated(again, second) and not boots.is_store_outdated(second, 0)
    assert boots.merge_known_boots({"a": second}, {"a": again, "b": 1}) == {"a": second, "b": 1}
    assert boots.merge_known_boots({"a": first}, {"a": second}) == {"a": second}


def test_the_boot_of_whoever_is_met_is_remembered_however_many_incarnations_are_gone() -> None:
    """Each disk that was lost leaves one behind. Without its boot a disk that is put back is not known."""
    gone = {f"gone-{number}": 1 << 32 for number in range(2 * boots.MAX_KNOWN_INCARNATIONS)}
    known = boots.merge_known_boots({}, gone)
    known = boots.remember_boot(known, "here", 2 << 32)
    assert known["here"] == 2 << 32 and len(known) <= boots.MAX_KNOWN_INCARNATIONS
    for number in range(boots.MAX_KNOWN_INCARNATIONS // 2):
        known = boots.remember_boot(boots.merge_known_boots(known, gone), f"new-{number}", 1 << 32)
    assert known["here"] == 2 << 32 and len(known) <= boots.MAX_KNOWN_INCARNATIONS
    assert boots.remember_boot(known, "here", 1 << 32)["here"] == 2 << 32  # its disk was put back


def test_too_long_a_frame_is_told_from_its_head() -> None:
    with pytest.raises(wire.ProtocolError, match="too long"):
        wire.decode_frame(bytearray(wire.FRAME_HEADER.pack(1 << 30)), 0, 4)


def test_groups_are_spread_and_few_move_when_a_gateway_goes() -> None:
    fleet = {f"g{n}": f"z{n % 3}" for n in range(12)}
    placed = {group: list(place_replicas(group, fleet, 3)) for group in range(64)}
    assert all(len({fleet[one] for one in some}) == 3 for some in placed.values())  # a zone each
    counts = [sum(name in some for some in placed.values()) for name in fleet]
    assert min(counts) >= 6 and max(counts) <= 30
    fewer = {name: zone for name, zone in fleet.items() if name != "g5"}
    moved = [group for group, some in placed.items() if list(place_replicas(group, fewer, 3)) != some]
    assert all("g5" in placed[group] for group in moved)
    assert set(rank_gateways(3, fleet)) == set(fleet) and 0 <= group_of_customer("c", 64) < 64


def test_nothing_passes_on_a_link_that_was_greeted_as_another_incarnation() -> None:
    """A connection that came up while a disk was renewed: the lost incarnation's votes were given there."""
    incarnation = ["old"]
    heard: list[object] = []

    def handshake() -> wire.Handshake:
        return wire.Handshake("f", 1, 1, "n0", incarnation[0], 3, {}, 0)

    async def run() -> str:
        ours, theirs = socket.socketpair()
        handlers = ConnectionHandlers(
            handshake=handshake,
            on_handshake=lambda connection: heard.append(connection.remote_handshake),
            on_message=lambda *message: heard.append(message),
            on_request=lambda *request: heard.append(request),
            on_response=heard.append,
        )
        link = PeerConnection(IOStream(ours), "f", handlers, Counters())
        task = asyncio.create_task(link.run())
        await asyncio.sleep(0)
        incarnation[0] = "new"
        theirs.sendall(wire.encode_frame(HELLO))
        reason = await task
        assert not heard
        theirs.close()
        return reason

    assert asyncio.run(run()) == "this gateway's incarnation has changed since its handshake"
