"""Adapter for the brook-b330 wire: translates, keeps instances apart, decides nothing."""

from __future__ import annotations

import json
import sys
from typing import Any, TextIO, cast

from .platform_terms import LISTS, STATES, STATUSES, settings_of
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
    WatchEndpoints,
)
from .policy.gateway import Gateway


class WireError(Exception):
    """A line that the wire does not allow."""


def entry_of(row: list[Any]) -> EndpointInfo:
    server, zone, _kind, cell, mode, _size, started = row[:7]
    return EndpointInfo(
        endpoint=int(server),
        zone=zone or "",
        cell=cell or 0,
        state=cast(EndpointState, STATES[mode]),
        started=started or 0.0,
    )


def status_of(word: str) -> AttemptStatus:
    return cast(AttemptStatus, STATUSES[word])


def line_of(node: int, action: Action) -> list[Any]:
    """The wire's words for an action."""
    match action:
        case StartAttempt(ref, server, timeout):
            return ["SubmitTo", node, ref, timeout, server]
        case RejectRequest(ref, wait):
            return ["Shed", node, ref, wait]
        case FailRequest(ref):
            return ["RespondError", node, ref]
        case CancelAttempt(ref, attempt):
            return ["Withdraw", node, ref, attempt]
        case SetTimer(at, token):
            return ["SetAlarm", node, at, token]
        case SendGossip(peer, data):
            return ["Say", node, peer, data]
        case WatchEndpoints():
            return ["StreamChanges", node, True]


class Host:
    """One gateway for each instance number, and the process-wide catalogs."""

    def __init__(self, out: TextIO) -> None:
        self.out = out
        self.now = 0.0
        self.gateways: dict[int, Gateway] = {}
        self.banks: dict[int, tuple[EndpointInfo, ...]] = {}
        self.reply: list[list[Any]] = []

    def line(self, message: list[Any]) -> None:
        name, values = message[0], message[1:]
        if name == "BeginBatch":
            self.now = float(values[0])
        elif name == "Go":
            lines = [json.dumps(one, separators=(",", ":")) for one in self.reply]
            self.out.write("\n".join([*lines, '["Ready"]', ""]))
            self.out.flush()
            self.reply = []
        elif name == "Catalog":
            self.banks[values[0]] = tuple(entry_of(row) for row in values[1])
        elif name == "Init":
            node, seed, env = values[:3]
            settings = settings_of(env)
            self.act(node, lambda: self.start(node, settings, int(seed)))
        elif name == "Destroy":
            self.gateways.pop(values[0], None)
        else:
            event = self.event_of(name, values[1:])
            if event is not None and (gateway := self.gateways.get(values[0])) is not None:
                self.act(values[0], lambda: gateway.handle(self.now, event))

    def start(self, node: int, settings: Settings, seed: int) -> list[Action]:
        self.gateways[node] = Gateway(settings, seed, self.now)
        return self.gateways[node].start()

    def act(self, node: int, decide: Any) -> None:
        try:
            self.reply.extend(line_of(node, action) for action in decide())
        except Exception as error:
            self.reply.append(["Broken", node, f"{type(error).__name__}: {error}"])

    def event_of(self, name: str, v: list[Any]) -> Event | None:
        match name:
            case "Topology":
                kind = cast(UpdateKind, LISTS[v[0]])
                return EndpointUpdate(kind, () if kind == "error" else self.banks[v[2]])
            case "Ingress":
                return RequestReceived(
                    request_id=v[0],
                    request_class=v[1],
                    plan=v[2],
                    customer=v[3],
                    remaining_time=v[4],
                    units=v[5] or 1.0,
                    gateway_set_size=int(v[6] or 1),
                    gateway_set_offset=int(v[7] or 0),
                    is_retry=bool(v[8]),
                )
            case "Begun":
                return ResponseStarted(v[0], v[1], v[2])
            case "Finished":
                return AttemptEnded(
                    request_id=v[0],
                    status=status_of(v[1]),
                    request_completed=bool(v[2]),
                    attempt=v[4],
                    cost=v[5] or 0.0,
                    latency=v[6] or 0.0,
                    endpoint=v[7],
                )
            case "ClientGone":
                return ClientDisconnected(v[0])
            case "Fired":
                return TimerFired(v[0])
            case "Memo":
                return GossipReceived(v[0], v[1])
            case "StatusBack" | "Tallied":
                return None  # answers to what is never asked
        raise WireError(f"unknown event {name!r}")


def main(source: TextIO | None = None, out: TextIO | None = None) -> int:
    """Run until the end of input; 2 and a message on standard error for a line that is malformed."""
    host = Host(out or sys.stdout)
    for number, text in enumerate(source or sys.stdin, 1):
        if not text.strip():
            continue
        try:
            message = json.loads(text)
            if not isinstance(message, list) or not message or not isinstance(message[0], str):
                raise WireError("a message is an array that begins with its name")
            host.line(message)
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
