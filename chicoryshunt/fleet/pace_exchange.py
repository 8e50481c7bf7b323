"""Exchanges the pace of engines between nodes."""

from collections.abc import Callable, Iterator

from chicoryshunt.dispatch.engine_pace import MAX_EQUAL_RATIO, PaceTable
from chicoryshunt.events import log_event
from chicoryshunt.fleet.broadcast import Broadcast
from chicoryshunt.fleet.messages import PaceNews, PaceNote
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.core import Message, Send
from chicoryshunt.nodes.packing import pack
from chicoryshunt.types import TargetId, VmId

_MILLISECONDS = 1000
_MICROSECONDS = 1000000
_SEND_SECONDS = 0.25
# Observations that differ from the table by less are not news.
_NEWS_RATIO = 1.25
# Gaps shorter than this matter to no route.
_MIN_GAP_SECONDS = 0.05
# A pace that is not better is repeated after this time, so that one that was
# observed earlier is replaced.
_REFRESH_SECONDS = 2.5
_LOG_SECONDS = 0.5
# Ticks are 0.1 s apart. After a longer interval this process was delayed so
# much that the gaps it measured may exceed those that routes intend.
_MAX_TICK_SECONDS = 0.2


class PaceExchange:
    """Core that gives all nodes the same paces.

    Load pattern: each node sees few streams of an engine, and engines are
    replaced every few seconds. The table holds only what was sent to all
    nodes, so that they choose alike.
    """

    message_types = (PaceNews,)

    def __init__(
        self,
        broadcast: Broadcast,
        now: float,
        metrics: Metrics,
    ) -> None:
        """Start without observations; other nodes send theirs as they come."""
        self.table = PaceTable()
        self._broadcast = broadcast
        self._metrics = metrics
        self._pending: dict[TargetId, PaceNote] = {}
        self._slow_since: dict[TargetId, float] = {}
        self._subscribers: list[Callable[[], None]] = []
        self._next_send = now
        self._next_log = now
        self._last_tick = now
        self._delayed_until = float('-inf')

    def subscribe(self, notify: Callable[[], None]) -> None:
        """Call ``notify()`` when an observation shows an engine to be slow."""
        self._subscribers.append(notify)

    def report(
        self,
        target: TargetId,
        seconds_per_token: float,
        longest_gap: float,
        now: float,
    ) -> None:
        """Take what a stream of this node observed, if it is news."""
        if not self._is_news(target, seconds_per_token, longest_gap, now):
            return
        self._record(target, seconds_per_token, longest_gap, now)
        earlier = self._pending.pop(target, None)
        gap = round(longest_gap * _MILLISECONDS)
        self._pending[target] = PaceNote(
            target,
            max(round(seconds_per_token * _MICROSECONDS), 1),
            gap if earlier is None else max(gap, earlier.longest_gap_ms),
        )

    def was_delayed(self, since: float, now: float) -> bool:
        """Return whether this process was delayed after ``since``.

        Gaps that it measured then are not those of an engine.
        """
        return (
            self._delayed_until > since
            or now - self._last_tick > _MAX_TICK_SECONDS
        )

    def receive(
        self,
        sender: VmId,
        message: Message,
        now: float,
    ) -> Iterator[Send]:
        """Record the observations of another node."""
        if isinstance(message, PaceNews):
            for note in message.notes:
                if note.token_microseconds > 0:
                    self._record(
                        note.target,
                        note.token_microseconds / _MICROSECONDS,
                        note.longest_gap_ms / _MILLISECONDS,
                        now,
                    )
        return iter(())

    def tick(self, now: float) -> Iterator[Send]:
        """Send the news of this node when that is due."""
        if now - self._last_tick > _MAX_TICK_SECONDS:
            self._delayed_until = now
        self._last_tick = now
        if now >= self._next_log:
            self._next_log = now + _LOG_SECONDS
            self._log_changes(now)
        if now < self._next_send or not self._pending:
            return
        self._next_send = now + self._broadcast.scale_interval(_SEND_SECONDS)
        # What does not fit into one message waits for the next.
        notes = next(pack(self._pending.values()))
        for note in notes:
            self._pending.pop(note.target)
        yield from self._broadcast.send_to_all(PaceNews(notes))

    def handle_pause(self, now: float, paused_seconds: float) -> None:
        """Drop unsent news; what is known expires by its age."""
        self._pending.clear()
        self._delayed_until = now

    def _record(
        self,
        target: TargetId,
        seconds_per_token: float,
        longest_gap: float,
        now: float,
    ) -> None:
        was_slow = self.table.slowness(target, now) > MAX_EQUAL_RATIO
        self.table.record(target, seconds_per_token, longest_gap, now)
        if not was_slow and self.table.slowness(target, now) > MAX_EQUAL_RATIO:
            for notify in self._subscribers:
                notify()

    def _is_news(
        self,
        target: TargetId,
        seconds_per_token: float,
        longest_gap: float,
        now: float,
    ) -> bool:
        known = self.table.find_seconds_per_token(target, now)
        age = self.table.measure_age(target, now)
        if known is None or age is None or age >= _REFRESH_SECONDS:
            return True
        gap = self.table.find_longest_gap(target, now)
        ratio = seconds_per_token / known
        return (
            longest_gap > max(gap * _NEWS_RATIO, _MIN_GAP_SECONDS)
            or ratio < 1 / _NEWS_RATIO
        )

    def _log_changes(self, now: float) -> None:
        """Log the engines that became slow, or are slow no more."""
        ratios = {
            target: self.table.slowness(target, now)
            for target in self.table.list_known(now)
        }
        for target, ratio in ratios.items():
            if ratio > MAX_EQUAL_RATIO and target not in self._slow_since:
                self._slow_since[target] = now
                self._metrics.count(
                    'slow_engines', 'Engines that were seen to become slow'
                )
                log_event('engine_slow', target=target, ratio=ratio, since=now)
        for known in tuple(self._slow_since):
            if ratios.get(known, 1) <= MAX_EQUAL_RATIO:
                log_event(
                    'engine_pace_normal',
                    target=known,
                    ratio=ratios.get(known),
                    slow_since=self._slow_since.pop(known),
                )
