"""Interface of the protocol logic that exchanges datagrams with nodes."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from chicoryshunt.types import VmId

Message = msgspec.Struct


@dataclass(frozen=True, slots=True)
class Send:
    """An outgoing message and its receiver."""

    receiver: VmId
    message: Message


class Core(Protocol):
    """Protocol logic without I/O, driven by messages and by time.

    Times are in seconds of a monotonic clock.
    """

    @property
    def message_types(self) -> tuple[type[Message], ...]:
        """Return the types of messages that this core receives."""

    def receive(
        self,
        sender: VmId,
        message: Message,
        now: float,
    ) -> Iterable[Send]:
        """Handle a message and return the messages to send."""

    def tick(self, now: float) -> Iterable[Send]:
        """Run what is due and return the messages to send."""

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Discard state that may be stale after the process was paused."""
