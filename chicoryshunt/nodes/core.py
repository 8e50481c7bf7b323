"""What every part that talks to other nodes has in common."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from chicoryshunt.types import VmId

Message = msgspec.Struct


@dataclass(frozen=True, slots=True)
class Send:
    """One message to another node."""

    receiver: VmId
    message: Message


class Core(Protocol):
    """Logic without input or output, driven by messages and time.

    Times are seconds of a monotonic clock.
    """

    @property
    def message_types(self) -> tuple[type[Message], ...]:
        """Return the messages that this core receives."""

    def receive(
        self,
        sender: VmId,
        message: Message,
        now: float,
    ) -> Iterable[Send]:
        """Handle a message and return those to send."""

    def tick(self, now: float) -> Iterable[Send]:
        """Do what is due and return the messages to send."""

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Treat what was true before a pause as unknown."""
