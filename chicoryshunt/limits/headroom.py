"""How many more requests the memory of kept targets has room for."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from chicoryshunt.clock import Clock
from chicoryshunt.limits.holders import Holder
from chicoryshunt.limits.ledger import Ledger
from chicoryshunt.policy.admission import Limit, compute_headroom
from chicoryshunt.policy.occupancy import (
    HORIZONS,
    Curve,
    CurveReport,
    parse_curve,
    sum_curves,
)
from chicoryshunt.policy.slots import Headroom
from chicoryshunt.types import TargetId

_AGE_SECONDS = 0.5
_POINTS = len(HORIZONS)


@dataclass(frozen=True, slots=True)
class TypicalRequest:
    """A usual request of a model, and the deviations to keep free."""

    typical: Curve
    margin: float


@dataclass(frozen=True, slots=True)
class _Known:
    at: float
    ledger: Ledger
    given: Headroom
    slack: Headroom


class HeadroomLimits:
    """Lowers the limits of kept targets to what their memory will bear.

    A slot stands for one usual request; a large request takes several.
    """

    def __init__(
        self,
        find_ledger: Callable[[TargetId], Ledger | None],
        find_usual: Callable[[TargetId], TypicalRequest | None],
        clock: Clock,
    ) -> None:
        """Start without curves."""
        self._find_ledger = find_ledger
        self._find_usual = find_usual
        self._clock = clock
        self._known: dict[TargetId, _Known] = {}

    def lower_limit(self, target: TargetId, slack: Headroom) -> Headroom:
        """Return the slots that the memory has room for, and their tokens."""
        ledger = self._find_ledger(target)
        usual = self._find_usual(target)
        if ledger is None or usual is None or not usual.typical.requests:
            return slack
        known = self._known.get(target)
        now = self._clock.now()
        if known is not None and _is_current(known, ledger, slack, now):
            return known.slack
        adjusted = _compute(ledger, usual, slack)
        self._known[target] = _Known(now, ledger, slack, adjusted)
        return adjusted


def encode_curve(curve: Curve) -> tuple[int, ...]:
    """Return a curve as it travels in a claim, empty without requests."""
    if not curve.requests:
        return ()
    report = curve.to_report()
    return (
        report.requests,
        *report.mean,
        *report.deviation,
        *report.uncertainty,
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
    known: _Known,
    ledger: Ledger,
    slack: Headroom,
    now: float,
) -> bool:
    is_same = known.ledger is ledger and known.given == slack
    return is_same and now - known.at < _AGE_SECONDS


def _compute(
    ledger: Ledger, usual: TypicalRequest, slack: Headroom
) -> Headroom:
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
    return Headroom(slots, slots * usual.typical.peak)


def _pool(holders: Iterable[Holder]) -> Curve:
    curves = (decode_curve(holder.curve) for holder in holders)
    return sum_curves(curve for curve in curves if curve is not None)
