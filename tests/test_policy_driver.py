"""The driver: exactly one response despite failures, ordered events, timers and the clock."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
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
from mapleshunt.net import policy_driver
from mapleshunt.net.counters import Counters
from mapleshunt.net.messages import AttemptResult
from mapleshunt.net.periodic import PeriodicTask
from mapleshunt.net.policy_driver import RESPONSE_MARGIN_MS, PolicyDriver
from mapleshunt.net.protocol.command_protocol import CommandMessage
from mapleshunt.net.reasons import AttemptStatus
from mapleshunt.net.request import respond
from mapleshunt.net.request.admit import admit
from mapleshunt.net.request.context import RequestContext
from mapleshunt.net.upstream.endpoint import Endpoint
from mapleshunt.net.upstream.endpoint_group import EndpointGroup
from mapleshunt.policy.endpoints import EndpointTable
from mapleshunt.policy.settings import Effect

from .conftest import CLASSES, PLANS


class RecordingSink:
    """A response sink that records the responses."""

    def __init__(self) -> None:
        self.responses: list[str] = []

    def serve(self, value: memoryview) -> None:
        self.responses.append(str(value, "ascii"))

    def reject(self, retry_after_ms: float) -> None:
        self.responses.append(f"rejected {retry_after_ms:.0f}")

    def fail(self) -> None:
        self.responses.append("failed")


class ScriptedPolicy:
    """A policy whose actions a test prescribes; it records its events."""

    def __init__(self, decide: Callable[[Event], list[Any]]) -> None:
        self.decide, self.events, self.endpoints = decide, list[Event](), EndpointTable()

    def handle(self, now: float, event: Event) -> list[Any]:
        self.events.append(event)
        return self.decide(event)


def run_steps(
    decide: Callable[[Event], list[Any]], steps: Callable[[PolicyDriver, ScriptedPolicy], Awaitable[None]]
) -> PolicyDriver:
    async def run() -> PolicyDriver:
        counters = Counters()
        group = EndpointGroup(counters, 250, 1000, 10)
        driver = PolicyDriver(
            Settings(gateway_index=0, gateway_count=1, classes=CLASSES, plans=PLANS), 1, group, counters
        )
        scripted = ScriptedPolicy(decide)
        driver.gateway = scripted  # type: ignore[assignment]
        await steps(driver, scripted)
        return driver

    return asyncio.run(run())


def submit_request(
    driver: PolicyDriver, request_id: int = 1, timeout_ms: float = 5000, max_open_requests: int = 10
) -> tuple[RequestContext, RecordingSink]:
    sink = RecordingSink()
    request = RequestReceived(request_id, "look", "wide", "c", timeout_ms)
    context = RequestContext(request_id, request, CommandMessage([], {}), sink, driver.now())
    admit(context, driver, max_open_requests)
    return context, sink


async def wait_for_response(sink: RecordingSink) -> None:
    while not sink.responses:
        await asyncio.sleep(0.001)


@pytest.mark.parametrize(("first_event", "status"), [("reply", "ok"), ("client", "cancelled")])
def test_disconnect_in_turn_of_reply_gives_one_outcome(
    monkeypatch: pytest.MonkeyPatch, first_event: str, status: str
) -> None:
    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            endpoint = Endpoint("s-1", listener.getsockname(), "", 0, "ready", 0.0)
            driver.group.apply_endpoint_list("complete", [endpoint])
            context, sink = submit_request(driver)
            with (await asyncio.to_thread(listener.accept))[0] as endpoint_socket:
                await asyncio.to_thread(endpoint_socket.recv, 65536)
                connection: Any = driver.attempts_in_flight[1, 0].connection
                process_reply = connection._process_reply

                def reply_and_disconnect() -> None:  # the reply and the disconnect arrive together
                    if first_event == "client":
                        driver.client_disconnected(context)
                    process_reply()
                    driver.client_disconnected(context)

                monkeypatch.setattr(connection, "_process_reply", reply_and_disconnect)
                endpoint_socket.send(b"*1\r\n$1\r\nv\r\n")
                while driver.attempts_in_flight:
                    await asyncio.sleep(0)
            disconnected, ended = policy.events[1:]
            assert disconnected == ClientDisconnected(1) and isinstance(ended, AttemptEnded)
            assert (ended.status, ended.request_completed) == (status, True)
            assert not (sink.responses or driver.open_requests or driver.group.connections)
            assert not driver.counters.counts["exceptions"]

    def decide(event: Event) -> list[Any]:
        match event:
            case RequestReceived(request_id):
                return [StartAttempt(request_id, Endpoint("s-1", ("", 0), "", 0, "ready", 0.0).number)]
            case ClientDisconnected(request_id):
                return [CancelAttempt(request_id, 0)]
        return []

    run_steps(decide, steps)


def test_disconnect_between_two_actions_leaves_no_attempt_in_flight() -> None:
    """Rejecting a request finds its connection closed; the next action sends another request of that client.

    The policy got no result of that attempt, and its slot at the endpoint stayed in use for ever.
    """

    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        rejected, _ = submit_request(driver, 1)
        rejected.response_sink.reject = lambda retry_after_ms: driver.client_disconnected(forwarded)  # type: ignore[method-assign]
        forwarded, sink = submit_request(driver, 2)
        driver.apply_event(TimerFired(0))
        disconnected, ended = policy.events[-2:]
        assert disconnected == ClientDisconnected(2) and isinstance(ended, AttemptEnded)
        assert (ended.request_id, ended.attempt, ended.endpoint) == (2, 0, 7)
        assert ended.status == "unsent" and ended.request_completed
        assert not driver.open_requests and not driver.attempts_in_flight and not sink.responses

    def decide(event: Event) -> list[Any]:
        return [RejectRequest(1), StartAttempt(2, 7)] if isinstance(event, TimerFired) else []

    run_steps(decide, steps)


def test_request_that_policy_forgets_fails_before_deadline() -> None:
    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        context, sink = submit_request(driver, timeout_ms=RESPONSE_MARGIN_MS + 10)
        await wait_for_response(sink)
        assert sink.responses == ["failed"] and policy.events[-1] == ClientDisconnected(context.request_id)
        assert driver.counters.counts["guard_answers"] == 1 and not driver.open_requests

    run_steps(lambda event: [], steps)


def test_exception_in_policy_fails_only_its_request() -> None:
    def decide(event: Event) -> list[Any]:
        if isinstance(event, RequestReceived) and event.request_id == 1:
            raise RuntimeError("policy failure")
        return [RejectRequest(event.request_id, 20.0)] if isinstance(event, RequestReceived) else []

    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        assert [submit_request(driver, request_id)[1].responses for request_id in (1, 2)] == [
            ["failed"],
            ["rejected 20"],
        ]

    assert run_steps(decide, steps).counters.counts["exceptions"] == 1


def test_rejections_are_counted_by_reason() -> None:
    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        assert [submit_request(driver, request_id)[1].responses for request_id in (1, 2)] == [
            ["rejected 5"],
            ["rejected 5"],
        ]

    def decide(event: Event) -> list[Any]:
        reasons = (RejectReason.OVER_QUOTA, RejectReason.QUEUE_TOO_LONG)
        return (
            [RejectRequest(event.request_id, 5.0, reasons[event.request_id - 1])]
            if isinstance(event, RequestReceived)
            else []
        )

    counts = run_steps(decide, steps).counters.counts
    assert counts["rejected_quota"] == counts["rejected_queue"] == 1 and counts["answers_rejected"] == 2


def test_exception_in_action_does_not_stop_later_actions() -> None:
    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        driver.send_gossip = lambda peer, text: 1 / 0  # type: ignore[assignment]
        assert submit_request(driver)[1].responses == ["failed"]

    run_steps(
        lambda event: [SendGossip(0, "x"), FailRequest(1)] if isinstance(event, RequestReceived) else [],
        steps,
    )


def test_only_first_response_is_sent() -> None:
    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        context, sink = submit_request(driver)
        respond.serve(context, memoryview(b"late"), driver.counters)
        driver.client_disconnected(context)
        assert sink.responses == ["rejected 5"] and len(policy.events) == 1

    run_steps(lambda event: [RejectRequest(1, 5.0), FailRequest(1)], steps)


def test_requests_beyond_limit_are_rejected_without_policy() -> None:
    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        assert [
            submit_request(driver, request_id, max_open_requests=1)[1].responses for request_id in (1, 2)
        ] == [[], ["rejected 1000"]]
        assert len(policy.events) == 1

    run_steps(lambda event: [], steps)


def test_each_attempt_ends_in_one_event_and_events_keep_order() -> None:
    def decide(event: Event) -> list[Any]:
        if isinstance(event, RequestReceived):
            return [StartAttempt(event.request_id, endpoint=77)]  # an endpoint that is not in any list
        is_first_attempt = isinstance(event, AttemptEnded) and event.attempt == 0
        return [StartAttempt(1, endpoint=78), FailRequest(1)] if is_first_attempt else []

    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        _, sink = submit_request(driver)
        while driver.attempts_in_flight or not sink.responses:
            await asyncio.sleep(0)
        ended = [
            (recorded.status, recorded.attempt, recorded.endpoint, recorded.request_completed)
            for recorded in policy.events
            if isinstance(recorded, AttemptEnded)
        ]
        assert ended == [("unsent", 0, 77, False), ("unsent", 1, 78, True)] and sink.responses == ["failed"]

    run_steps(decide, steps)


def test_timer_fires_no_earlier_than_set() -> None:
    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        context, _ = submit_request(driver)
        while not isinstance(policy.events[-1], TimerFired):
            await asyncio.sleep(0.001)
        assert driver.now() >= context.received_at + 5 - 0.01 and policy.events[-1] == TimerFired(3)
        driver.client_disconnected(context)

    run_steps(
        lambda event: [SetTimer(unix_time_ms() + 5, 3)] if isinstance(event, RequestReceived) else [], steps
    )


def test_timer_that_loop_fires_early_is_set_again() -> None:
    # uvloop fires timers early: the policy ignored them as stale, and responses came only from the driver's
    # deadline timer.
    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        real_call_later, early_calls_left = driver.loop.call_later, 2

        def call_later(delay: float, *arguments: Any) -> asyncio.TimerHandle:
            nonlocal early_calls_left
            early_calls_left -= 1
            return real_call_later(0 if early_calls_left >= 0 else delay, *arguments)

        monkeypatch = pytest.MonkeyPatch()
        monkeypatch.setattr(driver.loop, "call_later", call_later)
        due_at = driver.now() + 20
        driver._execute([SetTimer(due_at, 7)])
        while not policy.events:
            await asyncio.sleep(0.001)
        monkeypatch.undo()
        assert policy.events == [TimerFired(7)] and driver.now() >= due_at and early_calls_left < 0

    run_steps(lambda event: [], steps)


def unix_time_ms() -> float:
    return time.time() * 1000


def test_clock_is_unix_time() -> None:
    async def steps(driver: PolicyDriver, policy: ScriptedPolicy) -> None:
        assert driver.now() == pytest.approx(time.time() * 1000, abs=10_000)

    run_steps(lambda event: [], steps)


def test_periodic_task_reports_lateness_of_loop() -> None:
    async def run() -> list[float]:
        delays: list[float] = []
        task = PeriodicTask(
            lambda: time.sleep(0.1) if len(delays) == 1 else None, 0.01, on_late=delays.append
        )
        other_task = PeriodicTask(lambda: None, 0.02, on_late=delays.append)
        task.start()
        other_task.start()
        while len(delays) < 8:
            await asyncio.sleep(0.01)
        task.stop()
        other_task.stop()
        return delays

    assert max(asyncio.run(run())) > 0.05


@pytest.mark.parametrize("effect", ["safe", "unsafe"])
def test_attempt_of_an_unsafe_class_is_dispatched_as_at_most_once(
    monkeypatch: pytest.MonkeyPatch, effect: Effect
) -> None:
    async def record_dispatch(*arguments: Any) -> AttemptResult:
        assert arguments[-1] is (effect == "unsafe")
        return AttemptResult(AttemptStatus.UNSENT)

    async def steps(driver: PolicyDriver, _policy: ScriptedPolicy) -> None:
        submit_request(driver)
        while driver.attempts_in_flight:
            await asyncio.sleep(0)

    def decide(event: Event) -> list[Any]:
        return [StartAttempt(event.request_id, 1)] if isinstance(event, RequestReceived) else []

    monkeypatch.setattr(policy_driver, "dispatch", record_dispatch)
    monkeypatch.setitem(CLASSES, "look", replace(CLASSES["look"], effect=effect))
    driver = run_steps(decide, steps)
    assert driver.counters.counts["tries_unsent"] == 1 and not driver.counters.counts["exceptions"]
