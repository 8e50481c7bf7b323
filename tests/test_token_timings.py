"""Tests of the pace of an answer."""

from chicoryshunt.request.token_timings import TokenTimings


def test_gaps_are_counted_by_milliseconds() -> None:
    pace = TokenTimings(started=10)
    for at in (10.5, 10.528, 10.556, 10.7):
        pace.record(at)
    assert pace.first_ms == 500
    assert pace.gaps_ms == {28: 2, 144: 1}


def test_nothing_arrived() -> None:
    pace = TokenTimings(started=10)
    assert pace.first_ms is None
    assert not pace.gaps_ms
