"""The effective settings and their origins: a line of the file, or the default."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from .operators import OperatorSettings, load
from .reader import Group, Node, parse


def _collect_lines(nodes: tuple[Node, ...], prefix: str, lines: dict[str, int]) -> None:
    counts: dict[str, int] = {}
    for node in nodes:
        if isinstance(node, Group) and node.name is not None:
            count = counts[node.name] = counts.get(node.name, 0) + 1
            for name in (f"{prefix}{node.name}", f"{prefix}{node.name}[{count - 1}]"):
                lines.setdefault(name, node.line)
                _collect_lines(node.items[1:], f"{name}.", lines)


def _collect_values(value: Any, name: str, values: list[tuple[str, Any]]) -> None:
    if isinstance(value, msgspec.Struct):
        for field in msgspec.structs.fields(value):
            _collect_values(
                getattr(value, field.name),
                f"{name}.{field.encode_name}" if name else field.encode_name,
                values,
            )
    elif isinstance(value, tuple) and value and isinstance(value[0], msgspec.Struct):
        for index, section in enumerate(value):
            _collect_values(section, f"{name}[{index}]", values)
    else:
        values.append((name, value))


def effective_settings(path: Path) -> list[tuple[str, str, str]]:
    """Return (setting, value, origin) of each effective setting. Secrets are hidden.

    Raises:
        SettingsError: the file is invalid or cannot be read.
    """
    settings: OperatorSettings = load(path)
    lines: dict[str, int] = {}
    _collect_lines(tuple(parse(path.read_text(encoding="utf-8"), str(path))), "", lines)
    values: list[tuple[str, Any]] = []
    _collect_values(settings, "", values)
    rows = []
    for name, value in values:
        is_secret = name.endswith(("salt", "secret"))
        text = "off" if value is None else "(hidden)" if is_secret and value else str(value)
        rows.append((name, text, f"{path.name}:{lines[name]}" if name in lines else "default"))
    return rows
