"""Tests of which prompt parts are taken for the cause of crashes."""

import pytest

from chicoryshunt.dispatch.crash_suspects import (
    Block,
    CrashSuspects,
    PartKey,
)
from chicoryshunt.types import TargetId

FIRST, SECOND, BAD, OTHER = (PartKey(number) for number in range(1, 5))
FOUR_HOURS = 14400


def _build(*crashes: tuple[str, float, tuple[PartKey, ...]]) -> CrashSuspects:
    suspects = CrashSuspects()
    for target, at, parts in crashes:
        suspects.add_crash(TargetId(target), parts, at)
    return suspects


def _find_parts(suspects: CrashSuspects, *parts: PartKey) -> set[PartKey]:
    block = suspects.find_block(parts)
    return set() if block is None else set(block.parts)


def test_one_crash_blocks_nothing() -> None:
    suspects = _build(('e1', 0, (FIRST, BAD)))

    assert suspects.find_block((FIRST, BAD)) is None


def test_two_crashes_block_their_common_parts() -> None:
    suspects = _build(('e1', 0, (FIRST, BAD)), ('e2', 5, (SECOND, BAD)))

    assert _find_parts(suspects, OTHER, BAD) == {BAD}
    assert suspects.find_block((FIRST, SECOND)) is None


def test_inseparable_parts_block_only_together() -> None:
    """Guards against sound requests that are refused for a shared part."""
    suspects = _build(('e1', 0, (FIRST, BAD)), ('e2', 5, (FIRST, BAD)))

    assert suspects.find_block((FIRST, OTHER)) is None
    assert suspects.find_block((SECOND, BAD)) is None
    assert _find_parts(suspects, FIRST, BAD) == {FIRST, BAD}


def test_a_sound_run_clears_its_parts() -> None:
    suspects = _build(('e1', 0, (FIRST, BAD)), ('e2', 5, (FIRST, BAD)))

    assert suspects.clear((FIRST, OTHER)) == [FIRST]
    assert _find_parts(suspects, SECOND, BAD) == {BAD}
    assert not suspects.add_crash(TargetId('e3'), (FIRST,), 9)


def test_a_cleared_part_is_never_blocked() -> None:
    suspects = CrashSuspects()
    suspects.clear((FIRST,))
    for number in range(9):
        suspects.add_crash(TargetId(f'e{number}'), (FIRST,), number * 5)

    assert suspects.find_block((FIRST,)) is None


def test_engines_that_crash_together_count_once() -> None:
    """Guards against a data centre without power that blocks a prompt."""
    suspects = _build(
        *((f'e{number}', number / 50, (FIRST,)) for number in range(9))
    )

    assert suspects.find_block((FIRST,)) is None


def test_a_burst_of_crashes_blocks_soon() -> None:
    """Guards against a fleet whose engines all crash before a block."""
    suspects = _build(
        *((f'e{number}', number * 0.31, (BAD,)) for number in range(3))
    )

    assert _find_parts(suspects, BAD) == {BAD}


def test_reports_of_one_crash_count_once() -> None:
    suspects = _build(('e1', 0, (FIRST, BAD)), ('e1', 1.2, (BAD, OTHER)))

    assert suspects.find_block((FIRST, BAD, OTHER)) is None
    assert len(suspects.list_crashes()) == 1


def test_an_explained_crash_suspects_nothing_else() -> None:
    """Guards against parts that happened to begin on a crashing engine."""
    suspects = _build(
        ('e1', 0, (BAD, OTHER)),
        ('e2', 5, (BAD,)),
        ('e3', 10, (BAD,)),
        ('e4', 15, (OTHER,)),
    )

    assert _find_parts(suspects, BAD) == {BAD}
    assert suspects.find_block((OTHER,)) is None


def test_two_crashing_parts_are_both_found() -> None:
    suspects = _build(
        ('e1', 0, (FIRST, BAD)),
        ('e2', 5, (FIRST, BAD)),
        ('e3', 10, (SECOND, OTHER)),
        ('e4', 15, (SECOND, OTHER)),
    )
    suspects.clear((FIRST, SECOND))

    assert _find_parts(suspects, BAD) == {BAD}
    assert _find_parts(suspects, OTHER) == {OTHER}


@pytest.mark.parametrize(
    ('crash_count', 'seconds'), [(2, 120), (3, 240), (9, 3600)]
)
def test_each_crash_blocks_for_longer(crash_count: int, seconds: float) -> None:
    suspects = _build(
        *((f'e{number}', number * 5, (BAD,)) for number in range(crash_count))
    )

    last = (crash_count - 1) * 5
    assert suspects.blocks == (
        Block(frozenset((BAD,)), crash_count, last + seconds),
    )


def test_old_crashes_are_forgotten() -> None:
    suspects = _build(('e1', 0, (BAD,)), ('e2', 5, (BAD,)))
    suspects.forget_old(FOUR_HOURS)

    assert not suspects.blocks
    assert not suspects.list_crashes()


def test_crashes_and_cleared_parts_are_bounded() -> None:
    """Guards against tables that grow with every crash and every prompt."""
    suspects = CrashSuspects()
    for number in range(1000):
        suspects.add_crash(
            TargetId(f'e{number}'),
            [PartKey(part) for part in range(number, number + 100)],
            number * 5,
        )
    suspects.clear(map(PartKey, range(10_000, 30_000)))

    crashes = suspects.list_crashes()
    assert len(crashes) == 48
    assert max(len(crash.suspects) for crash in crashes) == 24
    assert len(suspects.list_cleared(map(PartKey, range(30_000)))) == 8192
