"""Holds back requests that can wait, and records for how long."""

from collections.abc import Iterator
from contextlib import contextmanager

from chicoryshunt.dispatch.departures import Departures
from chicoryshunt.dispatch.engines import EngineChoice, Placed
from chicoryshunt.dispatch.reserve import HoldReason, Reserve, find_reserve
from chicoryshunt.dispatch.waiting import WaitingRequest
from chicoryshunt.events import log_event
from chicoryshunt.relay.context import RelayContext
from chicoryshunt.relay.stream import Stream

# A request that is held back looks for an engine after this share of the
# backlog it may cause. An engine does not run dry in that time, and a choice
# among 30 engines takes 3 ms, too much to repeat it as often as other waits.
_POLL_SHARE = 0.125


class Hold:
    """Whether a request that looks for an engine is held back.

    ``seconds`` is how long it has been held back so far.
    """

    def __init__(
        self,
        context: RelayContext,
        stream: Stream,
        departures: Departures,
        *,
        is_retry: bool,
    ) -> None:
        """Apply the rules in force; a retry has no time left to wait."""
        self.seconds: float = 0
        self._context = context
        self._stream = stream
        self._departures = departures
        self._reserve = None if is_retry else _find_reserve(context, stream)
        self._reason: HoldReason | None = None
        self._last_held: float | None = None

    @property
    def max_backlog(self) -> float | None:
        """Return the backlog in seconds that the request may cause."""
        return None if self._reserve is None else self._reserve.max_backlog

    @property
    def poll_seconds(self) -> float:
        """Return after how long to look again, 0 if it is not held back."""
        if self._last_held is None or self._reserve is None:
            return 0
        return self._reserve.max_backlog * _POLL_SHARE

    def update(
        self, waiter: WaitingRequest, choice: EngineChoice, now: float
    ) -> bool:
        """Return whether the request is held back now; note it as waiting."""
        waiter.is_blocked = not isinstance(choice, Placed)
        if self._last_held is not None:
            self.seconds += now - self._last_held
            self._last_held = None
        waiter.can_wait = False
        if self._waits_for_short_gaps(choice, now):
            waiter.is_blocked = True
            return True
        # A node that stops refuses requests that would end too late.
        is_stopping = self._context.planned_stop is not None
        if self._reserve is None or is_stopping:
            return False
        if not isinstance(choice, Placed):
            return False
        waiter.can_wait = self._reserve.can_wait(choice, now)
        if waiter.can_wait:
            # Also the wait for the turn behind others that are held back.
            self._last_held = now
        reason = self._reserve.find_hold(
            choice, now, self._estimate_moving_tokens(now)
        )
        if reason is not None:
            self._begin(reason, choice)
        return reason is not None

    @contextmanager
    def measure(self) -> Iterator[None]:
        """Record at the end of the block how long the request was held."""
        try:
            yield
        finally:
            self._record()

    def _record(self) -> None:
        if self._reason is not None:
            self._context.metrics.observe(
                'held_back_seconds',
                'Time that requests were held back, by the first reason',
                self.seconds,
                reason=self._reason.value,
            )

    def _waits_for_short_gaps(self, choice: EngineChoice, now: float) -> bool:
        return (
            isinstance(choice, Placed)
            and choice.has_long_gaps
            and self._stream.waits_for_short_gaps(now, choice.slowness)
        )

    def _estimate_moving_tokens(self, now: float) -> float:
        """Return the memory tokens to leave free for runs that move."""
        if not self._stream.engine_rules.can_move:
            return 0
        return self._departures.estimate_group(self._stream.service, now)

    def _begin(self, reason: HoldReason, placed: Placed) -> None:
        if self._reason is not None:
            return
        self._reason = reason
        log_event(
            'run_held_back',
            request=self._stream.request,
            reason=reason.value,
            backlog_seconds=placed.backlog,
            free_tokens=placed.free_tokens,
        )
        self._context.metrics.count(
            'held_back',
            'Requests held back for more urgent ones, by the first reason',
            reason=reason.value,
        )


def _find_reserve(context: RelayContext, stream: Stream) -> Reserve | None:
    index = context.catalog.rules
    if index is None:
        return None
    received = stream.incoming.received_at
    return find_reserve(
        index.rules.routes,
        stream.service,
        stream.route,
        stream.admitted.priority,
        received,
        stream.find_latest_start() - received,
    )
