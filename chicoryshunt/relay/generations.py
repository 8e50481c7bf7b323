"""Relays generations: placed on an engine, streamed, and kept going."""

import asyncio
import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.upstream import LostError, NotSentError, Sending
from chicoryshunt.dispatch.engines import (
    Full,
    Hopeless,
    Placed,
    choose_engine,
    choose_holder,
)
from chicoryshunt.dispatch.forecast import RunView
from chicoryshunt.dispatch.handover import Leaving, Link, plan_moves
from chicoryshunt.events import log_event
from chicoryshunt.fleet.facts import TargetFact, TargetPhase
from chicoryshunt.fleet.workload import PlacedRun
from chicoryshunt.relay.course import (
    Abort,
    Action,
    AwaitStop,
    Close,
    Copy,
    CopyEnded,
    Course,
    Event,
    Finish,
    Forward,
    HolderLost,
    LegId,
    Noticed,
    Open,
    Place,
    Refused,
    Release,
    StopSettled,
)
from chicoryshunt.relay.incoming import GenerationAsk, Incoming
from chicoryshunt.relay.legs import Leg, Mail, open_leg
from chicoryshunt.relay.ports import CopyFailed, CopyFailure, Dispatch
from chicoryshunt.relay.results import (
    Delivered,
    Doubtful,
    NotRun,
    Result,
    Streamed,
)
from chicoryshunt.relay.surroundings import Surroundings, view_run
from chicoryshunt.rules.model import EngineRules
from chicoryshunt.rules.routing import Admitted
from chicoryshunt.types import (
    Reason,
    RequestId,
    Seconds,
    ServiceId,
    TargetId,
)
from chicoryshunt.verdict import doubt, refuse

# How often a waiting request looks for room.
_ROOM_POLL_SECONDS = 0.03
# An engine that was silent for so long inside a stream has stalled; callers
# leave after two seconds.
_SILENCE_SECONDS = 1.5
# A run that goes on elsewhere has to begin within this time.
_SWITCH_SECONDS = 1.0
_COPY_SECONDS = 2.5
# Last events of a stopped engine are on their way for no longer than this.
_SETTLE_SECONDS = 0.03
_MOST_REFUSALS = 4
# Returns are spread over this part of the expected wait.
_RETRY_SPREAD = 0.5
_LEAST_SECONDS = 0.02
_DEADLINE_MAIL = 'deadline'
# A caller without an estimate gets this part of the longest answer.
_UNKNOWN_LENGTH_PART = 0.4


@dataclass(slots=True)
class _Stream:
    """One generation that is being relayed."""

    incoming: Incoming
    admitted: Admitted
    service: ServiceId
    engine: EngineRules
    deadline: float
    exchange: Exchange
    view: RunView
    mail: Mail = field(default_factory=asyncio.Queue)
    legs: dict[LegId, Leg] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    course: Course | None = None
    placed: float = 0
    first_event: float = 0
    events: int = 0


class GenerationRelay:
    """Places generations and keeps them going when their engines leave."""

    def __init__(self, around: Surroundings) -> None:
        """Work on what the process shares."""
        self._around = around
        self._streams: dict[RequestId, _Stream] = {}
        self._waiting: list[tuple[int, float, RequestId]] = []

    async def relay(
        self,
        incoming: Incoming,
        admitted: Admitted,
        service: ServiceId,
        deadline: float,
        exchange: Exchange,
    ) -> Result:
        """Stream the answer of a generation to the caller."""
        engine = self._find_engine_rules(service)
        ask = incoming.ask
        if engine is None or ask is None:
            return refuse(Reason.unknown_service, f'{service} has no engines')
        stream = _Stream(
            incoming,
            admitted,
            service,
            engine,
            deadline,
            exchange,
            _view_ask(ask),
        )
        with self._own(stream):
            return await self._run(stream)

    def follow_target(self, fact: TargetFact) -> None:
        """Move runs off an engine that leaves, and forget its copies."""
        if fact.phase is TargetPhase.ready:
            return
        for stream in tuple(self._streams.values()):
            course = stream.course
            if course is None:
                continue
            if course.holder and course.holder.target == fact.target:
                stream.mail.put_nowait(HolderLost())
        self._plan_moves(fact.target)

    @contextmanager
    def _own(self, stream: _Stream) -> Iterator[None]:
        """Close everything of a stream when it ends, however it ends."""
        request = stream.incoming.request
        try:
            yield
        finally:
            self._streams.pop(request, None)
            for leg in stream.legs.values():
                leg.close()
            for task in stream.tasks:
                task.cancel()
            self._around.send(self._around.workload.end(request))

    def _find_engine_rules(self, service: ServiceId) -> EngineRules | None:
        index = self._around.catalog.rules
        rules = None if index is None else index.find_service(service)
        return None if rules is None else rules.engine

    async def _run(self, stream: _Stream) -> Result:
        tried: list[TargetId] = []
        runs = 0
        while True:
            target = await self._find_room(stream, tried)
            if not isinstance(target, TargetFact):
                return target
            if tried and not self._may_try_again(stream):
                return self._refuse_full(stream, 'retry budget is spent')
            tried.append(target.target)
            opened = await self._open_first(stream, target)
            match opened:
                case Leg():
                    return await self._stream(stream, opened)
                case Delivered():
                    return opened
                case NotRun():
                    self._log_failure(stream, opened)
                    if len(tried) >= _MOST_REFUSALS:
                        return self._refuse_full(stream, opened.detail)
                case Doubtful():
                    self._log_failure(stream, opened)
                    runs += 1
                    route = stream.admitted.route
                    if not route.is_resumable or runs >= route.max_attempts:
                        return _doubt(opened)

    async def _find_room(
        self,
        stream: _Stream,
        tried: list[TargetId],
    ) -> TargetFact | Result:
        """Wait for an engine with room, the most urgent request first.

        A request that cannot be served in time is refused at once.
        """
        clock = self._around.clock
        ticket = (
            stream.admitted.priority,
            clock.now(),
            stream.incoming.request,
        )
        self._waiting.append(ticket)
        self._waiting.sort()
        try:
            while True:
                found = self._look_for_room(stream, tried, ticket)
                if found is not None:
                    return found
                await asyncio.sleep(_ROOM_POLL_SECONDS)
        finally:
            self._waiting.remove(ticket)

    def _look_for_room(
        self,
        stream: _Stream,
        tried: list[TargetId],
        ticket: tuple[int, float, RequestId],
    ) -> TargetFact | Result | None:
        around = self._around
        facts = around.list_candidates(stream.service, tried)
        choice = choose_engine(
            around.view_engines(facts, stream.engine),
            stream.view,
            around.data_centre,
            around.pace,
        )
        remaining = stream.deadline - around.clock.now()
        is_first = self._waiting[0] == ticket
        match choice:
            case Placed(target, part) if is_first:
                self._log_placed(stream, target, part)
                return next(one for one in facts if one.target == target)
            case Hopeless(need):
                detail = f'no engine holds {need} tokens'
                return refuse(Reason.no_capacity, detail)
            case Full(seconds) if seconds >= remaining:
                return self._refuse_full(stream, 'no room in time', seconds)
        if remaining < _LEAST_SECONDS:
            return refuse(Reason.queue_timeout, 'no room in time')
        return None

    def _may_try_again(self, stream: _Stream) -> bool:
        return self._around.extras.spend(
            stream.service,
            self._around.count_nodes(),
            self._around.clock.now(),
        )

    def _refuse_full(
        self,
        stream: _Stream,
        detail: str,
        seconds: float = 1,
    ) -> Result:
        patience = stream.deadline - self._around.clock.now()
        spread = 1 + random.random() * _RETRY_SPREAD
        wait = min(seconds * spread, max(patience, 0) / 3)
        return refuse(Reason.no_capacity, detail, Seconds(wait))

    async def _open_first(
        self,
        stream: _Stream,
        target: TargetFact,
    ) -> Leg | Delivered | NotRun | Doubtful:
        holder = self._choose_holder(stream, target)
        self._note_run(stream, target, holder)
        dispatch = self._build_dispatch(stream, target, holder)
        opened = await open_leg(
            self._around,
            stream.incoming,
            target,
            dispatch,
            dispatch.remaining,
            LegId(0),
        )
        if isinstance(opened, Leg):
            route = stream.admitted.route
            stream.course = Course(
                stream.incoming.request,
                _place(target),
                None if holder is None else _place(holder),
                is_resumable=route.is_resumable,
            )
        return opened

    def _note_run(
        self,
        stream: _Stream,
        target: TargetFact,
        holder: TargetFact | None,
    ) -> None:
        around = self._around
        now = around.clock.now()
        if not stream.placed:
            stream.placed = now
        view = stream.view
        run = PlacedRun(
            stream.incoming.request,
            target.target,
            view.prompt_tokens,
            view.expected_tokens,
            view.most_tokens,
            now - stream.placed,
            TargetId('') if holder is None else holder.target,
        )
        self._streams[stream.incoming.request] = stream
        around.cold.spend(target.target)
        around.send(around.workload.place(run, now))

    def _build_dispatch(
        self,
        stream: _Stream,
        target: TargetFact,
        holder: TargetFact | None,
        opening: Open | None = None,
    ) -> Dispatch:
        team = stream.admitted.team
        last_event = stream.incoming.last_event
        return Dispatch(
            target=target.target,
            remaining=stream.deadline - self._around.clock.now(),
            priority=stream.admitted.priority,
            team=None if team is None else team.team,
            holder_address='' if holder is None else holder.address,
            memory=None if opening is None else opening.memory,
            last_event=last_event if opening is None else opening.last_event,
        )

    def _choose_holder(
        self,
        stream: _Stream,
        target: TargetFact,
    ) -> TargetFact | None:
        """Choose who keeps a copy; short answers end before it matters."""
        around = self._around
        route = stream.admitted.route
        if not stream.engine.can_back_up or route.is_resumable:
            return None
        facts = around.list_candidates(stream.service, ())
        engines = around.view_engines(facts, stream.engine)
        source = next(
            (one for one in engines if one.target == target.target),
            None,
        )
        if source is None:
            return None
        holder = choose_holder(engines, stream.view, source, around.pace)
        return next((one for one in facts if one.target == holder), None)

    async def _stream(self, stream: _Stream, first: Leg) -> Result:
        self._begin_answer(stream, first)
        self._start_leg(stream, first)
        loop = asyncio.get_running_loop()
        remaining = stream.deadline - self._around.clock.now()
        timer = loop.call_later(
            max(remaining, 0),
            stream.mail.put_nowait,
            _DEADLINE_MAIL,
        )
        try:
            return await self._follow_mail(stream)
        finally:
            timer.cancel()

    async def _follow_mail(self, stream: _Stream) -> Result:
        course = stream.course
        while course is not None:
            received = await stream.mail.get()
            if received == _DEADLINE_MAIL:
                return self._cut(stream, 'the deadline passed')
            if isinstance(received, Event):
                self._count_event(stream)
            for action in course.take(received):  # type: ignore[arg-type]
                ended = self._act(stream, action)
                if ended is not None:
                    return ended
        return self._cut(stream, 'no leg')

    def _begin_answer(self, stream: _Stream, leg: Leg) -> None:
        stream.exchange.begin(leg.answer.status, leg.answer.headers)

    def _start_leg(self, stream: _Stream, leg: Leg) -> None:
        stream.legs[leg.leg] = leg
        leg.start(stream.mail, _SILENCE_SECONDS)

    def _count_event(self, stream: _Stream) -> None:
        stream.events += 1
        if not stream.first_event:
            stream.first_event = self._around.clock.now()
            fact = self._find_present(stream)
            if fact is None or fact.phase is not TargetPhase.ready:
                # The engine's notice came before there was a run to move.
                self._plan_moves(stream.course and stream.course.place.target)

    def _find_present(self, stream: _Stream) -> TargetFact | None:
        if stream.course is None:
            return None
        known = self._around.catalog.find(stream.course.place.target)
        if known is not None and isinstance(known.fact, TargetFact):
            return known.fact
        return None

    def _act(self, stream: _Stream, action: Action) -> Result | None:
        match action:
            case Forward(frames):
                stream.exchange.write(b''.join(frames))
            case Copy(destination, stops_run):
                self._spawn(
                    stream,
                    self._copy(stream, destination, stops_run=stops_run),
                )
            case AwaitStop():
                asyncio.get_running_loop().call_later(
                    _SETTLE_SECONDS,
                    stream.mail.put_nowait,
                    StopSettled(),
                )
            case Open():
                self._spawn(stream, self._open_next(stream, action))
            case Close(leg):
                closed = stream.legs.pop(leg, None)
                if closed is not None:
                    closed.close()
            case Release(handle):
                self._release(stream, handle)
            case Finish():
                return self._finish(stream)
            case Abort(reason):
                return self._cut(stream, reason)
        return None

    def _spawn(self, stream: _Stream, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[arg-type]
        stream.tasks.add(task)
        task.add_done_callback(stream.tasks.discard)

    def _finish(self, stream: _Stream) -> Result:
        now = self._around.clock.now()
        tokens = stream.events * stream.engine.tokens_per_event
        self._around.learn_pace(tokens, now - stream.first_event)
        stream.exchange.finish()
        return Streamed(is_whole=True, events=stream.events)

    def _cut(self, stream: _Stream, reason: str) -> Result:
        log_event(
            'stream_cut',
            request=stream.incoming.request,
            reason=reason,
            events=stream.events,
            last_event=stream.course and stream.course.last_event,
            target=stream.course and stream.course.place.target,
        )
        stream.exchange.abort()
        return Streamed(is_whole=False, events=stream.events)

    async def _open_next(self, stream: _Stream, opening: Open) -> None:
        target = self._find_destination(stream, opening)
        course = stream.course
        if target is None or course is None:
            stream.mail.put_nowait(Refused(opening.leg))
            return
        holder = self._choose_holder(stream, target)
        course.settle(
            _place(target),
            None if holder is None else _place(holder),
        )
        self._note_run(stream, target, holder)
        opened = await open_leg(
            self._around,
            stream.incoming,
            target,
            self._build_dispatch(stream, target, holder, opening),
            _SWITCH_SECONDS,
            opening.leg,
        )
        log_event(
            'run_goes_on',
            request=stream.incoming.request,
            target=target.target,
            leg=opening.leg,
            last_event=opening.last_event,
            memory=opening.memory and opening.memory.name,
            outcome=type(opened).__name__,
            detail=getattr(opened, 'detail', None),
        )
        if isinstance(opened, Leg):
            self._start_leg(stream, opened)
        else:
            stream.mail.put_nowait(Refused(opening.leg))

    def _find_destination(
        self,
        stream: _Stream,
        opening: Open,
    ) -> TargetFact | None:
        if opening.target is None:
            if not self._may_try_again(stream):
                return None
            course = stream.course
            tried = () if course is None else (course.place.target,)
            facts = self._around.list_candidates(stream.service, tried)
            choice = choose_engine(
                self._around.view_engines(facts, stream.engine),
                stream.view,
                self._around.data_centre,
                self._around.pace,
            )
            if not isinstance(choice, Placed):
                return None
            return next(one for one in facts if one.target == choice.target)
        known = self._around.catalog.find(opening.target)
        if known is None or not isinstance(known.fact, TargetFact):
            return None
        is_gone = known.fact.phase is TargetPhase.gone
        return None if is_gone else known.fact

    async def _copy(
        self,
        stream: _Stream,
        destination: TargetId,
        *,
        stops_run: bool,
    ) -> None:
        course = stream.course
        known = self._around.catalog.find(destination)
        outcome: object = CopyFailed(CopyFailure.unreachable)
        if course is not None and known is not None:
            sending = self._around.port.encode_copy(
                stream.incoming.request,
                getattr(known.fact, 'address', ''),
                stops_run=stops_run,
            )
            outcome = await self._order_copy(course.place.address, sending)
        log_event(
            'memory_copied',
            request=stream.incoming.request,
            source=course and course.place.target,
            destination=destination,
            stops_run=stops_run,
            outcome=outcome,
        )
        stream.mail.put_nowait(
            CopyEnded(outcome, stops_run),  # type: ignore[arg-type]
        )

    async def _order_copy(self, address: str, sending: Sending) -> object:
        try:
            upstream = await self._around.pool.open(address)
        except NotSentError:
            return CopyFailed(CopyFailure.unreachable)
        try:
            answer = await upstream.send(sending, _COPY_SECONDS)
            body = await answer.body.read_all(65536)
        except (NotSentError, LostError):
            return CopyFailed(CopyFailure.unreachable)
        finally:
            upstream.abort()
        received = body if isinstance(body, bytes) else b''
        return self._around.port.decode_copy(answer, received)

    def _release(self, stream: _Stream, handle: str) -> None:
        course = stream.course
        if course is not None:
            sending = self._around.port.encode_release(handle)
            task = asyncio.ensure_future(
                self._order_copy(course.place.address, sending),
            )
            _BACKGROUND.add(task)
            task.add_done_callback(_BACKGROUND.discard)

    def _plan_moves(self, source: TargetId | None) -> None:
        """Start the moves of this node's runs on a leaving engine."""
        streams = {
            request: stream
            for request, stream in self._streams.items()
            if stream.course is not None
            and stream.course.place.target == source
            and stream.first_event
        }
        if not streams or source is None:
            return
        example = next(iter(streams.values()))
        moves = self._list_moves(source, example)
        loop = asyncio.get_running_loop()
        for request, stream in streams.items():
            destination, after = moves.get(request, (None, 0.0))
            loop.call_later(
                after,
                stream.mail.put_nowait,
                Noticed(destination),
            )
            log_event(
                'move_planned',
                request=request,
                source=source,
                destination=destination,
                after_seconds=after,
                holder=stream.course
                and stream.course.holder
                and stream.course.holder.target,
            )

    def _list_moves(
        self,
        source: TargetId,
        example: _Stream,
    ) -> dict[RequestId, tuple[TargetId, float]]:
        around = self._around
        now = around.clock.now()
        known = around.catalog.find(source)
        if known is None or not isinstance(known.fact, TargetFact):
            return {}
        facts = around.list_candidates(example.service, ())
        engines = around.view_engines([known.fact, *facts], example.engine)
        leaving = [
            Leaving(
                one.run.request,
                view_run(one.run, now - one.placed),
                has_backup=bool(one.run.holder),
            )
            for one in around.workload.list_runs()
            if one.run.target == source
        ]
        moves = plan_moves(
            engines[0],
            leaving,
            engines[1:],
            Link(
                example.engine.bytes_per_token,
                example.engine.link_bytes_per_second,
            ),
            around.pace,
        )
        return {one.request: (one.destination, one.after) for one in moves}

    def _log_placed(
        self,
        stream: _Stream,
        target: TargetId,
        part: float,
    ) -> None:
        log_event(
            'run_placed',
            request=stream.incoming.request,
            target=target,
            score=part,
            pace=self._around.pace,
            waiting=len(self._waiting),
            prompt_tokens=stream.view.prompt_tokens,
            expected_tokens=stream.view.expected_tokens,
        )

    def _log_failure(
        self,
        stream: _Stream,
        attempt: NotRun | Doubtful,
    ) -> None:
        log_event(
            'attempt_failed',
            request=stream.incoming.request,
            target=attempt.target,
            kind=type(attempt).__name__,
            detail=attempt.detail,
        )


# Tasks that outlive their stream.
_BACKGROUND: set[asyncio.Task[object]] = set()


def _view_ask(ask: GenerationAsk) -> RunView:
    expected = ask.expected_tokens
    if expected is None:
        expected = round(ask.most_tokens * _UNKNOWN_LENGTH_PART)
    return RunView(
        ask.prompt_tokens,
        max(min(expected, ask.most_tokens), 1),
        ask.most_tokens,
    )


def _place(target: TargetFact) -> Place:
    return Place(target.target, target.address)


def _doubt(attempt: Doubtful) -> Result:
    reason = Reason.target_unreachable
    if attempt.is_timeout:
        reason = Reason.target_timeout
    return doubt(reason, attempt.detail)
