"""Data that commit 98386c1 wrote (see `tests/data/README.md`), read by the code of now.

What is stored or sent has no names of types: it holds positions, tags and keys. `KINDS` says which type
stands for each kind of value in the files, and its fields in the order of the data. Where a type or a field
is renamed, this head follows; the files and the expectations stay.
"""

from __future__ import annotations

import asyncio
import json
import random
import shutil
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple, get_args

import apsw
import msgspec
import pytest
import zstandard

from mapleshunt.lifecycle import warm_state
from mapleshunt.maintenance import commands as works
from mapleshunt.maintenance.budget import Budget
from mapleshunt.maintenance.records import (
    FINAL_STATES,
    OUT_STATES,
    WAITING_STATES,
    HistoryEntry,
    MachineJob,
    MaintenanceRequest,
    MaintenanceSnapshot,
)
from mapleshunt.maintenance.summary import summarize
from mapleshunt.net.hot_restart.handover import Handover
from mapleshunt.net.replication.group_host import EVACUATED_PREFIX
from mapleshunt.policy import gossip_codec as gossip
from mapleshunt.recording import file_format as form
from mapleshunt.replicated_state import commands as words
from mapleshunt.replicated_state import state_machine as state
from mapleshunt.replicated_state.results import Applied, Denied, LeaseGranted, Result, decode_result
from mapleshunt.replication import messages as replication
from mapleshunt.replication import wire
from mapleshunt.storage.durable_store import FILE_NAME, DurableStore
from mapleshunt.storage.errors import StoreUnusableError
from mapleshunt.testbed.replica_client import ReplicaClient, query_operator_port

from .processes import WAIT_TIMEOUT_S, Gateway, free_port, toy_servers
from .test_hot_restart import decisions
from .test_record import record

ReplicatedState = state.ReplicatedState
KINDS: dict[str, tuple[type, str]] = {
    # Gossip
    "gossip": (gossip.GossipMessage, "latency_ratio entries endpoint_ratios"),
    "gossip line": (gossip.GossipEntry, "kind customer_tag request_number units bucket_left code"),
    # Replication, and what of it is stored
    "members": (replication.Members, "voters learners"),
    "entry": (replication.Entry, "index term stamp data members"),
    "snapshot": (replication.Snapshot, "index term stamp members data"),
    "stored": (replication.PersistentState, "snapshot term vote entries"),
    "vote request": (replication.VoteRequest, "term last_index last_term pre_vote leadership_transfer"),
    "vote": (replication.VoteResponse, "term granted pre_vote"),
    "append": (replication.AppendEntries, "term previous_index previous_term entries leader_commit round"),
    "appended": (replication.AppendEntriesResponse, "term success index round"),
    "snapshot part": (
        replication.SnapshotChunk,
        "term index snapshot_term stamp members offset data is_last round",
    ),
    "snapshot part taken": (replication.SnapshotChunkAck, "term index next_offset round"),
    "timeout now": (replication.TimeoutNow, "term"),
    # Frames
    "hello": (
        wire.Handshake,
        "fleet min_version max_version gateway incarnation boot known_boots formed_groups generations",
    ),
    "packet": (wire.MessageBatch, "messages"),
    "call": (wire.ClientRequest, "number group command query"),
    "reply": (wire.ClientResponse, "number status leader_hint data"),
    "question": (wire.AdminRequest, "number operation group replica"),
    # Commands and their results
    "command": (words.Command, "session sequence_number acknowledged_below operation"),
    "open": (words.OpenSession, ""),
    "lease": (words.AcquireLease, "customer rate burst units min_units term_ms returned"),
    "return": (words.ReturnLease, "customer lease_id used_units"),
    "settle": (words.SettleUsage, "customer units"),
    "count": (words.CountUsage, "customer units"),
    "reserve": (words.ReserveUnits, "customer name units term_ms"),
    "release": (words.ReleaseReservation, "customer name"),
    "put": (words.SetRecord, "key value expected_version"),
    "done": (Applied, "value"),
    "granted": (LeaseGranted, "lease_id units"),
    "denied": (Denied, "reason value"),
    # The replicated state
    "held": (state.Allocation, "units expires_at holder"),
    "store": (state.TokenBucket, "rate_per_ms burst level updated_at leases reservations counted_usage"),
    "record": (state.Record, "value version author updated_at"),
    "session": (state.Session, "acknowledged_below last_active results"),
    "state": (state.StateSnapshot, "version last_lease_id buckets records sessions maintenance"),
    # Maintenance
    "budget": (
        Budget,
        "max_out max_out_per_zone max_load load_slack pause_s drain_s max_failures closed_windows",
    ),
    "work": (
        works.RequestMaintenance,
        "request_id machines reason author expected_s earliest_time urgency move_replicas target_version",
    ),
    "withdraw": (works.WithdrawRequest, "request_id author"),
    "hold": (works.SetHold, "held author reason"),
    "force": (works.ForceGrant, "machine author reason"),
    "set budget": (works.SetBudget, "budget author"),
    "machine": (works.MachineView, "name zone available groups_led load version"),
    "group": (works.GroupView, "voters up_to_date"),
    "seen": (works.FleetView, "wall_time machines groups"),
    "told": (works.ReportProgress, "machine fencing_token state reason"),
    "step": (HistoryEntry, "at state reason author"),
    "place": (MachineJob, "machine request_id state fencing_token state_since expires_at outcome history"),
    "request": (MaintenanceRequest, "details submitted_at"),
    "works": (
        MaintenanceSnapshot,
        "budget hold_reason last_fencing_token failures last_return_at overloaded requests jobs"
        " blocked_reason budget_was_set",
    ),
    # Recordings
    "row": (
        form.RecordedRequest,
        "arrived_at request_class plan customer estimated_cost true_cost remaining_time_ms gateway_set_size"
        " gateway_set_offset is_retry outcome duration_ms attempts",
    ),
    "attempt": (form.RecordedAttempt, "endpoint status sent_after_ms duration_ms"),
    # What one process hands on
    "warm state": (
        warm_state.WarmState,
        "version captured_at plans concurrency_limit latency_ratio best_latency_ratio response_time"
        " owner_reply_time warm_response_rate response_rate response_time_by_class grant_ratios customers"
        " endpoints captured_monotonic",
    ),
    "customer": (
        warm_state.CustomerState,
        "tag plan tokens recent_use notified_ago demand_ratio cost_estimate",
    ),
    "server": (
        warm_state.EndpointState,
        "server started latency_ratio ejected_for ejections silent_for slow_start_budget",
    ),
}
# Each type of these has an example among the messages.
UNIONS: tuple[Any, ...] = (replication.Message, wire.Frame, words.Operation, Result)
PLACE_REPLY = tuple[float, MachineJob | None, bool, bool]
WORKS_REPLY = tuple[float, MaintenanceSnapshot]

DATA = Path(__file__).parent / "data"
VALUES: dict[str, Any] = json.loads((DATA / "values.json").read_text())
MESSAGES: dict[str, dict[str, Any]] = json.loads((DATA / "messages.json").read_text())
FLEET, GATEWAY = "data", "example"
OF_TYPE = {kind: name for name, (kind, _) in KINDS.items()}


def plain(value: Any) -> Any:
    """The value without names of Python's: a struct is its kind and its fields in the order of the data."""
    if type(value) in OF_TYPE:
        kind = OF_TYPE[type(value)]
        return [kind, *(plain(getattr(value, one)) for one in KINDS[kind][1].split())]
    if isinstance(value, bytes):
        return {"hex": value.hex()}
    if isinstance(value, dict):
        return [[key, plain(one)] for key, one in value.items()]
    if isinstance(value, list | tuple):
        return [plain(one) for one in value]
    assert value is None or isinstance(value, str | int | float), f"{type(value)} is not in KINDS"
    return value


def exact(value: Any) -> str:
    """As text, in which 1, 1.0 and True differ."""
    return json.dumps(value, indent=1)


def rounded(value: Any) -> Any:
    """Without the last digits, in which libraries for mathematics may differ."""
    if isinstance(value, list):
        return [rounded(one) for one in value]
    return float(f"{value:.12g}") if isinstance(value, float) else value


def kinds_in(value: Any) -> Iterator[type]:
    """The types of all structs within."""
    if type(value) in OF_TYPE:
        yield type(value)
        value = [getattr(value, one) for one in KINDS[OF_TYPE[type(value)]][1].split()]
    for one in value if isinstance(value, list | tuple) else ():
        yield from kinds_in(one)


class Form(NamedTuple):
    decode: Callable[[bytes], Any]
    encode: Callable[[Any], bytes]


def frame(data: bytes) -> Any:
    found = wire.decode_frame(bytearray(data), 0, len(data))
    assert found is not None and found[1] == len(data)
    return found[0]


def thawed(data: bytes) -> Any:
    holdings = ReplicatedState()
    holdings.restore(data)
    return holdings.snapshot()


def packed(kind: Any) -> Form:
    return Form(lambda data: msgspec.msgpack.decode(data, type=kind), msgspec.msgpack.encode)


FORMS: dict[str, Form] = {
    "gossip": Form(
        lambda data: gossip.decode(data.decode()),
        lambda value: gossip.encode(value.latency_ratio, value.entries, value.endpoint_ratios).encode(),
    ),
    "frame": Form(frame, wire.encode_frame),
    "command": Form(words.decode_command, words.encode),
    "result": Form(decode_result, words.encode),
    "state": Form(thawed, msgspec.msgpack.encode),
    "store read": packed(state.TokenBucket | None),
    "record read": packed(state.Record | None),
    "place read": packed(PLACE_REPLY),
    "works read": packed(WORKS_REPLY),
}


def message(name: str) -> Any:
    """A message of the file, decoded."""
    return FORMS[MESSAGES[name]["form"]].decode(bytes.fromhex(MESSAGES[name]["hex"]))


@pytest.mark.parametrize("kind", KINDS)
def test_each_kind_names_all_fields_of_its_type(kind: str) -> None:
    """A field that is not named here would not be compared."""
    type_, fields = KINDS[kind]
    named = getattr(type_, "__struct_fields__", None) or tuple(getattr(type_, "__dataclass_fields__", ()))
    assert sorted(fields.split()) == sorted(named)


def test_each_kind_of_message_has_an_example() -> None:
    met = {kind for name in MESSAGES for kind in kinds_in(message(name))}
    missing = [kind for union in UNIONS for kind in get_args(union) if kind not in met]
    assert not missing and {one["form"] for one in MESSAGES.values()} == set(FORMS)


@pytest.mark.parametrize("name", MESSAGES)
def test_a_message_of_98386c1_is_decoded_to_its_values_and_encoded_to_its_bytes(name: str) -> None:
    value = message(name)
    assert exact(plain(value)) == exact(MESSAGES[name]["holds"])
    assert FORMS[MESSAGES[name]["form"]].encode(value).hex() == MESSAGES[name]["hex"]


def test_an_excerpt_of_stored_works_is_the_bytes_that_98386c1_sent() -> None:
    """All that is over is left out, and then all but the last steps of each machine."""
    _, whole = message("works, whole")
    for name in ("works, without what is over", "works, few steps"):
        sent = bytes.fromhex(MESSAGES[name]["hex"])
        most = len(msgspec.msgpack.encode(message(name)[1]))
        assert msgspec.msgpack.encode((message(name)[0], summarize(whole, most))) == sent


def test_a_state_of_another_version_is_refused_by_its_version() -> None:
    data = msgspec.msgpack.decode(bytes.fromhex(MESSAGES["state"]["hex"]))
    holdings = ReplicatedState()
    with pytest.raises(ValueError, match="a snapshot of version 2"):
        holdings.restore(msgspec.msgpack.encode([2, *data[1:]]))
    assert not holdings.buckets and not holdings.records


def test_a_log_of_98386c1_gives_the_same_results_and_the_same_state() -> None:
    """Replicas of two versions apply one log: results, states and texts that are stored must not differ."""
    log = json.loads((DATA / "log.json").read_text())
    holdings = ReplicatedState()
    for stamp, data, result in log["entries"]:
        found = holdings.apply(stamp, bytes.fromhex(data))
        assert words.encode(found).hex() == result, (stamp, data)
    assert exact(plain(holdings.snapshot())) == exact(log["holds"])
    assert msgspec.msgpack.encode(holdings.snapshot()).hex() == log["hex"]


def test_stored_names_are_those_of_98386c1() -> None:
    """States of a machine, and the key of the record that sends replicas away."""
    assert WAITING_STATES == ("queued",) and FINAL_STATES == ("done", "withdrawn", "failed")
    states = "granted", "draining", "safe", "out", "returning", "recalled", "overdue"
    assert states == OUT_STATES
    assert EVACUATED_PREFIX == "copies/away/"


# The replica store


@pytest.fixture
def store(tmp_path: Path) -> Path:
    """A folder with a copy of the store."""
    folder = tmp_path / "store"
    folder.mkdir()
    shutil.copy(DATA / "store" / FILE_NAME, folder / FILE_NAME)
    return folder


def rows(folder: Path, *tables: str) -> dict[str, list[Any]]:
    """What the tables of a store hold, beside the store's own code."""
    db = apsw.Connection(str(folder / FILE_NAME))
    found = {one: list(db.execute(f"select * from {one} order by 1, 2")) for one in tables}
    db.close()
    return found


def test_a_store_of_98386c1_is_loaded_with_its_values(store: Path) -> None:
    expected = VALUES["store"]
    disk = DurableStore(store, FLEET, GATEWAY)
    assert not disk.set_aside
    assert exact(plain(disk.groups)) == exact(expected["groups"])
    assert (disk.incarnation, disk.boot >> 32) == (expected["incarnation"], (expected["boot"] >> 32) + 1)
    assert (disk.known_boots, disk.formed_groups) == (expected["known"], expected["formed"])
    assert [[group, one] for group, one in disk.generations.items()] == expected["generations"]
    disk.close()


def test_what_a_store_of_98386c1_holds_is_written_in_the_same_rows(store: Path, tmp_path: Path) -> None:
    """The tables, and in them the bytes and checksums, are those of 98386c1."""
    tables = "vote", "log", "snapshot", "(select name, sql from sqlite_schema)"
    before = rows(store, *tables, "meta")
    old, other = DurableStore(store, FLEET, GATEWAY), tmp_path / "other"
    new = DurableStore(other, FLEET, GATEWAY)
    for group, stored in old.groups.items():
        new.create(group, stored.snapshot)
        new.commit([(group, replication.Write(1, stored.term, stored.vote, stored.entries))])
    new.save_fleet_knowledge(old.known_boots, old.formed_groups)
    old.close()
    new.close()
    after = rows(other, *tables, "meta")
    assert all(after.values()) and {one: after[one] for one in tables} == {one: before[one] for one in tables}
    was, became = ({key: row for key, *row in found["meta"]} for found in (before, after))
    assert sorted(was) == sorted([*became, "generations"])
    for key in ("format", "fleet", "name", "known", "formed"):
        assert became[key] == was[key]


def test_a_store_of_a_newer_format_is_refused_by_name_and_left_as_it_was(store: Path) -> None:
    newer = DurableStore(store, FLEET, GATEWAY)
    with newer.db:
        newer._put("format", b"2")
    newer.close()
    tables = "meta", "vote", "log", "snapshot"
    before = rows(store, *tables)
    with pytest.raises(StoreUnusableError, match="newer format"):
        DurableStore(store, FLEET, GATEWAY)
    assert rows(store, *tables) == before and [one.name for one in store.iterdir()] == [FILE_NAME]


def test_a_gateway_on_a_store_of_98386c1_serves_its_state(store: Path, tmp_path: Path) -> None:
    """It leads group 0, whose only voter it is; of group 1 it holds what was not yet committed."""
    expected, served = VALUES["store"], VALUES["served"]
    where = ("127.0.0.1", free_port())
    operators = tmp_path / "operators.sexp"
    peers = "".join(f' (peer (name "p{n}") (address "127.0.0.1:{n}"))' for n in (1, 2))
    operators.write_text(
        f'(copies (fleet "{FLEET}") (folder "{store}") (groups 2) (size 3) (lease false) (election-ms 100)'
        f' (peer (name "{GATEWAY}") (address "{where[0]}:{where[1]}")){peers})\n'
    )

    async def status(gateway: Gateway) -> dict[str, Any]:
        """As the gateway tells it once it leads group 0."""
        while True:
            assert gateway.process.poll() is None, gateway.log_text()
            reply = await query_operator_port(where, FLEET, "status")
            if reply is not None:
                told: dict[str, Any] = msgspec.msgpack.decode(reply.data)
                if [one["role"] for one in told["groups"]][:1] == ["leader"]:
                    return told
            await asyncio.sleep(0.02)

    async def serve(gateway: Gateway) -> None:
        told = await status(gateway)
        assert (told["gateway"], told["incarnation"]) == (GATEWAY, expected["incarnation"])
        assert told["boot"] >> 32 == (expected["boot"] >> 32) + 1
        assert sorted(told) == served["status keys"] and told["formed"] == 3
        assert [sorted(one) for one in told["groups"]] == [served["group keys"]] * 2
        assert told["groups"][0]["voters"] == [f"{GATEWAY}/{expected['incarnation']}"]
        assert {key: told["groups"][1][key] for key in served["group 1"]} == served["group 1"]
        caller = ReplicaClient("later", {GATEWAY: where}, FLEET, 0, [], time.monotonic, random.Random(1))
        for customer, one in served["stores"]:
            # The log's time, at position 4, has gone on meanwhile; at a rate of 0 nothing else does.
            found = plain(await caller.read("store", customer))
            assert found[4] >= one[4] and exact([*found[:4], *found[5:]]) == exact([*one[:4], *one[5:]])
        for key, one in served["records"]:
            assert exact(plain(await caller.read("record", key))) == exact(one)
        assert await caller.read("store", "nobody") is None
        _, held = await caller.read("works", "", WORKS_REPLY)
        assert exact(plain(held)) == exact(served["works"])
        _, place, long, some = await caller.read("place", "g1", PLACE_REPLY)
        assert exact(plain((place, long, some))) == exact(served["place of g1"])
        await caller.execute(words.OpenSession())
        key, one = served["records"][0]
        assert plain(await caller.execute(words.SetRecord(key, "next", one[2]))) == ["done", one[2] + 1]
        caller.close()

    async def limited(gateway: Gateway) -> None:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await serve(gateway)

    with toy_servers() as discovery:
        gateway = Gateway(discovery, PROXY_OPERATORS=str(operators), TMPDIR=str(tmp_path))
        try:
            gateway.wait_for_readiness(200)
            asyncio.run(limited(gateway))
        finally:
            gateway.kill()
    assert not list(store.glob("damaged-*"))


# Recordings


def test_a_recording_of_98386c1_is_read_with_its_values() -> None:
    found = form.read_recording((DATA / "recording").read_bytes())
    assert (found.gateway, found.gateways, found.blocks, found.problems) == (1, 3, 1, [])
    assert exact(plain(found.rows)) == exact(VALUES["recording"])


def test_rows_of_a_recording_of_98386c1_are_encoded_to_the_same_bytes() -> None:
    """What is compressed: compressors differ from version to version."""
    data = (DATA / "recording").read_bytes()
    head = form.BLOCK_HEADER.unpack_from(data, form.FILE_HEADER.size)
    begin = form.FILE_HEADER.size + form.BLOCK_HEADER.size
    raw = zstandard.ZstdDecompressor().decompress(
        data[begin : begin + head[3]], max_output_size=form.MAX_BLOCK_ROW_BYTES
    )
    encoded = [form.ROW_ENCODER.encode(row) for row in form.read_recording(data).rows]
    assert form.encode_array_header(len(encoded)) + b"".join(encoded) == raw
    made = form.pack_block(head[1], encoded, head[5])
    again = form.BLOCK_HEADER.unpack_from(made)
    assert (again[0], again[1], *again[4:]) == (head[0], head[1], *head[4:])


def test_a_recorder_goes_on_in_a_recording_of_98386c1(tmp_path: Path) -> None:
    path = tmp_path / "recording"
    shutil.copy(DATA / "recording", path)
    record(path, range(2000, 2003))
    found = form.read_recording(path.read_bytes())
    count = len(VALUES["recording"])
    assert exact(plain(found.rows[:count])) == exact(VALUES["recording"])
    assert [row.arrived_at for row in found.rows[count:]] == [2e6, 2.001e6, 2.002e6]
    assert (found.blocks, found.problems) == (2, [])


def test_a_recording_of_another_form_is_refused_by_name() -> None:
    data = (DATA / "recording").read_bytes()
    assert data.startswith(b"MSREC1\0\0")
    with pytest.raises(form.RecordingError, match="no recording"):
        form.read_recording(data.replace(b"MSREC1", b"MSREC2", 1))


# What one process hands on to the next


def test_what_a_process_of_98386c1_hands_on_is_decoded_to_its_values() -> None:
    data = (DATA / "handover" / "warm-state.json").read_bytes()
    known = warm_state.decode(data)
    assert exact(plain(known)) == exact(VALUES["warm state"])
    assert warm_state.encode(known) == data


def test_what_a_process_of_98386c1_hands_on_is_taken_over() -> None:
    """Decided with what was known: a store, a server that is left alone, a server that is slow."""
    known = warm_state.decode((DATA / "handover" / "warm-state.json").read_bytes())
    gateway, now = decisions(known.captured_at + 200), known.captured_at + 200
    warm_state.restore(gateway, known, now, (known.captured_monotonic or 0.0) + 200)
    again = plain(warm_state.capture(gateway, now, (known.captured_monotonic or 0.0) + 200))
    assert exact(rounded(again)) == exact(rounded(VALUES["warm state after 200 ms"]))


def test_files_of_a_process_of_98386c1_are_found_by_the_next(tmp_path: Path) -> None:
    """By their names, and what one process says of itself and of use since."""
    old, new = Handover(tmp_path, GATEWAY), Handover(tmp_path, GATEWAY)
    data = (DATA / "handover" / "warm-state.json").read_bytes()
    (tmp_path / "example.gateway.2.from.1").write_bytes(data)
    shutil.copy(DATA / "handover" / "used.json", tmp_path / "example.used.2.from.1")
    assert (old.number, new.number, new.older_processes()) == (1, 2, [1])
    assert new.take_warm_state(1) == data and new.take_warm_state(1) is None
    used = new.read_usage(1)
    assert [[tag, units] for tag, units in used.items()] == VALUES["used"]
    old.write_usage(2, used)
    old.write_warm_state(2, data)
    assert (tmp_path / "example.used.2.from.1").read_bytes() == (DATA / "handover/used.json").read_bytes()
    assert (tmp_path / "example.gateway.2.from.1").read_bytes() == data
    old.mark_ready()
    assert (tmp_path / "example.gateway.1").read_bytes() == b"ready" and new.is_ready(1)
    new.close()
    old.close()


@pytest.mark.parametrize("change", [{"version": 2}, {"version": None}, {"plans": 3}, {"servers": [[1]]}])
def test_a_hand_over_of_another_form_is_refused(change: dict[str, Any]) -> None:
    data = json.loads((DATA / "handover" / "warm-state.json").read_bytes())
    with pytest.raises(ValueError, match=next(iter(change))):
        warm_state.decode(json.dumps({**data, **change}).encode())
