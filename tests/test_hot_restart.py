"""Hot restarts: processes of one gateway on one listening socket, under load and killed at each step."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import signal
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mapleshunt import EndpointInfo, EndpointUpdate, Settings
from mapleshunt import Gateway as Decisions
from mapleshunt.lifecycle import warm_state
from mapleshunt.net.counters import Counters
from mapleshunt.net.hot_restart import handover
from mapleshunt.net.hot_restart.handover import Handover
from mapleshunt.net.hot_restart.takeover import Takeover
from mapleshunt.policy.gossip_codec import tag_of

from .conftest import CLASSES, PLANS
from .processes import Gateway, free_port, query, read_replies, run, toy_servers

BACKLOG_WAIT_S = 1.0  # time that a request waits in the backlog before a process is started
SMALL_REQUEST = b"c=lookup,t=small,d=5000,units=0.01,spread=1,first=0"


class Client(threading.Thread):
    """Sends one request after another; one that a closed connection left unanswered is sent once more."""

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(daemon=True)
        self.address, self.stop_requested = address, threading.Event()
        self.answered, self.unanswered, self.lost = 0, 0, list[int]()

    def run(self) -> None:
        number, client = 1 << 20, socket.create_connection(self.address, timeout=20)
        while not self.stop_requested.wait(0.002):
            number += 1
            for attempt in range(2):
                try:
                    client.sendall(query(number, SMALL_REQUEST, b"00000000000000c1"))
                    read_replies(client, 1)
                    self.answered += 1
                    break
                except OSError:
                    self.unanswered += 1
                    if attempt:
                        self.lost.append(number)
                    with contextlib.suppress(OSError):
                        client.close()
                        client = socket.create_connection(self.address, timeout=20)
        client.close()

    def stop(self) -> None:
        self.stop_requested.set()
        self.join(60)
        assert not self.is_alive()

    def wait_for_answers(self, count: int = 20) -> None:
        """Wait until `count` more requests are answered."""
        target, deadline = self.answered + count, time.monotonic() + 60
        while self.answered < target:
            assert time.monotonic() < deadline, f"{self.answered} of {target} requests answered in 60 s"
            time.sleep(0.01)


class Platform:
    """The listening socket and the folder that the gateway's processes share, and those started."""

    def __init__(self, folder: Path, discovery: str) -> None:
        self.folder, self.discovery = folder, discovery
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.started: list[Gateway] = []

    def start(self, **env: str) -> Gateway:
        self.started.append(Gateway(self.discovery, self.socket, TMPDIR=str(self.folder), **env))
        return self.started[-1]

    def start_ready(self, **env: str) -> Gateway:
        gateway = self.start(**env)
        gateway.wait_for_readiness(200)
        return gateway


@pytest.fixture
def platform(tmp_path: Path) -> Iterator[Platform]:
    with toy_servers() as discovery:
        shared = Platform(tmp_path, discovery)
        yield shared
        for gateway in shared.started:
            gateway.kill()
        shared.socket.close()


def terminate(gateway: Gateway) -> None:
    gateway.process.send_signal(signal.SIGTERM)
    assert gateway.process.wait(timeout=30) == 0, gateway.log_text()


def serve_eight_requests(platform: Platform) -> list[bool]:
    """Send eight requests of a customer whose bucket holds five units; return which were served."""
    with socket.create_connection(platform.socket.getsockname(), timeout=20) as client:
        client.sendall(b"".join(query(time.monotonic_ns() % (1 << 40) + n) for n in range(8)))
        return [isinstance(reply, memoryview) for reply in read_replies(client, 8)]


def test_upgrade_under_load_loses_no_request_and_refills_no_quota(platform: Platform) -> None:
    old = platform.start_ready()
    client = Client(platform.socket.getsockname())
    client.start()
    client.wait_for_answers()
    assert 5 <= sum(serve_eight_requests(platform)) < 8
    new = platform.start_ready()
    assert "customers=" in new.wait_for_event("knowledge_taken") and old.process.poll() is None
    terminate(old)
    assert "succeeded=True" in old.log_text()
    # The bucket refills by one unit a second; a new bucket would serve five requests at once.
    assert sum(serve_eight_requests(platform)) < 5
    client.wait_for_answers()
    client.stop()
    assert not client.lost and client.unanswered <= 2
    assert [file.name for file in platform.folder.iterdir()] == [f"{name_of(new)}.gateway.2"]


def name_of(gateway: Gateway) -> str:
    return gateway.wait_for_event("started").split(" name=")[1].split()[0]


def test_upgrade_of_a_gateway_with_replicas_takes_over_their_store(platform: Platform) -> None:
    """One process at a time uses the store and the replicas' address; clients are served throughout."""
    operators = platform.folder / "operators.sexp"
    peers = "".join(f' (peer (name "p{n}") (address "127.0.0.1:{n}") (zone "z{n}"))' for n in (1, 2))
    own_peer = f'(peer (name "example") (address "127.0.0.1:{free_port()}") (zone "z0"))'
    store = platform.folder / "store"
    operators.write_text(f'(copies (fleet "f") (folder "{store}") (groups 1) (size 3) {own_peer}{peers})\n')
    old = platform.start_ready(PROXY_OPERATORS=str(operators))
    old.wait_for_event("copies_started")
    client = Client(platform.socket.getsockname())
    client.start()
    client.wait_for_answers()
    new = platform.start_ready(PROXY_OPERATORS=str(operators))
    assert "in use" in new.wait_for_event("copies_store_unavailable")
    terminate(old)
    new.wait_for_event("copies_started")
    client.wait_for_answers()
    client.stop()
    assert not client.lost


def test_two_upgrades_in_a_row_lose_no_request(platform: Platform) -> None:
    client = Client(platform.socket.getsockname())
    first = platform.start_ready()
    client.start()
    second = platform.start_ready()
    first.process.send_signal(signal.SIGTERM)
    third = platform.start_ready()
    assert "source=2" in third.wait_for_event("knowledge_taken")
    terminate(second)
    assert first.process.wait(timeout=30) == 0
    client.wait_for_answers()
    client.stop()
    assert not client.lost and third.process.poll() is None


STEPS = "begun", "handed_on", "started", "ready"


@pytest.mark.parametrize("victim", ["old", "new"])
@pytest.mark.parametrize("step", STEPS)
def test_clients_are_served_when_either_process_dies_at_any_step(
    platform: Platform, step: str, victim: str
) -> None:
    old = platform.start_ready()
    client = Client(platform.socket.getsockname())
    client.start()
    client.wait_for_answers()
    if step == "begun":  # the new process waits for a handover that the stopped old one does not make
        old.process.send_signal(signal.SIGSTOP)
    new = platform.start()
    match step:
        case "begun":
            while not any(file.name.endswith(".gateway.2") for file in platform.folder.iterdir()):
                time.sleep(0.001)
        case "handed_on":
            old.wait_for_event("handed_on")
        case "started":
            new.wait_for_event("started")
        case "ready":
            new.wait_for_readiness(200)
    dead, survivor = (old, new) if victim == "old" else (new, old)
    dead.process.kill()
    dead.process.wait()
    survivor.process.send_signal(signal.SIGCONT)
    survivor.wait_for_readiness(200)
    client.wait_for_answers()
    if victim == "new":
        if step != "begun":
            assert survivor.wait_for_event("successor_gone")
        third = platform.start_ready()  # a further upgrade is still possible
        assert third.wait_for_event("knowledge_taken")
        terminate(old)
        client.wait_for_answers()
    client.stop()
    assert len(client.lost) <= 1  # the request in flight at the killed process


def test_start_is_not_delayed_by_an_older_process_that_does_not_answer(platform: Platform) -> None:
    old = platform.start_ready()
    old.process.send_signal(signal.SIGSTOP)
    new = platform.start_ready()
    assert "source=1" in new.wait_for_event("knowledge_missing")
    old.process.send_signal(signal.SIGCONT)
    terminate(old)


@pytest.mark.parametrize("data", [b"", b'{"version":1,"at":1', b'{"version":999}', b"\xff" * 99, b"[]"])
def test_warm_state_that_cannot_be_read_is_refused_and_the_start_goes_on(
    platform: Platform, data: bytes
) -> None:
    name = "n0"
    older = Handover(platform.folder, name)  # in place of a process of another version
    done = threading.Event()

    def hand_over() -> None:
        while not done.is_set():
            for number in older.newer_processes():
                older.write_warm_state(number, data)
                return
            time.sleep(0.001)

    thread = threading.Thread(target=hand_over, daemon=True)
    thread.start()
    new = Gateway(platform.discovery, platform.socket, TMPDIR=str(platform.folder), PROXY_NAME=name)
    platform.started.append(new)
    new.wait_for_readiness(200)
    done.set()
    assert "source=1" in new.wait_for_event("knowledge_refused")
    older.close()


def test_time_in_the_backlog_while_no_process_ran_is_deducted_from_the_deadline(tmp_path: Path) -> None:
    """The platform keeps the listening socket open: after a kill its backlog takes in requests."""
    toy_server = run("-m", "examples.toy_server", "0")
    assert toy_server.stdout is not None
    platform = Platform(tmp_path, toy_server.stdout.readline().split()[-1])
    try:
        platform.start_ready().kill()
        with socket.create_connection(platform.socket.getsockname(), timeout=20) as client:
            client.sendall(query(1, b"c=lookup,t=small,d=20000,units=1,spread=1,first=0"))
            sent_at = time.monotonic()
            time.sleep(BACKLOG_WAIT_S)
            platform.start_ready()
            read_replies(client, 1)
            waited_ms = 1000 * (time.monotonic() - sent_at)
        timeout_ms = int(toy_server.stdout.readline().split("d=")[1].split(",")[0])
        assert 20_000 - waited_ms - 500 < timeout_ms <= 20_000 - 1000 * BACKLOG_WAIT_S
    finally:
        for gateway in platform.started:
            gateway.kill()
        platform.socket.close()
        toy_server.kill()
        toy_server.communicate()


def test_inherited_descriptor_that_does_not_listen_is_one_line_and_exit_2(tmp_path: Path) -> None:
    with socket.socket() as not_listening:
        not_listening.bind(("127.0.0.1", 0))
        gateway = Gateway("127.0.0.1:1", not_listening, TMPDIR=str(tmp_path))
        assert gateway.process.wait(timeout=60) == 2
        assert (
            gateway.log_text().startswith("mapleshunt: cannot start: ")
            and gateway.log_text().count("\n") == 1
        )
        gateway.kill()


# Without processes


def decisions(now: float) -> Decisions:
    gateway = Decisions(Settings(gateway_index=0, gateway_count=1, classes=CLASSES, plans=PLANS), 1, now)
    gateway.handle(now, EndpointUpdate("complete", tuple(EndpointInfo(n) for n in range(4))))
    return gateway


def test_restored_warm_state_accounts_for_the_time_since_its_capture() -> None:
    original = decisions(1000.0)
    customer = original.customers.get_or_add(tag_of("c"), original.customers.plan_names.index("thin"), 1000.0)
    assert customer is not None
    customer.bucket.level, customer.bucket.updated_at = 1.5, 1000.0
    (
        original.endpoints.by_number[2].ejected_until,
        original.endpoints.by_number[2].ejections,
        original.endpoints.by_number[3].latency_ratio,
    ) = 1700.0, 2, 0.7
    restored = decisions(1200.0)
    warm_state.restore(
        restored, warm_state.decode(warm_state.encode(warm_state.capture(original, 1000.0))), 1200.0
    )
    same_customer = restored.customers.by_tag[tag_of("c")]
    assert same_customer.bucket.refill(1200.0) == pytest.approx(1.7)  # refilled at one unit a second
    warm_state.charge_usage(restored, tag_of("c"), 1.0, 1200.0)
    assert same_customer.bucket.refill(1200.0) == pytest.approx(0.7)
    assert (
        restored.endpoints.by_number[2].ejected_until,
        restored.endpoints.by_number[2].ejections,
        restored.endpoints.by_number[3].latency_ratio,
    ) == (1900.0, 2, 0.7)


@pytest.mark.parametrize("step", [3_600_000.0, -3_600_000.0, 5000.0, -5000.0])
def test_age_of_warm_state_follows_the_monotonic_clock_when_the_wall_clock_is_stepped(step: float) -> None:
    # A step of the wall clock between the two starts made the warm state too old, or refilled its buckets.
    original = decisions(1e12)
    customer = original.customers.get_or_add(tag_of("c"), original.customers.plan_names.index("thin"), 1e12)
    assert customer is not None
    customer.bucket.level, customer.bucket.updated_at = 1.5, 1e12
    original.endpoints.by_number[2].ejected_until = 1e12 + 700
    restored = decisions(1e12 + step + 200)
    state = warm_state.decode(warm_state.encode(warm_state.capture(original, 1e12, 50.0)))
    warm_state.restore(restored, state, 1e12 + step + 200, 250.0)
    assert restored.customers.by_tag[tag_of("c")].bucket.refill(1e12 + step + 200) == pytest.approx(
        1.7, abs=1e-3
    )
    assert restored.endpoints.by_number[2].ejected_until == 1e12 + step + 900


@pytest.mark.parametrize(("age", "message"), [(20_000.0, "ago"), (-20_000.0, "ago")])
def test_warm_state_from_another_time_is_refused(age: float, message: str) -> None:
    state = warm_state.capture(decisions(1000.0), 1000.0)
    with pytest.raises(ValueError, match=message):
        warm_state.restore(decisions(50_000.0), state, 1000.0 + age)


@given(st.binary(max_size=300), st.integers(0, 400))
def test_arbitrary_bytes_raise_nothing_but_value_errors(noise: bytes, cut: int) -> None:
    whole = warm_state.encode(warm_state.capture(decisions(1000.0), 1000.0))
    for data in (noise, whole[:cut], whole[:cut] + noise):
        with contextlib.suppress(ValueError):
            warm_state.restore(decisions(1000.0), warm_state.decode(data), 1000.0)


def test_processes_find_each_other_and_remove_leftovers(tmp_path: Path) -> None:
    first = Handover(tmp_path, "a/b")
    second = Handover(tmp_path, "a/b")
    other = Handover(tmp_path, "c")
    assert (first.older_processes(), first.newer_processes()) == ([], [2])
    assert (second.older_processes(), other.newer_processes()) == ([1], [])
    first.write_warm_state(2, b"known")
    first.write_usage(2, {7: 1.5})
    assert second.take_warm_state(1) == b"known" and second.take_warm_state(1) is None
    assert second.read_usage(1) == {7: 1.5}
    assert not first.is_ready(2)
    second.mark_ready()
    assert first.is_ready(2)
    first.close()
    assert second.older_processes() == []
    third = Handover(tmp_path, "a/b")
    assert third.number == 3 and third.older_processes() == [2]
    for process in (second, third, other):
        process.close()
    fourth = Handover(tmp_path, "a/b")
    assert fourth.number == 1 and [file.name for file in tmp_path.iterdir()] == ["a_b.gateway.1"]
    fourth.close()


def test_process_that_cannot_be_checked_counts_as_running(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # With no descriptor left, a process was taken for dead: its lock was removed and its usage not charged.
    first, second = Handover(tmp_path, "a"), Handover(tmp_path, "a")

    def no_descriptor(*args: object, **kwargs: object) -> None:
        raise OSError(errno.EMFILE, "Too many open files")

    with monkeypatch.context() as patched:
        patched.setattr(handover, "open", no_descriptor, raising=False)
        assert second.older_processes() == [1]
    assert second.older_processes() == [1]
    first.close()
    assert second.older_processes() == []
    second.close()


def test_full_folder_ends_neither_a_start_nor_a_shutdown(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A process ended when it could not write that it serves clients. It also ended at SIGTERM, with requests
    # still open, when the folder could not be listed.
    counters = Counters()
    older = Takeover(tmp_path, "a", cast(Any, None), counters)
    newer = Takeover(tmp_path, "a", cast(Any, None), counters)

    def fail(*args: object) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patched:
        patched.setattr(os, "pwrite", fail)
        newer.announce_serving()
        patched.setattr(os, "listdir", fail)
        assert not older.has_successor()
        asyncio.run(newer.receive_warm_state())
    assert not older.has_successor() and counters.counts["handover_failed"] == 3
    newer._announce()
    assert older.has_successor()
    for takeover in (older, newer):
        takeover.close()
