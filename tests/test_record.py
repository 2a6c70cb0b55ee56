"""Recordings: the writer in the gateway, and the reader with intact and damaged files."""

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
SIZE = form.FILE_HEADER.size + 4 * form.SLOT_BYTES


def context(number: int, customer: str = "", noise: bool = False) -> RequestContext:
    name = os.urandom(400).hex() if noise else customer or f"{number:016x}"
    request = RequestReceived(number, "look", "wide", name, 2000.0, 3.0, 2, 1, number % 5 == 0)
    made: Any = RequestContext(number, request, None, None, 1000.0 * number)  # type: ignore[arg-type]
    made.final_result, made.awaiting_response, made.released_at = "served", False, 1000.0 * number + 90
    made.attempts = [
        Attempt(0, 7, 1000.0 * number + 2, 0.0, status=AttemptStatus.FULL, latency_ms=3.0),
        Attempt(1, 8, 1000.0 * number + 6, 0.0, status=AttemptStatus.OK, latency_ms=80.0, cost=4.0),
    ]
    return made  # type: ignore[no-any-return]


def record(path: Path, numbers: range, size: int = SIZE, **options: Any) -> None:
    async def go() -> None:
        recorder = Recorder(path, size, b"salt", SETTINGS, 0.0)
        for number in numbers:
            recorder.record(context(number, **options))
        recorder.close()

    asyncio.run(go())


def test_row_has_the_request_and_its_attempts_but_no_customer_name(tmp_path: Path) -> None:
    record(tmp_path / "r", range(1, 3))
    found = form.read_recording((tmp_path / "r").read_bytes())
    row = found.rows[0]
    assert (found.gateway, found.gateways, found.problems) == (1, 3, [])
    assert (row.arrived_at, row.request_class, row.plan, row.estimated_cost, row.true_cost) == (
        1000.0,
        "look",
        "wide",
        3.0,
        4.0,
    )
    assert (
        row.remaining_time_ms,
        row.gateway_set_size,
        row.gateway_set_offset,
        row.is_retry,
        row.outcome,
    ) == (
        2000.0,
        2,
        1,
        False,
        "served",
    )
    assert row.duration_ms == 90 and row.attempts == (
        form.RecordedAttempt(7, "full", 2.0, 3.0),
        form.RecordedAttempt(8, "ok", 6.0, 80.0),
    )
    assert (
        row.customer == form.hash_customer(f"{1:016x}", b"salt") != form.hash_customer(f"{1:016x}", b"other")
    )
    assert f"{1:016x}".encode() not in (tmp_path / "r").read_bytes()


def test_file_stays_within_its_size_and_overwrites_the_oldest_rows(tmp_path: Path) -> None:
    record(tmp_path / "r", range(20000))
    assert (tmp_path / "r").stat().st_size <= SIZE
    rows = form.read_recording((tmp_path / "r").read_bytes()).rows
    numbers = [round(row.arrived_at / 1000) for row in rows]
    assert numbers == list(range(numbers[0], 20000)) and 1000 < len(numbers) < 20000


def test_rows_that_do_not_compress_are_split_over_several_slots(tmp_path: Path) -> None:
    async def go() -> None:
        recorder = Recorder(tmp_path / "r", SIZE, b"salt", SETTINGS, 0.0)
        recorder.hash_customer = lambda name: os.urandom(3000)  # type: ignore[method-assign]
        for number in range(30):
            recorder.record(context(number))
        recorder.close()

    asyncio.run(go())
    found = form.read_recording((tmp_path / "r").read_bytes())
    assert [round(row.arrived_at / 1000) for row in found.rows] == list(range(30)) and found.blocks >= 3


def test_restarted_recorder_continues_after_the_last_block(tmp_path: Path) -> None:
    record(tmp_path / "r", range(10))
    record(tmp_path / "r", range(10, 20))
    found = form.read_recording((tmp_path / "r").read_bytes())
    assert [round(row.arrived_at / 1000) for row in found.rows] == list(range(20)) and found.blocks == 2


def test_block_that_is_not_full_is_written_and_later_overwritten(tmp_path: Path) -> None:
    async def go() -> None:
        recorder = Recorder(tmp_path / "r", SIZE, b"salt", SETTINGS, 0.0)
        for number in range(6):
            recorder.record(context(number))
            recorder.flush()
        assert len(form.read_recording((tmp_path / "r").read_bytes()).rows) == 6
        recorder.record(context(6))
        recorder.close()

    asyncio.run(go())
    assert form.read_recording((tmp_path / "r").read_bytes()).blocks == 1


def test_damaged_or_truncated_blocks_are_reported_and_the_others_are_read(tmp_path: Path) -> None:
    record(tmp_path / "r", range(4000))
    whole = (tmp_path / "r").read_bytes()
    count = form.read_recording(whole).blocks
    assert count >= 3
    damaged = bytearray(whole)
    damaged[form.FILE_HEADER.size + form.SLOT_BYTES + 200] ^= 0xFF
    found = form.read_recording(bytes(damaged))
    assert found.blocks == count - 1 and any("damaged" in line for line in found.problems)
    assert any("missing" in line for line in found.problems)
    truncated = form.read_recording(whole[: form.FILE_HEADER.size + form.SLOT_BYTES + 1000])
    assert truncated.blocks == 1 and "incomplete" in truncated.problems[0]
    for invalid in (b"", b"x" * 500, whole[:20]):
        with pytest.raises(form.RecordingError):
            form.read_recording(invalid)


@settings(derandomize=True, max_examples=80, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 70000), st.binary(max_size=12)), max_size=8), st.integers(0, 80000))
def test_reader_accepts_any_bytes_or_raises_recording_error(
    changes: list[tuple[int, bytes]], end: int
) -> None:
    rows = [
        form.ROW_ENCODER.encode(
            form.RecordedRequest(1.0, "a", "b", b"c", 1, 1, 1, 1, 0, False, "served", 1.0)
        )
    ] * 50
    data = bytearray(form.FILE_HEADER.pack(form.FILE_MAGIC, form.SLOT_BYTES, 2, 0, 1, 0.0, b"run"))
    for number in range(2):
        data += form.pack_block(number, rows, 1.0).ljust(form.SLOT_BYTES, b"\0")
    for position, replacement in changes:
        data[position : position + len(replacement)] = replacement
    try:
        found = form.read_recording(bytes(data[:end]))
        assert len(found.rows) <= 100
    except form.RecordingError:
        pass


def test_io_error_ends_the_recording_and_further_calls_do_nothing(tmp_path: Path) -> None:
    async def go() -> None:
        recorder = Recorder(tmp_path / "r", SIZE, b"salt", SETTINGS, 0.0)
        os.close(recorder.file)
        recorder.file = os.open("/dev/full", os.O_RDWR)
        recorder.record(context(1))
        recorder.flush()
        assert recorder.file == -1
        recorder.record(context(2))
        recorder.close()

    asyncio.run(go())
