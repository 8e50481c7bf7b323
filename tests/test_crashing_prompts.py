"""Tests of prompts that crash the engines that run them."""

import logging
from collections.abc import Mapping
from types import MappingProxyType

import pytest

from tests.platform_builders import (
    LONG_TIMEOUT_MS,
    run_platform,
)
from tests.reactor import run_on_reactor

CRASHING_PART = 'bad'


def _build_generation(*parts: str) -> Mapping[str, str]:
    return MappingProxyType(
        {
            'X_Chicoryshunt_Model': 'm',
            'X_Chicoryshunt_Token_Count': '1000,160',
            'X_Chicoryshunt_Prefix_Hash': ','.join(
                f'{part}:80' for part in parts
            ),
            'X_Chicoryshunt_Deadline_Ms': str(LONG_TIMEOUT_MS),
        }
    )


@pytest.mark.parametrize('is_crash', [True, False])
def test_broken_runs_are_told_apart(
    caplog: pytest.LogCaptureFixture,
    is_crash: bool,
) -> None:
    """Guards against logs that do not show which prompt an engine ran."""
    caplog.set_level(logging.INFO)

    async def run() -> None:
        async with run_platform() as platform:
            for engine in platform.engines:
                engine.crashing_part = CRASHING_PART
                engine.breaks_off = not is_crash
            part = CRASHING_PART if is_crash else 'other'
            await platform.ask(
                '/drafts/1',
                'r1',
                'POST',
                **_build_generation('first', part, 'last'),
            )

    run_on_reactor(run())

    broken = [
        one.__dict__
        for one in caplog.records
        if one.getMessage() == 'run_broken_off'
    ]
    assert len(broken) == 1
    assert broken[0]['stage'] == 'opened'
    assert broken[0]['team'] == 'club'
    assert broken[0]['engine_runs'] == 1
    expected = CRASHING_PART if is_crash else 'other'
    assert broken[0]['parts'] == f'first,{expected},last'
