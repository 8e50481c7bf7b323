"""Tests of the platform's settings file and of its store's items."""

import base64
import json
import platform
import subprocess
import sys

import pytest

from chicoryshunt.exceptions import SettingsError
from chicoryshunt.fleet.facts import TargetFact, TargetPhase
from chicoryshunt.platform import items
from chicoryshunt.platform.settings import parse_settings
from chicoryshunt.rules.model import RequestType, Rules
from lab.standins.platform_files import build_config, build_entry, build_lines


def test_a_file_is_decoded() -> None:
    settings = parse_settings(
        build_lines('10.0.0.9:80', '10.1.0.19', seeds='10.1.0.2:7,10.2.0.3:7'),
        'test',
    )

    assert settings.vm == '10.1.0.19'
    assert settings.data_centre == 'luzon-a'
    assert [seed.host for seed in settings.seeds] == ['10.1.0.2', '10.2.0.3']
    assert settings.bounds.config_apply == 2


def test_unknown_names_are_ignored() -> None:
    text = build_lines('10.0.0.9:80', '10.1.0.19', new='x')

    assert parse_settings(text, 'test').bounds.stop_grace == 8


@pytest.mark.parametrize(
    ('name', 'text', 'message'),
    [
        ('zone', '', 'test: zone is missing'),
        ('listen.front', 'here', "test: listen.front='here' is not IP:PORT"),
        ('seeds', '1.2.3.4', "test: seeds='1.2.3.4' is not IP:PORT"),
        (
            'bounds.grace_s',
            'long',
            "test: bounds.grace_s='long' is not a number",
        ),
        (
            'internal_port_range',
            'a,b',
            'internal_port_range is not a port range',
        ),
    ],
)
def test_an_invalid_setting_is_named(
    name: str,
    text: str,
    message: str,
) -> None:
    changed = {name: text}
    lines = build_lines('10.0.0.9:80', '10.1.0.19', **changed)

    with pytest.raises(SettingsError, match=message):
        parse_settings(lines, 'test')


def _build_item(key: str, content: bytes) -> items.Item:
    return items.Item(key, 7, base64.b64encode(content).decode())


def test_an_entry_names_a_target() -> None:
    entry = build_entry('plain', '10.0.0.1:80', 'draining')
    fact = items.decode_target(
        _build_item('servers/i-1', json.dumps(entry).encode()),
    )

    assert isinstance(fact, TargetFact)
    assert (fact.target, fact.phase) == ('i-1', TargetPhase.leaving)


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'\xff',
        b'[]',
        json.dumps(build_entry('plain', 'nowhere')).encode(),
        json.dumps(build_entry('plain', '1.2.3.4:5', 'odd')).encode(),
        json.dumps({'service': 'plain', 'address': 5}).encode(),
    ],
)
def test_an_invalid_entry_is_unreadable(content: bytes) -> None:
    item = _build_item('servers/i-1', content)

    assert isinstance(items.decode_target(item), items.Unreadable)


def test_a_configuration_is_decoded_into_rules() -> None:
    item = _build_item('op/config', json.dumps(build_config(3)).encode())

    rules = items.decode_rules(item)

    assert isinstance(rules, Rules)
    reads, filings, drafts = rules.routes
    assert (reads.is_repeatable, filings.is_repeatable) == (True, False)
    assert drafts.request_type is RequestType.generation
    assert rules.requires_keys


def test_an_invalid_configuration_is_unreadable() -> None:
    item = _build_item('op/config', b'{"version": "new"}')

    assert isinstance(items.decode_rules(item), items.Unreadable)


def test_the_adapter_hides_no_standard_module() -> None:
    """Import ``platform`` with the checkout first on the path."""
    shown = subprocess.run(
        [sys.executable, '-c', 'import platform; print(platform.__file__)'],
        capture_output=True,
        check=True,
        text=True,
    )

    assert shown.stdout.strip() == platform.__file__
    assert 'chicoryshunt' not in str(platform.__file__)
