"""A client connection: single scenarios, and random steps compared with a model of its states."""

from __future__ import annotations

import asyncio
import itertools
import socket
import threading
import time
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, cast

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream

from mapleshunt.lifecycle.lifecycle import DrainStage
from mapleshunt.net.client import connection as connection_module
from mapleshunt.net.client import limits, requests
from mapleshunt.net.client.connections import ClientConnections
from mapleshunt.net.counters import Counters
from mapleshunt.net.policy_driver import PolicyDriver
from mapleshunt.net.protocol import command_protocol as svc
from mapleshunt.net.protocol import resp
from mapleshunt.net.reasons import ClientCloseReason
from mapleshunt.net.request.context import RequestContext
from mapleshunt.net.request.parse import parse
from mapleshunt.policy import Settings

from .conftest import CLASSES, PLANS

settings.register_profile("steady", derandomize=True, deadline=None, database=None)
settings.load_profile("steady")

CUSTOMER = b"00000000b4d65521"
LONG_BODY_HEAD = b"*5" + resp.encode_command([b"x"] * 4)[2:] + b"$70000\r\n"
REQUEST_IDS = itertools.count()


class FakeDriver:
    """A stand-in for the driver that keeps requests until a step responds to them."""

    def __init__(self) -> None:
        self.settings = Settings(gateway_index=0, gateway_count=1, classes=CLASSES, plans=PLANS)
        self.counters, self.open_requests = Counters(), dict[int, RequestContext]()
        self.disconnected: list[RequestContext] = []
        self.release: Callable[[RequestContext], None] = lambda context: None

    def now(self) -> float:
        return 0.0

    def submit(self, context: RequestContext) -> None:
        self.open_requests[context.request_id] = context

    def client_disconnected(self, context: RequestContext) -> None:
        if context.claim_response():
            self.disconnected.append(context)


def query(pairs: bytes = b"c=look,t=wide,d=480") -> bytes:
    return resp.encode_command([b"SVC.QUERY", CUSTOMER, b"%016x" % next(REQUEST_IDS), pairs])


def run_steps(
    steps: Callable[[connection_module.ClientConnection, socket.socket], Awaitable[None]],
) -> FakeDriver:
    """Run steps on a new connection and the client's end of it."""
    driver = FakeDriver()

    async def run() -> None:
        ours, client_end = socket.socketpair()
        client_end.setblocking(False)
        service = ClientConnections(cast(PolicyDriver, driver), driver.counters, 1, 1000)
        service.add(IOStream(ours))
        (connection,) = service.connections
        await steps(connection, client_end)
        connection.close(ClientCloseReason.PROCESS_STOPPED)
        client_end.close()

    asyncio.run(run())
    return driver


def registry_of(connection: connection_module.ClientConnection) -> ClientConnections:
    return cast(ClientConnections, connection.registry)


async def run_pending_callbacks() -> None:
    for _ in range(20):
        await asyncio.sleep(0)


def test_connection_stops_reading_while_client_does_not_read_responses() -> None:
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        driver = cast(FakeDriver, connection.registry.driver)
        loop = asyncio.get_running_loop()
        commands = b"".join(query() for _ in range(1000))
        sending = loop.create_task(loop.sock_sendall(client_end, commands))
        # Respond until the kernel's buffers are full.
        while not connection.output.is_writing():
            await run_pending_callbacks()
            for context in list(driver.open_requests.values()):
                driver.open_requests.pop(context.request_id).response_sink.serve(
                    memoryview(bytes(resp.MAX_VALUE_BYTES))
                )
        await run_pending_callbacks()
        command_count = connection.command_count
        await run_pending_callbacks()
        assert (
            command_count == connection.command_count < 1000
            and len(connection.slots) <= limits.MAX_PIPELINED_COMMANDS
        )
        sending.cancel()

    run_steps(steps)


def test_closing_connection_is_closed_after_response_read_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The timeout was not applied to a connection that was already closing: a client that did not read its
    # responses could keep such a connection open indefinitely.
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        connection.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client_end.send(query())
        await run_pending_callbacks()
        (slot,) = connection.slots
        slot.put(bytes(1 << 20))
        client_end.send(b"nonsense\r\n")
        await run_pending_callbacks()
        assert connection.closing and connection.output.is_writing()
        connection.close_if_overdue(connection.loop.time())
        assert connection in connection.registry.connections
        monkeypatch.setattr(limits, "RESPONSE_READ_TIMEOUT_S", -1.0)
        connection.close_if_overdue(connection.loop.time())
        assert connection not in connection.registry.connections and connection.close_reason is not None

    run_steps(steps)


def test_exception_in_one_command_fails_only_that_command(monkeypatch: pytest.MonkeyPatch) -> None:
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        errors = iter([ZeroDivisionError, None])

        def parse_failing_first(*args: Any) -> RequestContext:
            if error := next(errors):
                raise error
            return parse(*args)

        monkeypatch.setattr(requests, "parse", parse_failing_first)
        client_end.send(query() + query())
        await run_pending_callbacks()
        (context,) = cast(FakeDriver, connection.registry.driver).open_requests.values()
        context.response_sink.fail()
        assert client_end.recv(100) == b"-ERR failed\r\n-ERR failed\r\n"

    assert run_steps(steps).counters.counts["exceptions"] == 1


def test_connection_is_closed_after_linger_timeout_while_client_keeps_sending(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        client_end.send(b"nonsense" * 2000)
        while not connection.stream.closed():
            await asyncio.sleep(0)
        assert client_end.recv(100) == b"-ERR a command begins with *\r\n" and client_end.recv(1) == b""

    monkeypatch.setattr(limits, "LINGER_TIMEOUT_S", 0.01)
    assert run_steps(steps).counters.counts["malformed_commands"] == 1


def test_idle_connection_is_evicted_and_busy_one_is_not() -> None:
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        ours, other = socket.socketpair()
        registry_of(connection).add(IOStream(ours))
        client_end.send(query())
        await run_pending_callbacks()
        assert not registry_of(connection).evict_idle()
        (context,) = cast(FakeDriver, connection.registry.driver).open_requests.values()
        context.response_sink.fail()
        assert registry_of(connection).evict_idle() and not connection.stream.closed()
        assert client_end.recv(100) == b"-ERR failed\r\n" and client_end.recv(1) == b""
        assert not registry_of(connection).evict_idle()  # the newest is kept: its request may be in transit
        client_end.close()
        await run_pending_callbacks()
        assert connection.stream.closed() and connection.close_reason == "made_room"
        other.close()

    run_steps(steps)


def test_silent_connections_are_evicted_before_those_that_sent_commands(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Hundreds of clients connected and sent nothing. The oldest connections were evicted first, which were
    # those of regular clients.
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        monkeypatch.setattr(limits, "EVICT_SILENT_AFTER_S", -1.0)
        client_end.send(resp.encode_command([b"PING"]))
        await run_pending_callbacks()
        pairs = [socket.socketpair() for _ in range(3)]
        for ours, _ in pairs:
            registry_of(connection).add(IOStream(ours))
        assert registry_of(connection).evict_idle() and registry_of(connection).evict_idle()
        assert registry_of(connection).evict_idle() and connection.linger_timer is not None
        assert len(connection.registry.connections) == 2  # the one that got a response, and the newest
        for _, other in pairs:
            other.close()

    run_steps(steps)


def test_connection_that_sent_a_single_command_is_evicted_before_a_used_one_idle_for_longer() -> None:
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        pairs = [socket.socketpair() for _ in range(2)]
        for ours, other in pairs:
            registry_of(connection).add(IOStream(ours))
            other.send(resp.encode_command([b"PING"]))
        client_end.send(2 * resp.encode_command([b"PING"]))
        await wait_until(lambda: connection.command_count == 2 and not connection.pause_reason)
        connection.last_activity_at -= 1.0
        assert registry_of(connection).evict_idle() and registry_of(connection).evict_idle()
        assert not connection.closing
        assert registry_of(connection).evict_idle() and connection.closing
        for _, other in pairs:
            other.close()

    run_steps(steps)


def test_idle_connections_beyond_limit_are_reaped_and_busy_one_is_not() -> None:
    # Clients that sent one command and stayed connected used capacity that others needed.
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        pairs = [socket.socketpair() for _ in range(4)]
        for ours, other in pairs:
            registry_of(connection).add(IOStream(ours))
            other.send(resp.encode_command([b"PING"]))
        client_end.send(query())
        await run_pending_callbacks()
        registry_of(connection).reap_overdue(2, 3600.0)
        assert len(connection.registry.connections) == 5
        registry_of(connection).reap_overdue(2, 0.0)
        assert (
            len(connection.registry.connections) - connection.registry.lingering_count == 2
            and not connection.closing
        )
        for _, other in pairs:
            other.close()
        await run_pending_callbacks()
        assert list(connection.registry.connections) == [connection]
        for _, other in pairs:
            other.close()

    run_steps(steps)


def test_connection_with_unread_bytes_is_not_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    # Closing it lost a request that had arrived but was not read yet.
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        monkeypatch.setattr(limits, "IDLE_TIMEOUT_S", -1.0)
        monkeypatch.setattr(limits, "RECEIVE_TIMEOUT_S", -1.0)
        ours, other = socket.socketpair()
        registry_of(connection).add(IOStream(ours))
        await run_pending_callbacks()
        client_end.send(query())
        assert not registry_of(connection).evict_idle()
        registry_of(connection).reap_overdue(9, 0.5)
        registry_of(connection).apply_drain_stage(DrainStage.END_AT_REST)
        await run_pending_callbacks()
        assert not connection.stream.closed() and len(connection.slots) == 1
        other.close()

    run_steps(steps)


def test_closed_stream_is_skipped_before_its_task_has_run() -> None:
    # IOStream drops its socket when it reads the end of the stream; the connection's task runs one loop
    # iteration later. A search for an idle connection in between raised AttributeError in the acceptor.
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        ours, other = socket.socketpair()
        registry_of(connection).add(IOStream(ours))
        await run_pending_callbacks()
        connection.stream.close()
        assert not connection.has_unread_bytes()
        registry_of(connection).evict_idle()
        connection.output.last_write_at = (
            1.0  # a response was written, so the close would shut down the socket
        )
        connection.start_close(ClientCloseReason.DRAINED)
        await run_pending_callbacks()
        assert connection not in connection.registry.connections
        other.close()

    run_steps(steps)


def test_connection_between_two_commands_is_kept_until_its_idle_timeout() -> None:
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        client_end.send(resp.encode_command([b"PING"]))
        await run_pending_callbacks()
        connection.close_if_overdue(connection.last_activity_at + 2 * limits.RECEIVE_TIMEOUT_S)
        assert not connection.closing
        connection.close_if_overdue(connection.last_activity_at + limits.IDLE_TIMEOUT_S)
        assert connection.close_reason == "idle"

    run_steps(steps)


@pytest.mark.parametrize(
    ("command_start", "expected"),
    [(b"", b""), (b"*2\r\n$4\r\nPI", b"-ERR a command was begun and not ended\r\n")],
)
def test_silent_connection_and_incomplete_command_are_closed_after_idle_timeout(
    command_start: bytes, expected: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        client_end.send(command_start)
        await run_pending_callbacks()
        registry_of(connection).reap_overdue(9, 0.5)
        assert not connection.stream.closed()
        monkeypatch.setattr(limits, "RECEIVE_TIMEOUT_S", -1.0)
        registry_of(connection).reap_overdue(9, 0.5)
        await run_pending_callbacks()
        assert client_end.recv(100) == expected
        assert expected == b"" or client_end.recv(1) == b""

    run_steps(steps)


def test_pipelined_commands_yield_to_other_connections() -> None:
    # All commands were processed in one loop iteration, which delayed all other connections by 250 ms.
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        client_end.send(50 * resp.encode_command([b"PING"]))
        while not connection.command_count:
            await asyncio.sleep(0)
        assert connection.command_count < 5

    run_steps(steps)


def test_connection_is_closed_after_too_many_unacceptable_commands(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        monkeypatch.setattr(limits, "UNACCEPTABLE_COMMAND_DELAY_S", 0.0)
        client_end.send(600 * query(b"c=odd,t=wide,d=9"))
        while not connection.closing:
            await asyncio.sleep(0)
        assert (
            connection.command_count == limits.MAX_UNACCEPTABLE_COMMANDS
            and connection.close_reason == "malformed_command"
        )

    run_steps(steps)


def test_id_of_open_request_is_rejected_and_reusable_after_response() -> None:
    # Forwarded, it would have been a second attempt of the open request.
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        driver, command = cast(FakeDriver, connection.registry.driver), query()
        client_end.send(2 * command)
        await run_pending_callbacks()
        (context,) = driver.open_requests.values()
        context.response_sink.reject(5)
        assert context.claim_response()
        await run_pending_callbacks()
        assert client_end.recv(100) == b"-BUSY 5\r\n-ERR a request of this id is open\r\n"
        assert not connection.registry.client_ids

    run_steps(steps)


def tcp_pair() -> tuple[socket.socket, socket.socket]:
    """Return the gateway's and the client's end of a TCP pair: a close over unread bytes resets only TCP."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client_end = socket.create_connection(listener.getsockname())
        client_end.setblocking(False)
        return listener.accept()[0], client_end


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(30):
        while not condition():
            await asyncio.sleep(0)


def receive_until_closed(client_end: socket.socket) -> bytes:
    """Return all data up to the end of the connection. A reset raises an exception."""
    client_end.settimeout(30)
    data = b""
    while got := client_end.recv(65536):
        data += got
    return data


def test_disconnect_is_seen_while_pipeline_is_full() -> None:
    # A connection with a full pipeline was not read: 32 requests of a disconnected client were still served.
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        driver = cast(FakeDriver, connection.registry.driver)
        client_end.send(b"".join(query() for _ in range(limits.MAX_PIPELINED_COMMANDS + 9)))
        await wait_until(lambda: connection.pause_reason is connection_module.PauseReason.PIPELINE_FULL)
        client_end.close()
        await wait_until(lambda: connection not in connection.registry.connections)
        assert len(driver.disconnected) == limits.MAX_PIPELINED_COMMANDS

    run_steps(steps)


def test_disconnect_is_seen_behind_flood_beyond_read_buffer(monkeypatch: pytest.MonkeyPatch) -> None:
    # The end of the stream was queued in the kernel behind bytes that were not read.
    monkeypatch.setattr(limits, "HANG_UP_CHECK_INTERVAL_S", 0.0)

    async def steps(_: connection_module.ClientConnection, __: socket.socket) -> None:
        driver, (ours, client_end) = FakeDriver(), tcp_pair()
        service = ClientConnections(cast(PolicyDriver, driver), driver.counters, 1, 1000)
        service.add(IOStream(ours))
        (connection,) = service.connections
        flood = b"".join(query() for _ in range(3 * resp.MAX_MESSAGE_BYTES // len(query())))
        await asyncio.get_running_loop().sock_sendall(client_end, flood)
        buffer = connection.buffer
        await wait_until(lambda: connection.arrivals.consumed_bytes + buffer.end - buffer.start == len(flood))
        assert not driver.disconnected and len(driver.open_requests) == limits.MAX_PIPELINED_COMMANDS < len(
            connection.slots
        )
        assert connection.buffer.max_bytes >= buffer.end - buffer.start
        client_end.close()
        await wait_until(lambda: connection not in connection.registry.connections)
        assert len(driver.disconnected) == limits.MAX_PIPELINED_COMMANDS

    run_steps(steps)


def test_utf8_names_of_class_and_plan_are_forwarded_unchanged() -> None:
    # Non-ASCII names were rejected, and so was every request of such a class or plan.
    pairs = "c=kasse-öffnen,t=größe,d=480".encode()
    words = [memoryview(word) for word in (b"SVC.QUERY", CUSTOMER, b"0" * 16, pairs)]
    parsed = svc.parse_request(words)
    assert (parsed.request_class, parsed.plan) == ("kasse-öffnen", "größe")
    assert pairs.replace(b"480", b"300") in parsed.message.encode(300)
    with pytest.raises(svc.InvalidCommandError):
        svc.parse_request([*words[:3], memoryview(pairs.replace(b"\xc3", b""))])


def test_disconnect_is_seen_after_endless_flood(monkeypatch: pytest.MonkeyPatch) -> None:
    # Input beyond the rejected commands was not read, so requests of a disconnected client were forwarded.
    async def steps(_: connection_module.ClientConnection, __: socket.socket) -> None:
        driver, (ours, client_end) = FakeDriver(), tcp_pair()
        delays = list[float]()

        async def sleep(delay: float) -> None:
            delays.append(delay)
            await real_sleep(0)

        service = ClientConnections(cast(PolicyDriver, driver), driver.counters, 1, 1000)
        service.add(IOStream(ours))
        client_end.setblocking(True)
        flood = b"".join(query() for _ in range(3 * limits.MAX_REJECTED_COMMANDS // 2)) + bytes(1 << 22)

        def send() -> None:
            client_end.sendall(flood)
            client_end.close()

        sending, real_sleep = threading.Thread(target=send), asyncio.sleep
        monkeypatch.setattr(asyncio, "sleep", sleep)
        sending.start()
        await wait_until(lambda: not service.connections)
        monkeypatch.undo()
        sending.join()
        assert len(driver.disconnected) == limits.MAX_PIPELINED_COMMANDS == len(driver.open_requests)
        assert sum(delays) <= 0.2, "pauses between reads must add up to 0.2 s at most"

    run_steps(steps)


def test_time_waited_behind_other_commands_is_taken_off_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The timeout was counted from the processing of the command, not from its arrival.
    monkeypatch.setattr(limits, "UNACCEPTABLE_COMMAND_DELAY_S", 3600.0)

    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        client_end.send(query(b"c=odd,t=wide,d=9") + query())
        await wait_until(lambda: connection.pause_reason)
        arrivals = connection.arrivals
        arrivals._reads = deque((total, arrived_at - 0.3) for total, arrived_at in arrivals._reads)
        connection._resume()
        (context,) = cast(FakeDriver, connection.registry.driver).open_requests.values()
        assert context.request.remaining_time <= 180.0

    run_steps(steps)


def test_time_that_a_request_waited_while_the_gateway_was_held_up_is_taken_off_its_timeout() -> None:
    # The timeout was counted from the reading: clients left before the response to a request that failed.
    async def steps(_: connection_module.ClientConnection, __: socket.socket) -> None:
        driver, (ours, client_end) = FakeDriver(), tcp_pair()
        service = ClientConnections(cast(PolicyDriver, driver), driver.counters, 1, 1000)
        service.add(IOStream(ours))
        await run_pending_callbacks()
        client_end.send(query())
        time.sleep(0.2)
        await wait_until(lambda: driver.open_requests)
        (context,) = driver.open_requests.values()
        assert context.request.remaining_time <= 480.0 - 180.0
        client_end.close()
        await wait_until(lambda: not service.connections)

    run_steps(steps)


def test_commands_read_before_shutdown_get_their_responses() -> None:
    # Complete commands that had been read were dropped when the connection closed.
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        driver, ping = cast(FakeDriver, connection.registry.driver), resp.encode_command([b"PING"])
        connection.registry.is_ready = lambda: False
        client_end.send(query())
        await wait_until(lambda: driver.open_requests)
        registry_of(connection).apply_drain_stage(DrainStage.FORCE_END)
        client_end.send(query() + ping + query())
        await wait_until(lambda: connection.command_count == 4)
        (context,) = driver.open_requests.values()  # none of the others was submitted to the driver
        context.response_sink.serve(memoryview(b"v"))
        await run_pending_callbacks()
        not_ready = b"-ERR not ready\r\n"
        assert (
            receive_until_closed(client_end)
            == resp.encode_bulk(b"v") + b"-BUSY 1\r\n" + not_ready + b"-BUSY 1\r\n"
        )
        assert connection.linger_timer is not None

    run_steps(steps)


@pytest.mark.parametrize("reason", ["drained", "made_room", "idle", "last_call"])
def test_request_that_crosses_close_is_not_read_and_resets_no_response(
    reason: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client has not read its response, and sends a request while the gateway closes.

    The gateway checked for unread bytes and then closed. Bytes that arrived in between caused a reset, which
    destroyed the part of the response that the client had not read.
    """

    async def steps(_: connection_module.ClientConnection, __: socket.socket) -> None:
        driver, (ours, client_end) = FakeDriver(), tcp_pair()
        service = ClientConnections(cast(PolicyDriver, driver), driver.counters, 1, 1000)
        service.add(IOStream(ours))
        (connection,) = service.connections
        response = resp.encode_bulk(memoryview(bytes(resp.MAX_VALUE_BYTES)))
        client_end.send(query())
        await wait_until(lambda: driver.open_requests)
        driver.open_requests.popitem()[1].response_sink.serve(memoryview(bytes(resp.MAX_VALUE_BYTES)))
        await wait_until(lambda: not connection.is_busy())
        sent_by_check = iter([b"", query()])

        def send_after_check() -> bool:  # the request arrives after the gateway's check
            client_end.send(next(sent_by_check, b"") or next(sent_by_check, b""))
            return False

        monkeypatch.setattr(connection, "has_unread_bytes", send_after_check)
        match reason:
            case "drained" | "last_call":
                service.apply_drain_stage(
                    DrainStage.END_AT_REST if reason == "drained" else DrainStage.FORCE_END
                )
            case "made_room":
                pair = tcp_pair()
                service.add(IOStream(pair[0]))
                assert service.evict_idle()
            case "idle":
                connection.close_if_overdue(connection.last_activity_at + limits.IDLE_TIMEOUT_S)
        assert connection.close_reason == reason and connection.linger_timer is not None
        client_end.sendall(query())
        await run_pending_callbacks()
        assert (
            await asyncio.to_thread(receive_until_closed, client_end) == response and not driver.open_requests
        )
        assert driver.counters.counts[f"requests_crossed_{reason}"] == 1
        client_end.close()
        await wait_until(lambda: connection not in connection.registry.connections)

    run_steps(steps)


def test_request_that_the_stream_has_read_ahead_of_its_task_is_served() -> None:
    async def steps(_: connection_module.ClientConnection, __: socket.socket) -> None:
        driver, pairs = FakeDriver(), [tcp_pair() for _ in range(2)]
        service = ClientConnections(cast(PolicyDriver, driver), driver.counters, 1, 1000)
        for ours, _client_end in pairs:
            service.add(IOStream(ours))
        connection = next(iter(service.connections))
        ours, client_end = pairs[0]
        client_end.send(resp.encode_command([b"PING"]))
        await wait_until(lambda: connection.command_count == 1)
        ends: list[Callable[[], object]] = [
            lambda: service.apply_drain_stage(DrainStage.END_AT_REST),
            service.evict_idle,
            lambda: connection.close_if_overdue(connection.last_activity_at + 2 * limits.IDLE_TIMEOUT_S),
        ]
        for number, end in enumerate(ends, 1):
            client_end.send(query())
            # The loop runs a stream's reads before its timers, and tasks after them.
            connection.stream._handle_events(ours.fileno(), IOLoop.READ)
            end()
            service.apply_drain_stage(DrainStage.NONE)
            await run_pending_callbacks()
            assert not connection.closing and len(driver.open_requests) == number
            for context in driver.open_requests.values():
                if context.claim_response():
                    context.response_sink.fail()
        for _ours, client_end in pairs:
            client_end.close()
        await wait_until(lambda: not service.connections)

    run_steps(steps)


def test_slow_command_after_idle_time_is_not_cut_off() -> None:
    # The time limit for a command was counted from the opening of the connection.
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        connection.last_activity_at = connection.command_started_at = (
            connection.last_activity_at - 100 * limits.IDLE_TIMEOUT_S
        )
        command, activity_times = query(), list[float]()
        for position in range(0, len(command) - 1, 20):
            activity_times.append(connection.last_activity_at)
            client_end.send(command[position : min(position + 20, len(command) - 1)])
            await wait_until(lambda: connection.last_activity_at > activity_times[-1])
            connection.close_if_overdue(asyncio.get_running_loop().time())
            assert not connection.closing
        connection.close_if_overdue(connection.last_activity_at + limits.RECEIVE_TIMEOUT_S / 2)
        assert not connection.closing
        # The time limit for a whole command still applies.
        connection.command_started_at -= limits.COMMAND_READ_TIMEOUT_S
        connection.close_if_overdue(connection.last_activity_at + limits.RECEIVE_TIMEOUT_S / 2)
        assert connection.close_reason == "half_a_command"

    run_steps(steps)


class ClientModel(RuleBasedStateMachine):
    """States open, closing (malformed command or draining) and closed; responses in command order."""

    def __init__(self) -> None:
        super().__init__()
        # No step depends on time.
        self.saved_limits = (
            limits.LINGER_TIMEOUT_S,
            limits.UNACCEPTABLE_COMMAND_DELAY_S,
            limits.MAX_UNACCEPTABLE_COMMANDS,
            limits.EVICT_SILENT_AFTER_S,
        )
        (
            limits.LINGER_TIMEOUT_S,
            limits.UNACCEPTABLE_COMMAND_DELAY_S,
            limits.MAX_UNACCEPTABLE_COMMANDS,
            limits.EVICT_SILENT_AFTER_S,
        ) = 3600.0, 0.0, 1000, -1.0
        self.loop = asyncio.new_event_loop()
        self.driver = FakeDriver()
        self.pending: deque[list[Any]] = deque()  # [context or None, the response's bytes or None]
        self.expected_bytes = self.received_bytes = b""
        self.remaining_bytes = b""  # of a partly sent command
        self.malformed = self.disconnected = self.half_closed = self.closed = self.eof = False
        self.answered_in_drain = False

    def run_step(self, step: Any = None) -> None:
        """Run a step on the loop, then the callbacks it caused, and receive the output."""

        async def run() -> None:
            if step is not None:
                step()
            for _ in range(6):
                await asyncio.sleep(0)

        self.loop.run_until_complete(run())
        while self.client_end.fileno() >= 0:
            try:
                data = self.client_end.recv(65536)
            except BlockingIOError:
                return
            except ConnectionResetError:
                data = b""
            if not data:
                self.eof = True
                return
            self.received_bytes += data

    @initialize(steps_before_close=st.integers(0, 12))
    def connect(self, steps_before_close: int) -> None:
        self.steps_before_close = steps_before_close  # steps before the connection may start to close
        ours, self.client_end = socket.socketpair()
        self.client_end.setblocking(False)

        def start() -> None:
            self.service = ClientConnections(cast(PolicyDriver, self.driver), Counters(), 1, 1000)
            self.service.add(IOStream(ours))
            (self.connection,) = self.service.connections

        self.run_step(start)

    def update_model(self) -> None:
        """Update the model after a step."""
        self.steps_before_close -= 1
        has_response = bool(self.pending) and self.pending[0][1] is not None
        while self.pending and self.pending[0][1] is not None:
            self.expected_bytes += self.pending.popleft()[1]
        stage = self.service.drain_stage
        self.answered_in_drain |= has_response and stage >= DrainStage.END_WITH_RESPONSE
        ends_now = stage >= DrainStage.END_AT_REST or (stage and has_response)
        if not self.pending and self.malformed:
            self.half_closed = True  # the last response is written; the client may close
        elif not self.pending and ends_now and not self.remaining_bytes:
            # After a response the client closes first; without one the gateway does: no response can be lost.
            self.half_closed, self.closed = bool(self.expected_bytes), not self.expected_bytes

    def expected_rejection(self) -> bytes | None:
        """Return the response to a request that is sent now, if it is rejected because of the drain."""
        is_first = not self.pending and not self.answered_in_drain
        rejects = self.service.drain_stage >= DrainStage.REJECT_FURTHER and not is_first
        return b"-BUSY 1\r\n" if rejects else None

    def send(self, data: bytes, response: bytes | None, is_complete: bool = True) -> None:
        before = set(self.driver.open_requests)
        self.run_step(lambda: self.client_end.send(data))
        if is_complete and not self.malformed:
            new = set(self.driver.open_requests) - before
            assert len(new) == (response is None)
            self.pending.append([self.driver.open_requests[new.pop()] if new else None, response])

    open_now = precondition(
        lambda self: not (
            self.closed or self.half_closed or self.disconnected or self.remaining_bytes or self.malformed
        )
    )

    @open_now
    @rule()
    def client_sends_query(self) -> None:
        self.send(query(), self.expected_rejection())
        self.update_model()

    @open_now
    @rule(cut=st.integers(1, 80))
    def client_sends_query_in_part(self, cut: int) -> None:
        command = query()
        self.remaining_bytes = command[cut:]
        self.send(command[:cut], None, is_complete=False)

    @precondition(lambda self: self.remaining_bytes and not self.closed and not self.disconnected)
    @rule()
    def client_supplies_remaining_bytes(self) -> None:
        remaining_bytes, self.remaining_bytes = self.remaining_bytes, b""
        self.send(remaining_bytes, self.expected_rejection())
        self.update_model()

    @open_now
    @rule()
    def ping_is_sent(self) -> None:
        self.send(resp.encode_command([b"PING"]), b"+PONG\r\n")
        self.update_model()

    @open_now
    @rule(
        unacceptable=st.sampled_from(
            [
                (b"c=look,t=wide,d=x", b"-ERR d is missing or malformed\r\n"),
                (b"c=look,t=wide,d=0", b"-ERR d is missing or malformed\r\n"),
                (b"c=look,t=wide,d=9,units=0", b"-ERR units are out of range\r\n"),
                (b"c=look,t=wide,d=9,spread=2", b"-ERR the customer's set is out of range\r\n"),
                (b"c=look,t=wide,d=9,first=1", b"-ERR the customer's set is out of range\r\n"),
                (b"c=look,t=wide,d=9,k=x", b"-ERR k must be 16 hex digits\r\n"),
                (b"c=odd,t=wide,d=9", b"-ERR unknown class\r\n"),
                (b"c=look,t=odd,d=9", b"-ERR unknown plan\r\n"),
                (b"c=note,t=wide,d=9", b"-ERR this class goes by the other command\r\n"),
                (b"c=look,c=look", b"-ERR names and values must be name=value, each name once\r\n"),
            ]
        )
    )
    def client_sends_unacceptable_query(self, unacceptable: tuple[bytes, bytes]) -> None:
        self.send(query(unacceptable[0]), unacceptable[1])
        self.update_model()

    @open_now
    @precondition(lambda self: self.steps_before_close <= 0)
    @rule(data=st.sampled_from([b"GET / HTTP/1.1\r\n", LONG_BODY_HEAD]))
    def malformed_command_is_sent(self, data: bytes) -> None:
        self.run_step(lambda: self.client_end.send(data))
        self.malformed = True
        error_text = b"a command begins with *" if data[:1] == b"G" else b"a value is longer than 65536 bytes"
        self.pending.append([None, b"-ERR " + error_text + b"\r\n"])
        self.update_model()

    @precondition(lambda self: self.driver.open_requests)
    @rule(pick=st.integers(0, 99), outcome=st.sampled_from(["serve", "reject", "fail"]))
    def awaited_response_is_sent(self, pick: int, outcome: str) -> None:
        request_id = sorted(self.driver.open_requests)[pick % len(self.driver.open_requests)]
        context = self.driver.open_requests.pop(request_id)
        if context.claim_response():
            step, data = {
                "serve": (
                    lambda: context.response_sink.serve(memoryview(b"v%d" % request_id)),
                    resp.encode_bulk(b"v%d" % request_id),
                ),
                "reject": (lambda: context.response_sink.reject(12.4), b"-BUSY 12\r\n"),
                "fail": (lambda: context.response_sink.fail(), b"-ERR failed\r\n"),
            }[outcome]
            for slot in self.pending:
                if slot[0] is context:
                    slot[1] = data
            self.run_step(step)
            self.update_model()

    @precondition(lambda self: self.steps_before_close <= 0)
    @rule(stage=st.sampled_from([DrainStage.END_WITH_RESPONSE, DrainStage.END_AT_REST]))
    def gateway_drains(self, stage: DrainStage) -> None:
        self.run_step(lambda: self.service.apply_drain_stage(max(stage, self.service.drain_stage)))
        self.update_model()

    @precondition(lambda self: self.steps_before_close <= 0 and not self.closed and not self.disconnected)
    @rule()
    def peer_closes_socket(self) -> None:
        open_contexts = [
            slot[0] for slot in self.pending if slot[0] is not None and slot[0].awaiting_response
        ]
        self.run_step(self.client_end.close)
        self.disconnected = self.closed = True
        assert self.driver.disconnected == open_contexts

    @invariant()
    def check_model(self) -> None:
        if not self.disconnected and hasattr(self, "service"):
            assert self.received_bytes == self.expected_bytes
            assert self.eof == (self.half_closed or self.closed)
            assert (self.connection in self.service.connections) == (not self.closed)

    def teardown(self) -> None:
        if hasattr(self, "connection"):
            self.run_step(lambda: self.connection.close(ClientCloseReason.PROCESS_STOPPED))
            self.client_end.close()
        self.loop.close()
        (
            limits.LINGER_TIMEOUT_S,
            limits.UNACCEPTABLE_COMMAND_DELAY_S,
            limits.MAX_UNACCEPTABLE_COMMANDS,
            limits.EVICT_SILENT_AFTER_S,
        ) = self.saved_limits


TestClientModel = ClientModel.TestCase
TestClientModel.settings = settings(max_examples=100, stateful_step_count=30)
