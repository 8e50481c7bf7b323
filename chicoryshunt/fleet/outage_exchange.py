"""Tells all nodes which targets accept no connections."""

from collections.abc import Iterator

from chicoryshunt.events import log_event
from chicoryshunt.fleet.broadcast import Broadcast
from chicoryshunt.fleet.messages import OutageNews
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.core import Message, Send
from chicoryshunt.types import TargetId, VmId

# A target that returns is used again after this time at the latest, and as
# soon as its new start is known.
_DOWN_SECONDS = 2.0
# A node that got an answer from a target within this time knows better than
# the news of others, whose own links may be cut.
_ALIVE_SECONDS = 1.0
# A node sends at most one message in this time, or less often in a large fleet.
_SEND_SECONDS = 0.25
# Engines that fail together fit into one message.
_MAX_TARGETS = 16


class OutageExchange:
    """Core that shares which targets are down.

    Load pattern: the engines of a data centre fail together. They look idle,
    as their runs have ended, so every node sends its next requests there, and
    each finds out by itself.
    """

    message_types = (OutageNews,)

    def __init__(
        self,
        broadcast: Broadcast,
        now: float,
        metrics: Metrics,
    ) -> None:
        """Start without targets that are down."""
        self._broadcast = broadcast
        self._metrics = metrics
        self._down_until: dict[TargetId, float] = {}
        self._answered: dict[TargetId, float] = {}
        self._pending: dict[TargetId, None] = {}
        self._next_send = now

    def is_down(self, target: TargetId, now: float) -> bool:
        """Return whether a target accepted no connection a moment ago."""
        return now < self._down_until.get(target, 0)

    def report(self, target: TargetId, now: float) -> Iterator[Send]:
        """Record a target that accepts no connection; return the messages."""
        if self.is_down(target, now):
            return iter(())
        self._mark(target, now)
        self._pending[target] = None
        return self._flush(now)

    def record_answer(self, target: TargetId, now: float) -> None:
        """Record that a target has answered this node."""
        self._answered[target] = now
        self._down_until.pop(target, None)
        self._pending.pop(target, None)

    def forget(self, target: TargetId) -> None:
        """Drop what is known of a target that started anew or is gone."""
        self._down_until.pop(target, None)
        self._answered.pop(target, None)
        self._pending.pop(target, None)

    def receive(
        self,
        sender: VmId,
        message: Message,
        now: float,
    ) -> Iterator[Send]:
        """Apply the news of another node."""
        if isinstance(message, OutageNews):
            for target in message.targets:
                answered = self._answered.get(target, float('-inf'))
                if now - answered > _ALIVE_SECONDS:
                    self._mark(target, now)
        return iter(())

    def tick(self, now: float) -> Iterator[Send]:
        """Send what is pending, and drop what has expired."""
        for target, until in tuple(self._down_until.items()):
            if until <= now:
                self._down_until.pop(target)
                self._pending.pop(target, None)
        return self._flush(now)

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Drop everything; targets may have returned meanwhile."""
        self._down_until.clear()
        self._pending.clear()

    def _mark(self, target: TargetId, now: float) -> None:
        if not self.is_down(target, now):
            log_event('target_down', target=target, seconds=_DOWN_SECONDS)
            self._metrics.count(
                'targets_down', 'Targets that accepted no connections'
            )
        self._down_until[target] = now + _DOWN_SECONDS

    def _flush(self, now: float) -> Iterator[Send]:
        if now < self._next_send or not self._pending:
            return
        self._next_send = now + self._broadcast.scale_interval(_SEND_SECONDS)
        targets = tuple(self._pending)[:_MAX_TARGETS]
        for target in targets:
            self._pending.pop(target)
        yield from self._broadcast.send_to_all(OutageNews(targets))
