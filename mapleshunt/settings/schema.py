"""Conversion of nodes to typed sections, which are msgspec structs. Errors have one message and a position.

`(section (key value) ...)` fills a struct; a key is the field's name with dashes. A field whose type is a
struct is a nested section. A tuple of structs takes each section of its name, in order. A tuple of plain
values takes all values that follow the key.
"""

from __future__ import annotations

import typing
from types import UnionType
from typing import Any, TypeVar

import msgspec

from .reader import Atom, Group, Node, SettingsError

T = TypeVar("T", bound=msgspec.Struct)


def _base_type(kind: Any) -> Any:
    """Return the type without `None` and without its limits."""
    if typing.get_origin(kind) is typing.Annotated:
        kind = typing.get_args(kind)[0]
    if typing.get_origin(kind) in (typing.Union, UnionType):
        return next(member for member in typing.get_args(kind) if member is not type(None))
    return kind


def _is_struct(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _item_type(kind: Any) -> Any:
    """Return the type of a tuple's items, or None if the field is not a tuple."""
    base_type = _base_type(kind)
    if typing.get_origin(base_type) is tuple:
        return typing.get_args(base_type)[0]
    return None


def _value(atom: Atom, kind: Any, file: str, key: str) -> Any:
    value = atom.value
    base_type = _base_type(kind)
    if base_type is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    try:
        return msgspec.convert(value, kind, strict=True)
    except msgspec.ValidationError as error:
        raise SettingsError(file, atom.line, atom.column, f"{key}: {str(error).lower()}") from None


def fill(kind: type[T], group: Group, file: str, skip: int = 1) -> T:
    """Return a struct filled from a section's items after the first `skip`.

    Raises:
        SettingsError: an item does not fit the struct, at its position.
    """
    hints = typing.get_type_hints(kind, include_extras=True)
    fields = {field.encode_name: hints[field.name] for field in msgspec.structs.fields(kind)}
    names = {field.encode_name: field.name for field in msgspec.structs.fields(kind)}
    values: dict[str, Any] = {}
    nodes_by_key: dict[str, Node] = {}
    lists: dict[str, list[Any]] = {}
    for item in group.items[skip:]:
        if not isinstance(item, Group) or item.name is None:
            raise SettingsError(file, item.line, item.column, "expected (key value ...)")
        key, arguments = item.name, item.items[1:]
        if key not in fields:
            keys = ", ".join(sorted(fields))
            raise SettingsError(file, item.line, item.column, f"unknown key {key!r}, expected one of {keys}")
        hint = fields[key]
        item_type = _item_type(hint)
        if item_type is not None and _is_struct(_base_type(item_type)):
            lists.setdefault(key, []).append(fill(_base_type(item_type), item, file))
            continue
        if key in values:
            first = nodes_by_key[key]
            raise SettingsError(file, item.line, item.column, f"{key!r} is already set in line {first.line}")
        nodes_by_key[key] = item
        if _is_struct(_base_type(hint)):
            values[key] = fill(_base_type(hint), item, file)
        elif item_type is not None:
            for argument in arguments:
                if not isinstance(argument, Atom):
                    raise SettingsError(
                        file, argument.line, argument.column, f"{key}: expected plain values, got a list"
                    )
            values[key] = tuple(
                _value(argument, item_type, file, key) for argument in arguments if isinstance(argument, Atom)
            )
        else:
            if len(arguments) != 1 or not isinstance(arguments[0], Atom):
                raise SettingsError(file, item.line, item.column, f"{key!r} takes one plain value")
            values[key] = _value(arguments[0], hint, file, key)
    values |= {key: tuple(sections) for key, sections in lists.items()}
    missing = [
        field.encode_name
        for field in msgspec.structs.fields(kind)
        if field.required and field.encode_name not in values
    ]
    if missing:
        raise SettingsError(file, group.line, group.column, f"{missing[0]!r} is missing")
    try:
        return kind(**{names[key]: value for key, value in values.items()})
    except ValueError as error:  # the struct's own validation of its values
        raise SettingsError(file, group.line, group.column, str(error)) from None


def fill_file(kind: type[T], nodes: list[Node], file: str) -> T:
    """Return a whole file as one struct, each field of which is a section."""
    return fill(kind, Group(tuple(nodes), 1, 1), file, skip=0)
