"""Recordings: what the daemon writes, what a reader makes of it, and of files that are damaged."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mapleshunt import RequestReceived, Settings
from mapleshunt.net.reasons import AttemptStatus
from mapleshunt.net.request.context import Attempt, RequestContext
from mapleshunt.recording import file_format as form
from mapleshunt.recording.writer import Recorder

from .conftest import CLASSES, PLANS

SETTINGS = Settings(gateway_index=1, gateway_count=3, classes=CLASSES, plans=PLANS)
SIZE = form.HEADER.size + 4 * form.SLOT


def context(number: int, customer: str = "", noise: bool = False) -> RequestContext:
    name = os.urandom(400).hex() if noise else customer or f"{number:016x}"
    request = RequestReceived(number, "look", "wide", name, 2000.0, 3.0, 2, 1, number % 5 == 0)
    one: Any = RequestContext(number, request, None, None, 1000.0 * number)  # type: ignore[arg-type]
    one.final_result, one.awaiting_response, one.released_at = "served", False, 1000.0 * number + 90
    one.attempts = [
        Attempt(0, 7, 1000.0 * number + 2, 0.0, status=AttemptStatus.FULL, latency_ms=3.0),
        Attempt(1, 8, 1000.0 * number + 6, 0.0, status=AttemptStatus.OK, latency_ms=80.0, cost=4.0),
    ]
    return one  # type: ignore[no-any-return]


def record(path: Path, numbers: range, size: int = SIZE, **more: Any) -> None:
    async def go() -> None:
        recorder = Recorder(path, size, b"salt", SETTINGS, 0.0)
        for number in numbers:
            recorder.seen(context(number, **more))
        recorder.close()

    asyncio.run(go())


def test_a_row_holds_what_was_met_and_no_name(tmp_path: Path) -> None:
    record(tmp_path / "r", range(1, 3))
    found = form.read((tmp_path / "r").read_bytes())
    row = found.rows[0]
    assert (found.gateway, found.gateways, found.trouble) == (1, 3, [])
    assert (row.at, row.cls, row.plan, row.guess, row.cost) == (1000.0, "look", "wide", 3.0, 4.0)
    assert (row.patience, row.spread, row.first, row.retry, row.final) == (2000.0, 2, 1, False, "served")
    assert row.took == 90 and row.attempts == (
        form.Attempt(7, "full", 2.0, 3.0),
        form.Attempt(8, "ok", 6.0, 80.0),
    )
    assert row.customer == form.hashed(f"{1:016x}", b"salt") != form.hashed(f"{1:016x}", b"other")
    assert f"{1:016x}".encode() not in (tmp_path / "r").read_bytes()


def test_the_file_stays_within_its_size_and_old_rows_go_first(tmp_path: Path) -> None:
    record(tmp_path / "r", range(20000))
    assert (tmp_path / "r").stat().st_size <= SIZE
    rows = form.read((tmp_path / "r").read_bytes()).rows
    kept = [round(row.at / 1000) for row in rows]
    assert kept == list(range(kept[0], 20000)) and 1000 < len(kept) < 20000


def test_rows_that_do_not_compress_are_split_over_slots(tmp_path: Path) -> None:
    async def go() -> None:
        recorder = Recorder(tmp_path / "r", SIZE, b"salt", SETTINGS, 0.0)
        recorder.customer = lambda name: os.urandom(3000)  # type: ignore[method-assign]
        for number in range(30):
            recorder.seen(context(number))
        recorder.close()

    asyncio.run(go())
    found = form.read((tmp_path / "r").read_bytes())
    assert [round(row.at / 1000) for row in found.rows] == list(range(30)) and found.blocks >= 3


def test_a_restart_goes_on_behind_what_was_written(tmp_path: Path) -> None:
    record(tmp_path / "r", range(10))
    record(tmp_path / "r", range(10, 20))
    found = form.read((tmp_path / "r").read_bytes())
    assert [round(row.at / 1000) for row in found.rows] == list(range(20)) and found.blocks == 2


def test_a_block_that_is_not_full_is_written_and_written_again(tmp_path: Path) -> None:
    async def go() -> None:
        recorder = Recorder(tmp_path / "r", SIZE, b"salt", SETTINGS, 0.0)
        for number in range(6):
            recorder.seen(context(number))
            recorder.flush()
        assert len(form.read((tmp_path / "r").read_bytes()).rows) == 6
        recorder.seen(context(6))
        recorder.close()

    asyncio.run(go())
    assert form.read((tmp_path / "r").read_bytes()).blocks == 1


def test_what_is_damaged_or_cut_off_is_told_and_the_rest_is_read(tmp_path: Path) -> None:
    record(tmp_path / "r", range(4000))
    whole = (tmp_path / "r").read_bytes()
    count = form.read(whole).blocks
    assert count >= 3
    hurt = bytearray(whole)
    hurt[form.HEADER.size + form.SLOT + 200] ^= 0xFF
    found = form.read(bytes(hurt))
    assert found.blocks == count - 1 and any("damaged" in line for line in found.trouble)
    assert any("missing" in line for line in found.trouble)
    cut = form.read(whole[: form.HEADER.size + form.SLOT + 1000])
    assert cut.blocks == 1 and "not whole" in cut.trouble[0]
    for bad in (b"", b"x" * 500, whole[:20]):
        with pytest.raises(form.BadRecording):
            form.read(bad)


@settings(derandomize=True, max_examples=80, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 70000), st.binary(max_size=12)), max_size=8), st.integers(0, 80000))
def test_no_bytes_make_the_reader_fail(changes: list[tuple[int, bytes]], end: int) -> None:
    rows = [form.ENCODER.encode(form.Row(1.0, "a", "b", b"c", 1, 1, 1, 1, 0, False, "served", 1.0))] * 50
    data = bytearray(form.HEADER.pack(form.MAGIC, form.SLOT, 2, 0, 1, 0.0, b"run"))
    for number in range(2):
        data += form.pack_block(number, rows, 1.0).ljust(form.SLOT, b"\0")
    for at, piece in changes:
        data[at : at + len(piece)] = piece
    try:
        found = form.read(bytes(data[:end]))
        assert len(found.rows) <= 100
    except form.BadRecording:
        pass


def test_a_disk_that_fails_ends_the_recording_and_nothing_else(tmp_path: Path) -> None:
    async def go() -> None:
        recorder = Recorder(tmp_path / "r", SIZE, b"salt", SETTINGS, 0.0)
        os.close(recorder.file)
        recorder.file = os.open("/dev/full", os.O_RDWR)
        recorder.seen(context(1))
        recorder.flush()
        assert recorder.file == -1
        recorder.seen(context(2))
        recorder.close()

    asyncio.run(go())
