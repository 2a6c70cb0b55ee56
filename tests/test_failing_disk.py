"""A disk whose calls fail for a while: a store loses none of its content, and no task is abandoned."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import apsw
import pytest

from mapleshunt.net import config
from mapleshunt.replication import messages as m
from mapleshunt.server.gateway_server import GatewayServer
from mapleshunt.storage.durable_store import DurableStore
from mapleshunt.storage.errors import StoreDamagedError
from mapleshunt.storage.writer import StoreWriter
from mapleshunt.testbed.syscall_faults import SyscallFaultControl, SyscallFaultRates, build_library

from .processes import EXAMPLE_CONFIG, ROOT, free_port
from .test_durable_store import FIRST, filled_store

OPENS = 60
OPEN_REPEATEDLY = f"""
import json, sys
from pathlib import Path
from mapleshunt.storage.durable_store import DurableStore
opened, failed = [], []
for _ in range({OPENS}):
    try:
        disk = DurableStore(Path(sys.argv[1]), "fleet", "a")
    except Exception as error:
        failed.append(type(error).__name__)
    else:
        opened.append([disk.incarnation, len(disk.groups[3].entries) if disk.groups else 0, disk.set_aside])
        disk.close()
print(json.dumps([opened, failed]))
"""
OPEN_ONCE = """
import sys
from pathlib import Path
from mapleshunt.storage.durable_store import DurableStore
DurableStore(Path(sys.argv[1]), "fleet", "a")
"""


SYNC_DELAY_S = 1.0  # of each sync
MAX_STALL_S = 0.5
WRITE_AND_MEASURE_STALLS = """
import sys, threading, time
from pathlib import Path
from mapleshunt.replication import messages as m
from mapleshunt.storage.durable_store import DurableStore

def write():
    disk = DurableStore(Path(sys.argv[1]), "fleet", "a")
    disk.commit([(3, m.Write(9, 9, ""))])
    disk.save_fleet_knowledge({"b": 1 << 32}, 1)
    disk.close()

thread = threading.Thread(target=write)
begun = last = time.monotonic()
worst = 0.0
thread.start()
while thread.is_alive():
    time.sleep(0.01)
    worst, last = max(worst, time.monotonic() - last), time.monotonic()
print(worst, time.monotonic() - begun)
"""


def script(code: str, store: Path, control: SyscallFaultControl) -> subprocess.CompletedProcess[str]:
    """Run code with the store's folder as its argument, and system call faults as the control sets them."""
    command = [sys.executable, "-c", code, str(store)]
    return subprocess.run(command, env=control.environment(), capture_output=True, text=True)


@pytest.fixture(scope="module")
def library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return build_library(tmp_path_factory.mktemp("library"))


def test_reads_that_fail_for_a_while_do_not_set_a_whole_store_aside(tmp_path: Path, library: Path) -> None:
    # SQLite reports an EIO of a read as a corrupt database. The store was set aside as damaged, and the
    # replica returned as another incarnation, without the votes and entries that it had acknowledged.
    disk = filled_store(tmp_path / "store")
    incarnation = disk.incarnation
    disk.close()
    control = SyscallFaultControl(library, tmp_path / "control", 5, tmp_path / "store")
    control.set(SyscallFaultRates(disk_read=0.1))
    done = script(OPEN_REPEATEDLY, tmp_path / "store", control)
    assert not done.returncode, done.stderr
    opened, failed = json.loads(done.stdout)
    assert control.counts()["disk_read"] > OPENS / 4
    assert not list((tmp_path / "store").glob("damaged-*"))
    assert all(store == [incarnation, 5, ""] for store in opened), opened
    assert opened and set(failed) <= {"StoreUnavailableError"}, failed


class FailingDisk:
    """A store of which each call fails a few times, as on a full disk, before it succeeds."""

    def __init__(self, failures: int) -> None:
        self.failures, self.done = failures, list[str]()

    def commit(self, writes: object) -> None:
        self.do("commit")

    def do(self, name: str) -> None:
        if self.failures:
            self.failures -= 1
            raise apsw.FullError("database or disk is full")
        self.done.append(name)


def test_slow_disk_blocks_no_other_thread(tmp_path: Path, library: Path) -> None:
    """SQLite's syncs were made under Python's global lock: each blocked the event loop and all requests."""
    store = tmp_path / "store"
    store.mkdir()
    filled_store(store).close()
    control = SyscallFaultControl(library, tmp_path / "control", 5, store)
    control.set(SyscallFaultRates(disk_slow=SYNC_DELAY_S))
    done = script(WRITE_AND_MEASURE_STALLS, store, control)
    worst, took = map(float, done.stdout.split())
    assert took > 3 * SYNC_DELAY_S and worst < MAX_STALL_S, (worst, took)


@pytest.fixture
def short_retry_delay(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    monkeypatch.setattr("mapleshunt.storage.writer.RETRY_DELAY_S", 0.001)
    yield


def test_every_task_of_the_writer_is_repeated_until_the_disk_completes_it(short_retry_delay: None) -> None:
    # Only commits were repeated. After a failed creation of a group, renewal of an incarnation or write of a
    # generation the replica did nothing until its next start.
    disk, finished = FailingDisk(2), threading.Event()
    reasons: list[str] = []
    writer = StoreWriter(disk, lambda done: None, reasons.append)  # type: ignore[arg-type]

    def create() -> None:
        disk.do("create")
        disk.failures = 1

    def renew() -> None:
        disk.do("renew")
        finished.set()

    writer.run_task(create)
    writer.write(3, m.Write(1, 1, "a/1"))
    writer.run_task(renew)
    assert finished.wait(20), disk.done
    writer.close()
    assert disk.done == ["create", "commit", "renew"]
    assert len(reasons) == 3


def test_task_that_finds_damage_does_not_block_the_writes_behind_it(tmp_path: Path) -> None:
    """An operator's recovery of a group whose rows are damaged ended the writer, and with it all groups."""
    disk = filled_store(tmp_path)
    done: list[tuple[int, int]] = []
    failed: list[str] = []
    writer = StoreWriter(disk, done.extend, failed.append)

    def recover() -> None:
        raise StoreDamagedError("the checksum is wrong")

    writer.run_task(recover)
    writer.write(3, m.Write(9, 9, ""))
    end = time.monotonic() + 10
    while not done:
        assert time.monotonic() < end, failed
        time.sleep(0.01)
    assert done == [(3, 9)] and failed == ["StoreDamagedError: the checksum is wrong"]
    writer.close()
    disk.close()


def test_full_disk_at_a_start_is_not_reported_as_bad_configuration(tmp_path: Path, library: Path) -> None:
    control = SyscallFaultControl(library, tmp_path / "control", 6, tmp_path)
    control.set(SyscallFaultRates(disk=1.0))
    done = script(OPEN_ONCE, tmp_path / "store", control)
    assert "StoreUnavailableError" in done.stderr, done.stderr
    control.set(SyscallFaultRates())
    disk = DurableStore(tmp_path / "store", "fleet", "a")
    assert disk.create(3, FIRST).snapshot == FIRST and not disk.set_aside


@contextlib.contextmanager
def process(folder: Path, **env: str) -> Iterator[subprocess.Popen[bytes]]:
    """A gateway with the example's configuration, its log in the folder."""
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
    defaults = {
        "PROXY_CONFIG": str(EXAMPLE_CONFIG),
        "PROXY_LISTEN": "127.0.0.1:0",
        "PROXY_DISCOVERY": "127.0.0.1:1",
    }
    with (folder / "log").open("wb") as log:
        started = subprocess.Popen(
            [sys.executable, "-m", "mapleshunt"], cwd=ROOT, env={**inherited, **defaults, **env}, stderr=log
        )
    try:
        yield started
    finally:
        started.kill()
        started.wait()


def wait_for_log(folder: Path, started: subprocess.Popen[bytes], text: str) -> None:
    """Wait until the process has logged `text`."""
    end = time.monotonic() + 60
    while text not in (folder / "log").read_text():
        assert started.poll() is None, (folder / "log").read_text()
        assert time.monotonic() < end, (folder / "log").read_text()
        time.sleep(0.01)


def test_sockets_that_fail_for_a_while_do_not_end_a_start(tmp_path: Path, library: Path) -> None:
    control = SyscallFaultControl(library, tmp_path / "control", 7)
    control.set(SyscallFaultRates(socket=1.0))
    with process(tmp_path, **control.environment()) as started:
        wait_for_log(tmp_path, started, "event=start_retried")
        control.set(SyscallFaultRates())
        wait_for_log(tmp_path, started, "event=started")


def test_gateway_serves_without_its_store_until_the_disk_has_room(tmp_path: Path, library: Path) -> None:
    store, port = tmp_path / "store", free_port()
    operators = tmp_path / "operators.sexp"
    operators.write_text(
        f'(copies (fleet "f") (folder "{store}") (groups 1) (size 3)'
        + f' (peer (name "example") (address "127.0.0.1:{port}") (zone "a"))'
        + "".join(f' (peer (name "p{n}") (address "127.0.0.1:{n}") (zone "z{n}"))' for n in (1, 2))
        + ")\n"
    )
    store.mkdir()
    control = SyscallFaultControl(library, tmp_path / "control", 8, store)
    control.set(SyscallFaultRates(disk=1.0))
    env = {"PROXY_OPERATORS": str(operators), **control.environment()}
    with process(tmp_path, **env) as started:
        wait_for_log(tmp_path, started, "event=started")
        wait_for_log(tmp_path, started, "event=copies_store_unavailable")
        control.set(SyscallFaultRates())
        wait_for_log(tmp_path, started, "event=copies_started")


@pytest.mark.parametrize("failing_file", ["operators", "recording"])
def test_start_with_an_operators_file_outlasts_missing_descriptors_and_a_full_disk(
    failing_file: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Neither a file that cannot be read for a while nor a recording on a full disk is bad configuration."""
    operators = tmp_path / "operators.sexp"
    operators.write_text(f'(record (file "{tmp_path / "record"}") (size-mb 1))\n')
    monkeypatch.setenv("PROXY_OPERATORS", str(operators))
    failed: list[int] = []
    original_read_text, original_open = Path.read_text, os.open

    def read_text(path: Path, *args: Any, **kwargs: Any) -> str:
        if failing_file == "operators" and path == operators and len(failed) < 2:
            failed.append(errno.EMFILE)
            raise OSError(errno.EMFILE, "Too many open files")
        return original_read_text(path, *args, **kwargs)

    def open_file(path: Any, *args: Any, **kwargs: Any) -> int:
        if failing_file == "recording" and str(path).endswith("record"):
            failed.append(errno.ENOSPC)
            raise OSError(errno.ENOSPC, "No space left on device")
        return original_open(path, *args, **kwargs)

    monkeypatch.setattr(Path, "read_text", read_text)
    monkeypatch.setattr(os, "open", open_file)

    async def run() -> None:
        server = GatewayServer(
            config.parse(EXAMPLE_CONFIG.read_text(), {"PROXY_LISTEN": f"127.0.0.1:{free_port()}"})
        )
        await server.prepare()
        assert server.extensions is not None
        assert (server.extensions.recorder is None) == (failing_file == "recording")
        server.extensions.close()
        for listener in server.clients.listeners:
            listener.close()

    asyncio.run(run())
    assert failed
