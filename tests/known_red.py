"""The list of known failures in KNOWN-RED.txt."""

from pathlib import Path
from typing import Final, NamedTuple

FILE_NAME: Final = 'KNOWN-RED.txt'
_PREFIX: Final = 'test: '


class KnownFailure(NamedTuple):
    """A test that is known to fail, and what its entry says about it."""

    node_id: str
    text: str


def parse_entries(text: str) -> list[KnownFailure]:
    """Parse the paragraphs that begin with the node id of a test."""
    entries = []
    for paragraph in text.split('\n\n'):
        head, _, rest = paragraph.strip().partition('\n')
        if head.startswith(_PREFIX):
            entries.append(KnownFailure(head.removeprefix(_PREFIX), rest))
    return entries


def read_entries(root: Path) -> list[KnownFailure]:
    """Read the entries, none if the file is missing."""
    path = root / FILE_NAME
    if not path.exists():
        return []
    return parse_entries(path.read_text(encoding='utf-8'))
