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

_ORIGIN = OwnerId(VmId('vm-1'), DataCentreId('luzon-a'), Incarnation(7))


def build_signed(mint: GrantIssuer, now: float = 5) -> SignedGrant:
    signed = parse_grant(mint.issue(now))
    assert isinstance(signed, SignedGrant)
    return signed


def test_grant_tells_who_minted_it_and_when() -> None:
    mint = GrantIssuer(_ORIGIN)
    signed = build_signed(mint)
    assert signed.grant.owner_id == _ORIGIN
    assert signed.grant.minted == 5
    assert signed.is_genuine(mint.key)


def test_each_process_checks_only_its_own() -> None:
    signed = build_signed(GrantIssuer(_ORIGIN))
    assert not signed.is_genuine(GrantIssuer(_ORIGIN).key)


def test_names_differ_by_grant_and_key() -> None:
    mint = GrantIssuer(_ORIGIN)
    grants = [build_signed(mint), build_signed(mint)]
    names = {
        grant.derive_name(IdempotencyKey(key))
        for grant in grants
        for key in ('a', 'b')
    }
    assert len(names) == 4


@pytest.mark.parametrize('cut', [1, 3, 8, 30])
def test_truncated_grant_is_not_genuine(cut: int) -> None:
    mint = GrantIssuer(_ORIGIN)
    parsed = parse_grant(mint.issue(5)[:-cut])
    if isinstance(parsed, SignedGrant):
        assert not parsed.is_genuine(mint.key)
    else:
        assert parsed is GrantDamage.undecodable


@pytest.mark.parametrize('token', ['', 'x', 'é' * 8, '====', 'AAAA' * 9])
def test_garbage_is_undecodable(token: str) -> None:
    assert parse_grant(token) is GrantDamage.undecodable


def test_oversized_grant_is_not_decoded() -> None:
    assert parse_grant('A' * 4096) is GrantDamage.oversized


def test_changed_mint_time_is_not_genuine() -> None:
    mint = GrantIssuer(_ORIGIN)
    old = build_signed(mint)
    younger = build_signed(mint, now=500)
    forged = SignedGrant(younger.grant, younger.payload, old.mac)
    assert not forged.is_genuine(mint.key)
