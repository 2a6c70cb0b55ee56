"""Two processes of one gateway on one listening socket, with a client throughout, killed at each step."""

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
from .processes import Gateway, free_port, query, replies, run, toy

STOOD_S = 1.0  # for which a request stands in the backlog before a process is started
SMALL = b"c=lookup,t=small,d=5000,units=0.01,spread=1,first=0"


class Client(threading.Thread):
    """Asks one request after another; what a closed connection left unheard it asks once more."""

    def __init__(self, where: tuple[str, int]) -> None:
        super().__init__(daemon=True)
        self.where, self.over = where, threading.Event()
        self.answered, self.unheard, self.lost = 0, 0, list[int]()

    def run(self) -> None:
        number, client = 1 << 20, socket.create_connection(self.where, timeout=20)
        while not self.over.wait(0.002):
            number += 1
            for attempt in range(2):
                try:
                    client.sendall(query(number, SMALL, b"00000000000000c1"))
                    replies(client, 1)
                    self.answered += 1
                    break
                except OSError:
                    self.unheard += 1
                    if attempt:
                        self.lost.append(number)
                    with contextlib.suppress(OSError):
                        client.close()
                        client = socket.create_connection(self.where, timeout=20)
        client.close()

    def end(self) -> None:
        self.over.set()
        self.join(60)
        assert not self.is_alive()

    def goes_on(self, more: int = 20) -> None:
        """Wait until so many more requests are answered."""
        target, end = self.answered + more, time.monotonic() + 60
        while self.answered < target:
            assert time.monotonic() < end, "nobody answers"
            time.sleep(0.01)


class Place:
    """The platform's side: the socket, the folder that processes share, and who was started."""

    def __init__(self, folder: Path, discovery: str) -> None:
        self.folder, self.discovery = folder, discovery
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.started: list[Gateway] = []

    def start(self, **env: str) -> Gateway:
        self.started.append(Gateway(self.discovery, self.socket, TMPDIR=str(self.folder), **env))
        return self.started[-1]

    def start_ready(self, **env: str) -> Gateway:
        one = self.start(**env)
        one.until(200)
        return one


@pytest.fixture
def place(tmp_path: Path) -> Iterator[Place]:
    with toy() as discovery:
        one = Place(tmp_path, discovery)
        yield one
        for gateway in one.started:
            gateway.kill()
        one.socket.close()


def term(gateway: Gateway) -> None:
    gateway.process.send_signal(signal.SIGTERM)
    assert gateway.process.wait(timeout=30) == 0, gateway.said()


def spend(place: Place) -> list[bool]:
    """Ask eight requests of a customer whose store holds five units: which were served?"""
    with socket.create_connection(place.socket.getsockname(), timeout=20) as client:
        client.sendall(b"".join(query(time.monotonic_ns() % (1 << 40) + n) for n in range(8)))
        return [isinstance(one, memoryview) for one in replies(client, 8)]


def test_upgrade_under_load_loses_no_request_and_refills_no_quota(place: Place) -> None:
    old = place.start_ready()
    client = Client(place.socket.getsockname())
    client.start()
    client.goes_on()
    assert 5 <= sum(spend(place)) < 8
    new = place.start_ready()
    assert "customers=" in new.logged("knowledge_taken") and old.process.poll() is None
    term(old)
    assert "succeeded=True" in old.said()
    # One unit comes in each second: a store that began anew would serve five at once.
    assert sum(spend(place)) < 5
    client.goes_on()
    client.end()
    assert not client.lost and client.unheard <= 2
    assert [file.name for file in place.folder.iterdir()] == [f"{name_of(new)}.gateway.2"]


def name_of(gateway: Gateway) -> str:
    return gateway.logged("started").split(" name=")[1].split()[0]


def test_upgrade_of_a_gateway_with_replicas_takes_their_store_over(place: Place) -> None:
    """The store and the replicas' address have one process at a time; clients are served throughout."""
    operators = place.folder / "operators.sexp"
    peers = "".join(f' (peer (name "p{n}") (address "127.0.0.1:{n}") (zone "z{n}"))' for n in (1, 2))
    own = f'(peer (name "example") (address "127.0.0.1:{free_port()}") (zone "z0"))'
    store = place.folder / "store"
    operators.write_text(f'(copies (fleet "f") (folder "{store}") (groups 1) (size 3) {own}{peers})\n')
    old = place.start_ready(PROXY_OPERATORS=str(operators))
    old.logged("copies_started")
    client = Client(place.socket.getsockname())
    client.start()
    client.goes_on()
    new = place.start_ready(PROXY_OPERATORS=str(operators))
    assert "in use" in new.logged("copies_store_unavailable")
    term(old)
    new.logged("copies_started")
    client.goes_on()
    client.end()
    assert not client.lost


def test_two_upgrades_in_a_row_lose_no_request(place: Place) -> None:
    client = Client(place.socket.getsockname())
    first = place.start_ready()
    client.start()
    second = place.start_ready()
    first.process.send_signal(signal.SIGTERM)
    third = place.start_ready()
    assert "source=2" in third.logged("knowledge_taken")
    term(second)
    assert first.process.wait(timeout=30) == 0
    client.goes_on()
    client.end()
    assert not client.lost and third.process.poll() is None


STEPS = "begun", "handed_on", "started", "ready"


@pytest.mark.parametrize("victim", ["old", "new"])
@pytest.mark.parametrize("step", STEPS)
def test_clients_are_served_when_either_process_dies_at_any_step(
    place: Place, step: str, victim: str
) -> None:
    old = place.start_ready()
    client = Client(place.socket.getsockname())
    client.start()
    client.goes_on()
    if step == "begun":  # the new one stands at the hand-over, which the old one does not come to
        old.process.send_signal(signal.SIGSTOP)
    new = place.start()
    match step:
        case "begun":
            while not any(file.name.endswith(".gateway.2") for file in place.folder.iterdir()):
                time.sleep(0.001)
        case "handed_on":
            old.logged("handed_on")
        case "started":
            new.logged("started")
        case "ready":
            new.until(200)
    dead, left = (old, new) if victim == "old" else (new, old)
    dead.process.kill()
    dead.process.wait()
    left.process.send_signal(signal.SIGCONT)
    left.until(200)
    client.goes_on()
    if victim == "new":
        if step != "begun":
            assert left.logged("successor_gone")
        third = place.start_ready()  # and the next version can still come
        assert third.logged("knowledge_taken")
        term(old)
        client.goes_on()
    client.end()
    assert len(client.lost) <= 1  # what the killed one held


def test_start_is_not_held_up_by_an_older_process_that_does_not_answer(place: Place) -> None:
    old = place.start_ready()
    old.process.send_signal(signal.SIGSTOP)
    new = place.start_ready()
    assert "source=1" in new.logged("knowledge_missing")
    old.process.send_signal(signal.SIGCONT)
    term(old)


@pytest.mark.parametrize("data", [b"", b'{"version":1,"at":1', b'{"version":999}', b"\xff" * 99, b"[]"])
def test_warm_state_that_cannot_be_read_is_refused_and_the_start_goes_on(place: Place, data: bytes) -> None:
    name = "n0"
    older = Handover(place.folder, name)  # stands for a process of another version
    done = threading.Event()

    def answer() -> None:
        while not done.is_set():
            for one in older.newer_processes():
                older.write_warm_state(one, data)
                return
            time.sleep(0.001)

    helper = threading.Thread(target=answer, daemon=True)
    helper.start()
    new = Gateway(place.discovery, place.socket, TMPDIR=str(place.folder), PROXY_NAME=name)
    place.started.append(new)
    new.until(200)
    done.set()
    assert "source=1" in new.logged("knowledge_refused")
    older.close()


def test_time_in_the_backlog_while_no_process_ran_is_taken_off_the_deadline(tmp_path: Path) -> None:
    """The platform holds the listening socket: after a kill its backlog takes connections with requests."""
    toy_server = run("-m", "examples.toy_server", "0")
    assert toy_server.stdout is not None
    place = Place(tmp_path, toy_server.stdout.readline().split()[-1])
    try:
        place.start_ready().kill()
        with socket.create_connection(place.socket.getsockname(), timeout=20) as client:
            client.sendall(query(1, b"c=lookup,t=small,d=20000,units=1,spread=1,first=0"))
            sent = time.monotonic()
            time.sleep(STOOD_S)
            place.start_ready()
            replies(client, 1)
            waited_ms = 1000 * (time.monotonic() - sent)
        told = int(toy_server.stdout.readline().split("d=")[1].split(",")[0])
        assert 20_000 - waited_ms - 500 < told <= 20_000 - 1000 * STOOD_S
    finally:
        for gateway in place.started:
            gateway.kill()
        place.socket.close()
        toy_server.kill()
        toy_server.communicate()


def test_inherited_descriptor_that_does_not_listen_is_one_line_and_exit_2(tmp_path: Path) -> None:
    with socket.socket() as odd:
        odd.bind(("127.0.0.1", 0))
        one = Gateway("127.0.0.1:1", odd, TMPDIR=str(tmp_path))
        assert one.process.wait(timeout=60) == 2
        assert one.said().startswith("mapleshunt: cannot start: ") and one.said().count("\n") == 1
        one.kill()


# Without processes


def decisions(now: float) -> Decisions:
    gateway = Decisions(Settings(gateway_index=0, gateway_count=1, classes=CLASSES, plans=PLANS), 1, now)
    gateway.handle(now, EndpointUpdate("complete", tuple(EndpointInfo(n) for n in range(4))))
    return gateway


def test_warm_state_is_restored_as_it_was_with_the_time_since() -> None:
    one = decisions(1000.0)
    customer = one.customers.get_or_add(tag_of("c"), one.customers.plan_names.index("thin"), 1000.0)
    customer.bucket.level, customer.bucket.updated_at = 1.5, 1000.0
    (
        one.endpoints.by_number[2].ejected_until,
        one.endpoints.by_number[2].ejections,
        one.endpoints.by_number[3].latency_ratio,
    ) = 1700.0, 2, 0.7
    other = decisions(1200.0)
    warm_state.restore(other, warm_state.decode(warm_state.encode(warm_state.capture(one, 1000.0))), 1200.0)
    same = other.customers.by_tag[tag_of("c")]
    assert same.bucket.refill(1200.0) == pytest.approx(1.7)  # one unit a second
    warm_state.charge_usage(other, tag_of("c"), 1.0, 1200.0)
    assert same.bucket.refill(1200.0) == pytest.approx(0.7)
    assert (
        other.endpoints.by_number[2].ejected_until,
        other.endpoints.by_number[2].ejections,
        other.endpoints.by_number[3].latency_ratio,
    ) == (1900.0, 2, 0.7)


@pytest.mark.parametrize("step", [3_600_000.0, -3_600_000.0, 5000.0, -5000.0])
def test_age_of_warm_state_follows_the_monotonic_clock_when_the_wall_clock_is_stepped(step: float) -> None:
    # A wall clock that was stepped between the two starts made it too old to take, or its stores refill.
    one = decisions(1e12)
    customer = one.customers.get_or_add(tag_of("c"), one.customers.plan_names.index("thin"), 1e12)
    customer.bucket.level, customer.bucket.updated_at = 1.5, 1e12
    one.endpoints.by_number[2].ejected_until = 1e12 + 700
    other = decisions(1e12 + step + 200)
    known = warm_state.decode(warm_state.encode(warm_state.capture(one, 1e12, 50.0)))
    warm_state.restore(other, known, 1e12 + step + 200, 250.0)
    assert other.customers.by_tag[tag_of("c")].bucket.refill(1e12 + step + 200) == pytest.approx(
        1.7, abs=1e-3
    )
    assert other.endpoints.by_number[2].ejected_until == 1e12 + step + 900


@pytest.mark.parametrize(("late", "said"), [(20_000.0, "ago"), (-20_000.0, "ago")])
def test_warm_state_from_another_time_is_refused(late: float, said: str) -> None:
    known = warm_state.capture(decisions(1000.0), 1000.0)
    with pytest.raises(ValueError, match=said):
        warm_state.restore(decisions(50_000.0), known, 1000.0 + late)


@given(st.binary(max_size=300), st.integers(0, 400))
def test_no_bytes_raise_more_than_a_value_error(noise: bytes, cut: int) -> None:
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
    for one in (second, third, other):
        one.close()
    fourth = Handover(tmp_path, "a/b")
    assert fourth.number == 1 and [one.name for one in tmp_path.iterdir()] == ["a_b.gateway.1"]
    fourth.close()


def test_process_that_cannot_be_checked_counts_as_running(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Without a descriptor left it was taken for dead: its lock was removed, and what it used was not charged.
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
    # The word that a process takes clients now could not be written: the process ended. So it did at SIGTERM,
    # with all that was open, where the folder could not be listed.
    counters = Counters()
    older = Takeover(tmp_path, "a", cast(Any, None), counters)
    newer = Takeover(tmp_path, "a", cast(Any, None), counters)

    def fails(*args: object) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patched:
        patched.setattr(os, "pwrite", fails)
        newer.announce_serving()
        patched.setattr(os, "listdir", fails)
        assert not older.has_successor()
        asyncio.run(newer.receive_warm_state())
    assert not older.has_successor() and counters.counts["handover_failed"] == 3
    newer._announce()
    assert older.has_successor()
    for one in (older, newer):
        one.close()
