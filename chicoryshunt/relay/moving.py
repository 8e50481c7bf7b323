"""Moves runs off engines that leave."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from chicoryshunt.connection.upstream import (
    ConnectionLostError,
    NotSentError,
    OutgoingRequest,
)
from chicoryshunt.dispatch.moves import (
    LeavingEngine,
    LeavingRun,
    Link,
    Move,
    plan_last,
    plan_moves,
)
from chicoryshunt.events import log_event
from chicoryshunt.fleet.facts import TargetFact, TargetPhase
from chicoryshunt.relay.context import RelayContext, view_run
from chicoryshunt.relay.stream import Stream
from chicoryshunt.relay.stream_inputs import (
    CopyEnded,
    Noticed,
)
from chicoryshunt.relay.stream_state import Phase
from chicoryshunt.relay.target_codec import Copied, CopyFailed, CopyFailure
from chicoryshunt.rules.model import EngineRules
from chicoryshunt.types import RequestId, TargetId

_COPY_SECONDS = 2.5
_MOST_ANSWER_BYTES = 65536
# Ways that are tried off one engine, one right after the other.
_MOST_REPLANS = 6
# After this time some other run may have ended and made room.
_RETRY_SECONDS = 0.2
_TRIES_PER_RETRY = 2


@dataclass(slots=True)
class _WaitingMove:
    """A move whose turn has not come."""

    stream: Stream
    move: Move
    timer: asyncio.TimerHandle | None = None


class Mover:
    """Plans moves and orders the copies that they need."""

    def __init__(self, context: RelayContext) -> None:
        """Work on what the process shares."""
        self._context = context
        # Orders that outlive the stream they are for.
        self._releases: set[asyncio.Task[Copied | CopyFailed]] = set()
        self._waiting: dict[RequestId, _WaitingMove] = {}
        self._retries: dict[RequestId, asyncio.TimerHandle] = {}
        context.workload.subscribe(self._begin_early)

    def plan(self, source: TargetFact, streams: Sequence[Stream]) -> None:
        """Start to move this node's runs off an engine, in their turn.

        Room is kept on this node for the runs of all nodes.
        """
        engine = self._context.find_engine_rules(source.service)
        if engine is None or not engine.can_move:
            return
        if not self._context.is_leaving(source.target):
            # Its health check was wrong.
            return
        moves = self._list_moves(source, engine, frozenset())
        self._context.destinations = {
            move.request: move.destination for move in moves
        }
        planned = {move.request: move for move in moves}
        for stream in streams:
            move = planned.get(stream.request)
            self._announce(stream, move, has_turn=False)
        self._begin_early()

    def replan(self, stream: Stream, *, has_turn: bool) -> None:
        """Look for another way for one run.

        Without a turn on the link it waits until the other runs have moved.
        """
        course = stream.course
        if course is None or not stream.engine.can_move:
            return
        source = self._context.catalog.find(course.place.target)
        if source is None or source.phase is TargetPhase.ready:
            return
        stream.replans += 1
        move = None
        if stream.replans <= _MOST_REPLANS:
            moves = self._list_moves(
                source,
                stream.engine,
                frozenset(stream.avoided),
            )
            move = plan_last(moves, stream.request)
        self._announce(stream, move, has_turn=has_turn)
        self._begin_early()

    async def copy(
        self,
        stream: Stream,
        destination: TargetId,
        *,
        stops_run: bool,
    ) -> None:
        """Order a copy and put its outcome into the stream's mailbox."""
        course = stream.course
        fact = self._context.catalog.find(destination)
        outcome: Copied | CopyFailed = CopyFailed(CopyFailure.unreachable)
        if course is not None and fact is not None:
            outcome = await self._order(
                course.place.address,
                self._context.codec.encode_copy(
                    stream.request,
                    fact.address,
                    stops_run=stops_run,
                ),
            )
        if isinstance(outcome, CopyFailed):
            stream.avoided.add(destination)
        log_event(
            'memory_copied',
            request=stream.request,
            source=course and course.place.target,
            destination=destination,
            stops_run=stops_run,
            outcome=outcome,
        )
        stream.mail.put_nowait(CopyEnded(outcome, stops_run))

    def release(self, address: str, handle: str) -> None:
        """Let an engine drop a copy that is not needed."""
        sending = self._context.codec.encode_release(handle)
        task = asyncio.ensure_future(self._order(address, sending))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    def forget(self, stream: Stream) -> None:
        """Drop the planned move of a run."""
        waiting = self._waiting.pop(stream.request, None)
        if waiting is not None and waiting.timer is not None:
            waiting.timer.cancel()
        retry = self._retries.pop(stream.request, None)
        if retry is not None:
            retry.cancel()

    def _announce(
        self,
        stream: Stream,
        move: Move | None,
        *,
        has_turn: bool,
    ) -> None:
        course = stream.course
        if course is None or course.phase is not Phase.flowing:
            return
        log_event(
            'move_planned',
            request=stream.request,
            source=course.place.target,
            destination=move and move.destination,
            after_seconds=move and move.after,
            has_turn=has_turn,
        )
        self.forget(stream)
        if move is None:
            self._strand(stream)
            return
        self._context.destinations[stream.request] = move.destination
        waiting = _WaitingMove(stream, move)
        waiting.timer = asyncio.get_running_loop().call_later(
            0 if has_turn else move.after,
            self._begin,
            waiting,
        )
        self._waiting[stream.request] = waiting

    def _strand(self, stream: Stream) -> None:
        """Pass the run's turn on, and try again a little later.

        Load pattern: full engines refuse a copy, and the runs whose turn is
        next would wait for one that never leaves.
        """
        workload = self._context.workload
        if not workload.is_stranded(stream.request):
            self._context.send(workload.strand(stream.request))
        self._retries[stream.request] = asyncio.get_running_loop().call_later(
            _RETRY_SECONDS,
            self._retry,
            stream,
        )

    def _retry(self, stream: Stream) -> None:
        stream.replans = _MOST_REPLANS - _TRIES_PER_RETRY
        stream.avoided.clear()
        self.replan(stream, has_turn=False)

    def _begin(self, waiting: '_WaitingMove') -> None:
        stream = waiting.stream
        self.forget(stream)
        course = stream.course
        if course is None or course.place.target != waiting.move.source:
            return
        if self._context.is_leaving(waiting.move.destination):
            # Its notice came after the move was planned.
            self.replan(stream, has_turn=True)
        else:
            stream.mail.put_nowait(Noticed(waiting.move.destination))

    def _begin_early(self) -> None:
        """Begin moves whose engine has finished with the earlier ones."""
        if not self._waiting:
            return
        present = {
            one.run.request
            for one in self._context.workload.list_runs()
            if self._context.is_leaving(one.run.target)
            and not self._context.workload.is_stranded(one.run.request)
        }
        ready = [
            waiting
            for waiting in self._waiting.values()
            if waiting.move.may_start(present)
        ]
        for waiting in ready:
            # One that begins may plan anew, which begins others.
            if self._waiting.get(waiting.move.request) is waiting:
                self._begin(waiting)

    def _list_moves(
        self,
        source: TargetFact,
        engine: EngineRules,
        avoided: frozenset[TargetId],
    ) -> list[Move]:
        """Plan the moves off an engine, and off all others that leave."""
        context = self._context
        leaving = self._list_leaving(source)
        others = context.list_candidates(
            source.service,
            avoided.union(one.target for one in leaving),
        )
        engines = context.view_engines([*leaving, *others], engine)
        departing = engines[: len(leaving)]
        return plan_moves(
            [
                LeavingEngine(one, self._list_runs(one.target))
                for one in departing
            ],
            engines[len(leaving) :],
            Link(engine.bytes_per_token, engine.link_bytes_per_second),
            context.pace,
        )

    def _list_leaving(self, source: TargetFact) -> list[TargetFact]:
        """Return an engine and all others of its service that leave."""
        busy = {one.run.target for one in self._context.workload.list_runs()}
        facts = map(self._context.catalog.find, busy - {source.target})
        return [
            source,
            *(
                fact
                for fact in facts
                if fact is not None
                and fact.phase is not TargetPhase.ready
                and fact.service == source.service
            ),
        ]

    def _list_runs(self, target: TargetId) -> tuple[LeavingRun, ...]:
        now = self._context.clock.now()
        return tuple(
            LeavingRun(one.run.request, view_run(one.run, now - one.placed))
            for one in self._context.workload.list_runs()
            if one.run.target == target
        )

    async def _order(
        self,
        address: str,
        sending: OutgoingRequest,
    ) -> Copied | CopyFailed:
        failed = CopyFailed(CopyFailure.unreachable)
        try:
            upstream = await self._context.pool.open(address)
        except NotSentError as error:
            log_event('copy_not_ordered', error=str(error))
            return failed
        try:
            answer = await upstream.send(sending, _COPY_SECONDS)
        except (NotSentError, ConnectionLostError) as error:
            log_event('copy_not_answered', error=str(error))
            return failed
        else:
            body = await answer.body.read_all(_MOST_ANSWER_BYTES)
        finally:
            upstream.abort()
        received = body if isinstance(body, bytes) else b''
        return self._context.codec.decode_copy(answer, received)
