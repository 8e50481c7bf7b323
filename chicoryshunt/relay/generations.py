"""Relays generations: places, streams and moves them."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from chicoryshunt.connection.relayed_exchange import RelayedExchange
from chicoryshunt.events import log_event
from chicoryshunt.fleet.facts import TargetFact, TargetPhase
from chicoryshunt.relay.context import RelayContext
from chicoryshunt.relay.incoming import IncomingRequest
from chicoryshunt.relay.leg import DeadlinePassed, Leg, open_leg
from chicoryshunt.relay.moving import Mover
from chicoryshunt.relay.placing import Placer
from chicoryshunt.relay.relieving import Reliever
from chicoryshunt.relay.results import (
    Delivered,
    Doubtful,
    NotRun,
    Result,
)
from chicoryshunt.relay.stream import (
    Stream,
    build_engine_address,
    build_run_view,
)
from chicoryshunt.relay.stream_actions import (
    Abort,
    Action,
    CloseLeg,
    Copy,
    Finish,
    Forward,
    OpenLeg,
    Release,
    Replan,
    StartStopTimer,
)
from chicoryshunt.relay.stream_inputs import (
    Input,
    LegDenied,
    LegEnding,
    LegEvent,
    LegId,
    LegOpened,
    LegRefused,
    StopTimerExpired,
)
from chicoryshunt.relay.stream_state import (
    StreamState,
)
from chicoryshunt.relay.write_gate import register_gate
from chicoryshunt.rules.routing import AdmittedRequest
from chicoryshunt.types import Reason, RequestId, ServiceId, TargetId
from chicoryshunt.verdict import Verdict, build_uncertain, refuse

# Interval at which a run that begins anew looks for an engine with room.
_RESTART_POLL_SECONDS = 0.05
# The last events of a stopped engine arrive within this time.
_STOP_TIMER_SECONDS = 0.03
_MAX_REFUSALS = 4
# Notices that were read together reach a node within this time of each other.
# After it, the moves off all leaving engines are planned together.
_PLAN_DELAY_SECONDS = 0.02
# Shorter answers say little about the token rate of engines.
_MIN_RATED_EVENTS = 20


class GenerationRelay:
    """Relays generations and continues them when their engines leave."""

    def __init__(self, context: RelayContext) -> None:
        """Use the context that all requests of the node share."""
        self._context = context
        self._placer = Placer(context)
        self._mover = Mover(context)
        self._streams: dict[RequestId, Stream] = {}
        self._reliever = Reliever(context, self._streams)

    async def relay(
        self,
        incoming: IncomingRequest,
        admitted: AdmittedRequest,
        service: ServiceId,
        deadline: float,
        exchange: RelayedExchange,
    ) -> Result:
        """Stream a generation to the caller and return how it ended."""
        engine_rules = self._context.find_engine_rules(service)
        if engine_rules is None or incoming.params is None:
            return refuse(Reason.unknown_service, f'{service} has no engines')
        stream = Stream(
            incoming,
            admitted,
            service,
            engine_rules,
            deadline,
            exchange,
            build_run_view(incoming.params, admitted.route.max_gap),
        )
        with self._track(stream):
            return await self._run(stream)

    def on_target_changed(self, fact: TargetFact) -> None:
        """Move runs off an engine that is no longer ready."""
        if fact.phase is TargetPhase.ready:
            return
        if fact.phase is TargetPhase.leaving:
            self._placer.record_departure(fact)
        asyncio.get_running_loop().call_later(
            _PLAN_DELAY_SECONDS,
            self._plan_moves,
            fact,
        )

    def _plan_moves(self, source: TargetFact) -> None:
        self._mover.plan(
            source,
            [
                stream
                for stream in self._streams.values()
                if stream.is_running_at(source.target)
            ],
        )

    @contextmanager
    def _track(self, stream: Stream) -> Iterator[None]:
        """Register a stream and release its resources however it ends."""
        self._streams[stream.request] = stream
        self._reliever.start()
        try:
            yield
        finally:
            self._discard(stream)

    def _discard(self, stream: Stream) -> None:
        self._streams.pop(stream.request, None)
        self._mover.cancel(stream)
        self._reliever.discard(stream)
        stream.close()
        self._context.prompt_guard.release(stream.request)
        self._context.send(self._context.workload.end(stream.request))

    async def _run(self, stream: Stream) -> Result:
        tried: list[TargetId] = []
        uncertain_count = 0
        sent_count = 0
        is_retry = False
        while True:
            target = await self._find_next(stream, tried, is_retry=is_retry)
            if isinstance(target, Verdict):
                if uncertain_count:
                    # An earlier attempt may have run, whatever stops this one.
                    return build_uncertain(
                        Reason.target_unreachable, target.detail
                    )
                return target
            tried.append(target.target)
            opened = await self._open_first(stream, target)
            if isinstance(opened, Leg):
                return await self._relay_stream(stream, opened)
            uncertain_count += isinstance(opened, Doubtful)
            # An attempt that no engine received is no retry, nor a refusal.
            is_retry = not isinstance(opened, NotRun) or opened.was_sent
            sent_count += is_retry
            ended = self._resolve_failure(
                stream, opened, sent_count, uncertain_count
            )
            if ended is not None:
                return ended

    async def _find_next(
        self,
        stream: Stream,
        tried: list[TargetId],
        *,
        is_retry: bool,
    ) -> TargetFact | Verdict:
        target = await self._placer.find_engine(stream, tried)
        if isinstance(target, Verdict) or not is_retry:
            return target
        if self._placer.spend_retry(stream):
            return target
        return self._placer.refuse_retry(stream)

    def _resolve_failure(
        self,
        stream: Stream,
        failed: Delivered | NotRun | Doubtful,
        attempt_count: int,
        uncertain_count: int,
    ) -> Result | None:
        """Return the result after a failed attempt, ``None`` to retry."""
        log_event(
            'attempt_failed',
            request=stream.request,
            target=failed.target,
            kind=type(failed).__name__,
            detail=getattr(failed, 'detail', None),
        )
        match failed:
            case Delivered():
                return failed
            case NotRun(_, detail) if (
                attempt_count >= _MAX_REFUSALS and not uncertain_count
            ):
                return self._placer.refuse_by_engines(stream, detail)
            case NotRun() if attempt_count < _MAX_REFUSALS:
                return None
            case Doubtful() if stream.route.is_resumable:
                if uncertain_count < stream.route.max_attempts:
                    return None
        is_timeout = isinstance(failed, Doubtful) and failed.is_timeout
        reason = Reason.target_unreachable
        if is_timeout:
            reason = Reason.target_timeout
        return build_uncertain(reason, failed.detail)

    async def _open_first(
        self,
        stream: Stream,
        target: TargetFact,
    ) -> Leg | Delivered | NotRun | Doubtful:
        params = self._placer.build_send_params(stream, target)
        opened = await open_leg(
            self._context,
            stream.incoming,
            target,
            params,
            self._placer.find_start_time(stream, target),
            LegId(0),
        )
        if isinstance(opened, Leg):
            stream.state = StreamState(
                build_engine_address(target),
                is_resumable=stream.route.is_resumable,
                last_event=stream.incoming.last_event,
            )
        return opened

    async def _relay_stream(self, stream: Stream, first: Leg) -> Result:
        if first.answer is not None:
            stream.exchange.begin(first.answer.status, first.answer.headers)
        stream.legs[first.id] = first
        first.start(stream.inputs, stream.stall_limits, stream.gate)
        stream.watch_silence(self._context.clock)
        remaining = stream.deadline - self._context.clock.now()
        timer = asyncio.get_running_loop().call_later(
            max(remaining, 0), stream.pass_deadline
        )
        with register_gate(stream.exchange, stream.gate):
            try:
                return await self._process_inputs(stream)
            finally:
                timer.cancel()

    async def _process_inputs(self, stream: Stream) -> Result:
        state = stream.state
        while state is not None:
            received = await stream.inputs.get()
            if isinstance(received, DeadlinePassed):
                break
            self._record_first_event(stream, received)
            for action in state.process(received):
                ended = self._execute(stream, action)
                if ended is not None:
                    return ended
            self._follow_moves(stream, received)
        return self._end_early(stream, 'the deadline passed')

    def _follow_moves(self, stream: Stream, received: Input) -> None:
        if isinstance(received, LegEvent):
            return
        self._reliever.observe(stream)
        if isinstance(received, LegOpened):
            # The run may have returned to an engine that is leaving.
            self._mover.replan(stream, has_turn=False)

    def _record_first_event(self, stream: Stream, received: Input) -> None:
        if isinstance(received, LegEvent) and not stream.first_event_at:
            stream.first_event_at = self._context.clock.now()
            # The engine's notice may have arrived before the run started.
            self._mover.replan(stream, has_turn=False)

    def _execute(self, stream: Stream, action: Action) -> Result | None:
        match action:
            case Forward(frames):
                stream.count_events(len(frames), self._context.clock.now())
                stream.exchange.write(b''.join(frames))
            case Copy(destination, stops_run):
                stream.spawn(
                    self._mover.copy(
                        stream,
                        destination,
                        stops_run=stops_run,
                    ),
                    self._mover.build_failure(stops_run),
                )
            case StartStopTimer():
                asyncio.get_running_loop().call_later(
                    _STOP_TIMER_SECONDS,
                    stream.inputs.put_nowait,
                    StopTimerExpired(),
                )
            case OpenLeg():
                stream.spawn(
                    self._open_next(stream, action),
                    LegDenied(action.leg, 'an unexpected error'),
                )
            case CloseLeg(leg):
                stream.close_leg(leg)
            case Replan():
                self._mover.replan(stream, has_turn=True)
            case Release(copy):
                self._mover.release(copy)
            case Finish():
                return self._finish(stream)
            case Abort(reason):
                return self._end_early(stream, reason)
        return None

    def _finish(self, stream: Stream) -> Result:
        if stream.event_count >= _MIN_RATED_EVENTS:
            seconds = self._context.clock.now() - stream.first_event_at
            if stream.state is not None:
                # The rate is that of an engine of median pace.
                seconds /= self._context.find_slowness(
                    stream.state.engine.target
                )
            tokens = stream.event_count * stream.engine_rules.tokens_per_event
            self._context.record_token_rate(tokens, seconds)
        # The connection accepts the end of an answer without a producer only.
        stream.exchange.unregister_producer()
        stream.exchange.finish()
        return stream.build_result(is_whole=True)

    def _end_early(self, stream: Stream, reason: str) -> Result:
        state = stream.state
        log_event(
            'stream_cut',
            request=stream.request,
            reason=reason,
            events=stream.event_count,
            last_event=state and state.last_event,
            target=state and state.engine.target,
            phase=state and state.phase.value,
        )
        if not stream.exchange.is_started:
            return build_uncertain(Reason.engine_lost, reason)
        stream.exchange.abort()
        return stream.build_result(is_whole=False)

    async def _open_next(self, stream: Stream, opening: OpenLeg) -> None:
        target = await self._find_destination(stream, opening)
        if isinstance(target, LegEnding):
            log_event(
                'no_engine_to_go_on',
                request=stream.request,
                wanted=opening.target,
                reason=target,
            )
            stream.inputs.put_nowait(target)
            return
        opened = await open_leg(
            self._context,
            stream.incoming,
            target,
            self._placer.build_send_params(stream, target, opening),
            self._placer.find_start_time(stream, target, opening),
            opening.leg,
        )
        log_event(
            'run_goes_on',
            request=stream.request,
            target=target.target,
            leg=opening.leg,
            last_event=opening.last_event,
            memory=opening.memory and opening.memory.name,
            outcome=type(opened).__name__,
            detail=getattr(opened, 'detail', None),
        )
        if not isinstance(opened, Leg):
            stream.record_failed_restart(opened)
            stream.inputs.put_nowait(LegRefused(opening.leg))
            return
        self._placer.announce_run(stream, target.target)
        stream.legs[opening.leg] = opened
        stream.replan_count = 0
        stream.moved_at = self._context.clock.now()
        engine = build_engine_address(target)
        stream.inputs.put_nowait(LegOpened(opening.leg, engine))
        opened.start(stream.inputs, stream.stall_limits, stream.gate)

    async def _find_destination(
        self,
        stream: Stream,
        opening: OpenLeg,
    ) -> TargetFact | LegEnding:
        if opening.target is None:
            return await self._find_restart(stream, opening.leg)
        fact = self._context.catalog.find(opening.target)
        if fact is None or fact.phase is TargetPhase.gone:
            return LegRefused(opening.leg)
        return fact

    async def _find_restart(
        self, stream: Stream, leg: LegId
    ) -> TargetFact | LegDenied:
        """Return an engine for a run that begins anew once one has room.

        Load pattern: an engine that breaks off leaves no room for its runs
        on the others for some time, and all its runs look for it at once.
        """
        until = stream.find_latest_restart()
        while self._context.clock.now() < until:
            if stream.has_used_attempts:
                return LegDenied(leg, 'an engine failed the restarted run')
            refusal = self._context.prompt_guard.find_refusal(stream.incoming)
            if refusal is not None:
                return LegDenied(leg, refusal)
            target = self._placer.find_other_engine(stream)
            if target is not None and self._placer.spend_retry(stream):
                return target
            await asyncio.sleep(_RESTART_POLL_SECONDS)
        return LegDenied(leg, 'no engine has room in time')
