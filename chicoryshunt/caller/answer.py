"""What a caller received."""

from dataclasses import dataclass, field

from chicoryshunt.connection.caller_api import INCOMPLETE
from chicoryshunt.types import RunState


@dataclass(frozen=True, slots=True)
class Arrived:
    """Tokens that came at one time, in seconds of the loop's clock."""

    at: float
    tokens: int


@dataclass(slots=True)
class Answer:
    """Tokens of one generation or the body of one call.

    ``ending`` is ``stop`` or ``length`` when a generation is whole.
    ``retry_after`` is in seconds; ``None`` means that a retry is useless.
    ``grant`` is a fresh grant of the node that answered.
    """

    verdict: RunState
    reason: str = ''
    detail: str = ''
    retry_after: float | None = None
    generation: str = ''
    tokens: list[str] = field(default_factory=list)
    arrivals: list[Arrived] = field(default_factory=list)
    ending: str = ''
    status: int = 0
    body: bytes = b''
    grant: str = ''

    @property
    def is_whole(self) -> bool:
        """Say whether a generation came to its end."""
        return bool(self.ending) and self.ending != INCOMPLETE


def parse_run_state(text: str) -> RunState:
    """Return the run state of a header; anything unclear may have run."""
    try:
        return RunState(text)
    except ValueError:
        return RunState.may_have_run
