"""Parsing of the operators' file: each error is one message with file, line and column."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mapleshunt.settings import operators
from mapleshunt.settings.reader import Atom, Group, Node, SettingsError, parse
from mapleshunt.settings.show import effective_settings

ROOT = Path(__file__).parent.parent


def test_example_file_is_valid_and_a_file_without_sections_turns_nothing_on() -> None:
    assert operators.load(ROOT / "deploy" / "operators.example.sexp").record is not None
    assert operators.parse_settings("; nothing\n") == operators.OperatorSettings()


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (
            '(record (file "a") (sise-mb 3))',
            "o:1:20: unknown key 'sise-mb', expected one of file, salt, size-mb",
        ),
        ('(record\n  (file "a")\n  (size-mb many))', "o:3:12: size-mb: expected `float`, got `str`"),
        ('(record (file "a") (size-mb 0))', "o:1:29: size-mb: expected `float` >= 0.1"),
        ('(record (file "a")\n (file "b"))', "o:2:2: 'file' is already set in line 1"),
        ("(record (size-mb 3))", "o:1:1: 'file' is missing"),
        ("(record (file a b))", "o:1:9: 'file' takes one plain value"),
        ("(record 3)", "o:1:9: expected (key value ...)"),
        ("(recrod)", "o:1:1: unknown key 'recrod', expected one of"),
        ("(record (file", "o:1:9: expected a ')' for this list"),
        (")", "o:1:1: unexpected ')': no list is open"),
        ('(record (file "a\n"))', "o:1:15: a string must end on the line on which it begins"),
        ('(record (file "a\\q"))', "o:1:15: a backslash"),
        ("(" * 40, "o:1:17: lists must not be nested deeper"),
    ],
)
def test_error_is_reported_in_one_line_with_its_position(text: str, message: str) -> None:
    with pytest.raises(SettingsError) as raised:
        operators.parse_settings(text, "o")
    assert str(raised.value).startswith(message) and "\n" not in str(raised.value)


def test_atoms_are_parsed_as_numbers_booleans_symbols_and_strings() -> None:
    (group,) = parse('(a -3 2.5 true "x \\"y\\" \\n" b-c) ; end')
    assert isinstance(group, Group) and group.name == "a"
    assert [atom.value for atom in group.items if isinstance(atom, Atom)] == [
        "a",
        -3,
        2.5,
        True,
        'x "y" \n',
        "b-c",
    ]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.text(alphabet='()"\\; \nab1.-\t', max_size=60))
def test_any_text_is_parsed_or_reported_with_a_position_inside_it(text: str) -> None:
    def count_nodes(nodes: tuple[Node, ...]) -> int:
        return sum(1 + (count_nodes(node.items) if isinstance(node, Group) else 0) for node in nodes)

    try:
        assert count_nodes(tuple(parse(text))) <= len(text)
    except SettingsError as error:
        lines = text.split("\n")
        assert 1 <= error.line <= len(lines) and 1 <= error.column <= len(lines[error.line - 1]) + 1


def test_effective_settings_name_the_origin_of_each_value_and_hide_the_salt(tmp_path: Path) -> None:
    path = tmp_path / "o.sexp"
    path.write_text('(record\n (file "x")\n (salt "deep"))')
    assert effective_settings(path) == [
        ("record.file", "x", "o.sexp:2"),
        ("record.size-mb", "16.0", "default"),
        ("record.salt", "(hidden)", "o.sexp:3"),
        ("copies", "off", "default"),
        ("maintenance", "off", "default"),
    ]
