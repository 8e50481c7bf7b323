"""Finds the target for a request, or the reasons why there is none."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from chicoryshunt.policy.admission import (
    Fit,
    Limit,
    NoMemory,
    NoSlot,
    check_fit,
)
from chicoryshunt.policy.choice import (
    Candidate,
    Choice,
    choose_target,
    compute_overflow_chance,
)
from chicoryshunt.policy.occupancy import Curve
from chicoryshunt.policy.queue import RequestSpec
from chicoryshunt.policy.slots import Headroom
from chicoryshunt.policy.survival import SizeClass
from chicoryshunt.policy.tracker import (
    Closed,
    Exclusive,
    Granted,
    Leased,
    TargetTracker,
)

Misfit = NoSlot | NoMemory | Closed


@dataclass(frozen=True, slots=True)
class Demand:
    """A request, its predicted memory, and the memory to keep free.

    ``margin`` is in standard deviations; ``reserve`` is the fraction of the
    memory that the request may not use.
    """

    spec: RequestSpec
    curve: Curve
    margin: float
    reserve: float = 0


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen target and how the request fits there."""

    choice: Choice
    fit: Fit


@dataclass(frozen=True, slots=True)
class NoPlacement:
    """No target can take the request; ``misfits`` has the reasons."""

    misfits: tuple[Misfit, ...]


def find_placement(
    trackers: Iterable[TargetTracker],
    demand: Demand,
    now: float,
) -> Placement | NoPlacement:
    """Return the best target on which a request fits."""
    fits: dict[str, Fit] = {}
    misfits: list[Misfit] = []
    candidates: list[Candidate] = []
    for tracker in trackers:
        verdict = check_quota(tracker, demand, now)
        match verdict:
            case Fit():
                fits[tracker.target] = verdict
                candidates.append(
                    _build_candidate(tracker, demand, verdict, now)
                )
            case _:
                misfits.append(verdict)
    choice = choose_target(candidates, demand.spec.prompt_tokens)
    if choice is None:
        return NoPlacement(tuple(misfits))
    return Placement(choice, fits[choice.target])


def check_quota(
    tracker: TargetTracker, demand: Demand, now: float
) -> Fit | Misfit:
    """Return whether a request fits on one target, or why not."""
    match tracker.quota:
        case Closed():
            return tracker.quota
        case Exclusive(limit):
            return check_fit(
                limit,
                tracker.predict(now),
                demand.curve,
                demand.margin,
                reserve=demand.reserve,
                is_short=demand.spec.kind.size is SizeClass.short,
            )
        case Leased(headroom, limit):
            lease = check_lease(headroom, limit.memory_tokens, demand.curve)
            if isinstance(lease, Fit) and tracker.running:
                return _check_leased_part(tracker, headroom, limit, demand, now)
            return lease
        case Granted(headroom, limit, short_slots):
            if demand.spec.kind.size is SizeClass.short and short_slots:
                return Fit(1, demand.margin)
            return check_lease(headroom, limit.memory_tokens, demand.curve)


def _check_leased_part(
    tracker: TargetTracker,
    headroom: Headroom,
    limit: Limit,
    demand: Demand,
    now: float,
) -> Fit | Misfit:
    """Return whether a request fits into a leased part over time.

    The sum of the parts of all nodes varies relatively less than each part,
    so each node uses less than the full margin.
    """
    curve = tracker.predict(now)
    memory = tracker.reserved_tokens + headroom.memory_tokens
    fraction = min(memory / max(limit.memory_tokens, 1), 1)
    return check_fit(
        Limit(curve.requests + headroom.slots, memory),
        curve,
        demand.curve,
        demand.margin * math.cbrt(fraction),
        reserve=demand.reserve,
        is_short=demand.spec.kind.size is SizeClass.short,
    )


def check_lease(
    headroom: Headroom,
    memory_tokens: int,
    request: Curve,
) -> Fit | Misfit:
    """Return whether a request fits into the unused part of a lease."""
    if headroom.slots < 1:
        return NoSlot(headroom.slots)
    if request.peak > headroom.memory_tokens:
        return NoMemory(0, request.peak, headroom.memory_tokens)
    free = (headroom.memory_tokens - request.peak) / memory_tokens
    return Fit(1 - free, 0)


def _build_candidate(
    tracker: TargetTracker,
    demand: Demand,
    fit: Fit,
    now: float,
) -> Candidate:
    return Candidate(
        target=tracker.target,
        part_used=fit.part_used,
        overflow_chance=compute_overflow_chance(fit.deviations_free),
        pending_tokens=tracker.pending_tokens,
        waiting=tracker.waiting,
        step_seconds=tracker.step_seconds,
        cached_chance=tracker.prefix_hints.estimate(demand.spec.prefix, now),
        is_local=tracker.is_local,
    )
