"""How many more requests the memory of kept targets has room for."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from chicoryshunt.clock import Clock
from chicoryshunt.limits.holders import Holder
from chicoryshunt.limits.ledger import Ledger
from chicoryshunt.policy.admission import Limit, compute_headroom
from chicoryshunt.policy.allowance import Slack
from chicoryshunt.policy.occupancy import (
    HORIZONS,
    Curve,
    CurveReport,
    parse_curve,
    pool_curves,
)
from chicoryshunt.types import TargetId

_MAX_AGE_SECONDS = 0.5
_POINTS = len(HORIZONS)


@dataclass(frozen=True, slots=True)
class Usual:
    """A usual request of a model, and the deviations to keep free."""

    typical: Curve
    margin: float


@dataclass(frozen=True, slots=True)
class _Cached:
    computed_at: float
    ledger: Ledger
    declared: Slack
    lowered: Slack


class Headrooms:
    """Lowers the limits of kept targets to what their memory will bear.

    A slot stands for one usual request; a large request takes several.
    """

    def __init__(
        self,
        find_ledger: Callable[[TargetId], Ledger | None],
        find_usual: Callable[[TargetId], Usual | None],
        clock: Clock,
    ) -> None:
        """Start without curves."""
        self._find_ledger = find_ledger
        self._find_usual = find_usual
        self._clock = clock
        self._cached: dict[TargetId, _Cached] = {}

    def adjust(self, target: TargetId, slack: Slack) -> Slack:
        """Return the slots that the memory has room for, and their tokens."""
        ledger = self._find_ledger(target)
        usual = self._find_usual(target)
        if ledger is None or usual is None or not usual.typical.requests:
            return slack
        known = self._cached.get(target)
        now = self._clock.now()
        if known is not None and _is_current(known, ledger, slack, now):
            return known.lowered
        adjusted = _compute(ledger, usual, slack)
        self._cached[target] = _Cached(now, ledger, slack, adjusted)
        return adjusted


def encode_curve(curve: Curve) -> tuple[int, ...]:
    """Return a curve as it travels in a claim, empty without requests."""
    if not curve.requests:
        return ()
    report = curve.report()
    return (
        report.requests,
        *report.mean,
        *report.deviation,
        *report.doubt,
    )


def decode_curve(numbers: tuple[int, ...]) -> Curve | None:
    """Return the curve of a claim, nothing if it is none."""
    if len(numbers) != 1 + _POINTS * 3:
        return None
    parts = [
        numbers[start : start + _POINTS]
        for start in range(1, len(numbers), _POINTS)
    ]
    return parse_curve(CurveReport(numbers[0], *parts))


def _is_current(
    known: _Cached,
    ledger: Ledger,
    slack: Slack,
    now: float,
) -> bool:
    is_same = known.ledger is ledger and known.declared == slack
    return is_same and now - known.computed_at < _MAX_AGE_SECONDS


def _compute(ledger: Ledger, usual: Usual, slack: Slack) -> Slack:
    holders = tuple(ledger.holders.values())
    pooled = _pool(holders)
    reported = 0 if ledger.load is None else ledger.load.memory_used
    unknown = max(0, reported - int(pooled.mean[0]))
    pooled = replace(pooled, mean=pooled.mean + unknown)
    free = compute_headroom(
        Limit(slack.slots, slack.memory_tokens),
        pooled,
        usual.typical,
        usual.margin,
    )
    used = sum(holder.used for holder in holders)
    slots = min(slack.slots, used + free.slots)
    return Slack(slots, slots * usual.typical.peak)


def _pool(holders: Iterable[Holder]) -> Curve:
    curves = (decode_curve(holder.curve) for holder in holders)
    return pool_curves(curve for curve in curves if curve is not None)
