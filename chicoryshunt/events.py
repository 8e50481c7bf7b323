"""Structured log events, written as one line of key=value pairs each."""

import logging
import sys
import time
from typing import Protocol

import msgspec
from pythonjsonlogger.core import BaseJsonFormatter

_LOGGER = logging.getLogger('chicoryshunt')
_QUOTED_CHARACTERS = frozenset(' "=\n\t\\')


def log_event(event: str, **fields: object) -> None:
    """Log an event with its fields."""
    _LOGGER.info(event, extra=fields)


def log_routine(event: str, **fields: object) -> None:
    """Log a frequent event; above the rate limit events are dropped."""
    left_out = _SAMPLER.admit(time.monotonic())
    if left_out is None:
        return
    if left_out:
        fields['left_out'] = left_out
    log_event(event, **fields)


def log_problem(event: str, **fields: object) -> None:
    """Log an event that needs an operator's attention, as a warning."""
    _LOGGER.warning(event, extra=fields)


class Sampler:
    """Token bucket that limits the rate of routine events."""

    def __init__(self, per_second: float) -> None:
        """Allow so many events a second, and as many in a burst."""
        self._per_second = per_second
        self._tokens = per_second
        self._updated = float('-inf')
        self._left_out = 0

    def admit(self, now: float) -> int | None:
        """Return the number of events dropped since the last admitted one.

        Returns ``None`` if this event is to be dropped. ``now`` is in
        seconds.
        """
        gained = (now - self._updated) * self._per_second
        self._tokens = min(self._tokens + gained, self._per_second)
        self._updated = now
        if self._tokens < 1:
            self._left_out += 1
            return None
        self._tokens -= 1
        left_out = self._left_out
        self._left_out = 0
        return left_out


class LineStream(Protocol):
    """Text stream that log lines are written to."""

    def write(self, text: str, /) -> object:
        """Write one line."""

    def flush(self) -> object:
        """Write the buffered lines."""


# Limit of routine events on one node; problems are always logged.
_ROUTINE_PER_SECOND = 100
_SAMPLER = Sampler(_ROUTINE_PER_SECOND)


def configure_logging(stream: LineStream = sys.stderr) -> None:
    """Write every event to the stream as a line of key=value pairs."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        KeyValueFormatter(
            fmt='{asctime}{levelname}{message}',
            style='{',
            rename_fields={
                'asctime': 'time',
                'levelname': 'level',
                'message': 'event',
            },
        ),
    )
    _LOGGER.handlers = [handler]
    _LOGGER.setLevel(logging.INFO)
    _LOGGER.propagate = False


class KeyValueFormatter(BaseJsonFormatter):
    """Render the fields of a JSON log record as key=value pairs."""

    def jsonify_log_record(self, log_data: dict[str, object]) -> str:
        """Return the record as one line."""
        return ' '.join(
            f'{key}={_render(field)}'
            for key, field in log_data.items()
            if field is not None
        )


def _render(field: object) -> str:
    if isinstance(field, float):
        return f'{field:.6g}'
    text = str(field)
    if not text or not _QUOTED_CHARACTERS.isdisjoint(text):
        return msgspec.json.encode(text).decode()
    return text
