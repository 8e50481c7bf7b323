"""Bounds how much extra work retries and hedges may cause."""

from dataclasses import dataclass
from enum import Enum

from chicoryshunt.types import Seconds, TeamId

_MOST_TOKENS = 10.0
_TOKENS_PER_SECOND = 0.1
_MOST_TEAMS = 20_000


class Denial(Enum):
    """Name why no extra try is made."""

    budget_spent = 'budget_spent'
    not_repeatable = 'not_repeatable'
    tokens_delivered = 'tokens_delivered'
    too_early = 'too_early'


@dataclass(frozen=True, slots=True)
class ExtraAllowed:
    """One extra try is allowed; ``left`` is what remains of the budget."""

    remaining: float


@dataclass(slots=True)
class _Account:
    tokens: float
    updated: float


class RetryBudget:
    """Extra tries of each team as a part of its first tries.

    Each first try earns ``ratio`` of a token, an extra try costs one token.
    A team gains a little with time, so that rare requests may be retried.
    """

    def __init__(self, most_teams: int = _MOST_TEAMS) -> None:
        """Start with a full account for every team."""
        self._most_teams = most_teams
        self._accounts: dict[TeamId, _Account] = {}

    def __len__(self) -> int:
        """Return the number of accounts that are not full."""
        return len(self._accounts)

    def record_first(self, team: TeamId, ratio: float, now: float) -> None:
        """Earn a part of a token for a first try."""
        account = self._accounts.get(team)
        if account is None:
            return
        self._gain(account, now)
        account.tokens += ratio
        if account.tokens >= _MOST_TOKENS:
            self._accounts.pop(team)

    def spend(self, team: TeamId, now: float) -> ExtraAllowed | Denial:
        """Take one token for an extra try."""
        account = self._accounts.get(team)
        if account is None:
            if len(self._accounts) >= self._most_teams:
                return Denial.budget_spent
            account = _Account(_MOST_TOKENS, now)
            self._accounts[team] = account
        self._gain(account, now)
        if account.tokens < 1:
            return Denial.budget_spent
        account.tokens -= 1
        return ExtraAllowed(account.tokens)

    def prune(self, now: float) -> None:
        """Forget the accounts that are full again."""
        for team, account in tuple(self._accounts.items()):
            self._gain(account, now)
            if account.tokens >= _MOST_TOKENS:
                self._accounts.pop(team)

    def _gain(self, account: _Account, now: float) -> None:
        passed = max(now - account.updated, 0)
        gained = account.tokens + passed * _TOKENS_PER_SECOND
        account.tokens = min(gained, _MOST_TOKENS)
        account.updated = now


@dataclass(frozen=True, slots=True)
class HedgeCandidate:
    """One request that was sent to a target and may be hedged."""

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
    """Decide whether a request is tried on a second target as well."""
    if not pending.repeatable:
        return Denial.not_repeatable
    if pending.delivered_tokens:
        return Denial.tokens_delivered
    if pending.waited < hedge_after:
        return Denial.too_early
    return budget.spend(pending.team, now)
