"""Decisions of a quota-keeping gateway for a shared API."""

from .control import Gateway
from .interface import (
    Action,
    Begun,
    Cancel,
    ClientGone,
    Event,
    Fail,
    Members,
    Outcome,
    PeerMessage,
    Plan,
    Refuse,
    Request,
    RequestClass,
    Send,
    ServerEntry,
    SetTimer,
    Settings,
    Tell,
    Timer,
    Watch,
)

__all__ = [
    "Action", "Begun", "Cancel", "ClientGone", "Event", "Fail", "Gateway", "Members",
    "Outcome", "PeerMessage", "Plan", "Refuse", "Request", "RequestClass", "Send",
    "ServerEntry", "SetTimer", "Settings", "Tell", "Timer", "Watch",
]
