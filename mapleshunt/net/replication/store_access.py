"""Opening of the replicas' store, and the replication addresses of the section."""

from __future__ import annotations

from pathlib import Path

from ...settings.operators import ReplicationSettings as ReplicationSection
from ...storage.durable_store import DurableStore
from ...storage.errors import StoreInUseError, StoreUnusableError
from ..config import Address, ConfigError, parse_address


class ReplicationInUseError(ConfigError):
    """Another process uses the store or the address of this gateway's replicas."""


def open_store(section: ReplicationSection, name: str) -> DurableStore:
    """Open and check the store of the gateway `name`. Blocks.

    Raises:
        ReplicationInUseError: another process uses the store.
        ConfigError: the store is of another fleet or gateway, of a newer format, or cannot be used.
        StoreUnavailableError: a transient error; another attempt may succeed.
    """
    folder = Path(section.folder.replace("{name}", name))
    try:
        return DurableStore(folder, section.fleet, name)
    except StoreInUseError as error:
        raise ReplicationInUseError(f"copies: {error}") from None
    except StoreUnusableError as error:
        raise ConfigError(f"copies: {error}") from None


def peer_addresses(section: ReplicationSection, name: str) -> dict[str, Address]:
    """Return the replication addresses of all gateways, including `name`.

    Raises:
        ConfigError: an address is malformed, or `name` has none.
    """
    addresses = {peer.name: parse_address(peer.address, f"peer {peer.name}") for peer in section.peer}
    if name not in addresses:
        raise ConfigError(f"copies: expected a peer with this gateway's name, {name!r}")
    return addresses
