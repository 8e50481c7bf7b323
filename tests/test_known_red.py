"""The list of known failures and how it is read."""

from pathlib import Path

from tests.known_red import KnownFailure, parse_entries, read_entries

LISTED = """What the file is.

test: tests/test_one.py::test_first[a b]
command: python -m pytest
seen: fails

test: tests/test_two.py::test_second
issue: 2
"""


def test_an_entry_is_parsed_into_node_id_and_text() -> None:
    assert parse_entries(LISTED) == [
        KnownFailure(
            'tests/test_one.py::test_first[a b]',
            'command: python -m pytest\nseen: fails',
        ),
        KnownFailure('tests/test_two.py::test_second', 'issue: 2'),
    ]


def test_a_missing_file_has_no_entries(tmp_path: Path) -> None:
    assert not read_entries(tmp_path)
