"""Nodes into typed sections, which are msgspec structs; what does not fit is one message at its place.

`(section (key value) ...)` fills a struct; a key is the field's name with dashes. A field that is a struct is
a section of its own; one that is a tuple of structs takes each section of its name, in their order; a tuple
of plain values takes all that follow the key.
"""

from __future__ import annotations

import typing
from types import UnionType
from typing import Any, TypeVar

import msgspec

from .reader import Atom, Group, Node, SettingsError

T = TypeVar("T", bound=msgspec.Struct)


def _plain(kind: Any) -> Any:
    """The type without its `None` and its limits."""
    if typing.get_origin(kind) is typing.Annotated:
        kind = typing.get_args(kind)[0]
    if typing.get_origin(kind) in (typing.Union, UnionType):
        return next(one for one in typing.get_args(kind) if one is not type(None))
    return kind


def _is_struct(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _many(kind: Any) -> Any:
    """The type of the items, if the field takes many."""
    plain = _plain(kind)
    if typing.get_origin(plain) is tuple:
        return typing.get_args(plain)[0]
    return None


def _value(atom: Atom, kind: Any, file: str, key: str) -> Any:
    value = atom.value
    plain = _plain(kind)
    if plain is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    try:
        return msgspec.convert(value, kind, strict=True)
    except msgspec.ValidationError as error:
        raise SettingsError(file, atom.line, atom.column, f"{key}: {str(error).lower()}") from None


def fill(kind: type[T], group: Group, file: str, skip: int = 1) -> T:
    """A struct from a section's items behind the first `skip`. Raises `SettingsError`."""
    hints = typing.get_type_hints(kind, include_extras=True)
    fields = {one.encode_name: hints[one.name] for one in msgspec.structs.fields(kind)}
    names = {one.encode_name: one.name for one in msgspec.structs.fields(kind)}
    values: dict[str, Any] = {}
    places: dict[str, Node] = {}
    lists: dict[str, list[Any]] = {}
    for item in group.items[skip:]:
        if not isinstance(item, Group) or item.name is None:
            raise SettingsError(file, item.line, item.column, "here stands (key value ...)")
        key, rest = item.name, item.items[1:]
        if key not in fields:
            known = ", ".join(sorted(fields))
            raise SettingsError(file, item.line, item.column, f"unknown key {key!r}; there are {known}")
        hint = fields[key]
        many = _many(hint)
        if many is not None and _is_struct(_plain(many)):
            lists.setdefault(key, []).append(fill(_plain(many), item, file))
            continue
        if key in values:
            before = places[key]
            raise SettingsError(file, item.line, item.column, f"{key!r} stands in line {before.line} already")
        places[key] = item
        if _is_struct(_plain(hint)):
            values[key] = fill(_plain(hint), item, file)
        elif many is not None:
            for one in rest:
                if not isinstance(one, Atom):
                    raise SettingsError(file, one.line, one.column, f"{key}: plain values stand here")
            values[key] = tuple(_value(one, many, file, key) for one in rest if isinstance(one, Atom))
        else:
            if len(rest) != 1 or not isinstance(rest[0], Atom):
                raise SettingsError(file, item.line, item.column, f"{key!r} takes one value")
            values[key] = _value(rest[0], hint, file, key)
    values |= {key: tuple(held) for key, held in lists.items()}
    missing = [
        one.encode_name
        for one in msgspec.structs.fields(kind)
        if one.required and one.encode_name not in values
    ]
    if missing:
        raise SettingsError(file, group.line, group.column, f"{missing[0]!r} is missing")
    try:
        return kind(**{names[key]: value for key, value in values.items()})
    except ValueError as error:  # a struct's own check of how its values go together
        raise SettingsError(file, group.line, group.column, str(error)) from None


def fill_file(kind: type[T], nodes: list[Node], file: str) -> T:
    """A whole file as one struct: each of its fields is a section."""
    return fill(kind, Group(tuple(nodes), 1, 1), file, skip=0)
