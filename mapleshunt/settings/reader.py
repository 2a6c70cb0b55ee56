"""A parser of S-expressions (lists, symbols, numbers and strings) with positions. No I/O; bounded input.

A symbol is a run of characters other than blanks, quotes, parentheses and semicolons. A number is a symbol in
the form of a number. A string is in double quotes; in it, a backslash escapes a quote, a backslash, n or t. A
semicolon begins a comment that extends to the end of the line.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_CHARACTERS = 1 << 20
MAX_DEPTH = 16  # of nested lists
MAX_NODES = 200_000
TOKEN = re.compile(
    r'(?P<blank>[ \t\r\n]+|;[^\n]*)|(?P<open>\()|(?P<close>\))|(?P<string>"(?:[^"\\\n]|\\.)*")'
    r'|(?P<symbol>[^\s()";]+)'
)
ESCAPES = {"n": "\n", "t": "\t", '"': '"', "\\": "\\"}
INTEGER, DECIMAL = (
    re.compile(r"[+-]?\d{1,18}"),
    re.compile(r"[+-]?(\d{1,18}\.?\d{0,18}|\.\d{1,18})([eE][+-]?\d{1,3})?"),
)


class SettingsError(ValueError):
    """An error at a position in the settings; the message is one line for the operator."""

    def __init__(self, file: str, line: int, column: int, message: str) -> None:
        """Create the error at `line` and `column` of `file`, both counted from 1."""
        super().__init__(f"{file}:{line}:{column}: {message}")
        self.file, self.line, self.column, self.message = file, line, column, message


@dataclass(slots=True, frozen=True)
class Atom:
    """A symbol (str), a number (int, float), a boolean, or a string (`quoted`)."""

    value: str | int | float | bool
    line: int
    column: int
    quoted: bool = False


@dataclass(slots=True, frozen=True)
class Group:
    """A list in parentheses, with the position of the opening one."""

    items: tuple[Atom | Group, ...]
    line: int
    column: int

    @property
    def name(self) -> str | None:
        """The first item, if that is a symbol."""
        first = self.items[0] if self.items else None
        return (
            first.value
            if isinstance(first, Atom) and isinstance(first.value, str) and not first.quoted
            else None
        )


Node = Atom | Group


def _atom(text: str, line: int, column: int) -> Atom:
    if INTEGER.fullmatch(text):
        return Atom(int(text), line, column)
    if DECIMAL.fullmatch(text):
        return Atom(float(text), line, column)
    if text in ("true", "false"):
        return Atom(text == "true", line, column)
    return Atom(text, line, column)


def parse(text: str, file: str = "settings") -> list[Node]:
    """Return the top-level nodes of `text`; `file` is its name in messages.

    Raises:
        SettingsError: the text is malformed, at the position of the first error.
    """
    if len(text) > MAX_CHARACTERS:
        raise SettingsError(file, 1, 1, f"expected at most {MAX_CHARACTERS} characters, got {len(text)}")
    top_level: list[Node] = []
    open_groups: list[tuple[list[Node], int, int]] = []
    position, line, line_begin, count = 0, 1, 0, 0
    while position < len(text):
        match = TOKEN.match(text, position)
        column = position - line_begin + 1
        if match is None:
            message = (
                "a string must end on the line on which it begins"
                if text[position] == '"'
                else f"unexpected character {text[position]!r}"
            )
            raise SettingsError(file, line, column, message)
        kind, token = match.lastgroup, match.group()
        parent_items = open_groups[-1][0] if open_groups else top_level
        count += kind not in ("blank", "close")
        if count > MAX_NODES:
            raise SettingsError(file, line, column, f"expected at most {MAX_NODES} items")
        if kind == "open":
            if len(open_groups) >= MAX_DEPTH:
                raise SettingsError(file, line, column, f"lists must not be nested deeper than {MAX_DEPTH}")
            open_groups.append(([], line, column))
        elif kind == "close":
            if not open_groups:
                raise SettingsError(file, line, column, "unexpected ')': no list is open")
            items, *opened_at = open_groups.pop()
            (open_groups[-1][0] if open_groups else top_level).append(Group(tuple(items), *opened_at))
        elif kind == "string":
            body = re.sub(r"\\(.)", lambda escape: ESCAPES.get(escape[1], "\0"), token[1:-1])
            if "\0" in body:
                raise SettingsError(
                    file, line, column, "a backslash must be followed by a quote, a backslash, n or t"
                )
            parent_items.append(Atom(body, line, column, quoted=True))
        elif kind == "symbol":
            parent_items.append(_atom(token, line, column))
        newlines = token.count("\n")
        if newlines:
            line, line_begin = line + newlines, position + token.rindex("\n") + 1
        position = match.end()
    if open_groups:
        raise SettingsError(
            file, *open_groups[-1][1:], "expected a ')' for this list, got the end of the file"
        )
    return top_level
