"""Tests of the owner grants."""

import pytest

from chicoryshunt.ownership.grants import (
    GrantDamage,
    GrantIssuer,
    OwnerId,
    SignedGrant,
    parse_grant,
)
from chicoryshunt.types import DataCentreId, IdempotencyKey, Incarnation, VmId

_OWNER = OwnerId(VmId('vm-1'), DataCentreId('luzon-a'), Incarnation(7))


def build_signed(issuer: GrantIssuer, now: float = 5) -> SignedGrant:
    signed = parse_grant(issuer.issue(now))
    assert isinstance(signed, SignedGrant)
    return signed


def test_grant_contains_its_issuer_and_time() -> None:
    issuer = GrantIssuer(_OWNER)
    signed = build_signed(issuer)
    assert signed.grant.owner_id == _OWNER
    assert signed.grant.minted == 5
    assert signed.is_genuine(issuer.key)


def test_process_verifies_only_its_own_grants() -> None:
    signed = build_signed(GrantIssuer(_OWNER))
    assert not signed.is_genuine(GrantIssuer(_OWNER).key)


def test_names_differ_by_grant_and_key() -> None:
    issuer = GrantIssuer(_OWNER)
    grants = [build_signed(issuer), build_signed(issuer)]
    names = {
        grant.derive_name(IdempotencyKey(key))
        for grant in grants
        for key in ('a', 'b')
    }
    assert len(names) == 4


@pytest.mark.parametrize('cut', [1, 3, 8, 30])
def test_truncated_grant_is_not_genuine(cut: int) -> None:
    issuer = GrantIssuer(_OWNER)
    parsed = parse_grant(issuer.issue(5)[:-cut])
    if isinstance(parsed, SignedGrant):
        assert not parsed.is_genuine(issuer.key)
    else:
        assert parsed is GrantDamage.undecodable


@pytest.mark.parametrize('token', ['', 'x', 'é' * 8, '====', 'AAAA' * 9])
def test_garbage_is_undecodable(token: str) -> None:
    assert parse_grant(token) is GrantDamage.undecodable


def test_oversized_grant_is_not_decoded() -> None:
    assert parse_grant('A' * 4096) is GrantDamage.oversized


def test_changed_issue_time_is_not_genuine() -> None:
    issuer = GrantIssuer(_OWNER)
    old = build_signed(issuer)
    younger = build_signed(issuer, now=500)
    forged = SignedGrant(younger.grant, younger.payload, old.mac)
    assert not forged.is_genuine(issuer.key)
