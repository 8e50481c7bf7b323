"""What came of reading a target's load or giving it an order."""

from dataclasses import dataclass
from typing import TypeAlias

from chicoryshunt.connection.target_api import LoadReport


@dataclass(frozen=True, slots=True)
class Unreadable:
    """The load report could not be read."""

    detail: str


@dataclass(frozen=True, slots=True)
class Obeyed:
    """The target accepted the order."""

    fence: int


@dataclass(frozen=True, slots=True)
class Outdated:
    """The target has seen a higher fencing number."""

    fence: int


@dataclass(frozen=True, slots=True)
class Throttled:
    """The weight store allows no load for some seconds."""

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
