"""Tests of log events."""

from io import StringIO

from chicoryshunt.events import configure_logging, log_event


def test_event_is_one_line_of_pairs() -> None:
    stream = StringIO()
    configure_logging(stream)
    log_event('started', vm='vm-1', detail='two words\nand "quotes"', n=1.5)
    text = stream.getvalue()
    assert text.count('\n') == 1
    assert 'event=started vm=vm-1' in text
    assert r'detail="two words\nand \"quotes\""' in text
    assert text.endswith('n=1.5\n')
