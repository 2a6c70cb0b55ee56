"""Adapter for the simulator's wire protocol: translates events and actions of each gateway, decides nothing.

A line is a JSON array that begins with its message's name. Exit status 2 for a malformed line.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO, cast

from .platform_terms import ATTEMPT_STATUSES, ENDPOINT_STATES, UPDATE_KINDS, settings_from_init
from .policy import (
    Action,
    AttemptEnded,
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    EndpointInfo,
    EndpointState,
    EndpointUpdate,
    Event,
    FailRequest,
    Gateway,
    GossipReceived,
    RejectRequest,
    RequestReceived,
    ResponseStarted,
    SendGossip,
    SetTimer,
    Settings,
    StartAttempt,
    TimerFired,
    UpdateKind,
)

# Answers to calls that the policy never makes.
IGNORED_EVENTS = frozenset({"StatusBack", "Tallied"})


class WireError(Exception):
    """A line that the wire protocol does not allow."""


def endpoint_from_row(row: list[Any]) -> EndpointInfo:  # Any: a row of JSON
    """Return the endpoint that a row of a catalog describes."""
    number, zone, _kind, cell, state, _size, started = row[:7]
    return EndpointInfo(
        endpoint=int(number),
        zone=zone or "",
        cell=cell or 0,
        state=cast(EndpointState, ENDPOINT_STATES[state]),
        started=started or 0.0,
    )


def line_for_action(node: int, action: Action) -> list[Any]:  # Any: a line of JSON
    """Return the line for an action of a gateway."""
    match action:
        case StartAttempt(request_id, endpoint, timeout):
            line = ["SubmitTo", node, request_id, timeout, endpoint]
        case RejectRequest(request_id, retry_after):
            line = ["Shed", node, request_id, retry_after]
        case FailRequest(request_id):
            line = ["RespondError", node, request_id]
        case CancelAttempt(request_id, attempt):
            line = ["Withdraw", node, request_id, attempt]
        case SetTimer(at, token):
            line = ["SetAlarm", node, at, token]
        case SendGossip(peer, data):
            line = ["Say", node, peer, data]
        case _:  # WatchEndpoints
            line = ["StreamChanges", node, True]
    return line


def _request_received(values: list[Any]) -> RequestReceived:  # Any: values of JSON
    return RequestReceived(
        request_id=values[0],
        request_class=values[1],
        plan=values[2],
        customer=values[3],
        remaining_time=values[4],
        units=values[5] or 1.0,
        gateway_set_size=int(values[6] or 1),
        gateway_set_offset=int(values[7] or 0),
        is_retry=bool(values[8]),
    )


def _attempt_ended(values: list[Any]) -> AttemptEnded:  # Any: values of JSON
    return AttemptEnded(
        request_id=values[0],
        status=cast(AttemptStatus, ATTEMPT_STATUSES[values[1]]),
        request_completed=bool(values[2]),
        attempt=values[4],
        cost=values[5] or 0.0,
        latency=values[6] or 0.0,
        endpoint=values[7],
    )


# Events by their names on the wire, without `Topology`, which needs a catalog; Any: values of JSON.
EVENTS: dict[str, Callable[[list[Any]], Event]] = {
    "Ingress": _request_received,
    "Begun": lambda values: ResponseStarted(values[0], values[1], values[2]),
    "Finished": _attempt_ended,
    "ClientGone": lambda values: ClientDisconnected(values[0]),
    "Fired": lambda values: TimerFired(values[0]),
    "Memo": lambda values: GossipReceived(values[0], values[1]),
}


class Host:
    """One gateway per node, and the catalogs of endpoints that all of them share."""

    def __init__(self, out: TextIO) -> None:
        self._out = out
        self._now = 0.0
        self._gateways: dict[int, Gateway] = {}
        self._catalogs: dict[int, tuple[EndpointInfo, ...]] = {}
        self._reply: list[list[Any]] = []  # Any: lines of JSON

    def handle(self, message: list[Any]) -> None:  # Any: a line of JSON
        """Handle a message.

        Raises:
            WireError: Its name is unknown.
        """
        name, values = message[0], message[1:]
        match name:
            case "BeginBatch":
                self._now = float(values[0])
            case "Go":
                self._flush()
            case "Catalog":
                self._catalogs[values[0]] = tuple(endpoint_from_row(row) for row in values[1])
            case "Init":
                node, seed, environment = values[:3]
                settings = settings_from_init(environment)
                self._reply_with(node, lambda: self._start(node, settings, int(seed)))
            case "Destroy":
                self._gateways.pop(values[0], None)
            case _:
                self._handle_event(name, values[0], values[1:])

    def _flush(self) -> None:
        lines = [json.dumps(line, separators=(",", ":")) for line in self._reply]
        self._out.write("\n".join([*lines, '["Ready"]', ""]))
        self._out.flush()
        self._reply = []

    def _start(self, node: int, settings: Settings, seed: int) -> list[Action]:
        self._gateways[node] = Gateway(settings, seed, self._now)
        return self._gateways[node].start()

    def _handle_event(self, name: str, node: int, values: list[Any]) -> None:  # Any: values of JSON
        event = self._parse_event(name, values)
        gateway = self._gateways.get(node)
        if event is not None and gateway is not None:
            self._reply_with(node, lambda: gateway.handle(self._now, event))

    def _parse_event(self, name: str, values: list[Any]) -> Event | None:  # Any: values of JSON
        if name == "Topology":
            kind = cast(UpdateKind, UPDATE_KINDS[values[0]])
            return EndpointUpdate(kind, () if kind == "error" else self._catalogs[values[2]])
        if name in IGNORED_EVENTS:
            return None
        if name not in EVENTS:
            raise WireError(f"unknown event {name!r}")
        return EVENTS[name](values)

    def _reply_with(self, node: int, decide: Callable[[], list[Action]]) -> None:
        """Reply with the actions that `decide` returns or the exception that it raises."""
        try:
            self._reply.extend(line_for_action(node, action) for action in decide())
        except Exception as error:
            self._reply.append(["Broken", node, f"{type(error).__name__}: {error}"])


def _parse_message(text: str) -> list[Any]:  # Any: a line of JSON
    message = json.loads(text)
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        raise WireError("expected a JSON array that begins with the name of the message")
    return message


def main(source: TextIO | None = None, out: TextIO | None = None) -> int:
    """Handle messages until the end of the input, and return the exit status.

    Returns:
        0, or 2 with a message on standard error if a line is malformed.
    """
    host = Host(out or sys.stdout)
    for number, text in enumerate(source or sys.stdin, 1):
        if not text.strip():
            continue
        try:
            host.handle(_parse_message(text))
        except json.JSONDecodeError as error:
            print(f"line {number}: not JSON: {error}", file=sys.stderr)
            return 2
        except KeyError as error:
            print(f"line {number}: missing or unknown value {error}", file=sys.stderr)
            return 2
        except (WireError, ValueError, TypeError, IndexError, AttributeError) as error:
            print(f"line {number}: {error}", file=sys.stderr)
            return 2
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
