"""State machine of one stream over the engines that run it, without I/O.

A generation is one run that may continue on another engine: from a copy of its
memory, or by a restart where the route allows it. A leg is the part of the
stream that one engine serves. The caller sees one answer with every event once.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

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
    CopyEnded,
    EngineAddress,
    Input,
    LegDenied,
    LegEnd,
    LegEnded,
    LegEvent,
    LegId,
    LegOpened,
    LegRefused,
    MoveRequested,
    StopTimerExpired,
)
from chicoryshunt.relay.target_codec import (
    Copied,
    CopyFailed,
    CopyFailure,
    MemoryCopy,
)
from chicoryshunt.types import TargetId


class Phase(Enum):
    """Phase of a stream."""

    flowing = 'flowing'
    copying = 'copying'
    stopping = 'stopping'
    switching = 'switching'
    done = 'done'


@dataclass(eq=False, slots=True)
class _Move:
    """A move in progress."""

    destination: TargetId
    handle: str = ''
    has_stopped: bool = False
    leg_end: LegEnd | None = None
    # Engines that may continue the run from its memory, in this order.
    holders: list[TargetId] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _CopyOrder:
    """An order to copy that the engine at ``address`` has not answered."""

    move: _Move
    address: str


class StreamState:
    """Tracks one stream; each input returns the actions to take."""

    def __init__(
        self,
        engine: EngineAddress,
        *,
        is_resumable: bool,
        last_event: int | None = None,
    ) -> None:
        """Start with the first leg open on an engine.

        ``last_event`` is the number of the last event that the caller has, if
        it resumes a stream.
        """
        self.phase = Phase.flowing
        self.engine = engine
        self.last_event = last_event
        self.leg_count = 1
        self._current_leg = LegId(0)
        self._is_resumable = is_resumable
        self._move: _Move | None = None
        # A move whose order to stop the run may have been carried out.
        self._unconfirmed_move: _Move | None = None
        self._order: _CopyOrder | None = None
        self._is_move_deferred = False

    def process(self, received: Input) -> Iterator[Action]:
        """Handle an input and return the actions to take, in order."""
        if self.phase is Phase.done:
            return
        match received:
            case LegEvent(leg) if leg == self._current_leg:
                yield from self._forward(received)
            case LegEnded(leg, end) if leg == self._current_leg:
                yield from self._handle_end(end)
            case LegOpened(leg, engine):
                yield from self._handle_opened(leg, engine)
            case LegRefused(leg) if leg == self._current_leg:
                yield from self._recover('no engine took the run over')
            case LegDenied(leg, reason) if leg == self._current_leg:
                self.phase = Phase.done
                yield Abort(reason)
            case MoveRequested(destination):
                yield from self._handle_move_request(destination)
            case CopyEnded(outcome, stopped_run) if self._order is not None:
                yield from self._handle_answer(
                    self._order, outcome, stopped_run
                )
            case StopTimerExpired():
                yield from self._handle_stop_timer()

    def _forward(self, event: LegEvent) -> Iterator[Action]:
        number = event.number
        if number is not None:
            if self.last_event is not None and number <= self.last_event:
                return
            self.last_event = number
        yield Forward((event.frame,))

    def _handle_opened(
        self, leg: LegId, engine: EngineAddress
    ) -> Iterator[Action]:
        if leg == self._current_leg:
            self.engine = engine
            self._move = None
            self.phase = Phase.flowing
        else:
            yield CloseLeg(leg)

    def _handle_end(self, end: LegEnd) -> Iterator[Action]:
        move = self._move
        if end is not LegEnd.whole and self.phase is Phase.stopping and move:
            # The run may have been stopped, even if the engine closed.
            move.leg_end = end
            if move.has_stopped:
                yield self._continue_run(move)
        else:
            yield from self._end_leg(end, 'the engine broke off')

    def _end_leg(self, end: LegEnd, reason: str) -> Iterator[Action]:
        is_whole = end is LegEnd.whole
        if end is LegEnd.closed:
            is_whole = self._unconfirmed_move is None
        if is_whole:
            yield from self._finish()
        elif end is LegEnd.dropped:
            yield from self._restart(reason)
        else:
            yield from self._recover(reason)

    def _finish(self) -> Iterator[Action]:
        self.phase = Phase.done
        moves = (self._move, self._unconfirmed_move)
        handles = {move.handle for move in moves if move and move.handle}
        for handle in sorted(handles):
            yield Release(MemoryCopy(self.engine.address, handle))
        yield Finish()

    def _handle_move_request(self, destination: TargetId) -> Iterator[Action]:
        if self.phase is not Phase.flowing:
            return
        if self._order is not None:
            # The engine of an earlier leg still copies for a dropped move.
            self._is_move_deferred = True
            return
        self._move = _Move(destination)
        self.phase = Phase.copying
        yield self._order_copy(self._move, stops_run=False)

    def _order_copy(self, move: _Move, *, stops_run: bool) -> Copy:
        self._order = _CopyOrder(move, self.engine.address)
        return Copy(move.destination, stops_run=stops_run)

    def _handle_answer(
        self,
        order: _CopyOrder,
        outcome: Copied | CopyFailed,
        stopped_run: bool,
    ) -> Iterator[Action]:
        """Handle the answer to an order, also if its move was dropped."""
        self._order = None
        if order.move is self._move:
            yield from self._handle_copy_end(order.move, outcome, stopped_run)
            return
        if outcome.handle:
            yield Release(MemoryCopy(order.address, outcome.handle))
        is_deferred = self._is_move_deferred
        self._is_move_deferred = False
        if is_deferred and self.phase is Phase.flowing:
            yield Replan()

    def _handle_copy_end(
        self,
        move: _Move,
        outcome: Copied | CopyFailed,
        stopped_run: bool,
    ) -> Iterator[Action]:
        match outcome:
            case Copied(handle) if stopped_run:
                move.holders = [move.destination, self.engine.target]
                yield from self._await_stop(move, handle)
            case Copied(handle) if self.phase is Phase.copying:
                move.handle = handle
                move.holders = [move.destination]
                self.phase = Phase.stopping
                yield self._order_copy(move, stops_run=True)
            case CopyFailed(_, handle) if handle and stopped_run:
                # The run has stopped, but its memory is still on the source.
                move.holders = [self.engine.target]
                yield from self._await_stop(move, handle)
            case CopyFailed(CopyFailure.withdrawn):
                yield from self._withdraw_move(move)
            case CopyFailed():
                if stopped_run and outcome.may_have_stopped:
                    move.holders = [move.destination, self.engine.target]
                    self._unconfirmed_move = move
                yield from self._abandon_move(move)

    def _await_stop(self, move: _Move, handle: str) -> Iterator[Action]:
        """Wait for the last events of the stopped engine, then continue."""
        move.handle = handle
        move.has_stopped = True
        if move.leg_end is None:
            yield StartStopTimer()
        else:
            yield self._continue_run(move)

    def _handle_stop_timer(self) -> Iterator[Action]:
        move = self._move
        if move is None or self.phase is not Phase.stopping:
            return
        if move.has_stopped and move.leg_end is None:
            yield CloseLeg(self._current_leg)
            yield self._continue_run(move)

    def _withdraw_move(self, move: _Move) -> Iterator[Action]:
        """Stay on the engine, which would keep the copy of the run.

        If the leg has ended, the run goes on from that copy.
        """
        if move.handle and move.leg_end is None:
            yield Release(MemoryCopy(self.engine.address, move.handle))
        yield from self._abandon_move(move)

    def _abandon_move(self, move: _Move) -> Iterator[Action]:
        self.phase = Phase.flowing
        if move.leg_end is None:
            self._move = None
            yield Replan()
        else:
            # Whatever the answer says, the leg may have ended with the stop.
            end = move.leg_end
            if end is LegEnd.closed:
                end = LegEnd.cut
            yield from self._end_leg(end, 'the engine broke off during a move')

    def _continue_run(self, move: _Move) -> OpenLeg:
        """Continue a run from its memory on the next engine that may."""
        memory = MemoryCopy(self.engine.address, move.handle)
        return self._open_leg(move.holders.pop(0), memory)

    def _open_leg(
        self, target: TargetId | None, memory: MemoryCopy | None
    ) -> OpenLeg:
        """Start another leg; later events of the last one are ignored."""
        self._unconfirmed_move = None
        self._current_leg = LegId(self.leg_count)
        self.leg_count += 1
        self.phase = Phase.switching
        return OpenLeg(self._current_leg, target, memory, self.last_event)

    def _recover(self, reason: str) -> Iterator[Action]:
        """Continue after the current leg was cut, if there is a way."""
        move = self._move
        if move is None or not move.holders:
            move = self._unconfirmed_move
        if move is not None and move.holders:
            self._move = move
            yield self._continue_run(move)
        else:
            yield from self._restart(reason)

    def _restart(self, reason: str) -> Iterator[Action]:
        """Begin the run anew, or end the stream where that is not allowed."""
        if self._is_resumable:
            self._move = None
            yield self._open_leg(None, None)
        else:
            self.phase = Phase.done
            yield Abort(reason)
