"""The course of one stream over the engines that run it, without I/O.

A generation is one run that may go on at another engine: from memory that was
moved there, or anew where the route allows it. The caller sees one answer with
every event once.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

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
    CopyEnded,
    Ended,
    Event,
    Input,
    LegEnd,
    LegId,
    Noticed,
    Opened,
    Place,
    Refused,
    StopSettled,
)
from chicoryshunt.relay.target_codec import Copied, CopyFailed, MemoryCopy
from chicoryshunt.types import TargetId


class Phase(Enum):
    """What is going on with the run."""

    flowing = 'flowing'
    copying = 'copying'
    stopping = 'stopping'
    switching = 'switching'
    done = 'done'


@dataclass(slots=True)
class _Move:
    """A move that is under way."""

    destination: TargetId
    handle: str = ''
    has_stopped: bool = False
    leg_ended: bool = False
    went_back: bool = False


class StreamState:
    """State of one stream; each input returns the actions to take."""

    def __init__(self, place: Place, *, is_resumable: bool) -> None:
        """Begin with the first leg open."""
        self.phase = Phase.flowing
        self.place = place
        self.last_event: int | None = None
        self.legs = 1
        self._leg = LegId(0)
        self._is_resumable = is_resumable
        self._move: _Move | None = None

    def take(self, one: Input) -> Iterator[Action]:
        """Handle an input and return the actions to take, in order."""
        if self.phase is Phase.done:
            return
        match one:
            case Event(leg) if leg == self._leg:
                yield from self._forward(one)
            case Ended(leg, end) if leg == self._leg:
                yield from self._take_end(end)
            case Opened(leg, place):
                yield from self._take_opening(leg, place)
            case Refused(leg) if leg == self._leg:
                yield from self._recover('no engine took the run over')
            case Noticed(destination):
                yield from self._take_notice(destination)
            case CopyEnded(outcome, stopped_run) if self._move is not None:
                yield from self._take_copy(self._move, outcome, stopped_run)
            case StopSettled():
                yield from self._settle_stop()

    def _forward(self, event: Event) -> Iterator[Action]:
        number = event.number
        if number is not None:
            if self.last_event is not None and number <= self.last_event:
                return
            self.last_event = number
        yield Forward((event.frame,))

    def _take_opening(self, leg: LegId, place: Place) -> Iterator[Action]:
        if leg == self._leg:
            self.place = place
            self._move = None
            self.phase = Phase.flowing
        else:
            yield Close(leg)

    def _take_end(self, end: LegEnd) -> Iterator[Action]:
        move = self._move
        if end is LegEnd.whole:
            self.phase = Phase.done
            if move is not None and move.handle:
                yield Release(move.handle)
            yield Finish()
        elif move is not None and self.phase is Phase.stopping:
            move.leg_ended = True
            if move.has_stopped:
                yield self._go_on(move.destination, move.handle)
        else:
            yield from self._recover('the engine broke off')

    def _take_notice(self, destination: TargetId) -> Iterator[Action]:
        if self.phase is Phase.flowing:
            self._move = _Move(destination)
            self.phase = Phase.copying
            yield Copy(destination, stops_run=False)

    def _take_copy(
        self,
        move: _Move,
        outcome: Copied | CopyFailed,
        stopped_run: bool,
    ) -> Iterator[Action]:
        match outcome:
            case Copied(handle) if stopped_run:
                yield from self._await_stop(move, handle)
            case Copied(handle) if self.phase is Phase.copying:
                move.handle = handle
                self.phase = Phase.stopping
                yield Copy(move.destination, stops_run=True)
            case CopyFailed(_, handle) if handle and stopped_run:
                # The run has stopped and its memory is still at the source.
                move.destination = self.place.target
                move.went_back = True
                yield from self._await_stop(move, handle)
            case CopyFailed():
                yield from self._give_move_up(move)

    def _await_stop(self, move: _Move, handle: str) -> Iterator[Action]:
        """Let the stopped engine deliver its last events first."""
        move.handle = handle
        move.has_stopped = True
        if move.leg_ended:
            yield self._go_on(move.destination, handle)
        else:
            yield AwaitStop()

    def _settle_stop(self) -> Iterator[Action]:
        move = self._move
        if move is None or self.phase is not Phase.stopping:
            return
        if move.has_stopped and not move.leg_ended:
            yield Close(self._leg)
            yield self._go_on(move.destination, move.handle)

    def _give_move_up(self, move: _Move) -> Iterator[Action]:
        self.phase = Phase.flowing
        if move.leg_ended:
            yield from self._recover('the engine broke off during a move')
        else:
            self._move = None
            yield Replan()

    def _go_on(self, target: TargetId, handle: str) -> Open:
        return self._open(target, MemoryCopy(self.place.address, handle))

    def _open(self, target: TargetId | None, memory: MemoryCopy | None) -> Open:
        """Begin another leg; what still comes of the last one is dropped."""
        self._leg = LegId(self.legs)
        self.legs += 1
        self.phase = Phase.switching
        return Open(self._leg, target, memory, self.last_event)

    def _recover(self, reason: str) -> Iterator[Action]:
        """Go on after the current leg was cut, by the best way that is left."""
        move = self._move
        if move is not None and move.handle and not move.went_back:
            move.went_back = True
            # A stopped run may go on at its own engine; the copy of one that
            # was cut is all that is left of it.
            target = move.destination
            if move.has_stopped:
                target = self.place.target
            yield self._go_on(target, move.handle)
        elif self._is_resumable:
            self._move = None
            yield self._open(None, None)
        else:
            self.phase = Phase.done
            yield Abort(reason)
