"""S-expressions with places: lists, symbols, numbers and strings. Pure and bounded.

A symbol is any run of characters but blanks, quotes, brackets and semicolons; a number is a symbol that reads
as one; a string stands in double quotes, with a backslash before a quote, a backslash, n or t. A semicolon
begins a comment that goes on to the end of its line.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MOST_TEXT = 1 << 20  # characters
MOST_DEPTH = 16
MOST_NODES = 200_000
TOKEN = re.compile(
    r'(?P<blank>[ \t\r\n]+|;[^\n]*)|(?P<open>\()|(?P<close>\))|(?P<string>"(?:[^"\\\n]|\\.)*")'
    r'|(?P<symbol>[^\s()";]+)'
)
ESCAPES = {"n": "\n", "t": "\t", '"': '"', "\\": "\\"}
WHOLE, REAL = (
    re.compile(r"[+-]?\d{1,18}"),
    re.compile(r"[+-]?(\d{1,18}\.?\d{0,18}|\.\d{1,18})([eE][+-]?\d{1,3})?"),
)


class SettingsError(ValueError):
    """Something wrong at a place in the settings; its text is one line for the operator."""

    def __init__(self, file: str, line: int, column: int, what: str) -> None:
        super().__init__(f"{file}:{line}:{column}: {what}")
        self.file, self.line, self.column, self.what = file, line, column, what


@dataclass(slots=True, frozen=True)
class Atom:
    """A symbol (str), a number (int, float), a truth value, or a string (`quoted`)."""

    value: str | int | float | bool
    line: int
    column: int
    quoted: bool = False


@dataclass(slots=True, frozen=True)
class Group:
    """A list in brackets, with the place of its opening one."""

    items: tuple[Atom | Group, ...]
    line: int
    column: int

    @property
    def name(self) -> str | None:
        """Its first item, if that is a symbol."""
        first = self.items[0] if self.items else None
        return (
            first.value
            if isinstance(first, Atom) and isinstance(first.value, str) and not first.quoted
            else None
        )


Node = Atom | Group


def _atom(text: str, line: int, column: int) -> Atom:
    if WHOLE.fullmatch(text):
        return Atom(int(text), line, column)
    if REAL.fullmatch(text):
        return Atom(float(text), line, column)
    if text in ("true", "false"):
        return Atom(text == "true", line, column)
    return Atom(text, line, column)


def parse(text: str, file: str = "settings") -> list[Node]:
    """The nodes of a text. Raises `SettingsError` at the place of what is wrong."""
    if len(text) > MOST_TEXT:
        raise SettingsError(file, 1, 1, f"more than {MOST_TEXT} characters")
    top: list[Node] = []
    open_groups: list[tuple[list[Node], int, int]] = []
    at, line, begin, count = 0, 1, 0, 0
    while at < len(text):
        found = TOKEN.match(text, at)
        column = at - begin + 1
        if found is None:
            what = (
                "a string that does not end on its line"
                if text[at] == '"'
                else f"{text[at]!r} makes no sense"
            )
            raise SettingsError(file, line, column, what)
        kind, token = found.lastgroup, found.group()
        into = open_groups[-1][0] if open_groups else top
        count += kind not in ("blank", "close")
        if count > MOST_NODES:
            raise SettingsError(file, line, column, f"more than {MOST_NODES} items")
        if kind == "open":
            if len(open_groups) >= MOST_DEPTH:
                raise SettingsError(file, line, column, f"brackets deeper than {MOST_DEPTH}")
            open_groups.append(([], line, column))
        elif kind == "close":
            if not open_groups:
                raise SettingsError(file, line, column, "a bracket closes that was not opened")
            items, *place = open_groups.pop()
            (open_groups[-1][0] if open_groups else top).append(Group(tuple(items), *place))
        elif kind == "string":
            body = re.sub(r"\\(.)", lambda one: ESCAPES.get(one[1], "\0"), token[1:-1])
            if "\0" in body:
                raise SettingsError(
                    file, line, column, "a backslash stands before quote, backslash, n or t only"
                )
            into.append(Atom(body, line, column, quoted=True))
        elif kind == "symbol":
            into.append(_atom(token, line, column))
        newlines = token.count("\n")
        if newlines:
            line, begin = line + newlines, at + token.rindex("\n") + 1
        at = found.end()
    if open_groups:
        raise SettingsError(file, *open_groups[-1][1:], "a bracket that is not closed")
    return top
