"""Structured log events, one key=value line each."""

import logging
import sys
from typing import TextIO

import msgspec
from pythonjsonlogger.core import BaseJsonFormatter

_LOGGER = logging.getLogger('chicoryshunt')
_NEEDS_QUOTES = frozenset(' "=\n\t\\')


def log_event(event: str, **fields: object) -> None:
    """Write one event with its fields."""
    _LOGGER.info(event, extra=fields)


def log_problem(event: str, **fields: object) -> None:
    """Write one event that an operator should look at."""
    _LOGGER.warning(event, extra=fields)


def configure_logging(stream: TextIO = sys.stderr) -> None:
    """Send every event to the stream as key=value lines."""
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
    if not text or not _NEEDS_QUOTES.isdisjoint(text):
        return msgspec.json.encode(text).decode()
    return text
