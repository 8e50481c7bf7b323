"""Tests of the settings file."""

import pytest

from chicoryshunt.exceptions import SettingsError
from chicoryshunt.settings import parse_settings
from tests.builders import build_settings_text


def test_comments_are_allowed() -> None:
    text = f'// a node\n{build_settings_text()}'
    assert parse_settings(text, 'a.json').vm == 'vm-1'


@pytest.mark.parametrize(
    ('changes', 'path'),
    [
        ({'data_centre': None}, 'data_centre'),
        ({'data_centre': ''}, '$.data_centre'),
        ({'vm': 3}, '$.vm'),
        ({'colour': 'blue'}, 'colour'),
        ({'listen': {'host': '127.0.0.1'}}, '$.listen'),
        ({'fleet_key': 'zz'}, '$.fleet_key'),
        ({'fleet_key': 'aa'}, '$.fleet_key'),
        ({'platform': {'config': 'x', 'vms': 'http://a'}}, 'platform.config'),
        ({'limits': {'body_bytes': 0}}, '$.limits.body_bytes'),
    ],
)
def test_wrong_value_is_named(changes: dict[str, object], path: str) -> None:
    with pytest.raises(SettingsError) as caught:
        parse_settings(build_settings_text(**changes), 'a.json')
    text = str(caught.value)
    assert text.startswith('a.json: ')
    assert path in text
    assert '\n' not in text


@pytest.mark.parametrize('host', ['localhost', '300.1.1.1', ''])
def test_host_is_an_ip_number(host: str) -> None:
    listen = {'host': host, 'caller': 1, 'peer': 2, 'gossip': 3}
    with pytest.raises(SettingsError, match=r'\$\.listen\.host'):
        parse_settings(build_settings_text(listen=listen), 'a.json')


def test_open_fleet_stays_on_loopback() -> None:
    listen = {'host': '10.0.0.1', 'caller': 1, 'peer': 2, 'gossip': 3}
    with pytest.raises(SettingsError, match='loopback'):
        parse_settings(
            build_settings_text(listen=listen, fleet_key=''),
            'a.json',
        )


def test_truncated_text_is_one_line() -> None:
    with pytest.raises(SettingsError, match='not JSON'):
        parse_settings('{"vm": ', 'a.json')
