"""Tests of what a leg reports of its engine."""

from types import SimpleNamespace
from typing import Any, cast

import pytest

from chicoryshunt.clock import ManualClock
from chicoryshunt.dispatch.outliers import ExchangeOutcome
from chicoryshunt.relay.leg_watch import LegWatch
from chicoryshunt.relay.stream_inputs import LegEnd, LegId
from tests.fleet_builders import build_fact


def _build_watch(context: SimpleNamespace) -> LegWatch:
    return LegWatch(
        cast(Any, context),
        cast(Any, SimpleNamespace(request='r1')),
        build_fact('e1'),
        None,
        LegId(0),
        0,
    )


def test_damage_counts_against_the_engine() -> None:
    outcomes: list[object] = []
    reported: list[object] = []
    context = SimpleNamespace(
        record_outcome=lambda *outcome: outcomes.append(outcome),
        prompt_guard=SimpleNamespace(
            report_break=lambda _, target: reported.append(target.target)
        ),
    )

    _build_watch(context).record_damage(ExchangeOutcome.garbled)

    assert outcomes == [('e1', ExchangeOutcome.garbled)]
    assert reported == ['e1']


@pytest.mark.parametrize(
    ('end', 'reported'), [(LegEnd.whole, []), (LegEnd.closed, ['e1'])]
)
def test_a_crash_without_framing_is_checked_for(
    end: LegEnd, reported: list[str]
) -> None:
    """Guards against prompts that crash engines and are never suspected."""
    found: list[object] = []
    cleared: list[object] = []
    context = SimpleNamespace(
        prompt_guard=SimpleNamespace(
            report_break=lambda _, target: found.append(target.target),
            clear_later=lambda _, target: cleared.append(target.target),
        ),
    )

    _build_watch(context).record_end(end)

    assert found == reported
    # It is cleared only if the engine has not crashed by then.
    assert cleared == ['e1']


@pytest.mark.parametrize(('is_copying', 'count'), [(False, 1), (True, 0)])
def test_a_leg_reports_the_pace(is_copying: bool, count: int) -> None:
    """Guards against gaps during copies that count as an engine's pace."""
    reports: list[object] = []
    clock = ManualClock(100)
    context = SimpleNamespace(
        clock=clock,
        is_copying=lambda _: is_copying,
        find_engine_rules=lambda _: SimpleNamespace(tokens_per_event=4),
        exchanges=SimpleNamespace(
            pace=SimpleNamespace(
                was_delayed=lambda *_: False,
                report=lambda *report: reports.append(report),
            ),
        ),
    )
    watch = _build_watch(context)
    watch.incoming = cast(Any, SimpleNamespace(params=None))
    watch.measure_pace()
    for _ in range(21):
        clock.advance(0.04)
        watch.record_events(1)

    assert len(reports) == count
