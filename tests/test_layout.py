"""Tests of the package layout that docs/architecture.md describes."""

import graphlib
import re
from collections import defaultdict
from pathlib import Path

import chicoryshunt

ROOT = Path(chicoryshunt.__file__).parent
IMPORT = re.compile(r'^(?:from|import) chicoryshunt\.(\w+)', re.MULTILINE)
# Names of the users' platform; only its adapter may contain them.
FOREIGN = re.compile(r'X-Chicoryshunt|kv-move|kv-range|kv-watch|op/config')


def _read_sources() -> dict[Path, str]:
    return {
        path.relative_to(ROOT): path.read_text(encoding='utf-8')
        for path in ROOT.rglob('*.py')
    }


def test_imports_between_packages_run_one_way() -> None:
    graph: dict[str, set[str]] = defaultdict(set)
    for path, text in _read_sources().items():
        if len(path.parts) > 1:
            package = path.parts[0]
            graph[package].update(set(IMPORT.findall(text)) - {package})

    # Raises CycleError, which shows the cycle.
    order = list(graphlib.TopologicalSorter(graph).static_order())
    assert 'platform' in order


def test_only_the_adapter_knows_foreign_names() -> None:
    for path, text in _read_sources().items():
        if path.parts[0] != 'platform':
            assert not FOREIGN.search(text), path


def test_every_package_says_what_it_holds() -> None:
    described = (ROOT.parent / 'docs/architecture.md').read_text('utf-8')
    for path, text in _read_sources().items():
        if path.name == '__init__.py' and len(path.parts) > 1:
            assert text.startswith('"""')
            assert f'`chicoryshunt/{path.parent}/`' in described
