"""The soak of planned stops: a short run, and a check that can fail."""

import subprocess
import sys
from pathlib import Path

import pytest

from lab.soak.lost import Reload, Sent, Span, Stop, find_lost

_ROOT = Path(__file__).resolve().parents[1]
# A run takes half a minute; one that hangs is ended long after that.
_MOST_SECONDS = 240
_DEADLINE = 139.0
_STOP = Stop('a', 100)


def test_a_series_of_stops_loses_no_request() -> None:
    """Guards against requests that a node takes late in its grace and cuts."""
    finished = subprocess.run(
        (
            sys.executable,
            '-m',
            'lab.soak.stops',
            '--seed=2',
            '--seconds=14',
            '--nodes=6',
        ),
        cwd=_ROOT,
        capture_output=True,
        text=True,
        timeout=_MOST_SECONDS,
        check=False,
    )

    assert finished.returncode == 0, finished.stdout + finished.stderr


def _find(
    start: float,
    end: float,
    *work: Span,
    node: str = 'a',
    answered: bool = False,
) -> list[str]:
    sent = Sent('r', node, Span(start, end), _DEADLINE, answered)
    return find_lost([sent], [_STOP], {'r': work})


@pytest.mark.parametrize(
    ('start', 'end', 'work'),
    [
        # Sent late in the grace and passed on.
        (103.1, 107.6, [Span(103.1, 107.6)]),
        # Not passed on, but read.
        (102, 107.6, []),
        # Its target had finished before the last sixth of the grace.
        (99, 107.6, [Span(99, 106)]),
        # Its target worked on when it had been cut.
        (99, 105, [Span(99, 107.6)]),
    ],
)
def test_a_lost_request_is_found(
    start: float, end: float, work: list[Span]
) -> None:
    assert len(_find(start, end, *work)) == 1


@pytest.mark.parametrize(
    ('start', 'end', 'work'),
    [
        # Its target was at work in the last sixth of the grace.
        (99, 107.6, [Span(99, 107.6)]),
        (102.9, 106.8, [Span(102.9, 106.8)]),
        # It may not have been read.
        (107.5, 107.6, []),
        # It ended before the stop, or long after it.
        (90, 99, [Span(90, 99)]),
        (110, 112, [Span(110, 112)]),
        # Its deadline was reached.
        (100, 140, [Span(100, 140)]),
    ],
)
def test_an_excused_request_is_not_lost(
    start: float, end: float, work: list[Span]
) -> None:
    assert not _find(start, end, *work)


def test_other_requests_are_not_lost() -> None:
    work = Span(103.1, 107.6)

    assert not _find(103.1, 107.6, work, answered=True)
    assert not _find(103.1, 107.6, work, node='b')


@pytest.mark.parametrize(
    ('start', 'end', 'is_lost'),
    [
        (99, 101, True),
        (101.9, 130, True),
        # It was sent later, or ended before.
        (102.1, 104, False),
        (98, 99.9, False),
    ],
)
def test_a_reload_cuts_no_request(
    start: float, end: float, is_lost: bool
) -> None:
    work = Span(start, end)
    sent = Sent('r', 'a', work, _DEADLINE, is_answered=False)

    lost = find_lost([sent], [Reload('a', 100)], {'r': [work]})

    assert bool(lost) is is_lost


def test_a_finding_names_every_signal() -> None:
    """Guards against a loss of a stop that is blamed on a later reload."""
    sent = Sent('r', 'a', Span(107.33, 107.55), _DEADLINE, is_answered=False)

    text = find_lost([sent], [_STOP, Reload('a', 106.4)], {})[0]

    assert 'sent 7.33 s and cut 7.55 s after SIGTERM' in text
    assert 'sent 0.93 s and cut 1.15 s after SIGHUP' in text


def test_a_reload_counts_no_excused_request() -> None:
    work = Span(99, 107.6)
    sent = Sent('r', 'a', work, _DEADLINE, is_answered=False)

    assert not find_lost([sent], [_STOP, Reload('a', 99)], {'r': [work]})


@pytest.mark.parametrize(
    ('last_byte', 'is_lost'),
    [(107.2, True), (107.5, False), (float('inf'), False)],
)
def test_a_body_that_is_not_whole_is_not_read(
    last_byte: float, is_lost: bool
) -> None:
    span = Span(99, 107.6)
    sent = Sent(
        'r', 'a', span, _DEADLINE, is_answered=False, last_byte=last_byte
    )

    assert bool(find_lost([sent], [_STOP], {})) is is_lost
