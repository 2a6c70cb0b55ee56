"""The driver: one response whatever breaks, events in order, and the clock that starts are given on."""

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


class RecordingSink:
    """A response sink that keeps the responses."""

    def __init__(self) -> None:
        self.answers: list[str] = []

    def serve(self, value: memoryview) -> None:
        self.answers.append(str(value, "ascii"))

    def reject(self, wait: float) -> None:
        self.answers.append(f"rejected {wait:.0f}")

    def fail(self) -> None:
        self.answers.append("failed")


class ScriptedPolicy:
    """A policy that does what a test prescribes, and keeps its events."""

    def __init__(self, does: Callable[[Event], list[Any]]) -> None:
        self.does, self.events, self.endpoints = does, list[Event](), EndpointTable()

    def handle(self, now: float, event: Event) -> list[Any]:
        self.events.append(event)
        return self.does(event)


def play(
    does: Callable[[Event], list[Any]], steps: Callable[[PolicyDriver, ScriptedPolicy], Awaitable[None]]
) -> PolicyDriver:
    async def run() -> PolicyDriver:
        counters = Counters()
        group = EndpointGroup(counters, 250, 1000, 10)
        driver = PolicyDriver(
            Settings(gateway_index=0, gateway_count=1, classes=CLASSES, plans=PLANS), 1, group, counters
        )
        scripted = ScriptedPolicy(does)
        driver.gateway = scripted  # type: ignore[assignment]
        await steps(driver, scripted)
        return driver

    return asyncio.run(run())


def ask(
    driver: PolicyDriver, ref: int = 1, timeout_ms: float = 5000, max_open_requests: int = 10
) -> tuple[RequestContext, RecordingSink]:
    sink = RecordingSink()
    request = RequestReceived(ref, "look", "wide", "c", timeout_ms)
    context = RequestContext(ref, request, CommandMessage([], {}), sink, driver.now())
    admit(context, driver, max_open_requests)
    return context, sink


async def answered(sink: RecordingSink) -> None:
    while not sink.answers:
        await asyncio.sleep(0.001)


@pytest.mark.parametrize(("first", "status"), [("answer", "ok"), ("client", "cancelled")])
def test_disconnect_in_turn_of_reply_gives_one_outcome(
    monkeypatch: pytest.MonkeyPatch, first: str, status: str
) -> None:
    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            member = Endpoint("s-1", listener.getsockname(), "", 0, "ready", 0.0)
            driver.group.apply_endpoint_list("complete", [member])
            context, sink = ask(driver)
            with (await asyncio.to_thread(listener.accept))[0] as server:
                await asyncio.to_thread(server.recv, 65536)
                connection: Any = driver.attempts_in_flight[1, 0].connection
                reads = connection._process_reply

                def both() -> None:  # the bytes have come, and so has the client's end
                    if first == "client":
                        driver.client_disconnected(context)
                    reads()
                    driver.client_disconnected(context)

                monkeypatch.setattr(connection, "_process_reply", both)
                server.send(b"*1\r\n$1\r\nv\r\n")
                while driver.attempts_in_flight:
                    await asyncio.sleep(0)
            gone, ended = policy.events[1:]
            assert gone == ClientDisconnected(1) and isinstance(ended, AttemptEnded)
            assert (ended.status, ended.request_completed) == (status, True)
            assert not (sink.answers or driver.open_requests or driver.group.connections)
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
    the policy never learned how that attempt ended, and kept its slot at the endpoint for good.
    """

    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        rejected, _ = ask(driver, 1)
        rejected.response_sink.reject = lambda retry_after_ms: driver.client_disconnected(sent)  # type: ignore[method-assign]
        sent, sink = ask(driver, 2)
        driver.apply_event(TimerFired(0))
        gone, ended = policy.events[-2:]
        assert gone == ClientDisconnected(2) and isinstance(ended, AttemptEnded)
        assert (ended.request_id, ended.attempt, ended.endpoint) == (2, 0, 7)
        assert ended.status == "unsent" and ended.request_completed
        assert not driver.open_requests and not driver.attempts_in_flight and not sink.answers

    def does(event: Event) -> list[Any]:
        return [RejectRequest(1), StartAttempt(2, 7)] if isinstance(event, TimerFired) else []

    play(does, steps)


def test_request_that_policy_forgets_fails_before_deadline() -> None:
    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        context, sink = ask(driver, timeout_ms=RESPONSE_GUARD_MS + 10)
        await answered(sink)
        assert sink.answers == ["failed"] and policy.events[-1] == ClientDisconnected(context.request_id)
        assert driver.counters.counts["guard_answers"] == 1 and not driver.open_requests

    play(lambda event: [], steps)


def test_exception_in_policy_fails_only_its_request() -> None:
    def does(event: Event) -> list[Any]:
        if isinstance(event, RequestReceived) and event.request_id == 1:
            raise RuntimeError("odd")
        return [RejectRequest(event.request_id, 20.0)] if isinstance(event, RequestReceived) else []

    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        assert [ask(driver, ref)[1].answers for ref in (1, 2)] == [["failed"], ["rejected 20"]]

    assert play(does, steps).counters.counts["exceptions"] == 1


def test_rejections_are_counted_by_reason() -> None:
    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
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
    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        driver.send_gossip = lambda peer, text: 1 / 0  # type: ignore[assignment]
        assert ask(driver)[1].answers == ["failed"]

    play(
        lambda event: [SendGossip(0, "x"), FailRequest(1)] if isinstance(event, RequestReceived) else [],
        steps,
    )


def test_only_first_response_is_sent() -> None:
    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        context, sink = ask(driver)
        respond.serve(context, memoryview(b"late"), driver.counters)
        driver.client_disconnected(context)
        assert sink.answers == ["rejected 5"] and len(policy.events) == 1

    play(lambda event: [RejectRequest(1, 5.0), FailRequest(1)], steps)


def test_requests_beyond_limit_are_rejected_without_policy() -> None:
    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        assert [ask(driver, ref, max_open_requests=1)[1].answers for ref in (1, 2)] == [[], ["rejected 1000"]]
        assert len(policy.events) == 1

    play(lambda event: [], steps)


def test_each_attempt_ends_in_one_event_and_events_keep_order() -> None:
    def does(event: Event) -> list[Any]:
        if isinstance(event, RequestReceived):
            return [StartAttempt(event.request_id, endpoint=77)]  # a server nobody named
        first = isinstance(event, AttemptEnded) and event.attempt == 0
        return [StartAttempt(1, endpoint=78), FailRequest(1)] if first else []

    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        _, sink = ask(driver)
        while driver.attempts_in_flight or not sink.answers:
            await asyncio.sleep(0)
        ends = [
            (e.status, e.attempt, e.endpoint, e.request_completed)
            for e in policy.events
            if isinstance(e, AttemptEnded)
        ]
        assert ends == [("unsent", 0, 77, False), ("unsent", 1, 78, True)] and sink.answers == ["failed"]

    play(does, steps)


def test_timer_fires_no_earlier_than_set() -> None:
    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        context, _ = ask(driver)
        while not isinstance(policy.events[-1], TimerFired):
            await asyncio.sleep(0.001)
        assert driver.now() >= context.received_at + 5 - 0.01 and policy.events[-1] == TimerFired(3)
        driver.client_disconnected(context)

    play(lambda event: [SetTimer(event_time() + 5, 3)] if isinstance(event, RequestReceived) else [], steps)


def test_timer_that_loop_fires_early_is_set_again() -> None:
    # uvloop did: the policy then saw a timer of the past, and answers came as late as the driver's guard.
    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        real, early = driver.loop.call_later, 2

        def call_later(delay: float, *what: Any) -> asyncio.TimerHandle:
            nonlocal early
            early -= 1
            return real(0 if early >= 0 else delay, *what)

        monkeypatch = pytest.MonkeyPatch()
        monkeypatch.setattr(driver.loop, "call_later", call_later)
        at = driver.now() + 20
        driver._execute([SetTimer(at, 7)])
        while not policy.events:
            await asyncio.sleep(0.001)
        monkeypatch.undo()
        assert policy.events == [TimerFired(7)] and driver.now() >= at and early < 0

    play(lambda event: [], steps)


def event_time() -> float:
    return time.time() * 1000


def test_clock_is_unix_time() -> None:
    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
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
