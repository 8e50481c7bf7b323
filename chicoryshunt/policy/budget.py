"""Limits the extra load caused by retries and hedged requests."""

from dataclasses import dataclass
from enum import Enum

from chicoryshunt.types import Seconds, TeamId

_MAX_TOKENS = 10.0
_TOKENS_PER_SECOND = 0.1
_MAX_TEAMS = 20_000


class Denial(Enum):
    """Reason why no extra attempt is made."""

    budget_spent = 'budget_spent'
    not_repeatable = 'not_repeatable'
    tokens_delivered = 'tokens_delivered'
    too_early = 'too_early'


@dataclass(frozen=True, slots=True)
class ExtraAllowed:
    """One extra attempt is allowed; ``remaining`` tokens are left."""

    remaining: float


@dataclass(slots=True)
class _Bucket:
    tokens: float
    updated: float


class RetryBudget:
    """Token buckets that limit the extra attempts of each team.

    A first attempt earns ``ratio`` tokens and an extra attempt costs one.
    Tokens also accrue slowly with time, so that infrequent requests may be
    retried.
    """

    def __init__(self, max_teams: int = _MAX_TEAMS) -> None:
        """Create a budget in which every team has a full bucket."""
        self._max_teams = max_teams
        self._buckets: dict[TeamId, _Bucket] = {}

    def __len__(self) -> int:
        """Return the number of buckets that are stored."""
        return len(self._buckets)

    def record_first(self, team: TeamId, ratio: float, now: float) -> None:
        """Credit a team for a first attempt."""
        bucket = self._buckets.get(team)
        if bucket is None:
            return
        self._refill(bucket, now)
        bucket.tokens += ratio
        if bucket.tokens >= _MAX_TOKENS:
            self._buckets.pop(team)

    def spend(self, team: TeamId, now: float) -> ExtraAllowed | Denial:
        """Take one token for an extra attempt, if there is one."""
        bucket = self._buckets.get(team)
        if bucket is None:
            if len(self._buckets) >= self._max_teams:
                return Denial.budget_spent
            bucket = _Bucket(_MAX_TOKENS, now)
            self._buckets[team] = bucket
        self._refill(bucket, now)
        if bucket.tokens < 1:
            return Denial.budget_spent
        bucket.tokens -= 1
        return ExtraAllowed(bucket.tokens)

    def prune(self, now: float) -> None:
        """Drop the buckets that are full again."""
        for team, bucket in tuple(self._buckets.items()):
            self._refill(bucket, now)
            if bucket.tokens >= _MAX_TOKENS:
                self._buckets.pop(team)

    def _refill(self, bucket: _Bucket, now: float) -> None:
        elapsed = max(now - bucket.updated, 0)
        refilled = bucket.tokens + elapsed * _TOKENS_PER_SECOND
        bucket.tokens = min(refilled, _MAX_TOKENS)
        bucket.updated = now


@dataclass(frozen=True, slots=True)
class HedgeCandidate:
    """A request that was sent to a target and may be hedged."""

    team: TeamId
    repeatable: bool
    delivered_tokens: int
    waited: Seconds


def decide_hedge(
    pending: HedgeCandidate,
    hedge_after: Seconds,
    budget: RetryBudget,
    now: float,
) -> ExtraAllowed | Denial:
    """Decide whether to send a request to a second target as well."""
    if not pending.repeatable:
        return Denial.not_repeatable
    if pending.delivered_tokens:
        return Denial.tokens_delivered
    if pending.waited < hedge_after:
        return Denial.too_early
    return budget.spend(pending.team, now)
