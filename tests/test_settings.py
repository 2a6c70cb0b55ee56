"""The operators' file: what is wrong with it is one message at its place."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mapleshunt.settings import operators
from mapleshunt.settings.reader import Atom, Group, Node, SettingsError, parse
from mapleshunt.settings.show import effective_settings

ROOT = Path(__file__).parent.parent


def test_the_example_is_good_and_nothing_is_on_without_a_section() -> None:
    assert operators.load(ROOT / "deploy" / "operators.example.sexp").record is not None
    assert operators.parse_settings("; nothing\n") == operators.OperatorSettings()


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('(record (file "a") (sise-mb 3))', "o:1:20: unknown key 'sise-mb'; there are file, salt, size-mb"),
        ('(record\n  (file "a")\n  (size-mb many))', "o:3:12: size-mb: expected `float`, got `str`"),
        ('(record (file "a") (size-mb 0))', "o:1:29: size-mb: expected `float` >= 0.1"),
        ('(record (file "a")\n (file "b"))', "o:2:2: 'file' stands in line 1 already"),
        ("(record (size-mb 3))", "o:1:1: 'file' is missing"),
        ("(record (file a b))", "o:1:9: 'file' takes one value"),
        ("(record 3)", "o:1:9: here stands (key value ...)"),
        ("(recrod)", "o:1:1: unknown key 'recrod'; there are"),
        ("(record (file", "o:1:9: a bracket that is not closed"),
        (")", "o:1:1: a bracket closes that was not opened"),
        ('(record (file "a\n"))', "o:1:15: a string that does not end on its line"),
        ('(record (file "a\\q"))', "o:1:15: a backslash"),
        ("(" * 40, "o:1:17: brackets deeper"),
    ],
)
def test_what_is_wrong_is_told_with_line_and_column(text: str, message: str) -> None:
    with pytest.raises(SettingsError) as found:
        operators.parse_settings(text, "o")
    assert str(found.value).startswith(message) and "\n" not in str(found.value)


def test_atoms_are_numbers_truths_symbols_and_strings() -> None:
    (group,) = parse('(a -3 2.5 true "x \\"y\\" \\n" b-c) ; end')
    assert isinstance(group, Group) and group.name == "a"
    assert [one.value for one in group.items if isinstance(one, Atom)] == [
        "a",
        -3,
        2.5,
        True,
        'x "y" \n',
        "b-c",
    ]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.text(alphabet='()"\\; \nab1.-\t', max_size=60))
def test_any_text_is_read_or_told_at_its_place(text: str) -> None:
    def within(nodes: tuple[Node, ...]) -> int:
        return sum(1 + (within(node.items) if isinstance(node, Group) else 0) for node in nodes)

    try:
        assert within(tuple(parse(text))) <= len(text)
    except SettingsError as error:
        lines = text.split("\n")
        assert 1 <= error.line <= len(lines) and 1 <= error.column <= len(lines[error.line - 1]) + 1


def test_show_tells_where_each_value_comes_from_and_hides_salts(tmp_path: Path) -> None:
    path = tmp_path / "o.sexp"
    path.write_text('(record\n (file "x")\n (salt "deep"))')
    assert effective_settings(path) == [
        ("record.file", "x", "o.sexp:2"),
        ("record.size-mb", "16.0", "default"),
        ("record.salt", "(hidden)", "o.sexp:3"),
        ("copies", "off", "default"),
        ("maintenance", "off", "default"),
    ]
