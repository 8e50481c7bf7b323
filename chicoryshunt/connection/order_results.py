"""Results of reading the load of a target or sending it an order."""

from dataclasses import dataclass
from typing import TypeAlias

from chicoryshunt.connection.target_api import LoadReport


@dataclass(frozen=True, slots=True)
class Unreadable:
    """The load report could not be read."""

    detail: str


@dataclass(frozen=True, slots=True)
class Obeyed:
    """The target accepted the order; ``fence`` is its fencing number."""

    fence: int


@dataclass(frozen=True, slots=True)
class Outdated:
    """The target rejected the order: it saw a higher fencing number."""

    fence: int


@dataclass(frozen=True, slots=True)
class Throttled:
    """The weight store allows no load for ``retry_after`` seconds."""

    retry_after: float


@dataclass(frozen=True, slots=True)
class NotSent:
    """The target did not receive the order."""

    detail: str


@dataclass(frozen=True, slots=True)
class Unanswered:
    """The target may have received the order."""

    detail: str


ReadResult: TypeAlias = LoadReport | Unreadable
SendResult: TypeAlias = Obeyed | Outdated | Throttled | NotSent | Unanswered
