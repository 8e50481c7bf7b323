"""Tests of the state machine of a stream over several engines."""

from collections.abc import Iterable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
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
    CopyEnded,
    EngineAddress,
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
from chicoryshunt.relay.stream_state import (
    Phase,
    StreamState,
)
from chicoryshunt.relay.target_codec import (
    Copied,
    CopyFailed,
    CopyFailure,
    MemoryCopy,
)
from chicoryshunt.types import TargetId

SOURCE = EngineAddress(TargetId('source'), '10.0.0.1:1')
DESTINATION = EngineAddress(TargetId('destination'), '10.0.0.2:1')
NO_ROOM = CopyFailed(CopyFailure.no_room)
LOST = CopyFailed(CopyFailure.unreachable)
NO_RUN = CopyFailed(CopyFailure.no_run)


def _event(number: int, leg: int = 0) -> LegEvent:
    return LegEvent(LegId(leg), number, b'id: %d\n\n' % number)


def _process(state: StreamState, *inputs: object) -> list[Action]:
    actions: list[Action] = []
    for one in inputs:
        actions.extend(state.process(one))  # type: ignore[arg-type]
    return actions


def _build_stopped() -> StreamState:
    """Return the state of a stream whose run was copied and stopped."""
    state = StreamState(SOURCE, is_resumable=False)
    _process(
        state,
        _event(1),
        MoveRequested(DESTINATION.target),
        CopyEnded(Copied('h', 1), stopped_run=False),
        _event(2),
        CopyEnded(Copied('h', 3), stopped_run=True),
    )
    return state


def test_a_run_is_copied_stopped_and_goes_on() -> None:
    state = StreamState(SOURCE, is_resumable=False)
    _process(state, _event(1))

    assert _process(state, MoveRequested(DESTINATION.target)) == [
        Copy(DESTINATION.target, stops_run=False),
    ]
    copied = CopyEnded(Copied('h', 1), stopped_run=False)
    assert _process(state, copied) == [
        Copy(DESTINATION.target, stops_run=True),
    ]
    stopped = CopyEnded(Copied('h', 2), stopped_run=True)
    assert _process(state, _event(2), stopped) == [
        Forward((b'id: 2\n\n',)),
        StartStopTimer(),
    ]
    memory = MemoryCopy(SOURCE.address, 'h')
    assert _process(state, LegEnded(LegId(0), LegEnd.cut)) == [
        OpenLeg(LegId(1), DESTINATION.target, memory, 2),
    ]
    assert _process(
        state,
        LegOpened(LegId(1), DESTINATION),
        _event(3, leg=1),
        LegEnded(LegId(1), LegEnd.whole),
    ) == [Forward((b'id: 3\n\n',)), Finish()]


def test_last_events_come_before_the_next_leg() -> None:
    state = _build_stopped()

    actions = _process(state, _event(3), StopTimerExpired())

    assert actions == [
        Forward((b'id: 3\n\n',)),
        CloseLeg(LegId(0)),
        OpenLeg(
            LegId(1), DESTINATION.target, MemoryCopy(SOURCE.address, 'h'), 3
        ),
    ]


def test_repeated_events_are_dropped() -> None:
    state = _build_stopped()
    _process(state, StopTimerExpired(), LegOpened(LegId(1), DESTINATION))

    assert not _process(state, _event(2, leg=1))
    assert _process(state, _event(3, leg=1)) == [Forward((b'id: 3\n\n',))]


def test_no_room_leads_to_another_plan() -> None:
    state = StreamState(SOURCE, is_resumable=False)

    actions = _process(
        state,
        MoveRequested(DESTINATION.target),
        CopyEnded(NO_ROOM, stopped_run=False),
        MoveRequested(DESTINATION.target),
    )

    assert actions[1:] == [
        Replan(),
        Copy(DESTINATION.target, stops_run=False),
    ]


def test_a_stopped_run_may_go_on_at_its_source() -> None:
    state = StreamState(SOURCE, is_resumable=False)
    failed = CopyFailed(CopyFailure.no_room, 'kept')

    actions = _process(
        state,
        MoveRequested(DESTINATION.target),
        CopyEnded(Copied('h', 0), stopped_run=False),
        CopyEnded(failed, stopped_run=True),
        StopTimerExpired(),
    )

    memory = MemoryCopy(SOURCE.address, 'kept')
    assert actions[-1] == OpenLeg(LegId(1), SOURCE.target, memory, None)


def test_a_refused_run_goes_back_once() -> None:
    state = _build_stopped()
    _process(state, StopTimerExpired())

    back = _process(state, LegRefused(LegId(1)))
    assert back == [
        OpenLeg(LegId(2), SOURCE.target, MemoryCopy(SOURCE.address, 'h'), 2),
    ]
    assert _process(state, LegRefused(LegId(2))) == [
        Abort('no engine took the run over'),
    ]


def test_a_cut_run_goes_on_from_its_copy() -> None:
    state = StreamState(SOURCE, is_resumable=False)
    _process(
        state,
        _event(1),
        MoveRequested(DESTINATION.target),
        CopyEnded(Copied('h', 1), stopped_run=False),
    )
    lost = CopyEnded(
        CopyFailed(CopyFailure.unreachable),
        stopped_run=True,
    )

    # The engine ends before it answers the order to stop.
    _process(state, LegEnded(LegId(0), LegEnd.cut))
    actions = _process(state, lost)

    memory = MemoryCopy(SOURCE.address, 'h')
    assert actions == [OpenLeg(LegId(1), DESTINATION.target, memory, 1)]


def test_a_run_without_a_copy_ends_when_cut() -> None:
    state = StreamState(SOURCE, is_resumable=False)

    actions = _process(state, _event(1), LegEnded(LegId(0), LegEnd.cut))

    assert actions[-1] == Abort('the engine broke off')


def test_a_resumable_run_begins_anew() -> None:
    state = StreamState(SOURCE, is_resumable=True)

    actions = _process(state, _event(4), LegEnded(LegId(0), LegEnd.cut))

    assert actions[-1] == OpenLeg(LegId(1), None, None, 4)


def test_a_resumed_stream_does_not_begin_anew() -> None:
    """Guards against events that a caller who resumes already has."""
    state = StreamState(SOURCE, is_resumable=True, last_event=12)

    actions = _process(state, LegEnded(LegId(0), LegEnd.cut))

    assert actions[-1] == OpenLeg(LegId(1), None, None, 12)


def test_a_denied_run_is_not_sent_again() -> None:
    state = StreamState(SOURCE, is_resumable=True)
    _process(state, _event(4), LegEnded(LegId(0), LegEnd.cut))

    assert _process(state, LegDenied(LegId(1), 'denied')) == [Abort('denied')]
    assert not _process(state, LegOpened(LegId(1), DESTINATION))


def test_a_restarted_run_has_one_copy_ordered() -> None:
    """Guards against two orders at once and against a copy that is kept.

    The engine of a resumable run ends while it copies the memory of the run.
    """
    state = StreamState(SOURCE, is_resumable=True)
    _process(
        state,
        _event(1),
        MoveRequested(DESTINATION.target),
        LegEnded(LegId(0), LegEnd.cut),
        LegOpened(LegId(1), DESTINATION),
    )

    assert not _process(state, MoveRequested(SOURCE.target))
    assert _process(state, CopyEnded(Copied('h', 1), stopped_run=False)) == [
        Release(MemoryCopy(SOURCE.address, 'h')),
        Replan(),
    ]
    assert _process(state, MoveRequested(SOURCE.target)) == [
        Copy(SOURCE.target, stops_run=False),
    ]


def test_a_stream_that_ends_releases_its_copy() -> None:
    state = StreamState(SOURCE, is_resumable=False)

    actions = _process(
        state,
        MoveRequested(DESTINATION.target),
        CopyEnded(Copied('h', 1), stopped_run=False),
        LegEnded(LegId(0), LegEnd.whole),
    )

    assert actions[-2:] == [
        Release(MemoryCopy(SOURCE.address, 'h')),
        Finish(),
    ]


def _build_stopping() -> StreamState:
    """Return the state of a stream whose run is ordered to stop."""
    state = StreamState(SOURCE, is_resumable=False)
    _process(
        state,
        _event(1),
        MoveRequested(DESTINATION.target),
        CopyEnded(Copied('h', 1), stopped_run=False),
    )
    return state


@pytest.mark.parametrize('failure', CopyFailure)
def test_a_run_that_closes_at_its_stop_is_cut(
    failure: CopyFailure,
) -> None:
    """Guards against a stopped run that looks complete."""
    state = _build_stopping()

    assert not _process(state, LegEnded(LegId(0), LegEnd.closed))
    failed = CopyEnded(CopyFailed(failure), stopped_run=True)
    memory = MemoryCopy(SOURCE.address, 'h')
    assert _process(state, failed) == [
        OpenLeg(LegId(1), DESTINATION.target, memory, 1)
    ]


def test_a_stop_that_was_not_sent_stops_nothing() -> None:
    state = _build_stopping()
    not_sent = CopyFailed(CopyFailure.not_sent)

    _process(state, CopyEnded(not_sent, stopped_run=True))

    assert _process(state, LegEnded(LegId(0), LegEnd.closed)) == [Finish()]


def test_a_run_that_may_be_stopped_is_not_whole() -> None:
    """Guards against a stopped run that looks complete.

    The order to stop may have been carried out, whatever later orders say.
    """
    state = _build_stopping()
    _process(
        state,
        CopyEnded(LOST, stopped_run=True),
        MoveRequested(DESTINATION.target),
        CopyEnded(NO_RUN, stopped_run=False),
    )

    actions = _process(state, LegEnded(LegId(0), LegEnd.closed))

    memory = MemoryCopy(SOURCE.address, 'h')
    assert actions == [OpenLeg(LegId(1), DESTINATION.target, memory, 1)]
    # The copy may be lost as well, and the memory still be on the source.
    assert _process(state, LegRefused(LegId(1))) == [
        OpenLeg(LegId(2), SOURCE.target, memory, 1)
    ]
    assert _process(state, LegRefused(LegId(2))) == [
        Abort('no engine took the run over')
    ]


def test_a_dropped_run_does_not_go_on_from_a_copy() -> None:
    """Guards against two engines that work on a run at the same time."""
    state = _build_stopping()
    _process(state, CopyEnded(LOST, stopped_run=True))

    assert _process(state, LegEnded(LegId(0), LegEnd.dropped)) == [
        Abort('the engine broke off')
    ]


def _find_number(frame: bytes) -> int:
    return int(frame[4:-2])


class StreamStateMachine(RuleBasedStateMachine):
    """Simulates engines that copy, refuse, disconnect and answer late.

    At most one run exists at a time: a leg with memory continues where the
    run was stopped, and only a resumable run restarts.
    """

    @initialize(
        is_resumable=st.booleans(),
        last_event=st.sampled_from((None, 12)),
    )
    def begin(self, is_resumable: bool, last_event: int | None) -> None:
        self.state = StreamState(
            SOURCE, is_resumable=is_resumable, last_event=last_event
        )
        self.is_resumable = is_resumable
        self.current = LegId(0)
        self.first_number = (last_event or 0) + 1
        self.next_number = self.first_number
        self.running = True
        # Whether the run was stopped, and its leg has not ended yet.
        self.is_stopped = False
        # Whether the run ended by itself.
        self.is_complete = False
        self.forwarded: list[int] = []
        self.opening: OpenLeg | None = None
        self.copying: Copy | None = None
        self.waits_for_stop = False
        self.ended: list[Action] = []

    def apply(self, actions: Iterable[Action]) -> None:
        for action in actions:
            self.check_not_ended()
            self.execute(action)

    def execute(self, action: Action) -> None:
        match action:
            case Forward(frames):
                self.forwarded.extend(map(_find_number, frames))
            case OpenLeg():
                self.check_opening(action)
                self.opening = action
            case Copy():
                self.check_copying()
                self.copying = action
            case StartStopTimer():
                self.waits_for_stop = True
            case _:
                self.note_end(action)

    def note_end(self, action: Action) -> None:
        if isinstance(action, Finish):
            assert self.is_complete, 'a part does not look complete'
        if isinstance(action, Finish | Abort):
            self.ended.append(action)

    def check_not_ended(self) -> None:
        assert not self.ended, 'nothing follows the end'

    def check_copying(self) -> None:
        assert self.copying is None, 'one order at a time'

    def check_opening(self, opening: OpenLeg) -> None:
        assert self.opening is None, 'one leg at a time'
        assert self.is_resumable or opening.memory is not None
        if opening.memory is not None:
            assert not self.running, 'the run before has ended'

    @precondition(lambda machine: machine.running and not machine.ended)
    @rule()
    def generate(self) -> None:
        event = _event(self.next_number, self.current)
        self.next_number += 1
        self.apply(self.state.process(event))

    @rule()
    def notice(self) -> None:
        self.apply(self.state.process(MoveRequested(DESTINATION.target)))

    @precondition(
        lambda machine: (
            machine.running and machine.copying and machine.copying.stops_run
        )
    )
    @rule()
    def stop_run(self) -> None:
        """Stop the run before the order is answered."""
        self.running = False
        self.is_stopped = True

    @precondition(lambda machine: machine.copying is not None)
    @rule(
        outcome=st.sampled_from(
            [
                Copied('h', 1),
                NO_ROOM,
                CopyFailed(CopyFailure.no_room, 'k'),
                LOST,
                NO_RUN,
                CopyFailed(CopyFailure.busy),
                CopyFailed(CopyFailure.not_sent),
                CopyFailed(CopyFailure.withdrawn),
            ],
        ),
    )
    def answer_copy(self, outcome: Copied | CopyFailed) -> None:
        order = self.copying
        self.copying = None
        assert order is not None
        if isinstance(outcome, CopyFailed) and not order.stops_run:
            outcome = NO_ROOM if outcome.handle else outcome
        if order.stops_run:
            outcome = self.correct_outcome(outcome)
        self.apply(self.state.process(CopyEnded(outcome, order.stops_run)))

    def correct_outcome(
        self, outcome: Copied | CopyFailed
    ) -> Copied | CopyFailed:
        """Return an outcome that an engine may answer in its state."""
        if isinstance(outcome, Copied) or outcome.handle:
            if self.running:
                self.stop_run()
            return LOST if self.is_complete else outcome
        is_broken_off = not self.running and not self.is_complete
        return LOST if is_broken_off else outcome

    @precondition(lambda machine: machine.waits_for_stop)
    @rule()
    def settle(self) -> None:
        self.waits_for_stop = False
        self.apply(self.state.process(StopTimerExpired()))

    @precondition(lambda machine: machine.opening is not None)
    @rule(is_accepted=st.booleans(), repeats_events=st.booleans())
    def answer_opening(self, is_accepted: bool, repeats_events: bool) -> None:
        opening = self.opening
        self.opening = None
        assert opening is not None
        if not is_accepted:
            self.apply(self.state.process(LegRefused(opening.leg)))
            return
        self.current = opening.leg
        self.running = True
        self.is_stopped = False
        self.is_complete = False
        self.next_number = (opening.last_event or 0) + 1
        if repeats_events:
            # An engine may repeat events that the caller already has.
            self.next_number = max(self.next_number - 2, 1)
        self.apply(self.state.process(LegOpened(opening.leg, DESTINATION)))

    @precondition(lambda machine: machine.running and not machine.ended)
    @rule(end=st.sampled_from((LegEnd.whole, LegEnd.closed, LegEnd.cut)))
    def end_leg(self, end: LegEnd) -> None:
        self.running = False
        self.is_complete = end is not LegEnd.cut
        self.apply(self.state.process(LegEnded(self.current, end)))

    @precondition(lambda machine: machine.running and not machine.ended)
    @rule()
    def drop_leg(self) -> None:
        """Break a leg off, whose engine may work on."""
        self.apply(self.state.process(LegEnded(self.current, LegEnd.dropped)))

    @precondition(lambda machine: machine.is_stopped)
    @rule(end=st.sampled_from((LegEnd.closed, LegEnd.cut)))
    def end_stopped_leg(self, end: LegEnd) -> None:
        self.is_stopped = False
        self.apply(self.state.process(LegEnded(self.current, end)))

    @invariant()
    def every_event_comes_once_in_order(self) -> None:
        if hasattr(self, 'state'):
            first = self.first_number
            numbers = range(first, first + len(self.forwarded))
            assert self.forwarded == list(numbers)

    @invariant()
    def an_end_is_final(self) -> None:
        if hasattr(self, 'state') and self.ended:
            assert self.state.phase is Phase.done


StreamStateMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
)
TestStreamStateMachine = StreamStateMachine.TestCase
