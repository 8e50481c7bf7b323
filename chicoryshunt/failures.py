"""Containment of unexpected errors."""

from collections.abc import Iterator
from contextlib import contextmanager

from chicoryshunt.events import log_problem


@contextmanager
def contain_failure(event: str, **fields: object) -> Iterator[None]:
    """Log an unexpected error of the block as a problem, and continue.

    It encloses the work on one message or the like, so that one that is not
    handled correctly does not end the process and, as it may be read again
    after a restart, all others.
    """
    try:
        yield
    except Exception as error:
        log_problem(event, error=repr(error), **fields)
