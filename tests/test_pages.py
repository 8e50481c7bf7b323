"""Tests that the documentation names only what exists."""

import re
from pathlib import Path

import pytest

_ROOT = Path(__file__).resolve().parents[1]
_PAGES = (_ROOT / 'README.md', *sorted((_ROOT / 'docs').rglob('*.md')))
# Design notes may name files that were removed.
_PRESENT = tuple(one for one in _PAGES if 'design' not in one.parts)
_CODE = re.compile('`([^`]+)`')
_PATH = re.compile(r'[\w./-]+\.(?:py|md|toml|txt|cfg)|[\w-]+/')
_BASES = ('', 'chicoryshunt', 'lab', 'docs', 'tests', 'lab/standins')


def _read_code(folder: str) -> str:
    paths = (_ROOT / folder).rglob('*.py')
    return '\n'.join(path.read_text(encoding='utf-8') for path in paths)


def _exists(name: str, page: Path) -> bool:
    places = [page.parent, *(_ROOT / base for base in _BASES)]
    return any((place / name).exists() for place in places)


@pytest.mark.parametrize('page', _PRESENT, ids=lambda page: page.name)
def test_files_that_a_page_names_exist(page: Path) -> None:
    named = _CODE.findall(page.read_text(encoding='utf-8'))
    paths = [one for one in named if _PATH.fullmatch(one)]

    assert [one for one in paths if not _exists(one, page)] == []


@pytest.mark.parametrize('page', _PAGES, ids=lambda page: page.name)
def test_targets_that_a_page_names_exist(page: Path) -> None:
    makefile = (_ROOT / 'Makefile').read_text(encoding='utf-8')
    text = page.read_text(encoding='utf-8')
    named = re.findall(r'(?:`|^ {4})make ([a-z][a-z-]*)', text, re.MULTILINE)

    known = set(re.findall('^([a-z-]+):', makefile, re.MULTILINE))
    assert set(named) <= known


def test_events_of_operators_are_logged() -> None:
    page = (_ROOT / 'docs' / 'OPERATIONS.md').read_text(encoding='utf-8')
    table = page.partition('| event | says |')[2].partition('\n\n')[0]
    cells = [line.split('|')[1] for line in table.splitlines()[2:]]
    events = [name for cell in cells for name in _CODE.findall(cell)]

    code = _read_code('chicoryshunt')
    assert events
    assert [one for one in events if f"'{one}'" not in code] == []


def test_metrics_of_operators_are_counted() -> None:
    page = (_ROOT / 'docs' / 'OPERATIONS.md').read_text(encoding='utf-8')
    metrics = re.findall('`chicoryshunt_([a-z_]+)`', page)

    code = _read_code('chicoryshunt')
    names = [one.removesuffix('_total') for one in metrics]
    assert names
    assert [one for one in names if f"'{one}'" not in code] == []
