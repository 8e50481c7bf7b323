"""Parameters of the two profiles that a model can be served under."""

from dataclasses import dataclass

from chicoryshunt.types import Profile, Seconds


@dataclass(frozen=True, slots=True)
class PolicyParameters:
    """What the decisions of one model are led by; times are in seconds.

    ``margin`` counts standard deviations of predicted memory.
    ``preemption_goal`` is preemptions for each admitted request.
    ``team_reserve`` is the part of the memory that is kept for teams below
    their share.
    """

    margin: float
    min_margin: float
    max_margin: float
    preemption_rate_goal: float
    queue_timeout: Seconds
    short_queue_timeout: Seconds
    hedge_after: Seconds
    hedge_ratio: float
    team_reserve: float


_STALL = PolicyParameters(
    margin=1.05,
    min_margin=0.9,
    max_margin=1.5,
    preemption_rate_goal=0.01,
    queue_timeout=Seconds(3),
    short_queue_timeout=Seconds(1),
    hedge_after=Seconds(0.4),
    hedge_ratio=0.02,
    team_reserve=0.3,
)
_PREEMPTION = PolicyParameters(
    margin=1.2,
    min_margin=1.05,
    max_margin=1.5,
    preemption_rate_goal=0.01,
    queue_timeout=Seconds(40),
    short_queue_timeout=Seconds(2),
    hedge_after=Seconds(1),
    hedge_ratio=0.01,
    team_reserve=0.3,
)


def get_policy_parameters(profile: Profile) -> PolicyParameters:
    """Return the parameters of a profile."""
    match profile:
        case Profile.stall:
            return _STALL
        case Profile.preemption:
            return _PREEMPTION
