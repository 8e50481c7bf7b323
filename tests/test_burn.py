"""Tests of the burn rate report and the windows it reads."""

from collections import Counter

import msgspec
import pytest

from chicoryshunt.burn import WINDOWS, Burn, Objective, build_report
from chicoryshunt.report import render_page, render_text
from chicoryshunt.serving.service_levels import (
    OTHER_TEAMS,
    Sample,
    SeriesKey,
    ServiceLevelRecorder,
    ServiceLevels,
)
from chicoryshunt.types import DataCentreId, ModelId, TeamId

_MINUTE = 60


def _build_sample(team: str = 'olongapo', **changes: object) -> Sample:
    sample = Sample(
        team=TeamId(team),
        served=ModelId('kibitzer-llm'),
        data_centre=DataCentreId('luzon-a'),
        first_ms=100,
        first_limit_ms=680,
        gap_limit_ms=28,
        gaps_ms=Counter({20: 90, 60: 10}),
    )
    for name, one in changes.items():
        setattr(sample, name, one)
    return sample


def _find_burn(levels: list[ServiceLevels], objective: Objective) -> Burn:
    report = build_report(levels)
    key = SeriesKey('kibitzer-llm', data_centre='luzon-a')
    return next(
        burn
        for burn in report.burns
        if burn.key == key and burn.objective is objective
    )


def test_burn_is_bad_share_over_budget() -> None:
    recorder = ServiceLevelRecorder(0)
    recorder.record(_build_sample(), 1)
    burn = _find_burn([recorder.export('vm-1', 1)], Objective.token_gap)
    assert burn.rates == pytest.approx([2 for _ in WINDOWS])
    assert burn.events == 100
    assert burn.budget_left == 0


def test_nodes_are_merged() -> None:
    good = ServiceLevelRecorder(0)
    bad = ServiceLevelRecorder(0)
    good.record(_build_sample(), 1)
    bad.record(_build_sample(refused=True), 1)
    levels = [good.export('vm-1', 1), bad.export('vm-2', 1)]
    sent = msgspec.json.encode(levels)
    received = msgspec.json.decode(sent, type=list[ServiceLevels])
    burn = _find_burn(received, Objective.answered)
    assert burn.events == 2
    assert burn.rates[0] == pytest.approx(500)


def test_old_minutes_leave_the_short_window() -> None:
    recorder = ServiceLevelRecorder(0)
    recorder.record(_build_sample(incomplete=True), 1)
    later = 7 * _MINUTE
    recorder.record(_build_sample(), later)
    burn = _find_burn([recorder.export('vm-1', later)], Objective.answered)
    assert burn.rates[0] == 0
    assert burn.rates[1] == pytest.approx(500)


def test_windows_are_empty_after_a_long_idle_time() -> None:
    recorder = ServiceLevelRecorder(0)
    recorder.record(_build_sample(), 1)
    levels = recorder.export('vm-1', 100 * _MINUTE * _MINUTE)
    assert not any(any(row) for one in levels.series for row in one.minutes)
    assert not any(any(row) for one in levels.series for row in one.hours)


def test_many_teams_share_one_series() -> None:
    recorder = ServiceLevelRecorder(0)
    for number in range(3000):
        recorder.record(_build_sample(team=f'team-{number}'), 1)
    levels = recorder.export('vm-1', 1)
    teams = {series.key.team for series in levels.series}
    assert OTHER_TEAMS in teams
    assert len(levels.series) <= 2050
    total = sum(one.minutes[0][0] for one in levels.series if one.key.team)
    assert total == 3000


def test_stall_counts_first_token_and_gaps() -> None:
    sample = _build_sample(first_ms=700)
    assert sample.stall_ms == 20 + 10 * 32


def test_page_is_self_contained() -> None:
    recorder = ServiceLevelRecorder(0)
    recorder.record(_build_sample(team='<b>'), 1)
    recorder.record_preemptions('engine-1', 3)
    report = build_report([recorder.export('vm-1', 1)])
    page = render_page(report)
    assert '<svg' in page
    assert 'src=' not in page
    assert 'href="http' not in page
    assert '<b>' not in page
    assert 'engine-1' in render_text(report)
