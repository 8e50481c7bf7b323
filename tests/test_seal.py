"""Tests of the authenticated envelopes."""

import pytest

from chicoryshunt.nodes.seal import DropReason, Envelope
from chicoryshunt.types import Incarnation, VmId
from tests.builders import build_seal

_RECEIVER = VmId('b')


def test_envelope_opens_once() -> None:
    sealed = build_seal('a').seal(_RECEIVER, b'\xc0')
    receiver = build_seal('b')
    opened = receiver.open(sealed)
    assert isinstance(opened, Envelope)
    assert bytes(opened.body) == b'\xc0'
    assert receiver.open(sealed) is DropReason.replayed


@pytest.mark.parametrize('cut', [0, 5, 16, 20])
def test_truncated_envelope_is_forged(cut: int) -> None:
    sealed = build_seal('a').seal(_RECEIVER, b'\xc0')
    assert build_seal('b').open(sealed[:cut]) is DropReason.forged


def test_other_key_is_forged() -> None:
    sealed = build_seal('a', key='11' * 32).seal(_RECEIVER, b'\xc0')
    assert build_seal('b').open(sealed) is DropReason.forged


def test_other_receiver_is_misdirected() -> None:
    sealed = build_seal('a').seal(VmId('c'), b'\xc0')
    assert build_seal('b').open(sealed) is DropReason.misdirected


def test_reordered_envelopes_open() -> None:
    sender = build_seal('a')
    sealed = [sender.seal(_RECEIVER, b'\xc0') for _ in range(5)]
    receiver = build_seal('b')
    for one in reversed(sealed):
        assert isinstance(receiver.open(one), Envelope)


def test_old_incarnation_is_replayed() -> None:
    old = build_seal('a', incarnation=1).seal(_RECEIVER, b'\xc0')
    new = build_seal('a', incarnation=2).seal(_RECEIVER, b'\xc0')
    receiver = build_seal('b')
    assert isinstance(receiver.open(new), Envelope)
    assert receiver.open(old) is DropReason.replayed


def test_raised_incarnation_opens() -> None:
    sender = build_seal('a', incarnation=1)
    receiver = build_seal('b')
    receiver.open(build_seal('a', incarnation=5).seal(_RECEIVER, b'\xc0'))
    assert receiver.open(sender.seal(_RECEIVER, b'\xc0')) is DropReason.replayed
    sender.raise_incarnation(Incarnation(6))
    opened = receiver.open(sender.seal(_RECEIVER, b'\xc0'))
    assert isinstance(opened, Envelope)
