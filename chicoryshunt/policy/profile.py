"""Parameters of the two profiles that a model can be served under."""

from dataclasses import dataclass

from chicoryshunt.types import Profile, Seconds


@dataclass(frozen=True, slots=True)
class Parameters:
    """Parameters of the decisions about one model; times are in seconds.

    ``margin`` is in standard deviations of the predicted memory.
    ``preemption_goal`` is in preemptions per admitted request.
    ``team_reserve`` is the fraction of the memory that is reserved for teams
    below their share.
    """

    margin: float
    least_margin: float
    most_margin: float
    preemption_goal: float
    patience: Seconds
    short_patience: Seconds
    hedge_after: Seconds
    hedge_ratio: float
    team_reserve: float


_STALL_PARAMETERS = Parameters(
    margin=1.05,
    least_margin=0.9,
    most_margin=1.5,
    preemption_goal=0.01,
    patience=Seconds(3),
    short_patience=Seconds(1),
    hedge_after=Seconds(0.4),
    hedge_ratio=0.02,
    team_reserve=0.3,
)
_PREEMPTION_PARAMETERS = Parameters(
    margin=1.2,
    least_margin=1.05,
    most_margin=1.5,
    preemption_goal=0.01,
    patience=Seconds(40),
    short_patience=Seconds(2),
    hedge_after=Seconds(1),
    hedge_ratio=0.01,
    team_reserve=0.3,
)


def get_parameters(profile: Profile) -> Parameters:
    """Return the parameters of a profile."""
    match profile:
        case Profile.stall:
            return _STALL_PARAMETERS
        case Profile.preemption:
            return _PREEMPTION_PARAMETERS
