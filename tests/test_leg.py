"""Tests of the legs of a stream, under virtual time."""

import asyncio
from collections.abc import Sequence
from itertools import repeat
from typing import Any, cast

import pytest

from chicoryshunt.connection.upstream import Answer, Body, BodyEnd
from chicoryshunt.dispatch.outliers import ExchangeOutcome
from chicoryshunt.relay.leg import InputQueue, Leg, StallLimits
from chicoryshunt.relay.stream_inputs import LegEnd, LegEnded, LegEvent, LegId
from chicoryshunt.relay.write_gate import WriteGate
from tests.fleet_builders import build_fact
from tests.virtual_loop import VirtualLoop, run_virtual

LIMITS = StallLimits(first=8, later=4)
PIECE_BYTES = 262144
FLOOD = 5000
# Longer than the limits above.
LONG_SECONDS = 60
# Queued in one turn; each takes some 30 microseconds to relay.
MAX_BURST = 160
OVERSIZED = b'x' * 300000
EVENT_COUNT = 30
# A piece of the body, the seconds before it, or how the body ends.
Step = bytes | float | BodyEnd


class FakeBody:
    """Body whose pieces arrive as listed; nothing follows the last one."""

    is_readable = False

    def __init__(self, steps: Sequence[Step]) -> None:
        """Read these steps in order."""
        self.is_framed = True
        self._steps = list(steps)
        self.bytes_read = 0

    async def read(self) -> bytes | BodyEnd:
        """Return the next piece after the seconds listed before it."""
        while self._steps:
            step = self._steps.pop(0)
            if isinstance(step, bytes):
                self.bytes_read += len(step)
            if not isinstance(step, float):
                return step
            await asyncio.sleep(step)
        return await asyncio.Future[bytes]()


class FakeUpstream:
    """Connection that only records that it was closed."""

    is_aborted = False

    def abort(self) -> None:
        """Record that the connection was closed."""
        self.is_aborted = True


class Trial:
    """A leg that reads a body, and what came of it."""

    def __init__(self, steps: Sequence[Step]) -> None:
        """Read the steps as the body of the engine's answer."""
        self.outcomes: list[ExchangeOutcome] = []
        self.observed_events = 0
        self.observed_ends: list[LegEnd] = []
        self.upstream = FakeUpstream()
        self.events: list[int | None] = []
        self.ended_at: float = 0
        self.end = LegEnd.whole
        self.gate = WriteGate()
        self.body = FakeBody(steps)
        self.runs_until: float = LONG_SECONDS
        # The most events that were queued in one turn of the loop.
        self.burst = 0

    async def run(self) -> None:
        """Read the steps until the leg ends."""
        await self.read(cast(Any, self.body))

    async def read(self, body: Body) -> None:
        """Read a body until the leg ends."""
        inputs: InputQueue = asyncio.Queue()
        leg = Leg(
            LegId(0),
            build_fact('e1'),
            cast(Any, self.upstream),
            self,
            self.runs_until,
            Answer(200, (), None, body),
        )
        leg.start(inputs, LIMITS, self.gate)
        while True:
            self.burst = max(self.burst, inputs.qsize())
            match await inputs.get():
                case LegEvent(_, number):
                    self.events.append(number)
                case LegEnded(_, end):
                    self.end = end
                    break
        self.ended_at = asyncio.get_running_loop().time()

    def record_events(self, count: int) -> None:
        """Count events, as an observer of the leg."""
        self.observed_events += count

    def record_unread(self) -> None:
        """Do nothing, as no pace is measured here."""

    def record_end(self, end: LegEnd) -> None:
        """Keep how the answer ended, as an observer of the leg."""
        self.observed_ends.append(end)

    def record_silence(self) -> None:
        """Do nothing, as no leg here outlasts a silent engine."""

    def record_damage(self, outcome: ExchangeOutcome) -> None:
        """Keep why the leg was given up, as an observer of the leg."""
        self.outcomes.append(outcome)


def _read(*steps: Step) -> Trial:
    trial = Trial(steps)
    run_virtual(trial.run())
    return trial


def _read_unframed(runs_until: float, *steps: Step) -> Trial:
    trial = Trial(steps)
    trial.body.is_framed = False
    trial.runs_until = runs_until
    run_virtual(trial.run())
    return trial


def _frame(number: int) -> bytes:
    return b'id: %d\ndata: token\n\n' % number


def test_a_whole_answer_ends_whole() -> None:
    trial = _read(_frame(1), b': alive\n\n', _frame(2), BodyEnd.whole)

    assert trial.end is LegEnd.whole
    assert trial.events == [1, None, 2]
    assert trial.observed_events == 2
    assert trial.observed_ends == [LegEnd.whole]
    assert not trial.outcomes


@pytest.mark.parametrize(
    ('runs_until', 'end'),
    [(3, LegEnd.closed), (2.1, LegEnd.cut), (1.9, LegEnd.cut)],
)
def test_a_run_that_is_out_of_time_is_cut(
    runs_until: float, end: LegEnd
) -> None:
    """Guards against a run that its engine stops in time as a whole one."""
    trial = _read_unframed(runs_until, _frame(1), 2.0, _frame(2), BodyEnd.whole)

    assert trial.end is end


@pytest.mark.parametrize(
    'later', [(BodyEnd.whole,), (b'\n\n', _frame(2), BodyEnd.whole)]
)
def test_an_oversized_event_ends_the_leg(later: Sequence[Step]) -> None:
    """Guards against a damaged answer that counts as whole."""
    trial = _read(_frame(1), OVERSIZED, *later)

    assert trial.end is LegEnd.dropped
    assert trial.events == [1]
    assert trial.outcomes == [ExchangeOutcome.garbled]
    assert trial.upstream.is_aborted


@pytest.mark.parametrize('piece', [b': alive\n\n', b'x'])
def test_a_stalled_engine_is_broken_off(piece: bytes) -> None:
    """Guards against engines that send a byte now and then for ever."""
    drip: list[Step] = [1.0, piece]
    trial = _read(_frame(1), *(drip * EVENT_COUNT))

    assert trial.end is LegEnd.dropped
    assert trial.ended_at == LIMITS.later
    assert trial.outcomes == [ExchangeOutcome.silent]
    assert trial.upstream.is_aborted


def test_a_slow_engine_is_waited_for() -> None:
    """Guards against a limit on the whole answer of a sound engine."""
    steps: list[Step] = [7.0]
    for number in range(1, EVENT_COUNT + 1):
        steps.extend((_frame(number), 3.5))

    trial = _read(*steps, BodyEnd.whole)

    assert trial.end is LegEnd.whole
    assert trial.events == list(range(1, EVENT_COUNT + 1))
    assert not trial.outcomes


def test_a_pause_of_the_process_breaks_no_leg() -> None:
    """Guards against sound legs that end when the process wakes up.

    The event and the timer of the leg are handled in the same turn.
    """
    trial = Trial(())

    async def run() -> None:
        loop = cast(VirtualLoop, asyncio.get_running_loop())
        body = Body(cast(Any, trial.upstream))
        reading = asyncio.ensure_future(trial.read(body))
        body.dataReceived(_frame(1))
        loop.call_at(LIMITS.later or 0, body.dataReceived, _frame(2))
        await asyncio.sleep(1)
        loop.jump(60)
        await asyncio.sleep(1)
        body.connectionLost()
        await reading

    run_virtual(run())

    assert trial.end is LegEnd.whole
    assert trial.events == [1, 2]
    assert not trial.outcomes


@pytest.mark.parametrize(
    'filler', [b': ping\n\n', b'\n', b'data: x\n\n', b'id: 1\ndata: x\n\n']
)
def test_endless_filler_ends_the_leg(filler: bytes) -> None:
    """Guards against a node that does nothing but read one faulty engine."""
    piece = filler * (PIECE_BYTES // len(filler))
    pieces = repeat(piece, EVENT_COUNT)
    trial = _read(_frame(1), *pieces)

    assert [one for one in trial.events if one is not None] == [1]
    assert trial.outcomes == [ExchangeOutcome.garbled]
    assert trial.upstream.is_aborted
    assert trial.body.bytes_read < 2 * PIECE_BYTES
    assert trial.burst <= MAX_BURST


def test_a_number_of_many_digits_is_none() -> None:
    """Guards against a stream that hangs at a number too long to read."""
    odd = b'id: %s\ndata: token\n\n' % (b'9' * 5000)

    trial = _read(_frame(1), odd, _frame(2), BodyEnd.whole)

    assert trial.end is LegEnd.whole
    assert trial.events == [1, None, 2]


def test_a_flood_of_events_leaves_turns_to_others() -> None:
    """Guards against requests that wait while one stream is relayed."""
    numbers = range(1, FLOOD + 1)
    flood = b''.join(map(_frame, numbers))

    trial = _read(flood, BodyEnd.whole)

    assert trial.end is LegEnd.whole
    assert trial.events == list(numbers)
    assert trial.burst <= MAX_BURST


def test_a_slow_caller_stops_the_leg() -> None:
    """Guards against an answer that is kept in memory for a slow caller."""
    trial = Trial([*map(_frame, range(1, EVENT_COUNT + 1)), BodyEnd.whole])

    async def run() -> None:
        trial.gate.pauseProducing()
        reading = asyncio.ensure_future(trial.run())
        await asyncio.sleep(LONG_SECONDS)
        assert not trial.body.bytes_read
        trial.gate.resumeProducing()
        await reading

    run_virtual(run())

    assert trial.end is LegEnd.whole
    assert trial.events == list(range(1, EVENT_COUNT + 1))
    assert not trial.outcomes


def test_half_an_event_is_an_answer_cut() -> None:
    trial = _read(_frame(1), b'id: 2\nda', BodyEnd.whole)

    assert trial.end is LegEnd.cut
    assert trial.events == [1]
