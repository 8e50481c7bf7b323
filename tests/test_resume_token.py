"""Tests of the resume token."""

from collections.abc import Callable

import pytest

from chicoryshunt.nodes.seal import Purpose, Seal
from chicoryshunt.request.resume_token import (
    ResumeToken,
    Sign,
    decode_token,
    encode_token,
)
from chicoryshunt.types import (
    GenerationId,
    Incarnation,
    ModelId,
    Reason,
    RequestId,
    TargetId,
    TeamId,
    VmId,
)
from chicoryshunt.verdict import Verdict
from tests.builders import FLEET_KEY

_TOKEN = ResumeToken(
    VmId('vm-1'),
    TargetId('engine-1'),
    GenerationId('g-1'),
    ModelId('m'),
    TeamId('t'),
    RequestId('r-1'),
)


def build_sign(
    vm: str,
    key: str = FLEET_KEY,
    use: Purpose = Purpose.token,
) -> Sign:
    return Seal(bytes.fromhex(key), VmId(vm), Incarnation(7), use).sign


def test_any_node_of_the_fleet_can_decode_a_token() -> None:
    text = encode_token(_TOKEN, build_sign('vm-1'))
    assert decode_token(text, build_sign('vm-2')) == _TOKEN


@pytest.mark.parametrize(
    'change',
    [
        lambda text: text[:-4],
        lambda text: text[4:],
        lambda text: text.swapcase(),
        lambda text: f'{text}AAAA',
        lambda text: 'not base64!',
        lambda text: 'é' * 8,
        lambda text: text * 100,
        lambda text: encode_token(_TOKEN, build_sign('vm-1', '11' * 32)),
        lambda text: encode_token(
            _TOKEN, build_sign('vm-1', use=Purpose.datagram)
        ),
    ],
)
def test_forged_token_is_refused(change: Callable[[str], str]) -> None:
    sign = build_sign('vm-1')
    verdict = decode_token(change(encode_token(_TOKEN, sign)), sign)
    assert isinstance(verdict, Verdict)
    assert verdict.reason is Reason.token_forged
