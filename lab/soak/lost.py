"""The rule for requests that a planned stop leaves without an answer."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

GRACE_SECONDS = 8.0
# A reload counts for requests that are sent up to so long after it.
_APPLY_SECONDS = 2.0
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
    # When its body was whole, if that took longer than its head.
    last_byte: float = 0


@dataclass(frozen=True, slots=True)
class Stop:
    """A SIGTERM to a node, in monotonic seconds."""

    node: str
    at: float


@dataclass(frozen=True, slots=True)
class Reload:
    """A SIGHUP to a node, in monotonic seconds."""

    node: str
    at: float


def find_lost(
    requests: Iterable[Sent],
    signals: Sequence[Stop | Reload],
    work: Mapping[str, Sequence[Span]],
) -> list[str]:
    """Return the requests that a signal cut off without an excuse.

    ``work`` holds when targets worked on a request.
    """
    lost = []
    stops = [one for one in signals if isinstance(one, Stop)]
    for sent in requests:
        spans = work.get(sent.request, ())
        if not _is_cut(sent, spans) or any(
            _is_excused(sent, stop, spans) for stop in stops
        ):
            continue
        around = [
            one
            for one in signals
            if one.node == sent.node and _concerns(one, sent.span)
        ]
        if around:
            lost.append(_describe(sent, around, spans))
    return lost


def _is_cut(sent: Sent, spans: Sequence[Span]) -> bool:
    """Return whether a request that was read had no answer in time."""
    whole_at = max(sent.span.start, sent.last_byte)
    is_read = spans or sent.span.end - whole_at > _UNREAD_SECONDS
    return (
        not sent.is_answered
        and bool(is_read)
        and (sent.span.end < sent.deadline)
    )


def _concerns(one: Stop | Reload, span: Span) -> bool:
    """Return whether a request that was cut counts around a signal."""
    match one:
        case Stop(_, at):
            return at <= span.end <= at + GRACE_SECONDS + _AFTER_SECONDS
        case Reload(_, at):
            return span.start <= at + _APPLY_SECONDS and span.end > at


def _is_excused(sent: Sent, stop: Stop, spans: Sequence[Span]) -> bool:
    """Return whether a target still worked on an early request at the end."""
    if sent.node != stop.node or not _concerns(stop, sent.span):
        return False
    end = stop.at + GRACE_SECONDS
    last = Span(end - GRACE_SECONDS * _LAST_SHARE, min(end, sent.span.end))
    if last.end < last.start:
        return False
    is_early = sent.span.start <= stop.at + _LATE_SECONDS
    return is_early and any(one.overlaps(last) for one in spans)


def _describe(
    sent: Sent, around: Sequence[Stop | Reload], spans: Sequence[Span]
) -> str:
    """Name every signal around a request: a reload may follow a stop."""
    times = ' and '.join(_describe_times(sent.span, one) for one in around)
    return (
        f'{sent.request} to {sent.node} was {times}, '
        f'{sent.deadline - sent.span.end:.3f} s before its '
        f'deadline; passed on: {bool(spans)}'
    )


def _describe_times(span: Span, one: Stop | Reload) -> str:
    name = 'SIGTERM' if isinstance(one, Stop) else 'SIGHUP'
    return (
        f'sent {span.start - one.at:.2f} s and '
        f'cut {span.end - one.at:.2f} s after {name}'
    )
