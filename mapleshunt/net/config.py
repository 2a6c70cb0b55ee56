"""The configuration that `$PROXY_CONFIG` names: its keys, translated to the names of this code."""

from __future__ import annotations

import json
import os
import random
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ..platform_terms import settings_from_init
from ..policy import Settings
from ..transient_errors import is_transient

Address = tuple[str, int]
SEED_BITS = 64
MAX_PORT = 65535
MAX_DESCRIPTOR_DIGITS = 6
DEFAULT_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 192
DEFAULT_DIAL_TIMEOUT_MS = 250.0
DEFAULT_IDLE_TIMEOUT_MS = 30000.0
DEFAULT_OPEN_REQUESTS = 10000


class ConfigError(Exception):
    """The configuration cannot be used; the message is for the operator."""


class ConfigUnreadableError(ConfigError):
    """The file cannot be read now; a later attempt may succeed."""


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of one gateway process."""

    name: str
    listen_address: Address
    discovery_address: Address
    seed: int  # for the random numbers of this gateway alone
    max_descriptors: int
    memory_bytes: int
    accept_fd: int | None  # an inherited socket that listens for clients
    admin_address: Address | None
    gossip_address: Address | None
    gossip_peers: tuple[Address, ...]
    gossip_broadcast_address: Address | None
    counter_address: Address | None
    initial_endpoints: Mapping[str, Any] | None  # in discovery's format, checked where it is applied
    settings: Settings
    dial_timeout_ms: float
    idle_timeout_ms: float
    max_open_requests: int


def parse_address(text: object, key: str) -> Address:
    """Parse HOST:PORT, where the host may be in brackets.

    Raises:
        ConfigError: the text is not of that form; the message names the key.
    """
    host, _, port = str(text).rpartition(":")
    if not host or not (port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        raise ConfigError(f"{key} must be HOST:PORT, not {text!r}")
    return host.strip("[]"), int(port)


def format_address(address: Address | None) -> str:
    """Return HOST:PORT, or "none"."""
    return f"{address[0]}:{address[1]}" if address else "none"


def address_family(address: Address) -> socket.AddressFamily:
    """Return the socket family for an address whose host is numeric."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def parse(text: str, env: Mapping[str, str]) -> Config:
    """Parse the configuration; the `PROXY_...` variables in `env` override some of its values.

    Raises:
        ConfigError: it is malformed; the message says what is wrong with which key.
    """
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise ConfigError(f"the configuration is not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"the configuration must be a JSON object, not {type(raw).__name__}")
    try:
        return _config(raw, env)
    except KeyError as error:
        raise ConfigError(f"the configuration lacks {error}, or has it as an unknown value") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"the configuration has a value of the wrong type or form: {error}") from None


def _config(raw: Mapping[str, Any], env: Mapping[str, str]) -> Config:
    """Translate the file's keys; `raw` is any JSON object, and each value is checked as it is read."""
    settings = settings_from_init(raw["settings"])
    policy_limits = raw["settings"]["PolicyLimits"]
    gossip_peers = _gossip_peers(raw, settings)
    limits = raw.get("limits") or {}
    admin = env.get("PROXY_MANAGEMENT") or raw.get("management")
    has_peers = settings.gossip_enabled and settings.gateway_count > 1
    name = env.get("PROXY_NAME") or str(raw["name"])
    return Config(
        name=name,
        listen_address=parse_address(env.get("PROXY_LISTEN") or raw["listen"], "listen"),
        discovery_address=parse_address(env.get("PROXY_DISCOVERY") or raw["discovery"], "discovery"),
        seed=_seed(raw.get("seed") or "0", name),
        max_descriptors=int(limits.get("sockets") or DEFAULT_DESCRIPTORS),
        memory_bytes=int(float(limits.get("memory_mb") or DEFAULT_MEMORY_MB) * (1 << 20)),
        accept_fd=_descriptor(env.get("PROXY_ACCEPT_FD")),
        admin_address=parse_address(admin, "management") if admin else None,
        gossip_address=parse_address(raw["peer_listen"], "peer_listen") if has_peers else None,
        gossip_peers=gossip_peers,
        gossip_broadcast_address=parse_address(raw["peers_all"], "peers_all") if has_peers else None,
        counter_address=parse_address(raw["counter"], "counter") if raw.get("counter") else None,
        initial_endpoints=raw.get("known"),
        settings=settings,
        dial_timeout_ms=float(policy_limits.get("DialTimeout") or DEFAULT_DIAL_TIMEOUT_MS),
        idle_timeout_ms=float(policy_limits.get("ConnIdle") or DEFAULT_IDLE_TIMEOUT_MS),
        max_open_requests=int(policy_limits.get("MaxOpen") or DEFAULT_OPEN_REQUESTS),
    )


def _gossip_peers(raw: Mapping[str, Any], settings: Settings) -> tuple[Address, ...]:
    peers = tuple(parse_address(peer, "peers") for peer in raw.get("peers") or ())
    if settings.gossip_enabled and len(peers) != settings.gateway_count:
        raise ConfigError(f"peers must name {settings.gateway_count} gateways, not {len(peers)}")
    return peers


def _seed(value: object, name: str) -> int:
    """Return a seed for this gateway alone.

    The seed in the file may be missing or shared by several gateways; from one seed they would draw the same
    election timeouts, delays and endpoints, in step.
    """
    try:
        shared = int(str(value), 16)
    except ValueError:
        raise ConfigError(f"seed must be hex digits, not {value!r}") from None
    return random.Random(f"{shared:x}/{name}").getrandbits(SEED_BITS)


def _descriptor(text: str | None) -> int | None:
    if text and not (text.isascii() and text.isdigit() and len(text) <= MAX_DESCRIPTOR_DIGITS):
        raise ConfigError(f"PROXY_ACCEPT_FD must be a descriptor's number, not {text!r}")
    return int(text) if text else None


def load(env: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration file that `PROXY_CONFIG` in `env` names.

    Raises:
        ConfigUnreadableError: the file may be readable in a moment.
        ConfigError: there is no such file, or it is malformed.
    """
    path = env.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG must name the configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        message = f"the configuration cannot be read: {error}"
        if isinstance(error, OSError) and is_transient(error):
            raise ConfigUnreadableError(message) from None
        raise ConfigError(message) from None
    return parse(text, env)


def reload(env: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration file again, without the variables that override its values.

    The environment dates from the start of the process: its addresses may be out of use by now.

    Raises:
        ConfigError: as `load`.
    """
    return load({"PROXY_CONFIG": env.get("PROXY_CONFIG", "")})
