"""One generation that is being relayed, and its resources."""

import asyncio
import math
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from chicoryshunt.clock import Clock
from chicoryshunt.connection.relayed_exchange import RelayedExchange
from chicoryshunt.dispatch.engines import PREFILL_TOKENS_PER_SECOND
from chicoryshunt.dispatch.forecast import RunView
from chicoryshunt.events import log_problem
from chicoryshunt.fleet.facts import TargetFact
from chicoryshunt.relay.incoming import GenerationParams, IncomingRequest
from chicoryshunt.relay.leg import (
    DeadlinePassed,
    InputQueue,
    Leg,
    StallLimits,
)
from chicoryshunt.relay.results import Delivered, Doubtful, NotRun, Streamed
from chicoryshunt.relay.stream_inputs import (
    EngineAddress,
    Input,
    LegId,
)
from chicoryshunt.relay.stream_state import (
    StreamState,
)
from chicoryshunt.relay.write_gate import WriteGate
from chicoryshunt.rules.model import EngineRules, Route
from chicoryshunt.rules.routing import AdmittedRequest
from chicoryshunt.types import RequestId, ServiceId, TargetId

# A timeout is reported this long before the caller's deadline, so that the
# answer still reaches the caller.
ANSWER_MARGIN_SECONDS = 0.01
# Share of the longest answer that is expected without a caller's estimate.
_DEFAULT_LENGTH_SHARE = 0.4
# A stalled run restarts after this share of the silence that callers bear.
_RESTART_SILENCE_SHARE = 0.5


@dataclass(slots=True)
class Stream:
    """One generation; times are in monotonic seconds, 0 if not reached.

    ``deadline`` is when a caller without an event has to be answered;
    ``moved_at`` is when the run last went on elsewhere, if it did.
    """

    incoming: IncomingRequest
    admitted: AdmittedRequest
    service: ServiceId
    engine_rules: EngineRules
    deadline: float
    exchange: RelayedExchange
    view: RunView
    inputs: InputQueue = field(default_factory=asyncio.Queue)
    gate: WriteGate = field(default_factory=WriteGate)
    legs: dict[LegId, Leg] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    excluded: set[TargetId] = field(default_factory=set)
    # Engines that did not take the run when it began anew.
    refusing: set[TargetId] = field(default_factory=set)
    failed_restarts: int = 0
    state: StreamState | None = None
    silence_timer: asyncio.TimerHandle | None = None
    placed_at: float = 0
    first_event_at: float = 0
    last_forwarded_at: float = 0
    longest_gap: float = 0
    event_count: int = 0
    replan_count: int = 0
    moved_at: float = -math.inf

    @property
    def request(self) -> RequestId:
        """Return the id of the caller's request."""
        return self.incoming.request

    @property
    def route(self) -> Route:
        """Return the route of the request."""
        return self.admitted.route

    @property
    def stall_limits(self) -> StallLimits:
        """Return after how long without an event a leg is broken off.

        Callers may leave after such a silence. A run that may restart does so
        in time for its caller to get the next event before that. One that may
        not is only broken off while its caller can still be answered.
        """
        silence = self.route.first_event_timeout
        if silence is None or not self.route.is_resumable:
            return StallLimits(silence, None)
        return StallLimits(silence, silence * _RESTART_SILENCE_SHARE)

    @property
    def has_used_attempts(self) -> bool:
        """Return whether so many engines have failed the run as may try it."""
        return self.failed_restarts + 1 >= max(self.route.max_attempts, 2)

    def is_running_at(self, target: TargetId) -> bool:
        """Return whether an engine generates events of the run."""
        if self.state is None or not self.first_event_at:
            return False
        return self.state.engine.target == target

    def record_failed_restart(
        self, failed: Delivered | NotRun | Doubtful
    ) -> None:
        """Exclude an engine from restarts; count it if it ran the request."""
        self.refusing.add(failed.target)
        self.failed_restarts += isinstance(failed, Delivered)

    def find_latest_restart(self) -> float:
        """Return until when the caller waits for a run that begins anew."""
        silence = self.route.first_event_timeout
        if silence is None:
            return self.deadline
        waiting_since = self.last_forwarded_at or self.incoming.received_at
        return min(self.deadline, waiting_since + silence)

    def find_latest_start(self) -> float:
        """Return the latest start of the run for which its caller waits.

        The caller leaves at the deadline, and before that if it receives no
        event for some seconds; the prompt is read before the first event.
        """
        prompt_seconds = self.view.prompt_tokens / PREFILL_TOKENS_PER_SECOND
        silence = self.route.first_event_timeout
        if silence is None:
            return self.deadline
        return min(
            self.deadline, self.incoming.received_at + silence - prompt_seconds
        )

    def waits_for_short_gaps(self, now: float, slowness: float) -> bool:
        """Return whether the run may wait for an engine with shorter gaps.

        It does while it can still start in time on the engine that has room,
        whose slowness is given, and for half of its target latency at most.
        """
        prompt_seconds = (
            self.view.prompt_tokens / PREFILL_TOKENS_PER_SECOND * slowness
        )
        latency = self.route.target_latency
        longest = min(latency / 2, latency - prompt_seconds)
        return now < self.incoming.received_at + longest

    def find_latest_end(self, now: float, token_rate: float) -> float:
        """Return when the longest answer ends of a run that starts now."""
        prompt_seconds = self.view.prompt_tokens / PREFILL_TOKENS_PER_SECOND
        events = self.incoming.last_event or 0
        tokens = self.view.max_tokens - (
            events * self.engine_rules.tokens_per_event
        )
        latest = now + prompt_seconds + max(tokens, 0) / token_rate
        return min(self.deadline, latest)

    def pass_deadline(self) -> None:
        """Have the answer ended; one that has begun, only once time is up."""
        left = ANSWER_MARGIN_SECONDS if self.exchange.is_started else 0
        asyncio.get_running_loop().call_later(
            left, self.inputs.put_nowait, DeadlinePassed()
        )

    def count_events(self, count: int, now: float) -> None:
        """Count forwarded events and measure the gap before them."""
        if self.last_forwarded_at:
            gap = now - self.last_forwarded_at
            self.longest_gap = max(self.longest_gap, gap)
        self.last_forwarded_at = now
        self.event_count += count

    def build_result(self, *, is_whole: bool) -> Streamed:
        """Return how the stream ended."""
        began = self.first_event_at or self.incoming.received_at
        return Streamed(
            is_whole=is_whole,
            events=self.event_count,
            first_event_seconds=began - self.incoming.received_at,
            longest_gap_seconds=self.longest_gap,
            leg_count=0 if self.state is None else self.state.leg_count,
        )

    def spawn(
        self, coroutine: Coroutine[Any, Any, None], on_error: Input
    ) -> None:
        """Run a coroutine in a task that is cancelled with the stream.

        ``on_error`` is the input of the stream if it fails unexpectedly.
        """
        task = asyncio.ensure_future(self._contain(coroutine, on_error))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def watch_silence(self, clock: Clock) -> None:
        """Count a silent engine once whose begun answer is not broken off."""
        silence = self.route.first_event_timeout
        if silence is None or self.route.is_resumable or not self.legs:
            return
        since = max(self.last_forwarded_at, self.placed_at)
        left = since + silence - clock.now()
        is_silent = left <= 0 and self.gate.is_open
        if is_silent and self.exchange.is_started:
            newest = max(self.legs)
            self.legs[newest].observer.record_silence()
            return
        self.silence_timer = asyncio.get_running_loop().call_later(
            left if left > 0 else silence, self.watch_silence, clock
        )

    def close(self) -> None:
        """Close every connection and cancel every task and timer."""
        if self.silence_timer is not None:
            self.silence_timer.cancel()
        for leg in self.legs.values():
            leg.close()
        for task in self.tasks:
            task.cancel()

    def close_leg(self, leg: LegId) -> None:
        """Close the connection of one leg."""
        closed = self.legs.pop(leg, None)
        if closed is not None:
            closed.close()

    async def _contain(
        self, coroutine: Coroutine[Any, Any, None], on_error: Input
    ) -> None:
        try:
            await coroutine
        except Exception as error:
            log_problem(
                'stream_task_failed', request=self.request, error=repr(error)
            )
            self.inputs.put_nowait(on_error)


def build_run_view(
    params: GenerationParams, max_gap: float | None = None
) -> RunView:
    """Return the forecast input for a run that has not started."""
    expected = params.expected_tokens
    if expected is None:
        expected = round(params.max_tokens * _DEFAULT_LENGTH_SHARE)
    return RunView(
        params.prompt_tokens,
        max(min(expected, params.max_tokens), 1),
        params.max_tokens,
        max_gap=max_gap,
    )


def build_engine_address(target: TargetFact) -> EngineAddress:
    """Return an engine with its address."""
    return EngineAddress(target.target, target.address)
