"""Moves runs off engines that are leaving."""

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
from chicoryshunt.relay.context import RelayContext, build_placed_run_view
from chicoryshunt.relay.stream import Stream
from chicoryshunt.relay.stream_inputs import (
    CopyEnded,
    MoveRequested,
)
from chicoryshunt.relay.stream_state import Phase
from chicoryshunt.relay.target_codec import (
    Copied,
    CopyFailed,
    CopyFailure,
    MemoryCopy,
)
from chicoryshunt.rules.model import EngineRules
from chicoryshunt.types import RequestId, TargetId

_COPY_TIMEOUT_SECONDS = 2.5
# The body of an answer follows its head at once.
_ANSWER_BODY_SECONDS = 1.0
_MAX_ANSWER_BYTES = 65536
# Moves that are planned for a run in direct succession, before a retry.
_MAX_REPLANS = 6
# Pause before the retry; another run may have ended and made room by then.
_RETRY_SECONDS = 0.2
_REPLANS_PER_RETRY = 2


@dataclass(slots=True)
class _WaitingMove:
    """A planned move that has not started."""

    stream: Stream
    move: Move
    timer: asyncio.TimerHandle | None = None


class Mover:
    """Plans moves and orders the copies that they need."""

    def __init__(self, context: RelayContext) -> None:
        """Use the context that all requests of the node share."""
        self._context = context
        # Orders to release a copy may outlive the stream.
        self._release_tasks: set[asyncio.Task[Copied | CopyFailed]] = set()
        self._waiting: dict[RequestId, _WaitingMove] = {}
        self._retry_timers: dict[RequestId, asyncio.TimerHandle] = {}
        context.workload.subscribe(self._start_ready_moves)

    def plan(self, source: TargetFact, streams: Sequence[Stream]) -> None:
        """Schedule the moves of this node's runs off an engine.

        The destinations are noted for the runs of all nodes, so that new
        requests on this node leave room for them.
        """
        engine_rules = self._context.find_engine_rules(source.service)
        if engine_rules is None or not engine_rules.can_move:
            return
        if not self._context.is_leaving(source.target):
            # A failed health check was a false alarm.
            return
        moves = self._list_moves(source, engine_rules, frozenset())
        self._context.planned_destinations = {
            move.request: move.destination for move in moves
        }
        planned = {move.request: move for move in moves}
        for stream in streams:
            move = planned.get(stream.request)
            self._schedule(stream, move, has_turn=False)
        self._start_ready_moves()

    def replan(self, stream: Stream, *, has_turn: bool) -> None:
        """Plan another move for one run.

        With ``has_turn``, which means that the link of the engine is left to
        this run, it starts at once; otherwise it waits until the other runs
        have moved.
        """
        state = stream.state
        if state is None or not stream.engine_rules.can_move:
            return
        source = self._context.catalog.find(state.engine.target)
        if source is None or source.phase is TargetPhase.ready:
            return
        stream.replan_count += 1
        move = None
        if stream.replan_count <= _MAX_REPLANS:
            moves = self._list_moves(
                source,
                stream.engine_rules,
                frozenset(stream.excluded),
            )
            move = plan_last(moves, stream.request)
        self._schedule(stream, move, has_turn=has_turn)
        self._start_ready_moves()

    async def copy(
        self,
        stream: Stream,
        destination: TargetId,
        *,
        stops_run: bool,
    ) -> None:
        """Order a copy and queue its outcome as an input of the stream."""
        state = stream.state
        fact = self._context.catalog.find(destination)
        outcome: Copied | CopyFailed = CopyFailed(CopyFailure.not_sent)
        if self._is_relief_withdrawn(stream, destination):
            outcome = CopyFailed(CopyFailure.withdrawn)
        elif state is not None and fact is not None:
            outcome = await self._send_order(
                state.engine.address,
                self._context.codec.encode_copy(
                    stream.request,
                    fact.address,
                    stops_run=stops_run,
                ),
            )
        if isinstance(outcome, CopyFailed) and not self._may_stay(stream):
            stream.excluded.add(destination)
        log_event(
            'memory_copied',
            request=stream.request,
            source=state and state.engine.target,
            destination=destination,
            stops_run=stops_run,
            outcome=outcome,
        )
        stream.inputs.put_nowait(CopyEnded(outcome, stops_run))

    def build_failure(self, stops_run: bool) -> CopyEnded:
        """Return the outcome of a copy that failed unexpectedly."""
        return CopyEnded(CopyFailed(CopyFailure.unreachable), stops_run)

    def release(self, copy: MemoryCopy) -> None:
        """Order an engine to drop a copy that is not needed."""
        outgoing = self._context.codec.encode_release(copy.name)
        task = asyncio.ensure_future(self._send_order(copy.address, outgoing))
        self._release_tasks.add(task)
        task.add_done_callback(self._release_tasks.discard)

    def cancel(self, stream: Stream) -> None:
        """Cancel the planned move and the retry of a run."""
        waiting = self._waiting.pop(stream.request, None)
        if waiting is not None and waiting.timer is not None:
            waiting.timer.cancel()
        retry = self._retry_timers.pop(stream.request, None)
        if retry is not None:
            retry.cancel()

    def _may_stay(self, stream: Stream) -> bool:
        state = stream.state
        return state is not None and not self._context.is_leaving(
            state.engine.target
        )

    def _is_relief_withdrawn(
        self, stream: Stream, destination: TargetId
    ) -> bool:
        """Return whether a run rather stays than goes to a leaving engine."""
        return self._may_stay(stream) and self._context.is_leaving(destination)

    def _schedule(
        self,
        stream: Stream,
        move: Move | None,
        *,
        has_turn: bool,
    ) -> None:
        state = stream.state
        if state is None or state.phase is not Phase.flowing:
            return
        log_event(
            'move_planned',
            request=stream.request,
            source=state.engine.target,
            destination=move and move.destination,
            after_seconds=move and move.after,
            has_turn=has_turn,
        )
        self.cancel(stream)
        if move is None:
            self._defer(stream)
            return
        self._context.planned_destinations[stream.request] = move.destination
        waiting = _WaitingMove(stream, move)
        waiting.timer = asyncio.get_running_loop().call_later(
            0 if has_turn else move.after,
            self._start_move,
            waiting,
        )
        self._waiting[stream.request] = waiting

    def _defer(self, stream: Stream) -> None:
        """Let the next runs move first, and retry after a pause.

        Load pattern: full engines refuse a copy, and the runs that are next
        would wait for one that never moves.
        """
        workload = self._context.workload
        if not workload.is_stranded(stream.request):
            self._context.send(workload.mark_stranded(stream.request))
        self._retry_timers[stream.request] = (
            asyncio.get_running_loop().call_later(
                _RETRY_SECONDS,
                self._retry,
                stream,
            )
        )

    def _retry(self, stream: Stream) -> None:
        stream.replan_count = _MAX_REPLANS - _REPLANS_PER_RETRY
        stream.excluded.clear()
        self.replan(stream, has_turn=False)

    def _start_move(self, waiting: '_WaitingMove') -> None:
        stream = waiting.stream
        self.cancel(stream)
        state = stream.state
        if state is None or state.engine.target != waiting.move.source:
            return
        if self._context.is_leaving(waiting.move.destination):
            # The destination's notice arrived after the move was planned.
            self.replan(stream, has_turn=True)
        else:
            stream.inputs.put_nowait(MoveRequested(waiting.move.destination))

    def _start_ready_moves(self) -> None:
        """Start the moves that no longer wait for earlier runs."""
        if not self._waiting:
            return
        present = {
            known.run.request
            for known in self._context.workload.list_runs()
            if self._context.is_leaving(known.run.target)
            and not self._context.workload.is_stranded(known.run.request)
        }
        ready = [
            waiting
            for waiting in self._waiting.values()
            if waiting.move.may_start(present)
        ]
        for waiting in ready:
            # Starting a move may replan it, which may start others.
            if self._waiting.get(waiting.move.request) is waiting:
                self._start_move(waiting)

    def _list_moves(
        self,
        source: TargetFact,
        engine_rules: EngineRules,
        excluded: frozenset[TargetId],
    ) -> list[Move]:
        """Plan the moves off an engine and off all others that are leaving."""
        context = self._context
        leaving = self._list_leaving(source)
        others = context.list_candidates(
            source.service,
            excluded.union(fact.target for fact in leaving),
        )
        engines = context.build_engines([*leaving, *others], engine_rules)
        leaving_engines = engines[: len(leaving)]
        max_gap = context.find_max_gap(source.service)
        return plan_moves(
            [
                LeavingEngine(engine, self._list_runs(engine.target, max_gap))
                for engine in leaving_engines
            ],
            engines[len(leaving) :],
            Link(
                engine_rules.bytes_per_token, engine_rules.link_bytes_per_second
            ),
            context.token_rate,
        )

    def _list_leaving(self, source: TargetFact) -> list[TargetFact]:
        """Return an engine and the other leaving ones of its service."""
        busy = {
            known.run.target for known in self._context.workload.list_runs()
        }
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

    def _list_runs(
        self, target: TargetId, max_gap: float | None
    ) -> tuple[LeavingRun, ...]:
        now = self._context.clock.now()
        return tuple(
            LeavingRun(
                known.run.request,
                build_placed_run_view(known.run, now - known.placed, max_gap),
            )
            for known in self._context.workload.list_runs()
            if known.run.target == target
        )

    async def _send_order(
        self,
        address: str,
        outgoing: OutgoingRequest,
    ) -> Copied | CopyFailed:
        try:
            upstream = await self._context.pool.open(address)
        except NotSentError as error:
            log_event('copy_not_ordered', error=str(error))
            return CopyFailed(CopyFailure.not_sent)
        try:
            answer = await upstream.send(outgoing, _COPY_TIMEOUT_SECONDS)
        except (NotSentError, ConnectionLostError) as error:
            log_event('copy_not_answered', error=str(error))
            return CopyFailed(CopyFailure.unreachable)
        else:
            body = await answer.body.read_all(
                _MAX_ANSWER_BYTES, _ANSWER_BODY_SECONDS
            )
        finally:
            upstream.abort()
        received = body if isinstance(body, bytes) else b''
        return self._context.codec.decode_copy(answer, received)
