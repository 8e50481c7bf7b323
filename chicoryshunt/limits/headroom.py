"""Limits of kept targets by the memory that their requests will use."""

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

_MAX_AGE_SECONDS = 0.5
_POINTS = len(HORIZONS)


@dataclass(frozen=True, slots=True)
class TypicalRequest:
    """A typical request of a model, and the deviations to keep free."""

    curve: Curve
    margin: float


@dataclass(frozen=True, slots=True)
class _Cached:
    computed_at: float
    ledger: Ledger
    declared: Headroom
    lowered: Headroom


class HeadroomLimits:
    """Lowers the limits of kept targets to what fits into their memory.

    A slot stands for one typical request; a large request takes several.
    """

    def __init__(
        self,
        find_ledger: Callable[[TargetId], Ledger | None],
        find_typical: Callable[[TargetId], TypicalRequest | None],
        clock: Clock,
    ) -> None:
        """Start without computed limits."""
        self._find_ledger = find_ledger
        self._find_typical = find_typical
        self._clock = clock
        self._cached: dict[TargetId, _Cached] = {}

    def lower_limit(self, target: TargetId, limit: Headroom) -> Headroom:
        """Return the slots that fit into the memory, and their tokens."""
        ledger = self._find_ledger(target)
        typical = self._find_typical(target)
        if ledger is None or typical is None or not typical.curve.requests:
            return limit
        cached = self._cached.get(target)
        now = self._clock.now()
        if cached is not None and _is_current(cached, ledger, limit, now):
            return cached.lowered
        adjusted = _compute(ledger, typical, limit)
        self._cached[target] = _Cached(now, ledger, limit, adjusted)
        return adjusted


def encode_curve(curve: Curve) -> tuple[int, ...]:
    """Return a curve as sent in a claim, empty without requests."""
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
    """Return the curve of a claim, or nothing if it has none."""
    if len(numbers) != 1 + _POINTS * 3:
        return None
    parts = [
        numbers[start : start + _POINTS]
        for start in range(1, len(numbers), _POINTS)
    ]
    return parse_curve(CurveReport(numbers[0], *parts))


def _is_current(
    cached: _Cached,
    ledger: Ledger,
    limit: Headroom,
    now: float,
) -> bool:
    is_same = cached.ledger is ledger and cached.declared == limit
    return is_same and now - cached.computed_at < _MAX_AGE_SECONDS


def _compute(
    ledger: Ledger, typical: TypicalRequest, limit: Headroom
) -> Headroom:
    holders = tuple(ledger.holders.values())
    pooled = _pool(holders)
    reported = 0 if ledger.load is None else ledger.load.memory_used
    unaccounted = max(0, reported - int(pooled.mean[0]))
    pooled = replace(pooled, mean=pooled.mean + unaccounted)
    free = compute_headroom(
        Limit(limit.slots, limit.memory_tokens),
        pooled,
        typical.curve,
        typical.margin,
    )
    used = sum(holder.used for holder in holders)
    slots = min(limit.slots, used + free.slots)
    return Headroom(slots, slots * typical.curve.peak)


def _pool(holders: Iterable[Holder]) -> Curve:
    curves = (decode_curve(holder.curve) for holder in holders)
    return sum_curves(curve for curve in curves if curve is not None)
