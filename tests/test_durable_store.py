"""The durable store: loaded whole, or set aside, or rejected with one message; and a disk that is full."""

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


def entry(index: int, term: int = 1, data: bytes = b"x") -> m.Entry:
    return m.Entry(index, term, 10.0 * index, data)


def filled_store(folder: Path, count: int = 5) -> DurableStore:
    disk = DurableStore(folder, "fleet", "a")
    disk.create(3, FIRST)
    disk.commit([(3, m.Write(n, 1, "a/1", (entry(n),))) for n in range(1, count + 1)])
    return disk


def test_committed_writes_are_loaded_after_reopening(tmp_path: Path) -> None:
    disk = filled_store(tmp_path)
    name, boot = disk.incarnation, disk.boot
    disk.commit([(3, m.Write(6, 2, "b/1", (entry(4, 2, b"y"),)))])  # replaces from there on
    disk.close()
    again = DurableStore(tmp_path, "fleet", "a")
    held = again.groups[3]
    assert (held.term, held.vote) == (2, "b/1") and again.incarnation == name
    assert again.boot >> 32 == (boot >> 32) + 1
    assert [(one.index, one.term, one.data) for one in held.entries] == [
        (1, 1, b"x"), (2, 1, b"x"), (3, 1, b"x"), (4, 2, b"y"),
    ]  # fmt: skip
    whole = m.Snapshot(3, 1, 30.0, FIRST.members, b"state")
    again.commit([(3, m.Write(7, 2, "b/1", (), whole))])
    again.close()
    third = DurableStore(tmp_path, "fleet", "a").groups[3]
    assert third.snapshot == whole and [one.index for one in third.entries] == [4]


def test_commit_that_fails_leaves_nothing(tmp_path: Path) -> None:
    disk = filled_store(tmp_path)
    bad: Any = m.Write(7, 9, "c/1", (entry(6), entry(6)))  # the second breaks a key
    with pytest.raises(apsw.Error):
        disk.commit([(3, m.Write(6, 8, "b/1")), (3, bad)])
    disk.close()
    held = DurableStore(tmp_path, "fleet", "a").groups[3]
    assert held.term == 1 and len(held.entries) == 5


def change(folder: Path, sql: str) -> None:
    db = apsw.Connection(str(folder / FILE_NAME))
    db.execute(sql)
    db.close()


DAMAGE = [
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


@pytest.mark.parametrize("sql", DAMAGE)
def test_damaged_store_is_set_aside_and_a_new_incarnation_begins(tmp_path: Path, sql: str) -> None:
    disk = filled_store(tmp_path)
    was = disk.incarnation
    disk.close()
    change(tmp_path, sql)
    again = DurableStore(tmp_path, "fleet", "a")
    assert again.incarnation != was and again.groups == {} and "damaged-1" in again.set_aside
    assert (tmp_path / "damaged-1" / FILE_NAME).exists()


@settings(derandomize=True, deadline=None, max_examples=40, suppress_health_check=list(HealthCheck))
@given(st.integers(0, 20_000), st.binary(min_size=1, max_size=64))
def test_overwritten_bytes_give_the_same_content_or_a_new_incarnation(
    tmp_path: Path, at: int, noise: bytes
) -> None:
    folder = tmp_path / "one"
    shutil.rmtree(folder, ignore_errors=True)
    disk = filled_store(folder)
    was, before = disk.incarnation, disk.groups | {3: None}
    disk.close()
    with (folder / FILE_NAME).open("r+b") as file:
        file.seek(at % os.path.getsize(folder / FILE_NAME))
        file.write(noise)
    try:
        again = DurableStore(folder, "fleet", "a")
    except StoreUnusableError:  # of no fleet, or no store at all that it knows: not touched
        return
    assert before
    if again.incarnation == was:
        assert [one.data for one in again.groups[3].entries] == [b"x"] * 5
    again.close()


@pytest.mark.parametrize("keep", [0.0, 0.3, 0.6, 0.9])
def test_torn_write_ahead_log_holds_a_prefix_of_the_commits(tmp_path: Path, keep: float) -> None:
    disk = filled_store(tmp_path / "live", 0)
    for n in range(1, 30):
        disk.commit([(3, m.Write(n, 1, "a/1", (entry(n),)))])
    copy = tmp_path / "copy"
    copy.mkdir()
    for file in (tmp_path / "live").glob(FILE_NAME + "*"):  # as a machine that lost its power left it
        if not file.name.endswith("-shm"):
            shutil.copy(file, copy)
    wal = copy / (FILE_NAME + "-wal")
    with wal.open("r+b") as torn:
        torn.truncate(int(keep * wal.stat().st_size))
    disk.close()
    again = DurableStore(copy, "fleet", "a")
    indexes = [one.index for one in again.groups[3].entries] if again.groups else []
    assert indexes == list(range(1, len(indexes) + 1)) and len(indexes) < 29


def test_store_of_another_owner_or_format_is_rejected_with_one_message(tmp_path: Path) -> None:
    disk = filled_store(tmp_path)
    with pytest.raises(StoreUnusableError, match="in use by another process"):
        DurableStore(tmp_path, "fleet", "a")
    disk.close()
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
        self.disk = vfs
        super().__init__("", name, flags)

    def xWrite(self, data: bytes, offset: int) -> None:  # noqa: N802 - named by SQLite
        if self.disk.full.is_set():
            raise apsw.FullError("database or disk is full")
        super().xWrite(data, offset)


@pytest.fixture
def vfs() -> Iterator[FullVFS]:
    one = FullVFS()
    yield one
    one.unregister()


def test_full_disk_acknowledges_nothing_and_writes_continue_once_there_is_room(
    tmp_path: Path, vfs: FullVFS
) -> None:
    disk = DurableStore(tmp_path, "fleet", "a", vfs="full-disk")
    disk.create(3, FIRST)
    done: list[tuple[int, int]] = []
    reasons, durable, has_failed = list[str](), threading.Event(), threading.Event()

    def finished(some: list[tuple[int, int]]) -> None:
        done.extend(some)
        durable.set()

    def failed(why: str) -> None:
        reasons.append(why)
        has_failed.set()

    writer = StoreWriter(disk, finished, failed)
    vfs.full.set()
    writer.write(3, m.Write(1, 1, "a/1", (entry(1),)))
    writer.write(3, m.Write(2, 1, "a/1", (entry(2),)))
    assert has_failed.wait(20) and not done and "full" in reasons[0]
    vfs.full.clear()
    assert durable.wait(20)
    writer.close()
    assert done == [(3, 1), (3, 2)]
    disk.close()
    assert len(DurableStore(tmp_path, "fleet", "a", vfs="full-disk").groups[3].entries) == 2


def test_renewed_store_is_empty_under_another_incarnation(tmp_path: Path) -> None:
    disk = filled_store(tmp_path)
    was = disk.incarnation
    disk.renew()
    disk.save_fleet_knowledge({"x": 4}, 5)
    disk.close()
    again = DurableStore(tmp_path, "fleet", "a")
    assert (
        again.incarnation != was
        and not again.groups
        and again.boot >> 32 == 2
        and again.known_boots == {"x": 4}
    )
    assert again.formed_groups == 5
