"""A client connection against a model of its states, over a socket pair, by random steps."""

from __future__ import annotations

import asyncio
import itertools
import socket
import threading
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, cast

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from tornado.iostream import IOStream

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

WHO = b"00000000b4d65521"
IDS = itertools.count()


class FakeDriver:
    """Stands for the driver: holds the requests until a step responds to them."""

    def __init__(self) -> None:
        self.settings = Settings(gateway_index=0, gateway_count=1, classes=CLASSES, plans=PLANS)
        self.counters, self.open_requests = Counters(), dict[int, RequestContext]()
        self.left: list[RequestContext] = []
        self.release: Callable[[RequestContext], None] = lambda context: None

    def now(self) -> float:
        return 0.0

    def submit(self, context: RequestContext) -> None:
        self.open_requests[context.request_id] = context

    def client_disconnected(self, context: RequestContext) -> None:
        if context.claim_response():
            self.left.append(context)


def query(extra: bytes = b"c=look,t=wide,d=480") -> bytes:
    return resp.encode_command([b"SVC.QUERY", WHO, b"%016x" % next(IDS), extra])


def play(steps: Callable[[connection_module.ClientConnection, socket.socket], Awaitable[None]]) -> FakeDriver:
    """Run steps on a connection of its own and the client's end of it."""
    driver = FakeDriver()

    async def run() -> None:
        ours, client_end = socket.socketpair()
        client_end.setblocking(False)
        service = ClientConnections(cast(PolicyDriver, driver), driver.counters, 1, 1000)
        service.add(IOStream(ours, max_write_buffer_size=limits.MAX_UNWRITTEN_BYTES))
        (connection,) = service.connections
        await steps(connection, client_end)
        connection.close(ClientCloseReason.PROCESS_STOPPED)
        client_end.close()

    asyncio.run(run())
    return driver


def registry_of(connection: connection_module.ClientConnection) -> ClientConnections:
    return cast(ClientConnections, connection.registry)


async def rest() -> None:
    for _ in range(20):
        await asyncio.sleep(0)


def test_connection_stops_reading_while_client_does_not_read_responses() -> None:
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        driver = cast(FakeDriver, connection.registry.driver)
        loop = asyncio.get_running_loop()
        commands = b"".join(query() for _ in range(1000))
        sending = loop.create_task(loop.sock_sendall(client_end, commands))
        while (
            connection.pending_write is None or connection.pending_write.done()
        ):  # until the kernel holds no more
            await rest()
            for context in list(driver.open_requests.values()):
                driver.open_requests.pop(context.request_id).response_sink.serve(
                    memoryview(bytes(resp.MAX_VALUE_BYTES))
                )
        await rest()
        held = connection.command_count
        await rest()
        assert (
            held == connection.command_count < 1000 and len(connection.slots) <= limits.MAX_PIPELINED_COMMANDS
        )
        sending.cancel()

    play(steps)


def test_closing_connection_is_closed_after_response_read_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Only connections whose end had not begun were looked at: one with answers that nobody reads and a last
    # line behind them kept its place for as long as the client liked.
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        connection.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client_end.send(query())
        await rest()
        (slot,) = connection.slots
        slot.put(bytes(1 << 20))
        client_end.send(b"nonsense\r\n")
        await rest()
        assert connection.closing and connection.is_writing()
        connection.close_if_overdue(connection.loop.time())
        assert connection in connection.registry.connections
        monkeypatch.setattr(limits, "RESPONSE_READ_TIMEOUT_S", -1.0)
        connection.close_if_overdue(connection.loop.time())
        assert connection not in connection.registry.connections and connection.close_reason is not None

    play(steps)


def test_exception_in_one_command_fails_only_that_command(monkeypatch: pytest.MonkeyPatch) -> None:
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        calls = iter([ZeroDivisionError, None])

        def odd(*args: Any) -> RequestContext:
            if error := next(calls):
                raise error
            return parse(*args)

        monkeypatch.setattr(requests, "parse", odd)
        client_end.send(query() + query())
        await rest()
        (context,) = cast(FakeDriver, connection.registry.driver).open_requests.values()
        context.response_sink.fail()
        assert client_end.recv(100) == b"-ERR failed\r\n-ERR failed\r\n"

    assert play(steps).counters.counts["exceptions"] == 1


def test_connection_is_closed_after_linger_timeout_while_client_keeps_sending(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        client_end.send(b"nonsense" * 2000)
        while not connection.stream.closed():
            await asyncio.sleep(0)
        assert client_end.recv(100) == b"-ERR a command begins with *\r\n" and client_end.recv(1) == b""

    monkeypatch.setattr(limits, "LINGER_TIMEOUT_S", 0.01)
    assert play(steps).counters.counts["malformed_commands"] == 1


def test_idle_connection_is_evicted_and_busy_one_is_not() -> None:
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        ours, other = socket.socketpair()
        registry_of(connection).add(IOStream(ours))
        client_end.send(query())
        await rest()
        assert not registry_of(connection).evict_idle()
        (context,) = cast(FakeDriver, connection.registry.driver).open_requests.values()
        context.response_sink.fail()
        assert registry_of(connection).evict_idle() and not connection.stream.closed()
        assert client_end.recv(100) == b"-ERR failed\r\n" and client_end.recv(1) == b""
        assert not registry_of(connection).evict_idle()  # the newest stays: its request may be on its way
        client_end.close()
        await rest()
        assert connection.stream.closed() and connection.close_reason == "made_room"
        other.close()

    play(steps)


def test_silent_connections_are_evicted_before_those_that_sent_commands(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Hundreds connect and send nothing: the oldest went first, and it was the usual clients that lost theirs.
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        monkeypatch.setattr(limits, "EVICT_SILENT_AFTER_S", -1.0)
        client_end.send(resp.encode_command([b"PING"]))
        await rest()
        pairs = [socket.socketpair() for _ in range(3)]
        for ours, _ in pairs:
            registry_of(connection).add(IOStream(ours))
        assert registry_of(connection).evict_idle() and registry_of(connection).evict_idle()
        assert registry_of(connection).evict_idle() and connection.linger_timer is not None
        assert len(connection.registry.connections) == 2  # it, which was answered, and the newest
        for _, other in pairs:
            other.close()

    play(steps)


def test_idle_connections_beyond_limit_are_reaped_and_busy_one_is_not() -> None:
    # A client that sent one command and keeps its connection took a place that others needed.
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        pairs = [socket.socketpair() for _ in range(4)]
        for ours, other in pairs:
            registry_of(connection).add(IOStream(ours))
            other.send(resp.encode_command([b"PING"]))
        client_end.send(query())
        await rest()
        registry_of(connection).reap_overdue(2, 3600.0)
        assert len(connection.registry.connections) == 5
        registry_of(connection).reap_overdue(2, 0.0)
        assert (
            len(connection.registry.connections) - connection.registry.lingering_count == 2
            and not connection.closing
        )
        for _, other in pairs:
            other.close()
        await rest()
        assert list(connection.registry.connections) == [connection]
        for _, other in pairs:
            other.close()

    play(steps)


def test_connection_with_unread_bytes_is_not_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    # Ending it lost the request that had come and lay unread.
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        monkeypatch.setattr(limits, "IDLE_TIMEOUT_S", -1.0)
        ours, other = socket.socketpair()
        registry_of(connection).add(IOStream(ours))
        await rest()
        client_end.send(query())
        assert not registry_of(connection).evict_idle()
        registry_of(connection).reap_overdue(9, 0.5)
        registry_of(connection).close_idle(draining=True, rejecting_new_requests=False)
        await rest()
        assert not connection.stream.closed() and len(connection.slots) == 1
        other.close()

    play(steps)


def test_closed_stream_is_skipped_before_its_task_has_run() -> None:
    # IOStream drops its socket as soon as it reads the end of the stream; the connection's task runs one turn
    # of the loop later. A search for an idle connection in between raised AttributeError in the acceptor.
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        ours, other = socket.socketpair()
        registry_of(connection).add(IOStream(ours))
        await rest()
        connection.stream.close()
        assert not connection.has_unread_bytes()
        registry_of(connection).evict_idle()
        connection.last_write_at = 1.0  # an answer has gone out: finish would shut the socket down
        connection.start_close(ClientCloseReason.DRAINED)
        await rest()
        assert connection not in connection.registry.connections
        other.close()

    play(steps)


@pytest.mark.parametrize(
    ("sent", "got"),
    [(b"", b""), (b"*2\r\n$4\r\nPI", b"-ERR a command was begun and not ended\r\n")],
)
def test_silent_connection_and_incomplete_command_are_closed_after_idle_timeout(
    sent: bytes, got: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        client_end.send(sent)
        await rest()
        registry_of(connection).reap_overdue(9, 0.5)
        assert not connection.stream.closed()
        monkeypatch.setattr(limits, "IDLE_TIMEOUT_S", -1.0)
        registry_of(connection).reap_overdue(9, 0.5)
        await rest()
        assert client_end.recv(100) == got
        assert got == b"" or client_end.recv(1) == b""

    play(steps)


def test_pipelined_commands_yield_to_other_connections() -> None:
    # They were taken in one go, and all other connections waited for a quarter of a second.
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        client_end.send(50 * resp.encode_command([b"PING"]))
        while not connection.command_count:
            await asyncio.sleep(0)
        assert connection.command_count < 5

    play(steps)


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

    play(steps)


def test_id_of_open_request_is_rejected_and_reusable_after_response() -> None:
    # Sent on, it would have been a second attempt of the request that is open.
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        driver, whole = cast(FakeDriver, connection.registry.driver), query()
        client_end.send(2 * whole)
        await rest()
        (context,) = driver.open_requests.values()
        context.response_sink.reject(5)
        assert context.claim_response()
        await rest()
        assert client_end.recv(100) == b"-BUSY 5\r\n-ERR a request of this id is open\r\n"
        assert not connection.registry.open_client_ids

    play(steps)


def tcp_pair() -> tuple[socket.socket, socket.socket]:
    """The gateway's end and the client's: unlike a Unix pair, it is reset by a close over unread bytes."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client_end = socket.create_connection(listener.getsockname())
        client_end.setblocking(False)
        return listener.accept()[0], client_end


async def until(holds: Callable[[], object]) -> None:
    async with asyncio.timeout(30):
        while not holds():
            await asyncio.sleep(0)


def received(client_end: socket.socket) -> bytes:
    """All that comes up to the end of the connection; a reset raises."""
    client_end.settimeout(30)
    data = b""
    while got := client_end.recv(65536):
        data += got
    return data


def test_disconnect_is_seen_while_pipeline_is_full() -> None:
    # While it waited for room nothing read the connection: 32 requests of one that had left were served on.
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        driver = cast(FakeDriver, connection.registry.driver)
        client_end.send(b"".join(query() for _ in range(limits.MAX_PIPELINED_COMMANDS + 9)))
        await until(lambda: connection.pause_reason is connection_module.PauseReason.PIPELINE_FULL)
        client_end.close()
        await until(lambda: connection not in connection.registry.connections)
        assert len(driver.left) == limits.MAX_PIPELINED_COMMANDS

    play(steps)


def test_disconnect_is_seen_behind_flood_beyond_read_buffer(monkeypatch: pytest.MonkeyPatch) -> None:
    # The end of the stream was in the kernel behind what nobody read.
    monkeypatch.setattr(limits, "HANG_UP_CHECK_INTERVAL_S", 0.0)

    async def steps(_: connection_module.ClientConnection, __: socket.socket) -> None:
        driver, (ours, client_end) = FakeDriver(), tcp_pair()
        service = ClientConnections(cast(PolicyDriver, driver), driver.counters, 1, 1000)
        service.add(IOStream(ours))
        (connection,) = service.connections
        flood = b"".join(query() for _ in range(3 * resp.MAX_MESSAGE_BYTES // len(query())))
        await asyncio.get_running_loop().sock_sendall(client_end, flood)
        buffer = connection.buffer
        await until(lambda: connection.consumed_bytes + buffer.end - buffer.start == len(flood))
        assert not driver.left and len(driver.open_requests) == limits.MAX_PIPELINED_COMMANDS < len(
            connection.slots
        )
        assert connection.buffer.max_bytes >= buffer.end - buffer.start
        client_end.close()
        await until(lambda: connection not in connection.registry.connections)
        assert len(driver.left) == limits.MAX_PIPELINED_COMMANDS

    play(steps)


def test_utf8_names_of_class_and_plan_are_forwarded_unchanged() -> None:
    # What is not ASCII was rejected, and with it every request of such a class or plan.
    named = "c=kasse-öffnen,t=größe,d=480".encode()
    words = [memoryview(word) for word in (b"SVC.QUERY", WHO, b"0" * 16, named)]
    read = svc.parse_request(words)
    assert (read.request_class, read.plan) == ("kasse-öffnen", "größe")
    assert named.replace(b"480", b"300") in read.message.encode(300)
    with pytest.raises(svc.InvalidCommandError):
        svc.parse_request([*words[:3], memoryview(named.replace(b"\xc3", b""))])


def test_disconnect_is_seen_after_endless_flood(monkeypatch: pytest.MonkeyPatch) -> None:
    # Beyond what is rejected nothing was read, and its requests were forwarded for as long as they waited.
    async def steps(_: connection_module.ClientConnection, __: socket.socket) -> None:
        driver, (ours, client_end) = FakeDriver(), tcp_pair()
        slept = list[float]()

        async def sleep(delay: float) -> None:
            slept.append(delay)
            await rested(0)

        service = ClientConnections(cast(PolicyDriver, driver), driver.counters, 1, 1000)
        service.add(IOStream(ours))
        client_end.setblocking(True)
        flood = b"".join(query() for _ in range(3 * limits.MAX_REJECTED_COMMANDS // 2)) + bytes(1 << 22)

        def send() -> None:
            client_end.sendall(flood)
            client_end.close()

        sending, rested = threading.Thread(target=send), asyncio.sleep
        monkeypatch.setattr(asyncio, "sleep", sleep)
        sending.start()
        await until(lambda: not service.connections)
        monkeypatch.undo()
        sending.join()
        assert len(driver.left) == limits.MAX_PIPELINED_COMMANDS == len(driver.open_requests)
        assert sum(slept) <= 0.2, "that is how long it went on beside what the reading takes"

    play(steps)


def test_time_waited_behind_other_commands_is_taken_off_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Its timeout was counted from when it was processed.
    monkeypatch.setattr(limits, "UNACCEPTABLE_COMMAND_DELAY_S", 3600.0)

    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        client_end.send(query(b"c=odd,t=wide,d=9") + query())
        await until(lambda: connection.pause_reason)
        connection.arrivals = deque((end, at - 0.3) for end, at in connection.arrivals)
        connection._resume()
        (context,) = cast(FakeDriver, connection.registry.driver).open_requests.values()
        assert context.request.remaining_time <= 180.0

    play(steps)


def test_commands_read_before_shutdown_get_their_responses() -> None:
    # A complete command that had been read was dropped, and others behind it, with the connection's end.
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        driver, ping = cast(FakeDriver, connection.registry.driver), resp.encode_command([b"PING"])
        connection.registry.is_ready = lambda: False
        client_end.send(query())
        await until(lambda: driver.open_requests)
        registry_of(connection).close_idle(draining=True, rejecting_new_requests=True)
        client_end.send(query() + ping + query())
        await until(lambda: connection.command_count == 4)
        (context,) = driver.open_requests.values()  # none of the others was handed to the driver
        context.response_sink.serve(memoryview(b"v"))
        await rest()
        no = b"-ERR not ready\r\n"
        assert received(client_end) == resp.encode_bulk(b"v") + b"-BUSY 1\r\n" + no + b"-BUSY 1\r\n"
        assert connection.linger_timer is not None

    play(steps)


@pytest.mark.parametrize("how", ["drained", "made_room", "idle", "last_call"])
def test_request_that_crosses_close_is_not_read_and_resets_no_response(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client has not read its answer, and sends again at the moment at which the gateway closes.

    The gateway looked for unread bytes and closed: what came between reset the connection, and the reset
    took along what the client had not got yet.
    """

    async def steps(_: connection_module.ClientConnection, __: socket.socket) -> None:
        driver, (ours, client_end) = FakeDriver(), tcp_pair()
        service = ClientConnections(cast(PolicyDriver, driver), driver.counters, 1, 1000)
        service.add(IOStream(ours))
        (connection,) = service.connections
        long = resp.encode_bulk(memoryview(bytes(resp.MAX_VALUE_BYTES)))
        client_end.send(query())
        await until(lambda: driver.open_requests)
        driver.open_requests.popitem()[1].response_sink.serve(memoryview(bytes(resp.MAX_VALUE_BYTES)))
        await until(lambda: not connection.is_busy())
        crossing = iter([b"", query()])

        def peek() -> bool:  # it comes when the gateway has looked
            client_end.send(next(crossing, b"") or next(crossing, b""))
            return False

        monkeypatch.setattr(connection, "has_unread_bytes", peek)
        match how:
            case "drained" | "last_call":
                service.close_idle(draining=True, rejecting_new_requests=how == "last_call")
            case "made_room":
                pair = tcp_pair()
                service.add(IOStream(pair[0]))
                assert service.evict_idle()
            case "idle":
                connection.close_if_overdue(connection.last_activity_at + limits.IDLE_TIMEOUT_S)
        assert connection.close_reason == how and connection.linger_timer is not None
        client_end.sendall(query())
        await rest()
        assert await asyncio.to_thread(received, client_end) == long and not driver.open_requests
        client_end.close()
        await until(lambda: connection not in connection.registry.connections)

    play(steps)


def test_slow_command_after_idle_time_is_not_cut_off() -> None:
    # Its time for a command was counted from the opening of the connection.
    async def steps(connection: connection_module.ClientConnection, client_end: socket.socket) -> None:
        connection.last_activity_at = connection.command_started_at = (
            connection.last_activity_at - 100 * limits.IDLE_TIMEOUT_S
        )
        whole, rests = query(), list[float]()
        for at in range(0, len(whole) - 1, 20):
            rests.append(connection.last_activity_at)
            client_end.send(whole[at : min(at + 20, len(whole) - 1)])
            await until(lambda: connection.last_activity_at > rests[-1])
            connection.close_if_overdue(asyncio.get_running_loop().time())
            assert not connection.closing
        connection.close_if_overdue(connection.last_activity_at + limits.IDLE_TIMEOUT_S / 2)
        assert not connection.closing
        connection.command_started_at -= limits.COMMAND_READ_TIMEOUT_S  # but not for ever
        connection.close_if_overdue(connection.last_activity_at + limits.IDLE_TIMEOUT_S / 2)
        assert connection.close_reason == "half_a_command"

    play(steps)


class ClientModel(RuleBasedStateMachine):
    """Open, ending (a malformed command, or draining), and ended; answers in the order of commands."""

    def __init__(self) -> None:
        super().__init__()
        self.kept = (
            limits.LINGER_TIMEOUT_S,
            limits.UNACCEPTABLE_COMMAND_DELAY_S,
            limits.MAX_UNACCEPTABLE_COMMANDS,
            limits.EVICT_SILENT_AFTER_S,
        )  # no step rests on time
        (
            limits.LINGER_TIMEOUT_S,
            limits.UNACCEPTABLE_COMMAND_DELAY_S,
            limits.MAX_UNACCEPTABLE_COMMANDS,
            limits.EVICT_SILENT_AFTER_S,
        ) = 3600.0, 0.0, 1000, -1.0
        self.loop = asyncio.new_event_loop()
        self.driver = FakeDriver()
        self.order: deque[list[Any]] = deque()  # [context or None, the answer's bytes or None]
        self.expected = self.received = b""
        self.rest = b""  # of a command that was sent in part
        self.malformed = self.left = self.half = self.ended = self.eof = False

    def do(self, step: Any = None) -> None:
        """Run a step on the loop, then let it come to rest."""

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
            self.received += data

    @initialize(calm=st.integers(0, 12))
    def connect(self, calm: int) -> None:
        self.calm = calm  # steps before the connection's end may begin
        ours, self.client_end = socket.socketpair()
        self.client_end.setblocking(False)

        def start() -> None:
            self.service = ClientConnections(cast(PolicyDriver, self.driver), Counters(), 1, 1000)
            self.service.add(IOStream(ours))
            (self.connection,) = self.service.connections

        self.do(start)

    def model(self) -> None:
        """What the model holds after a step."""
        self.calm -= 1
        while self.order and self.order[0][1] is not None:
            self.expected += self.order.popleft()[1]
        if not self.order and self.malformed:
            self.half = True  # the last line is written; the client may end it
        elif not self.order and self.service.draining and not self.rest:
            # The client may end one that was answered; on one that never was there is nothing to lose.
            self.half, self.ended = bool(self.expected), not self.expected

    def sends(self, data: bytes, answer: bytes | None, whole: bool = True) -> None:
        before = set(self.driver.open_requests)
        self.do(lambda: self.client_end.send(data))
        if whole and not self.malformed:
            new = set(self.driver.open_requests) - before
            assert len(new) == (answer is None)
            self.order.append([self.driver.open_requests[new.pop()] if new else None, answer])

    open_now = precondition(
        lambda self: not (self.ended or self.half or self.left or self.rest or self.malformed)
    )

    @open_now
    @rule()
    def asks(self) -> None:
        self.sends(query(), None)
        self.model()

    @open_now
    @rule(cut=st.integers(1, 80))
    def asks_in_part(self, cut: int) -> None:
        whole = query()
        self.rest = whole[cut:]
        self.sends(whole[:cut], None, whole=False)

    @precondition(lambda self: self.rest and not self.ended and not self.left)
    @rule()
    def completes(self) -> None:
        rest, self.rest = self.rest, b""
        self.sends(rest, None)
        self.model()

    @open_now
    @rule()
    def pings(self) -> None:
        self.sends(resp.encode_command([b"PING"]), b"+PONG\r\n")
        self.model()

    @open_now
    @rule(
        bad=st.sampled_from(
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
    def asks_what_is_not_to_be_had(self, bad: tuple[bytes, bytes]) -> None:
        self.sends(query(bad[0]), bad[1])
        self.model()

    @open_now
    @precondition(lambda self: self.calm <= 0)
    @rule(data=st.sampled_from([b"GET / HTTP/1.1\r\n", b"*1\r\n$70000\r\n"]))
    def is_malformed(self, data: bytes) -> None:
        self.do(lambda: self.client_end.send(data))
        self.malformed = True
        why = b"a command begins with *" if data[:1] == b"G" else b"a value is longer than 65536 bytes"
        self.order.append([None, b"-ERR " + why + b"\r\n"])
        self.model()

    @precondition(lambda self: self.driver.open_requests)
    @rule(pick=st.integers(0, 99), how=st.sampled_from(["serve", "reject", "fail"]))
    def answers(self, pick: int, how: str) -> None:
        ref = sorted(self.driver.open_requests)[pick % len(self.driver.open_requests)]
        context = self.driver.open_requests.pop(ref)
        if context.claim_response():
            step, data = {
                "serve": (
                    lambda: context.response_sink.serve(memoryview(b"v%d" % ref)),
                    resp.encode_bulk(b"v%d" % ref),
                ),
                "reject": (lambda: context.response_sink.reject(12.4), b"-BUSY 12\r\n"),
                "fail": (lambda: context.response_sink.fail(), b"-ERR failed\r\n"),
            }[how]
            for place in self.order:
                if place[0] is context:
                    place[1] = data
            self.do(step)
            self.model()

    @precondition(lambda self: self.calm <= 0)
    @rule()
    def drains(self) -> None:
        self.do(lambda: self.service.close_idle(draining=True, rejecting_new_requests=False))
        self.model()

    @precondition(lambda self: self.calm <= 0 and not self.ended and not self.left)
    @rule()
    def leaves(self) -> None:
        owed = [place[0] for place in self.order if place[0] is not None and place[0].awaiting_response]
        self.do(self.client_end.close)
        self.left = self.ended = True
        assert self.driver.left == owed

    @invariant()
    def holds(self) -> None:
        if not self.left and hasattr(self, "service"):
            assert self.received == self.expected
            assert self.eof == (self.half or self.ended)
            assert (self.connection in self.service.connections) == (not self.ended)

    def teardown(self) -> None:
        if hasattr(self, "connection"):
            self.do(lambda: self.connection.close(ClientCloseReason.PROCESS_STOPPED))
            self.client_end.close()
        self.loop.close()
        (
            limits.LINGER_TIMEOUT_S,
            limits.UNACCEPTABLE_COMMAND_DELAY_S,
            limits.MAX_UNACCEPTABLE_COMMANDS,
            limits.EVICT_SILENT_AFTER_S,
        ) = self.kept


TestClientModel = ClientModel.TestCase
TestClientModel.settings = settings(max_examples=100, stateful_step_count=30)
