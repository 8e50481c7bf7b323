"""The course of one stream over the engines that run it, without I/O.

A generation is one run that may go on at another engine: from the copy that
a second engine keeps, from memory that was moved, or anew where the route
allows it. The caller sees one answer with every event once.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from chicoryshunt.relay.ports import Copied, CopyFailed, Memory
from chicoryshunt.types import TargetId

LegId = NewType('LegId', int)


class Phase(Enum):
    """What is going on with the run."""

    flowing = 'flowing'
    copying = 'copying'
    stopping = 'stopping'
    switching = 'switching'
    done = 'done'


class LegEnd(Enum):
    """How the answer of one engine ended."""

    whole = 'whole'
    cut = 'cut'


@dataclass(frozen=True, slots=True)
class Event:
    """One event of a leg; ``number`` is ``None`` where it has none."""

    leg: LegId
    number: int | None
    frame: bytes


@dataclass(frozen=True, slots=True)
class Ended:
    """The answer of a leg ended."""

    leg: LegId
    end: LegEnd


@dataclass(frozen=True, slots=True)
class Opened:
    """An engine took the run over."""

    leg: LegId


@dataclass(frozen=True, slots=True)
class Refused:
    """A leg did not begin."""

    leg: LegId


@dataclass(frozen=True, slots=True)
class Silent:
    """No event came for longer than engines ever pause."""

    leg: LegId


@dataclass(frozen=True, slots=True)
class Noticed:
    """The engine of the current leg leaves; move to this one, if any."""

    destination: TargetId | None


@dataclass(frozen=True, slots=True)
class CopyEnded:
    """An order to copy was answered; it stopped the run or did not."""

    outcome: Copied | CopyFailed
    stopped_run: bool


@dataclass(frozen=True, slots=True)
class StopSettled:
    """The stopped engine had time to deliver its last events."""


@dataclass(frozen=True, slots=True)
class HolderLost:
    """The engine that keeps a copy of the run leaves or is gone."""


Input = (
    Event
    | Ended
    | Opened
    | Refused
    | Silent
    | Noticed
    | CopyEnded
    | StopSettled
    | HolderLost
)


@dataclass(frozen=True, slots=True)
class Forward:
    """Send these frames to the caller."""

    frames: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Copy:
    """Order the current engine to copy the run."""

    destination: TargetId
    stops_run: bool


@dataclass(frozen=True, slots=True)
class AwaitStop:
    """Wait a moment for the last events of the stopped engine."""


@dataclass(frozen=True, slots=True)
class Open:
    """Let the run go on at a target; ``None`` leaves the choice open."""

    leg: LegId
    target: TargetId | None
    memory: Memory | None
    last_event: int | None


@dataclass(frozen=True, slots=True)
class Close:
    """Close the connection of a leg."""

    leg: LegId


@dataclass(frozen=True, slots=True)
class Replan:
    """Look for another way off an engine that leaves."""


@dataclass(frozen=True, slots=True)
class Release:
    """Drop a copy that nothing will use."""

    handle: str


@dataclass(frozen=True, slots=True)
class Finish:
    """The answer is whole."""


@dataclass(frozen=True, slots=True)
class Abort:
    """Nothing can go on with the answer."""

    reason: str


Action = (
    Forward
    | Copy
    | AwaitStop
    | Open
    | Close
    | Replan
    | Release
    | Finish
    | Abort
)


@dataclass(frozen=True, slots=True)
class Place:
    """An engine with its address."""

    target: TargetId
    address: str


@dataclass(slots=True)
class _Move:
    """A move that is under way."""

    destination: TargetId
    handle: str = ''
    has_stopped: bool = False
    leg_ended: bool = False
    went_back: bool = False


@dataclass(slots=True)
class _Switch:
    """A new leg that is being opened, with the events held back."""

    leg: LegId
    place: Place | None
    held: list[Event] = field(default_factory=list)
    old_end: LegEnd | None = None


class Course:
    """State of one stream; each input returns the actions to take."""

    def __init__(
        self,
        name: str,
        place: Place,
        holder: Place | None,
        *,
        is_resumable: bool,
    ) -> None:
        """Begin with the first leg open; ``name`` names copies of the run."""
        self.phase = Phase.flowing
        self.leg = LegId(0)
        self.place = place
        self.holder = holder
        self.last_event: int | None = None
        self.legs = 1
        self._name = name
        self._is_resumable = is_resumable
        self._move: _Move | None = None
        self._switch: _Switch | None = None

    def take(self, one: Input) -> Iterator[Action]:
        """Handle an input and return the actions to take, in order."""
        if self.phase is Phase.done:
            return
        match one:
            case Event():
                yield from self._take_event(one)
            case Ended(leg, end):
                yield from self._take_end(leg, end)
            case Opened(leg):
                yield from self._take_opening(leg)
            case Refused(leg):
                yield from self._take_refusal(leg)
            case Silent(leg):
                yield from self._take_silence(leg)
            case Noticed(destination):
                yield from self._take_notice(destination)
            case CopyEnded(outcome, stopped_run):
                yield from self._take_copy(outcome, stopped_run)
            case StopSettled():
                yield from self._settle_stop()
            case HolderLost():
                self.holder = None

    def settle(self, place: Place, holder: Place | None) -> None:
        """Note where the leg that is being opened goes."""
        self.holder = holder
        if self._switch is not None:
            self._switch.place = place

    def _take_event(self, event: Event) -> Iterator[Action]:
        if event.leg != self.leg:
            return
        if self._switch is None:
            yield from self._forward(event)
        else:
            self._switch.held.append(event)

    def _forward(self, event: Event) -> Iterator[Action]:
        number = event.number
        if number is not None:
            if self.last_event is not None and number <= self.last_event:
                return
            self.last_event = number
        yield Forward((event.frame,))

    def _take_opening(self, leg: LegId) -> Iterator[Action]:
        """Make the new leg the current one, and stop the old run at once.

        Events of the old leg that were held back are dropped, for the new
        leg begins after the last one that was forwarded.
        """
        switch = self._switch
        if switch is None or leg != switch.leg:
            yield Close(leg)
            return
        if switch.old_end is None:
            yield Close(self.leg)
        self.leg = switch.leg
        if switch.place is not None:
            self.place = switch.place
        self._switch = None
        self._move = None
        self.phase = Phase.flowing

    def _take_end(self, leg: LegId, end: LegEnd) -> Iterator[Action]:
        if leg != self.leg:
            return
        if self._switch is not None:
            yield from self._end_old(self._switch, end)
        elif end is LegEnd.whole:
            yield from self._finish()
        else:
            yield from self._take_cut()

    def _end_old(self, switch: _Switch, end: LegEnd) -> Iterator[Action]:
        """Note that the old leg ended while a new one is being opened."""
        switch.old_end = end
        if end is LegEnd.whole:
            # The old engine was faster; its answer is the whole one.
            yield Close(switch.leg)
            self._switch = None
            for event in switch.held:
                yield from self._forward(event)
            yield from self._finish()

    def _take_cut(self) -> Iterator[Action]:
        move = self._move
        if move is not None and self.phase is Phase.stopping:
            move.leg_ended = True
            if move.has_stopped:
                yield from self._go_on_from_move(move)
        else:
            yield from self._recover('the engine broke off')

    def _finish(self) -> Iterator[Action]:
        self.phase = Phase.done
        if self._move is not None and self._move.handle:
            yield Release(self._move.handle)
        yield Finish()

    def _take_notice(self, destination: TargetId | None) -> Iterator[Action]:
        if self.phase is not Phase.flowing:
            return
        if self.holder is not None:
            yield self._open_copy(self.holder)
        elif destination is not None:
            self._move = _Move(destination)
            self.phase = Phase.copying
            yield Copy(destination, stops_run=False)

    def _take_copy(
        self,
        outcome: Copied | CopyFailed,
        stopped_run: bool,
    ) -> Iterator[Action]:
        move = self._move
        if move is None or self._switch is not None:
            return
        match outcome:
            case Copied(handle, _) if stopped_run:
                move.handle = handle
                move.has_stopped = True
                if move.leg_ended:
                    yield from self._go_on_from_move(move)
                else:
                    yield AwaitStop()
            case Copied(handle, _):
                move.handle = handle
                self.phase = Phase.stopping
                yield Copy(move.destination, stops_run=True)
            case CopyFailed(_, handle) if handle and stopped_run:
                # The run has stopped and its memory is still at the source.
                move.handle = handle
                yield from self._go_on_at(self.place.target, handle)
            case CopyFailed():
                yield from self._give_move_up(move)

    def _give_move_up(self, move: _Move) -> Iterator[Action]:
        self._move = None
        self.phase = Phase.flowing
        if move.leg_ended:
            yield from self._recover('the engine broke off during a move')
        else:
            yield Replan()

    def _settle_stop(self) -> Iterator[Action]:
        move = self._move
        is_waiting = self.phase is Phase.stopping and self._switch is None
        if move is not None and move.has_stopped and is_waiting:
            yield Close(self.leg)
            move.leg_ended = True
            yield from self._go_on_from_move(move)

    def _go_on_from_move(self, move: _Move) -> Iterator[Action]:
        yield from self._go_on_at(move.destination, move.handle)

    def _go_on_at(self, target: TargetId, handle: str) -> Iterator[Action]:
        memory = Memory(self.place.address, handle)
        yield self._open(target, memory, is_old_over=True)

    def _open_copy(self, holder: Place, *, is_old_over: bool = False) -> Open:
        self.holder = None
        memory = Memory(holder.address, self._name)
        return self._open(holder.target, memory, is_old_over=is_old_over)

    def _open(
        self,
        target: TargetId | None,
        memory: Memory | None,
        *,
        is_old_over: bool,
    ) -> Open:
        leg = LegId(self.legs)
        self.legs += 1
        self.phase = Phase.switching
        self._switch = _Switch(leg, None)
        if is_old_over:
            self._switch.old_end = LegEnd.cut
        return Open(leg, target, memory, self.last_event)

    def _take_refusal(self, leg: LegId) -> Iterator[Action]:
        switch = self._switch
        if switch is None or leg != switch.leg:
            return
        self._switch = None
        for event in switch.held:
            yield from self._forward(event)
        self.phase = Phase.flowing
        if switch.old_end is None:
            self._move = None
            yield Replan()
        else:
            yield from self._recover('no engine took the run over')

    def _take_silence(self, leg: LegId) -> Iterator[Action]:
        """Go on from a copy if there is one; silence alone ends nothing.

        Reading the whole prompt again elsewhere would take longer than most
        pauses.
        """
        if leg != self.leg or self.phase is not Phase.flowing:
            return
        if self.holder is not None:
            yield self._open_copy(self.holder)

    def _recover(self, reason: str) -> Iterator[Action]:
        """Go on after the current leg was cut, by the best way that is left."""
        move = self._move
        if self.holder is not None:
            yield self._open_copy(self.holder, is_old_over=True)
        elif move is not None and move.handle and not move.went_back:
            move.went_back = True
            # A stopped run may go on at its own engine; the copy of one that
            # was cut is all that is left of it.
            target = move.destination
            if move.has_stopped:
                target = self.place.target
            yield from self._go_on_at(target, move.handle)
        elif self._is_resumable:
            self._move = None
            yield self._open(None, None, is_old_over=True)
        else:
            self.phase = Phase.done
            yield Abort(reason)
