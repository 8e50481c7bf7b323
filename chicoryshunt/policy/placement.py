"""Finds the target that a request should go to, or why there is none."""

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
    """A request, the memory it will hold, and what is kept free of it.

    ``margin`` counts standard deviations; ``reserve`` is a part of the
    memory that the request may not use.
    """

    spec: RequestSpec
    curve: Curve
    margin: float
    reserve: float = 0


@dataclass(frozen=True, slots=True)
class Placement:
    """The target chosen and how the request fits there."""

    choice: Choice
    fit: Fit


@dataclass(frozen=True, slots=True)
class NoPlace:
    """No target takes the request; each one's reason."""

    misfits: tuple[Misfit, ...]


def find_place(
    books: Iterable[TargetTracker],
    demand: Demand,
    now: float,
) -> Placement | NoPlace:
    """Choose among the targets that the request fits on."""
    fits: dict[str, Fit] = {}
    misfits: list[Misfit] = []
    candidates: list[Candidate] = []
    for book in books:
        verdict = check_room(book, demand, now)
        match verdict:
            case Fit():
                fits[book.target] = verdict
                candidates.append(_describe(book, demand, verdict, now))
            case _:
                misfits.append(verdict)
    choice = choose_target(candidates, demand.spec.prompt_tokens)
    if choice is None:
        return NoPlace(tuple(misfits))
    return Placement(choice, fits[choice.target])


def check_room(book: TargetTracker, demand: Demand, now: float) -> Fit | Misfit:
    """Say whether a request fits on one target."""
    match book.quota:
        case Closed():
            return book.quota
        case Exclusive(limit):
            return check_fit(
                limit,
                book.predict(now),
                demand.curve,
                demand.margin,
                reserve=demand.reserve,
                is_short=demand.spec.kind.size is SizeClass.short,
            )
        case Leased(slack, limit):
            lease = check_lease(slack, limit.memory_tokens, demand.curve)
            if isinstance(lease, Fit) and book.running:
                return _check_part(book, slack, limit, demand, now)
            return lease
        case Granted(slack, limit, short_slots):
            if demand.spec.kind.size is SizeClass.short and short_slots:
                return Fit(1, demand.margin)
            return check_lease(slack, limit.memory_tokens, demand.curve)


def _check_part(
    book: TargetTracker,
    slack: Headroom,
    limit: Limit,
    demand: Demand,
    now: float,
) -> Fit | Misfit:
    """Say whether a request fits over time into a leased part of a target.

    The parts of all nodes vary less together than each alone, so each keeps
    less than the whole margin.
    """
    curve = book.predict(now)
    memory = book.reserved_tokens + slack.memory_tokens
    part = min(memory / max(limit.memory_tokens, 1), 1)
    return check_fit(
        Limit(curve.requests + slack.slots, memory),
        curve,
        demand.curve,
        demand.margin * math.cbrt(part),
        reserve=demand.reserve,
        is_short=demand.spec.kind.size is SizeClass.short,
    )


def check_lease(
    slack: Headroom,
    memory_tokens: int,
    request: Curve,
) -> Fit | Misfit:
    """Say whether a request fits into what a keeper leased."""
    if slack.slots < 1:
        return NoSlot(slack.slots)
    if request.peak > slack.memory_tokens:
        return NoMemory(0, request.peak, slack.memory_tokens)
    free = (slack.memory_tokens - request.peak) / memory_tokens
    return Fit(1 - free, 0)


def _describe(
    book: TargetTracker,
    demand: Demand,
    fit: Fit,
    now: float,
) -> Candidate:
    return Candidate(
        target=book.target,
        part_used=fit.part_used,
        overflow_chance=compute_overflow_chance(fit.deviations_free),
        pending_tokens=book.pending_tokens,
        waiting=book.waiting,
        step_seconds=book.step_seconds,
        cached_chance=book.prefix_hints.estimate(demand.spec.prefix, now),
        is_local=book.is_local,
    )
