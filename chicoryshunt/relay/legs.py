"""One engine's part of a stream: the exchange that carries it."""

import asyncio
from dataclasses import dataclass

from chicoryshunt.connection.upstream import (
    Answer,
    BodyEnd,
    LostError,
    NotSentError,
    Upstream,
)
from chicoryshunt.dispatch.outliers import Outcome
from chicoryshunt.fleet.facts import TargetFact
from chicoryshunt.relay.course import Ended, Event, Input, LegEnd, LegId, Silent
from chicoryshunt.relay.frames import EventReader
from chicoryshunt.relay.incoming import Incoming
from chicoryshunt.relay.ports import Dispatch, Receipt
from chicoryshunt.relay.results import Delivered, Doubtful, NotRun
from chicoryshunt.relay.surroundings import Surroundings

_MOST_FAILURE_BYTES = 1048576
_SUCCESS = range(200, 300)

# Engines pause for a prompt or two, not for longer; callers leave after two
# seconds.
_SILENCE_SECONDS = 0.7


@dataclass(frozen=True, slots=True)
class Deadline:
    """The caller waits no longer."""


Mail = asyncio.Queue[Input | Deadline]


@dataclass(slots=True)
class Leg:
    """An open exchange with an engine, pumped into a mailbox."""

    leg: LegId
    target: TargetFact
    upstream: Upstream
    answer: Answer
    pump: asyncio.Task[None] | None = None

    def start(self, mail: Mail) -> None:
        """Put every event, and then the end, into the mailbox."""
        self.pump = asyncio.ensure_future(self._pump(mail))

    def close(self) -> None:
        """Drop the connection; the engine then stops its run."""
        if self.pump is not None:
            self.pump.cancel()
        self.upstream.abort()

    async def _pump(self, mail: Mail) -> None:
        reader = EventReader()
        loop = asyncio.get_running_loop()
        has_begun = False
        while True:
            silence = loop.call_later(
                _SILENCE_SECONDS,
                mail.put_nowait,
                Silent(self.leg),
            )
            if not has_begun:
                # The first event may wait for the engine's queue.
                silence.cancel()
            try:
                piece = await self.answer.body.read()
            finally:
                silence.cancel()
            if isinstance(piece, BodyEnd):
                mail.put_nowait(Ended(self.leg, _judge_end(piece, reader)))
                return
            has_begun = True
            for number, frame in reader.read(piece):
                mail.put_nowait(Event(self.leg, number, frame))


def _judge_end(end: BodyEnd, reader: EventReader) -> LegEnd:
    if end is BodyEnd.whole and reader.is_between_events:
        return LegEnd.whole
    return LegEnd.cut


async def open_leg(
    around: Surroundings,
    incoming: Incoming,
    target: TargetFact,
    dispatch: Dispatch,
    seconds: float,
    leg: LegId,
) -> Leg | Delivered | NotRun | Doubtful:
    """Send a request to an engine and return the leg once it answers.

    A connection of its own is opened for every run: whether a kept one is
    still alive only shows after the request may have run.
    """
    try:
        upstream = await around.pool.open(target.address)
    except NotSentError as error:
        around.record(target.target, Outcome.unreachable)
        return NotRun(target.target, str(error))
    is_kept = False
    try:
        answer = await upstream.send(
            around.port.encode(incoming, dispatch),
            seconds,
        )
        opened = await _judge(
            around,
            incoming,
            Leg(leg, target, upstream, answer),
        )
        is_kept = isinstance(opened, Leg)
    except NotSentError as error:
        opened = NotRun(target.target, str(error))
    except LostError as error:
        around.record(target.target, Outcome.silent)
        is_timeout = isinstance(error.__cause__, TimeoutError)
        opened = Doubtful(target.target, str(error), is_timeout)
    finally:
        if not is_kept:
            upstream.abort()
    return opened


async def _judge(
    around: Surroundings,
    incoming: Incoming,
    leg: Leg,
) -> Leg | Delivered | NotRun | Doubtful:
    target = leg.target.target
    answer = leg.answer
    receipt = around.port.judge(incoming, answer)
    match receipt:
        case Receipt.not_run | Receipt.other_target:
            around.record(target, Outcome.failed)
            return NotRun(target, f'{receipt.value}: {answer.status}')
        case Receipt.foreign:
            around.record(target, Outcome.garbled)
            return Doubtful(target, 'answer to another request')
    if answer.status in _SUCCESS:
        around.record(target, Outcome.answered)
        return leg
    around.record(target, Outcome.failed)
    body = await answer.body.read_all(_MOST_FAILURE_BYTES)
    if isinstance(body, bytes):
        return Delivered(target, answer.status, answer.headers, body)
    return Doubtful(target, 'failure is cut')
