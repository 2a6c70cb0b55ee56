"""What holds and where it comes from: a line of the file, or the default."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from .operators import OperatorSettings, load
from .reader import Group, Node, parse


def _places(nodes: tuple[Node, ...], prefix: str, found: dict[str, int]) -> None:
    seen: dict[str, int] = {}
    for node in nodes:
        if isinstance(node, Group) and node.name is not None:
            count = seen[node.name] = seen.get(node.name, 0) + 1
            for name in (f"{prefix}{node.name}", f"{prefix}{node.name}[{count - 1}]"):
                found.setdefault(name, node.line)
                _places(node.items[1:], f"{name}.", found)


def _values(value: Any, name: str, found: list[tuple[str, Any]]) -> None:
    if isinstance(value, msgspec.Struct):
        for one in msgspec.structs.fields(value):
            _values(getattr(value, one.name), f"{name}.{one.encode_name}" if name else one.encode_name, found)
    elif isinstance(value, tuple) and value and isinstance(value[0], msgspec.Struct):
        for number, one in enumerate(value):
            _values(one, f"{name}[{number}]", found)
    else:
        found.append((name, value))


def effective_settings(path: Path) -> list[tuple[str, str, str]]:
    """(setting, value, place) for each that holds. Raises `SettingsError`."""
    chosen: OperatorSettings = load(path)
    places: dict[str, int] = {}
    _places(tuple(parse(path.read_text(encoding="utf-8"), str(path))), "", places)
    values: list[tuple[str, Any]] = []
    _values(chosen, "", values)
    out = []
    for name, value in values:
        secret = name.endswith(("salt", "secret"))
        text = "off" if value is None else "(hidden)" if secret and value else str(value)
        out.append((name, text, f"{path.name}:{places[name]}" if name in places else "default"))
    return out
