"""The rule for requests that a planned stop leaves without an answer."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

GRACE_SECONDS = 8.0
# A stop counts until so long after its grace.
_AFTER_SECONDS = 1.0
# A request that ends so soon after it was sent may not have been read.
_UNREAD_SECONDS = 0.2
# Requests that were sent so long after a stop may still be at work at its end.
_LATE_SECONDS = 3.0
_LAST_SHARE = 1 / 6


@dataclass(frozen=True, slots=True)
class Span:
    """A time from ``start`` to ``end``, in monotonic seconds."""

    start: float
    end: float

    def overlaps(self, other: 'Span') -> bool:
        """Return whether both have a moment in common."""
        return self.start <= other.end and other.start <= self.end


@dataclass(frozen=True, slots=True)
class Sent:
    """A request that was sent to a node, until its connection ended.

    ``deadline`` is when its caller or its route gives up.
    """

    request: str
    node: str
    span: Span
    deadline: float
    is_answered: bool


@dataclass(frozen=True, slots=True)
class Stop:
    """A SIGTERM to a node, in monotonic seconds."""

    node: str
    at: float


def find_lost(
    requests: Iterable[Sent],
    stops: Sequence[Stop],
    work: Mapping[str, Sequence[Span]],
) -> list[str]:
    """Return the requests that a stop cut off without an excuse.

    ``work`` holds when targets worked on a request.
    """
    lost = []
    for sent in requests:
        spans = work.get(sent.request, ())
        for stop in stops:
            if _is_lost(sent, stop, spans):
                after = sent.span.start - stop.at
                lost.append(
                    f'{sent.request} to {sent.node} was sent {after:.2f} s '
                    f'after SIGTERM, and cut {sent.span.end - stop.at:.2f} s '
                    f'after it; passed on: {bool(spans)}',
                )
    return lost


def _is_lost(sent: Sent, stop: Stop, spans: Sequence[Span]) -> bool:
    if sent.is_answered or sent.node != stop.node:
        return False
    grace = Span(stop.at, stop.at + GRACE_SECONDS + _AFTER_SECONDS)
    if not grace.start <= sent.span.end <= grace.end:
        return False
    is_read = spans or sent.span.end - sent.span.start > _UNREAD_SECONDS
    if not is_read or sent.span.end >= sent.deadline:
        return False
    return not _is_excused(sent, stop, spans)


def _is_excused(sent: Sent, stop: Stop, spans: Sequence[Span]) -> bool:
    """Return whether a target still worked on an early request at the end."""
    end = stop.at + GRACE_SECONDS
    last = Span(end - GRACE_SECONDS * _LAST_SHARE, end)
    is_early = sent.span.start <= stop.at + _LATE_SECONDS
    return is_early and any(one.overlaps(last) for one in spans)
