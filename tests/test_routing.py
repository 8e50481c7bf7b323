"""Routes, keys and shares of services."""

from collections import Counter

import pytest

from chicoryshunt.rules.model import ApiKey, ServiceShare
from chicoryshunt.rules.routing import (
    AdmittedRequest,
    RuleIndex,
    choose_service,
)
from chicoryshunt.types import Reason, ServiceId
from tests.fleet_builders import build_route, build_rules

KEY = ApiKey('secret')


def test_longest_prefix_goes_first() -> None:
    index = RuleIndex(
        build_rules(build_route('/a/'), build_route('/a/b/'), build_route('/')),
    )

    admitted = index.admit('club.example', '/a/b/c', KEY)

    assert isinstance(admitted, AdmittedRequest)
    assert admitted.route.prefix == '/a/b/'


@pytest.mark.parametrize(
    ('host', 'path', 'key', 'reason'),
    [
        ('other.example', '/calls/1', KEY, Reason.unknown_path),
        ('club.example', '/call', KEY, Reason.unknown_path),
        ('club.example', '/calls/1', ApiKey('forged'), Reason.unknown_team),
        ('club.example', '/calls/1', None, Reason.unknown_team),
    ],
)
def test_what_is_not_allowed_says_why(
    host: str,
    path: str,
    key: ApiKey | None,
    reason: Reason,
) -> None:
    index = RuleIndex(build_rules(build_route()))

    assert index.admit(host, path, key) is reason


def test_a_public_route_needs_no_key() -> None:
    index = RuleIndex(build_rules(build_route(is_public=True)))

    admitted = index.admit('club.example', '/calls/1', None)

    assert isinstance(admitted, AdmittedRequest)
    assert admitted.team_id is None


def test_requests_follow_the_weights() -> None:
    route = build_route(
        shares=(
            ServiceShare(ServiceId('old'), 90),
            ServiceShare(ServiceId('new'), 10),
        ),
    )

    chosen = Counter(choose_service(route, f'r{one}') for one in range(2000))

    assert 140 < chosen[ServiceId('new')] < 260
    assert choose_service(route, 'r7') == choose_service(route, 'r7')
