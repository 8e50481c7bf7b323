"""Relays generations: placed on an engine, streamed, and kept going."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from chicoryshunt.connection.relayed_exchange import RelayedExchange
from chicoryshunt.events import log_event
from chicoryshunt.fleet.facts import TargetFact, TargetPhase
from chicoryshunt.relay.context import RelayContext
from chicoryshunt.relay.incoming import IncomingRequest
from chicoryshunt.relay.leg import Deadline, Leg, open_leg
from chicoryshunt.relay.moving import Mover
from chicoryshunt.relay.placing import Placer
from chicoryshunt.relay.results import (
    Delivered,
    Doubtful,
    NotRun,
    Result,
    Streamed,
)
from chicoryshunt.relay.stream import Stream, build_place, view_ask
from chicoryshunt.relay.stream_actions import (
    Abort,
    Action,
    AwaitStop,
    Close,
    Copy,
    Finish,
    Forward,
    Open,
    Release,
    Replan,
)
from chicoryshunt.relay.stream_inputs import (
    Event,
    Input,
    LegId,
    Opened,
    Refused,
    StopSettled,
)
from chicoryshunt.relay.stream_state import (
    StreamState,
)
from chicoryshunt.rules.routing import AdmittedRequest
from chicoryshunt.types import Reason, RequestId, ServiceId, TargetId
from chicoryshunt.verdict import Verdict, build_uncertain, refuse

# A run that goes on elsewhere has to begin within this time.
_SWITCH_SECONDS = 1.0
# A run that begins anew waits for its prompt to be read once more.
_RESTART_SECONDS = 3.0
# Last events of a stopped engine are on their way for no longer than this.
_SETTLE_SECONDS = 0.03
_MOST_REFUSALS = 4
# Notices that were read together reach a node within this time of each other;
# the engines that leave are planned together.
_GATHER_SECONDS = 0.02
# Shorter answers say little of how fast engines generate.
_LEAST_PACED_EVENTS = 20


class GenerationRelay:
    """Relays generations and keeps them going when their engines leave."""

    def __init__(self, context: RelayContext) -> None:
        """Work on what the process shares."""
        self._context = context
        self._placer = Placer(context)
        self._mover = Mover(context)
        self._streams: dict[RequestId, Stream] = {}

    async def relay(
        self,
        incoming: IncomingRequest,
        admitted: AdmittedRequest,
        service: ServiceId,
        deadline: float,
        exchange: RelayedExchange,
    ) -> Result:
        """Stream the answer of a generation to the caller."""
        engine = self._context.find_engine_rules(service)
        if engine is None or incoming.params is None:
            return refuse(Reason.unknown_service, f'{service} has no engines')
        stream = Stream(
            incoming,
            admitted,
            service,
            engine,
            deadline,
            exchange,
            view_ask(incoming.params),
        )
        with self._own(stream):
            return await self._run(stream)

    def follow_target(self, fact: TargetFact) -> None:
        """Move runs off an engine that leaves."""
        if fact.phase is TargetPhase.ready:
            return
        asyncio.get_running_loop().call_later(
            _GATHER_SECONDS,
            self._plan_moves,
            fact,
        )

    def _plan_moves(self, source: TargetFact) -> None:
        self._mover.plan(
            source,
            [
                stream
                for stream in self._streams.values()
                if _runs_at(stream, source.target)
            ],
        )

    @contextmanager
    def _own(self, stream: Stream) -> Iterator[None]:
        """Close everything of a stream when it ends, however it ends."""
        self._streams[stream.request] = stream
        try:
            yield
        finally:
            self._drop(stream)

    def _drop(self, stream: Stream) -> None:
        self._streams.pop(stream.request, None)
        self._mover.forget(stream)
        stream.close()
        self._context.send(self._context.workload.end(stream.request))

    async def _run(self, stream: Stream) -> Result:
        tried: list[TargetId] = []
        doubts = 0
        while True:
            target = await self._find_next(stream, tried)
            if isinstance(target, Verdict):
                if doubts:
                    # An earlier try may have run, whatever stops this one.
                    return build_uncertain(
                        Reason.target_unreachable, target.detail
                    )
                return target
            tried.append(target.target)
            opened = await self._open_first(stream, target)
            if isinstance(opened, Leg):
                return await self._stream(stream, opened)
            doubts += isinstance(opened, Doubtful)
            ended = self._judge_failure(stream, opened, len(tried), doubts)
            if ended is not None:
                return ended

    async def _find_next(
        self,
        stream: Stream,
        tried: list[TargetId],
    ) -> TargetFact | Verdict:
        target = await self._placer.find_room(stream, tried)
        if isinstance(target, Verdict) or not tried:
            return target
        if self._placer.may_try_again(stream):
            return target
        return self._placer.refuse_full(stream, 'no retries are left')

    def _judge_failure(
        self,
        stream: Stream,
        failed: Delivered | NotRun | Doubtful,
        tries: int,
        doubts: int,
    ) -> Result | None:
        """Return the end of a request whose run did not begin, if it is."""
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
            case NotRun(_, detail) if tries >= _MOST_REFUSALS and not doubts:
                return self._placer.refuse_full(stream, detail)
            case NotRun() if tries < _MOST_REFUSALS:
                return None
            case Doubtful() if stream.route.is_resumable:
                if doubts < stream.route.max_attempts:
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
        dispatch = self._placer.build_dispatch(stream, target)
        opened = await open_leg(
            self._context,
            stream.incoming,
            target,
            dispatch,
            dispatch.remaining,
            LegId(0),
        )
        if isinstance(opened, Leg):
            stream.course = StreamState(
                build_place(target),
                is_resumable=stream.route.is_resumable,
            )
        return opened

    async def _stream(self, stream: Stream, first: Leg) -> Result:
        if first.answer is not None:
            stream.exchange.begin(first.answer.status, first.answer.headers)
        stream.legs[first.leg] = first
        first.start(stream.mail)
        remaining = stream.deadline - self._context.clock.now()
        timer = asyncio.get_running_loop().call_later(
            max(remaining, 0),
            stream.mail.put_nowait,
            Deadline(),
        )
        try:
            return await self._follow_mail(stream)
        finally:
            timer.cancel()

    async def _follow_mail(self, stream: Stream) -> Result:
        course = stream.course
        while course is not None:
            received = await stream.mail.get()
            if isinstance(received, Deadline):
                break
            self._note_arrival(stream, received)
            for action in course.take(received):
                ended = self._act(stream, action)
                if ended is not None:
                    return ended
            if isinstance(received, Opened):
                # The run may have gone back to an engine that leaves.
                self._mover.replan(stream, has_turn=False)
        return self._cut(stream, 'the deadline passed')

    def _note_arrival(self, stream: Stream, received: Input) -> None:
        if isinstance(received, Event) and not stream.first_event:
            stream.first_event = self._context.clock.now()
            # The engine's notice may have come before there was a run.
            self._mover.replan(stream, has_turn=False)

    def _act(self, stream: Stream, action: Action) -> Result | None:
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
                )
            case AwaitStop():
                asyncio.get_running_loop().call_later(
                    _SETTLE_SECONDS,
                    stream.mail.put_nowait,
                    StopSettled(),
                )
            case Open():
                stream.spawn(self._open_next(stream, action))
            case Close(leg):
                stream.close_leg(leg)
            case Replan():
                self._mover.replan(stream, has_turn=True)
            case Release(handle):
                self._release(stream, handle)
            case Finish():
                return self._finish(stream)
            case Abort(reason):
                return self._cut(stream, reason)
        return None

    def _release(self, stream: Stream, handle: str) -> None:
        if stream.course is not None:
            self._mover.release(stream.course.place.address, handle)

    def _finish(self, stream: Stream) -> Result:
        if stream.events >= _LEAST_PACED_EVENTS:
            seconds = self._context.clock.now() - stream.first_event
            tokens = stream.events * stream.engine.tokens_per_event
            self._context.learn_pace(tokens, seconds)
        stream.exchange.finish()
        return _describe_end(stream, is_whole=True)

    def _cut(self, stream: Stream, reason: str) -> Result:
        course = stream.course
        log_event(
            'stream_cut',
            request=stream.request,
            reason=reason,
            events=stream.events,
            last_event=course and course.last_event,
            target=course and course.place.target,
            phase=course and course.phase.value,
        )
        if not stream.exchange.is_started:
            return build_uncertain(Reason.engine_lost, reason)
        stream.exchange.abort()
        return _describe_end(stream, is_whole=False)

    async def _open_next(self, stream: Stream, opening: Open) -> None:
        target = self._find_destination(stream, opening)
        if target is None:
            log_event(
                'no_engine_to_go_on',
                request=stream.request,
                wanted=opening.target,
            )
            stream.mail.put_nowait(Refused(opening.leg))
            return
        opened = await open_leg(
            self._context,
            stream.incoming,
            target,
            self._placer.build_dispatch(stream, target, opening),
            _RESTART_SECONDS if opening.memory is None else _SWITCH_SECONDS,
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
            stream.mail.put_nowait(Refused(opening.leg))
            return
        self._placer.note_run(stream, target.target)
        stream.legs[opening.leg] = opened
        stream.replans = 0
        place = build_place(target)
        stream.mail.put_nowait(Opened(opening.leg, place))
        opened.start(stream.mail)

    def _find_destination(
        self,
        stream: Stream,
        opening: Open,
    ) -> TargetFact | None:
        if opening.target is None:
            if self._placer.may_try_again(stream):
                return self._placer.find_other(stream)
            return None
        fact = self._context.catalog.find(opening.target)
        is_gone = fact is None or fact.phase is TargetPhase.gone
        return None if is_gone else fact


def _describe_end(stream: Stream, *, is_whole: bool) -> Streamed:
    began = stream.first_event or stream.incoming.received_at
    return Streamed(
        is_whole=is_whole,
        events=stream.events,
        first_event_seconds=began - stream.incoming.received_at,
        longest_gap_seconds=stream.longest_gap,
        legs=0 if stream.course is None else stream.course.legs,
    )


def _runs_at(stream: Stream, target: TargetId) -> bool:
    course = stream.course
    if course is None or not stream.first_event:
        return False
    return course.place.target == target
