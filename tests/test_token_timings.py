"""Tests of the arrival times of an answer's tokens."""

from chicoryshunt.request.token_timings import TokenTimings


def test_gaps_are_counted_by_milliseconds() -> None:
    timings = TokenTimings(started=10)
    for at in (10.5, 10.528, 10.556, 10.7):
        timings.record(at)
    assert timings.first_ms == 500
    assert timings.gaps_ms == {28: 2, 144: 1}


def test_no_timings_without_tokens() -> None:
    timings = TokenTimings(started=10)
    assert timings.first_ms is None
    assert not timings.gaps_ms
