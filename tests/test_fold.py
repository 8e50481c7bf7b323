"""Tests of the fold of the patch log."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicoryshunt.types import (
    ConfigVersion,
    LogPosition,
    ModelId,
    TargetId,
    TeamId,
)
from chicoryshunt.version.config import Config, Presence
from chicoryshunt.version.draft import find_flaw
from chicoryshunt.version.fold import (
    Accepted,
    Rejected,
    check_patch,
    fold_line,
)
from chicoryshunt.version.patch import MAX_PATCH_BYTES, Flaw, Rejection
from tests.builders import build_config, build_patch, build_set_team


def _set_target(**changes: object) -> dict[str, object]:
    target: dict[str, object] = {
        'address': '127.0.0.1:7009',
        'data_centre': 'luzon-a',
        'model': 'kibitzer-llm',
        'concurrent': 8,
    }
    return {
        'op': 'set_target',
        'name': 'target-9',
        'value': target | changes,
    }


def test_accepted_patch_makes_the_next_version() -> None:
    config = build_config()
    folding = fold_line(config, build_patch(1))
    assert folding.result == Accepted(LogPosition(1), ConfigVersion(2))
    assert folding.config.version == 2
    assert folding.config.position == 1
    assert folding.config.teams[TeamId('baguio')].weight == 2
    assert TeamId('baguio') not in config.teams


def test_second_of_two_racing_patches_is_rejected() -> None:
    first = fold_line(build_config(), build_patch(1))
    second = fold_line(
        first.config,
        build_patch(1, build_set_team('baguio', 5)),
    )
    assert second.result == Rejected(
        LogPosition(2),
        Rejection.not_current,
        'made against version 1, not 2',
    )
    assert second.config.version == 2
    assert second.config.teams == first.config.teams
    assert second.config.digest != first.config.digest


@pytest.mark.parametrize(
    ('line', 'rejection', 'named'),
    [
        (b'', Rejection.not_json, ''),
        (b'{"base": 1, "opera', Rejection.not_json, ''),
        (b'\xff\xfe', Rejection.not_json, ''),
        (b'[]', Rejection.invalid, 'object'),
        (b'{"base": 1, "operations": []}', Rejection.invalid, 'length'),
        (b' ' * (MAX_PATCH_BYTES + 1), Rejection.too_large, 'bytes'),
        (
            build_patch(1, {'op': 'set_colour', 'name': 'x'}),
            Rejection.invalid,
            'set_colour',
        ),
        (
            build_patch(1, _set_target(colour='blue')),
            Rejection.invalid,
            'colour',
        ),
        (
            build_patch(1, _set_target(concurrent=-1)),
            Rejection.invalid,
            'concurrent',
        ),
        (build_patch(1, build_set_team('a', -1)), Rejection.invalid, 'weight'),
        (build_patch(1, build_set_team('', 1)), Rejection.invalid, 'name'),
        (
            build_patch(1, _set_target(data_centre='luzon-z')),
            Rejection.unknown_name,
            'luzon-z',
        ),
        (
            build_patch(1, _set_target(model='absent')),
            Rejection.unknown_name,
            'absent',
        ),
        (
            build_patch(1, _set_target(service='arbiter-api')),
            Rejection.invalid,
            'not both',
        ),
        (
            build_patch(1, _set_target(address='localhost:1')),
            Rejection.invalid,
            'IP:port',
        ),
        (
            build_patch(1, {'op': 'remove_model', 'name': 'kibitzer-llm'}),
            Rejection.unknown_name,
            'target-0',
        ),
        (
            build_patch(1, {'op': 'remove_team', 'name': 'absent'}),
            Rejection.unknown_name,
            'operations[0]',
        ),
    ],
)
def test_flawed_patch_changes_nothing(
    line: bytes,
    rejection: Rejection,
    named: str,
) -> None:
    config = build_config()
    folding = fold_line(config, line)
    assert isinstance(folding.result, Rejected)
    assert folding.result.rejection is rejection
    assert named in folding.result.detail
    assert msgspec.structs.replace(
        folding.config,
        position=config.position,
        digest=config.digest,
    ) == (config)


def test_detail_of_a_rejection_is_bounded() -> None:
    patch = build_patch(1, {'op': 'x' * 9999, 'name': ''})
    flaw = check_patch(build_config(), patch)
    assert isinstance(flaw, Flaw)
    assert len(flaw.detail) < 1000


def test_operations_are_applied_together() -> None:
    patch = build_patch(
        1,
        _set_target(model='new'),
        {'op': 'set_model', 'name': 'new', 'value': {}},
    )
    folding = fold_line(build_config(), patch)
    assert folding.config.targets[TargetId('target-9')].model == ModelId('new')


def test_last_flawed_operation_undoes_the_others() -> None:
    config = build_config()
    patch = build_patch(
        1,
        build_set_team('baguio', 2),
        {'op': 'remove_team', 'name': 'absent'},
    )
    assert fold_line(config, patch).config.teams == config.teams


def test_tables_that_stay_are_shared() -> None:
    config = build_config()
    changed = fold_line(config, build_patch(1)).config
    assert changed.targets is config.targets
    assert changed.models is config.models


def test_presence_and_desired_are_changed() -> None:
    patch = build_patch(
        1,
        {
            'op': 'set_target_presence',
            'name': 'target-0',
            'presence': 'out',
        },
        {
            'op': 'set_desired',
            'name': 'target-1',
            'desired': {'model_version': 'v2'},
        },
    )
    config = fold_line(build_config(), patch).config
    assert config.targets[TargetId('target-0')].presence is Presence.out
    assert config.targets[TargetId('target-1')].desired.model_version == 'v2'
    assert config.desired_since == {TargetId('target-1'): 2}


def test_judgement_is_that_of_the_fold() -> None:
    judged = check_patch(build_config(), build_patch(1))
    assert isinstance(judged, Config)
    assert judged.version == 2


_NAMES = st.sampled_from(('luzon-a', 'kibitzer-llm', 'arbiter-api', 'target-0'))
_OPERATIONS = st.lists(
    st.one_of(
        st.builds(
            lambda kind, name: {'op': f'remove_{kind}', 'name': name},
            st.sampled_from(('data_centre', 'model', 'service', 'target')),
            _NAMES,
        ),
        st.builds(
            lambda centre, model: _set_target(data_centre=centre, model=model),
            _NAMES,
            _NAMES,
        ),
        st.builds(
            lambda name: {'op': 'set_model', 'name': name, 'value': {}},
            _NAMES,
        ),
    ),
    min_size=1,
    max_size=4,
)


@settings(derandomize=True, max_examples=300)
@given(operations=_OPERATIONS)
def test_accepted_version_has_no_flaw(
    operations: list[dict[str, object]],
) -> None:
    judged = check_patch(build_config(), build_patch(1, *operations))
    if isinstance(judged, Config):
        assert find_flaw(judged) is None
