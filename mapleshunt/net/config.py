"""The configuration that `$PROXY_CONFIG` names."""

from __future__ import annotations

import json
import os
import random
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ..platform_terms import settings_of
from ..policy import Settings
from ..transient_errors import is_transient

Address = tuple[str, int]
SEED_BITS = 64


class ConfigError(Exception):
    """A configuration the gateway cannot start with; its text is for the operator."""


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen_address: Address
    discovery_address: Address
    seed: int  # of this gateway's random numbers alone
    max_descriptors: int
    memory_bytes: int  # bytes
    accept_fd: int | None  # a socket that listens for clients, inherited
    admin_address: Address | None  # the operators' door
    gossip_address: Address | None
    gossip_peers: tuple[Address, ...]
    gossip_broadcast_address: Address | None
    counter_address: Address | None
    initial_endpoints: Mapping[str, Any] | None
    settings: Settings
    dial_timeout_ms: float  # ms
    idle_timeout_ms: float  # ms
    max_open_requests: int  # requests held at once


def parse_address(text: object, what: str) -> Address:
    host, _, port = str(text).rpartition(":")
    if not host or not (port.isascii() and port.isdigit() and 0 <= int(port) < 65536):
        raise ConfigError(f"{what} must be HOST:PORT, not {text!r}")
    return host.strip("[]"), int(port)


def format_address(where: Address | None) -> str:
    return f"{where[0]}:{where[1]}" if where else "none"


def address_family(where: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in where[0] else socket.AF_INET


def _seed(value: object, name: str) -> int:
    """A seed of this gateway's own. The one in the file may be shared by several gateways, or be missing;
    from one seed they would draw the same election timeouts, pauses and servers, all in step.
    """
    try:
        shared = int(str(value), 16)
    except ValueError:
        raise ConfigError(f"seed must be hex digits, not {value!r}") from None
    return random.Random(f"{shared:x}/{name}").getrandbits(SEED_BITS)


class ConfigUnreadableError(ConfigError):
    """The file cannot be read now, and may be in a moment."""


def _descriptor(text: str | None) -> int | None:
    if text and not (text.isascii() and text.isdigit() and len(text) < 7):
        raise ConfigError(f"PROXY_ACCEPT_FD must be a descriptor's number, not {text!r}")
    return int(text) if text else None


def parse(text: str, env: Mapping[str, str]) -> Config:
    """The configuration, with the variables that name one of its values taking its place."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise ConfigError(f"the configuration is not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError("the configuration must be a JSON object")
    try:
        settings = settings_of(raw["settings"])
        limits = raw["settings"]["PolicyLimits"]
        peers = tuple(parse_address(peer, "peers") for peer in raw.get("peers") or ())
        if settings.gossip_enabled and len(peers) != settings.gateway_count:
            raise ConfigError(f"peers must name {settings.gateway_count} gateways, not {len(peers)}")
        allowed = raw.get("limits") or {}
        door = env.get("PROXY_MANAGEMENT") or raw.get("management")
        together = settings.gossip_enabled and settings.gateway_count > 1
        name = env.get("PROXY_NAME") or str(raw["name"])
        return Config(
            name=name,
            listen_address=parse_address(env.get("PROXY_LISTEN") or raw["listen"], "listen"),
            discovery_address=parse_address(env.get("PROXY_DISCOVERY") or raw["discovery"], "discovery"),
            seed=_seed(raw.get("seed") or "0", name),
            max_descriptors=int(allowed.get("sockets") or 1024),
            memory_bytes=int(float(allowed.get("memory_mb") or 192) * (1 << 20)),
            accept_fd=_descriptor(env.get("PROXY_ACCEPT_FD")),
            admin_address=parse_address(door, "management") if door else None,
            gossip_address=parse_address(raw["peer_listen"], "peer_listen") if together else None,
            gossip_peers=peers,
            gossip_broadcast_address=parse_address(raw["peers_all"], "peers_all") if together else None,
            counter_address=parse_address(raw["counter"], "counter") if raw.get("counter") else None,
            initial_endpoints=raw.get("known"),
            settings=settings,
            dial_timeout_ms=float(limits.get("DialTimeout") or 250.0),
            idle_timeout_ms=float(limits.get("ConnIdle") or 30000.0),
            max_open_requests=int(limits.get("MaxOpen") or 10000),
        )
    except KeyError as error:
        raise ConfigError(f"the configuration lacks {error}, or does not know it") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"the configuration makes no sense: {error}") from None


def load(env: Mapping[str, str] = os.environ) -> Config:
    """Read the file that the environment names. Raises `ConfigError`; `ConfigUnreadable` where it may be read
    in a moment.
    """
    path = env.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG must name the configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        passes = isinstance(error, OSError) and is_transient(error)
        kind = ConfigUnreadableError if passes else ConfigError
        raise kind(f"the configuration cannot be read: {error}") from None
    return parse(text, env)


def reload(env: Mapping[str, str] = os.environ) -> Config:
    """The file as it is now. The environment dates from the start: its addresses may have been given up."""
    return load({"PROXY_CONFIG": env.get("PROXY_CONFIG", "")})
