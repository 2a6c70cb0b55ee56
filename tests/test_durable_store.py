"""The durable store: loaded whole, set aside, or rejected with one message; and writes to a full disk."""

from __future__ import annotations

import os
import shutil
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import apsw
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from mapleshunt.replication import messages as m
from mapleshunt.storage.durable_store import FILE_NAME, DurableStore
from mapleshunt.storage.errors import StoreUnusableError
from mapleshunt.storage.writer import StoreWriter

FIRST = m.Snapshot(0, 0, 0.0, m.Members(("a/1", "b/1", "c/1")), b"")


def make_entry(index: int, term: int = 1, data: bytes = b"x") -> m.Entry:
    return m.Entry(index, term, 10.0 * index, data)


def filled_store(folder: Path, count: int = 5) -> DurableStore:
    store = DurableStore(folder, "fleet", "a")
    store.create(3, FIRST)
    store.commit([(3, m.Write(n, 1, "a/1", (make_entry(n),))) for n in range(1, count + 1)])
    return store


def test_committed_writes_are_loaded_after_reopening(tmp_path: Path) -> None:
    store = filled_store(tmp_path)
    incarnation, boot = store.incarnation, store.boot
    store.commit([(3, m.Write(6, 2, "b/1", (make_entry(4, 2, b"y"),)))])  # replaces the log from there on
    store.close()
    reopened = DurableStore(tmp_path, "fleet", "a")
    state = reopened.groups[3]
    assert (state.term, state.vote) == (2, "b/1") and reopened.incarnation == incarnation
    assert reopened.boot >> 32 == (boot >> 32) + 1
    assert [(entry.index, entry.term, entry.data) for entry in state.entries] == [
        (1, 1, b"x"), (2, 1, b"x"), (3, 1, b"x"), (4, 2, b"y"),
    ]  # fmt: skip
    snapshot = m.Snapshot(3, 1, 30.0, FIRST.members, b"state")
    reopened.commit([(3, m.Write(7, 2, "b/1", (), snapshot))])
    reopened.close()
    compacted = DurableStore(tmp_path, "fleet", "a").groups[3]
    assert compacted.snapshot == snapshot and [entry.index for entry in compacted.entries] == [4]


def test_failed_commit_leaves_the_store_unchanged(tmp_path: Path) -> None:
    store = filled_store(tmp_path)
    bad: Any = m.Write(7, 9, "c/1", (make_entry(6), make_entry(6)))  # the second violates the primary key
    with pytest.raises(apsw.Error):
        store.commit([(3, m.Write(6, 8, "b/1")), (3, bad)])
    store.close()
    state = DurableStore(tmp_path, "fleet", "a").groups[3]
    assert state.term == 1 and len(state.entries) == 5


def execute_sql(folder: Path, sql: str) -> None:
    db = apsw.Connection(str(folder / FILE_NAME))
    db.execute(sql)
    db.close()


DAMAGING_STATEMENTS = [
    "update log set data = x'00' where idx = 2",
    "update log set sum = sum + 1 where idx = 5",
    "delete from log where idx = 2",
    "update vote set vote = 'c/1'",
    "delete from vote",
    "update snapshot set data = x'93'",
    "delete from snapshot",
    "delete from meta where key = 'boot'",
    "update meta set value = 'text' where key = 'incarnation'",
]


@pytest.mark.parametrize("sql", DAMAGING_STATEMENTS)
def test_damaged_store_is_set_aside_and_a_new_incarnation_begins(tmp_path: Path, sql: str) -> None:
    store = filled_store(tmp_path)
    old_incarnation = store.incarnation
    store.close()
    execute_sql(tmp_path, sql)
    reopened = DurableStore(tmp_path, "fleet", "a")
    assert (
        reopened.incarnation != old_incarnation
        and reopened.groups == {}
        and "damaged-1" in reopened.set_aside
    )
    assert (tmp_path / "damaged-1" / FILE_NAME).exists()


@settings(derandomize=True, deadline=None, max_examples=40, suppress_health_check=list(HealthCheck))
@given(st.integers(0, 20_000), st.binary(min_size=1, max_size=64))
def test_overwritten_bytes_give_the_same_content_or_a_new_incarnation(
    tmp_path: Path, offset: int, garbage: bytes
) -> None:
    folder = tmp_path / "store"
    shutil.rmtree(folder, ignore_errors=True)
    store = filled_store(folder)
    old_incarnation, before = store.incarnation, store.groups | {3: None}
    store.close()
    with (folder / FILE_NAME).open("r+b") as file:
        file.seek(offset % os.path.getsize(folder / FILE_NAME))
        file.write(garbage)
    try:
        reopened = DurableStore(folder, "fleet", "a")
    except StoreUnusableError:  # of another fleet, or of an unknown format: not touched
        return
    assert before
    if reopened.incarnation == old_incarnation:
        assert [entry.data for entry in reopened.groups[3].entries] == [b"x"] * 5
    reopened.close()


@pytest.mark.parametrize("kept_part", [0.0, 0.3, 0.6, 0.9])
def test_torn_write_ahead_log_holds_a_prefix_of_the_commits(tmp_path: Path, kept_part: float) -> None:
    store = filled_store(tmp_path / "live", 0)
    for n in range(1, 30):
        store.commit([(3, m.Write(n, 1, "a/1", (make_entry(n),)))])
    copy = tmp_path / "copy"
    copy.mkdir()
    for file in (tmp_path / "live").glob(FILE_NAME + "*"):  # as a power failure leaves them
        if not file.name.endswith("-shm"):
            shutil.copy(file, copy)
    wal = copy / (FILE_NAME + "-wal")
    with wal.open("r+b") as torn:
        torn.truncate(int(kept_part * wal.stat().st_size))
    store.close()
    reopened = DurableStore(copy, "fleet", "a")
    indexes = [entry.index for entry in reopened.groups[3].entries] if reopened.groups else []
    assert indexes == list(range(1, len(indexes) + 1)) and len(indexes) < 29


def test_store_of_another_owner_or_format_is_rejected_with_one_message(tmp_path: Path) -> None:
    store = filled_store(tmp_path)
    with pytest.raises(StoreUnusableError, match="in use by another process"):
        DurableStore(tmp_path, "fleet", "a")
    store.close()
    with pytest.raises(StoreUnusableError, match="of the fleet 'fleet', not of 'other'"):
        DurableStore(tmp_path, "other", "a")
    with pytest.raises(StoreUnusableError, match="of the name 'a', not of 'b'"):
        DurableStore(tmp_path, "fleet", "b")
    newer = DurableStore(tmp_path, "fleet", "a")
    with newer.db:
        newer._put("format", b"2")
    newer.close()
    with pytest.raises(StoreUnusableError, match="newer format"):
        DurableStore(tmp_path, "fleet", "a")
    file = tmp_path / "file"
    file.write_text("")
    with pytest.raises(StoreUnusableError, match="cannot be used"):
        DurableStore(file, "fleet", "a")


class FullVFS(apsw.VFS):
    """A disk on which every write fails while `full` is set."""

    def __init__(self) -> None:
        self.full = threading.Event()
        super().__init__("full-disk", "")

    def xOpen(self, name: Any, flags: Any) -> Any:  # noqa: N802 - named by SQLite
        return FullFile(self, name, flags)


class FullFile(apsw.VFSFile):
    def __init__(self, vfs: FullVFS, name: Any, flags: Any) -> None:
        self.vfs = vfs
        super().__init__("", name, flags)

    def xWrite(self, data: bytes, offset: int) -> None:  # noqa: N802 - named by SQLite
        if self.vfs.full.is_set():
            raise apsw.FullError("database or disk is full")
        super().xWrite(data, offset)


@pytest.fixture
def vfs() -> Iterator[FullVFS]:
    full_vfs = FullVFS()
    yield full_vfs
    full_vfs.unregister()


def test_full_disk_acknowledges_nothing_and_writes_continue_once_there_is_room(
    tmp_path: Path, vfs: FullVFS
) -> None:
    store = DurableStore(tmp_path, "fleet", "a", vfs="full-disk")
    store.create(3, FIRST)
    done: list[tuple[int, int]] = []
    reasons, durable, has_failed = list[str](), threading.Event(), threading.Event()

    def on_durable(writes: list[tuple[int, int]]) -> None:
        done.extend(writes)
        durable.set()

    def on_failure(reason: str) -> None:
        reasons.append(reason)
        has_failed.set()

    writer = StoreWriter(store, on_durable, on_failure)
    vfs.full.set()
    writer.write(3, m.Write(1, 1, "a/1", (make_entry(1),)))
    writer.write(3, m.Write(2, 1, "a/1", (make_entry(2),)))
    assert has_failed.wait(20) and not done and "full" in reasons[0]
    vfs.full.clear()
    assert durable.wait(20)
    writer.close()
    assert done == [(3, 1), (3, 2)]
    store.close()
    assert len(DurableStore(tmp_path, "fleet", "a", vfs="full-disk").groups[3].entries) == 2


def test_renewed_store_is_empty_under_another_incarnation(tmp_path: Path) -> None:
    store = filled_store(tmp_path)
    old_incarnation = store.incarnation
    store.renew()
    store.save_fleet_knowledge({"x": 4}, 5)
    store.close()
    reopened = DurableStore(tmp_path, "fleet", "a")
    assert (
        reopened.incarnation != old_incarnation
        and not reopened.groups
        and reopened.boot >> 32 == 2
        and reopened.known_boots == {"x": 4}
    )
    assert reopened.formed_groups == 5
