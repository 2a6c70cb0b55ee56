"""The driver: one final answer whatever breaks, events in order, and the clock that starts are told on."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from mapleshunt import (
    AttemptEnded,
    CancelAttempt,
    ClientDisconnected,
    Event,
    FailRequest,
    RejectReason,
    RejectRequest,
    RequestReceived,
    SendGossip,
    SetTimer,
    Settings,
    StartAttempt,
    TimerFired,
)
from mapleshunt.net.counters import Counters
from mapleshunt.net.periodic import PeriodicTask
from mapleshunt.net.policy_driver import RESPONSE_GUARD_MS, PolicyDriver
from mapleshunt.net.protocol.command_protocol import CommandMessage
from mapleshunt.net.request import respond
from mapleshunt.net.request.admit import admit
from mapleshunt.net.request.context import RequestContext
from mapleshunt.net.upstream.endpoint import Endpoint
from mapleshunt.net.upstream.endpoint_group import EndpointGroup
from mapleshunt.policy.endpoints import EndpointTable

from .conftest import CLASSES, PLANS


class Told:
    """A client's side that keeps what it was answered."""

    def __init__(self) -> None:
        self.answers: list[str] = []

    def serve(self, value: memoryview) -> None:
        self.answers.append(str(value, "ascii"))

    def reject(self, wait: float) -> None:
        self.answers.append(f"rejected {wait:.0f}")

    def fail(self) -> None:
        self.answers.append("failed")


class Scripted:
    """Decisions that do what a test says, and keep what they were told."""

    def __init__(self, does: Callable[[Event], list[Any]]) -> None:
        self.does, self.told, self.endpoints = does, list[Event](), EndpointTable()

    def handle(self, now: float, event: Event) -> list[Any]:
        self.told.append(event)
        return self.does(event)


def play(
    does: Callable[[Event], list[Any]], steps: Callable[[PolicyDriver, Scripted], Awaitable[None]]
) -> PolicyDriver:
    async def run() -> PolicyDriver:
        counters = Counters()
        group = EndpointGroup(counters, 250, 1000, 10)
        driver = PolicyDriver(
            Settings(gateway_index=0, gateway_count=1, classes=CLASSES, plans=PLANS), 1, group, counters
        )
        scripted = Scripted(does)
        driver.gateway = scripted  # type: ignore[assignment]
        await steps(driver, scripted)
        return driver

    return asyncio.run(run())


def ask(
    driver: PolicyDriver, ref: int = 1, patience: float = 5000, most: int = 10
) -> tuple[RequestContext, Told]:
    told = Told()
    request = RequestReceived(ref, "look", "wide", "c", patience)
    context = RequestContext(ref, request, CommandMessage([], {}), told, driver.now())
    admit(context, driver, most)
    return context, told


async def answered(told: Told) -> None:
    while not told.answers:
        await asyncio.sleep(0.001)


@pytest.mark.parametrize(("first", "status"), [("answer", "ok"), ("client", "cancelled")])
def test_disconnect_in_turn_of_reply_gives_one_outcome(
    monkeypatch: pytest.MonkeyPatch, first: str, status: str
) -> None:
    async def steps(driver: PolicyDriver, decisions: Scripted) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            member = Endpoint("s-1", listener.getsockname(), "", 0, "ready", 0.0)
            driver.group.apply_endpoint_list("complete", [member])
            context, told = ask(driver)
            with (await asyncio.to_thread(listener.accept))[0] as server:
                await asyncio.to_thread(server.recv, 65536)
                connection: Any = driver.attempts_in_flight[1, 0].connection
                reads = connection._take_reply

                def both() -> None:  # the bytes have come, and so has the client's end
                    if first == "client":
                        driver.client_disconnected(context)
                    reads()
                    driver.client_disconnected(context)

                monkeypatch.setattr(connection, "_take_reply", both)
                server.send(b"*1\r\n$1\r\nv\r\n")
                while driver.attempts_in_flight:
                    await asyncio.sleep(0)
            gone, ended = decisions.told[1:]
            assert gone == ClientDisconnected(1) and isinstance(ended, AttemptEnded)
            assert (ended.status, ended.request_completed) == (status, True)
            assert not (told.answers or driver.open_requests or driver.group.connections)
            assert not driver.counters.counts["exceptions"]

    def does(event: Event) -> list[Any]:
        match event:
            case RequestReceived(ref):
                return [StartAttempt(ref, Endpoint("s-1", ("", 0), "", 0, "ready", 0.0).number)]
            case ClientDisconnected(ref):
                return [CancelAttempt(ref, 0)]
        return []

    play(does, steps)


def test_disconnect_between_two_actions_leaves_no_attempt_in_flight() -> None:
    """Refusing one of its requests finds the connection closed, and the other is sent on by the next action:
    the decisions were never told how that try ended, and kept its slot at the till server for good.
    """

    async def steps(driver: PolicyDriver, decisions: Scripted) -> None:
        refused, _ = ask(driver, 1)
        refused.response_sink.reject = lambda retry_after_ms: driver.client_disconnected(sent)  # type: ignore[method-assign]
        sent, told = ask(driver, 2)
        driver.apply_event(TimerFired(0))
        gone, ended = decisions.told[-2:]
        assert gone == ClientDisconnected(2) and isinstance(ended, AttemptEnded)
        assert (ended.request_id, ended.attempt, ended.endpoint) == (2, 0, 7)
        assert ended.status == "unsent" and ended.request_completed
        assert not driver.open_requests and not driver.attempts_in_flight and not told.answers

    def does(event: Event) -> list[Any]:
        return [RejectRequest(1), StartAttempt(2, 7)] if isinstance(event, TimerFired) else []

    play(does, steps)


def test_request_that_policy_forgets_fails_before_deadline() -> None:
    async def steps(driver: PolicyDriver, decisions: Scripted) -> None:
        context, told = ask(driver, patience=RESPONSE_GUARD_MS + 10)
        await answered(told)
        assert told.answers == ["failed"] and decisions.told[-1] == ClientDisconnected(context.request_id)
        assert driver.counters.counts["guard_answers"] == 1 and not driver.open_requests

    play(lambda event: [], steps)


def test_exception_in_policy_fails_only_its_request() -> None:
    def does(event: Event) -> list[Any]:
        if isinstance(event, RequestReceived) and event.request_id == 1:
            raise RuntimeError("odd")
        return [RejectRequest(event.request_id, 20.0)] if isinstance(event, RequestReceived) else []

    async def steps(driver: PolicyDriver, decisions: Scripted) -> None:
        assert [ask(driver, ref)[1].answers for ref in (1, 2)] == [["failed"], ["rejected 20"]]

    assert play(does, steps).counters.counts["exceptions"] == 1


def test_rejections_are_counted_by_reason() -> None:
    async def steps(driver: PolicyDriver, decisions: Scripted) -> None:
        assert [ask(driver, ref)[1].answers for ref in (1, 2)] == [["rejected 5"], ["rejected 5"]]

    def does(event: Event) -> list[Any]:
        reasons = (RejectReason.OVER_QUOTA, RejectReason.QUEUE_TOO_LONG)
        return (
            [RejectRequest(event.request_id, 5.0, reasons[event.request_id - 1])]
            if isinstance(event, RequestReceived)
            else []
        )

    counts = play(does, steps).counters.counts
    assert counts["rejected_quota"] == counts["rejected_queue"] == 1 and counts["answers_rejected"] == 2


def test_exception_in_action_does_not_stop_later_actions() -> None:
    async def steps(driver: PolicyDriver, decisions: Scripted) -> None:
        driver.send_gossip = lambda peer, text: 1 / 0  # type: ignore[assignment]
        assert ask(driver)[1].answers == ["failed"]

    play(
        lambda event: [SendGossip(0, "x"), FailRequest(1)] if isinstance(event, RequestReceived) else [],
        steps,
    )


def test_only_first_response_is_sent() -> None:
    async def steps(driver: PolicyDriver, decisions: Scripted) -> None:
        context, told = ask(driver)
        respond.serve(context, memoryview(b"late"), driver.counters)
        driver.client_disconnected(context)
        assert told.answers == ["rejected 5"] and len(decisions.told) == 1

    play(lambda event: [RejectRequest(1, 5.0), FailRequest(1)], steps)


def test_requests_beyond_limit_are_rejected_without_policy() -> None:
    async def steps(driver: PolicyDriver, decisions: Scripted) -> None:
        assert [ask(driver, ref, most=1)[1].answers for ref in (1, 2)] == [[], ["rejected 1000"]]
        assert len(decisions.told) == 1

    play(lambda event: [], steps)


def test_each_attempt_ends_in_one_event_and_events_keep_order() -> None:
    def does(event: Event) -> list[Any]:
        if isinstance(event, RequestReceived):
            return [StartAttempt(event.request_id, endpoint=77)]  # a server nobody named
        first = isinstance(event, AttemptEnded) and event.attempt == 0
        return [StartAttempt(1, endpoint=78), FailRequest(1)] if first else []

    async def steps(driver: PolicyDriver, decisions: Scripted) -> None:
        _, told = ask(driver)
        while driver.attempts_in_flight or not told.answers:
            await asyncio.sleep(0)
        ends = [
            (e.status, e.attempt, e.endpoint, e.request_completed)
            for e in decisions.told
            if isinstance(e, AttemptEnded)
        ]
        assert ends == [("unsent", 0, 77, False), ("unsent", 1, 78, True)] and told.answers == ["failed"]

    play(does, steps)


def test_timer_fires_no_earlier_than_set() -> None:
    async def steps(driver: PolicyDriver, decisions: Scripted) -> None:
        context, _ = ask(driver)
        while not isinstance(decisions.told[-1], TimerFired):
            await asyncio.sleep(0.001)
        assert driver.now() >= context.received_at + 5 - 0.01 and decisions.told[-1] == TimerFired(3)
        driver.client_disconnected(context)

    play(lambda event: [SetTimer(event_time() + 5, 3)] if isinstance(event, RequestReceived) else [], steps)


def test_timer_that_loop_fires_early_is_set_again() -> None:
    # uvloop did: the decisions then saw a timer of the past, and answers came as late as the driver's guard.
    async def steps(driver: PolicyDriver, decisions: Scripted) -> None:
        real, early = driver.loop.call_later, 2

        def call_later(delay: float, *what: Any) -> asyncio.TimerHandle:
            nonlocal early
            early -= 1
            return real(0 if early >= 0 else delay, *what)

        monkeypatch = pytest.MonkeyPatch()
        monkeypatch.setattr(driver.loop, "call_later", call_later)
        at = driver.now() + 20
        driver._execute([SetTimer(at, 7)])
        while not decisions.told:
            await asyncio.sleep(0.001)
        monkeypatch.undo()
        assert decisions.told == [TimerFired(7)] and driver.now() >= at and early < 0

    play(lambda event: [], steps)


def event_time() -> float:
    return time.time() * 1000


def test_clock_is_unix_time() -> None:
    async def steps(driver: PolicyDriver, decisions: Scripted) -> None:
        assert driver.now() == pytest.approx(time.time() * 1000, abs=10_000)

    play(lambda event: [], steps)


def test_periodic_task_reports_lateness_of_loop() -> None:
    async def run() -> list[float]:
        late: list[float] = []
        work = PeriodicTask(lambda: time.sleep(0.1) if len(late) == 1 else None, 0.01, on_late=late.append)
        other = PeriodicTask(lambda: None, 0.02, on_late=late.append)
        work.start()
        other.start()
        while len(late) < 8:
            await asyncio.sleep(0.01)
        work.stop()
        other.stop()
        return late

    assert max(asyncio.run(run())) > 0.05
