"""Answer that a caller received."""

from dataclasses import dataclass, field

from chicoryshunt.connection.caller_api import INCOMPLETE
from chicoryshunt.types import RunState


@dataclass(frozen=True, slots=True)
class TokenArrival:
    """Number of tokens that arrived at ``at``, on the loop's clock."""

    at: float
    tokens: int


@dataclass(slots=True)
class Answer:
    """Tokens of a generation or body of a call.

    ``ending`` is ``stop`` or ``length`` if a generation is complete.
    ``retry_after`` is in seconds; ``None`` means that a retry is useless.
    ``status`` is 0 if there was no HTTP response.
    ``grant`` is a new grant of the node that answered.
    """

    verdict: RunState
    reason: str = ''
    detail: str = ''
    retry_after: float | None = None
    generation: str = ''
    tokens: list[str] = field(default_factory=list)
    arrivals: list[TokenArrival] = field(default_factory=list)
    ending: str = ''
    status: int = 0
    body: bytes = b''
    grant: str = ''

    @property
    def is_whole(self) -> bool:
        """Return whether a generation is complete."""
        return bool(self.ending) and self.ending != INCOMPLETE


def parse_run_state(text: str) -> RunState:
    """Parse the verdict header; an unknown value means it may have run."""
    try:
        return RunState(text)
    except ValueError:
        return RunState.may_have_run
