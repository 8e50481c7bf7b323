"""One engine's part of a stream: the exchange that carries it."""

import asyncio
from dataclasses import dataclass

from chicoryshunt.connection.upstream import (
    Answer,
    Body,
    BodyEnd,
    ConnectionLostError,
    NotSentError,
    OutgoingRequest,
    Upstream,
)
from chicoryshunt.dispatch.outliers import ExchangeOutcome
from chicoryshunt.fleet.facts import TargetFact
from chicoryshunt.relay.context import RelayContext
from chicoryshunt.relay.frames import EventReader
from chicoryshunt.relay.incoming import IncomingRequest
from chicoryshunt.relay.results import Delivered, Doubtful, NotRun
from chicoryshunt.relay.stream_inputs import (
    Ended,
    Event,
    Input,
    LegEnd,
    LegId,
)
from chicoryshunt.relay.target_codec import AnswerKind, SendParams

_MOST_FAILURE_BYTES = 1048576


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
    answer: Answer | None = None
    pump: asyncio.Task[None] | None = None

    def start(self, mail: Mail) -> None:
        """Put every event, and then the end, into the mailbox."""
        if self.answer is not None:
            self.pump = asyncio.ensure_future(
                self._pump(self.answer.body, mail),
            )

    def close(self) -> None:
        """Drop the connection; the engine then stops its run."""
        if self.pump is not None:
            self.pump.cancel()
        self.upstream.abort()

    async def _pump(self, body: Body, mail: Mail) -> None:
        """Read on until the end; silence alone ends nothing."""
        reader = EventReader()
        while True:
            piece = await body.read()
            if isinstance(piece, BodyEnd):
                mail.put_nowait(Ended(self.leg, _judge_end(piece, reader)))
                return
            for number, frame in reader.read(piece):
                mail.put_nowait(Event(self.leg, number, frame))


def _judge_end(end: BodyEnd, reader: EventReader) -> LegEnd:
    if end is BodyEnd.whole and reader.is_between_events:
        return LegEnd.whole
    return LegEnd.cut


async def open_leg(
    context: RelayContext,
    incoming: IncomingRequest,
    target: TargetFact,
    dispatch: SendParams,
    seconds: float,
    leg: LegId,
) -> Leg | Delivered | NotRun | Doubtful:
    """Send a request to an engine and return the leg once it answers.

    A connection of its own is opened for every run: whether a kept one is
    still alive only shows after the request may have run.
    """
    try:
        upstream = await context.pool.open(target.address)
    except NotSentError as error:
        context.record(target.target, ExchangeOutcome.unreachable)
        return NotRun(target.target, str(error))
    sending = context.codec.encode(incoming, dispatch)
    opened: Leg | Delivered | NotRun | Doubtful
    opened = Doubtful(target.target, 'cancelled')
    try:
        opened = await _exchange(
            context, incoming, sending, seconds, Leg(leg, target, upstream)
        )
    finally:
        if not isinstance(opened, Leg):
            upstream.abort()
    return opened


async def _exchange(
    context: RelayContext,
    incoming: IncomingRequest,
    sending: OutgoingRequest,
    seconds: float,
    leg: Leg,
) -> Leg | Delivered | NotRun | Doubtful:
    target = leg.target.target
    try:
        answer = await leg.upstream.send(sending, seconds)
    except NotSentError as error:
        return NotRun(target, str(error))
    except ConnectionLostError as error:
        context.record(target, ExchangeOutcome.silent)
        is_timeout = isinstance(error.__cause__, TimeoutError)
        return Doubtful(target, str(error), is_timeout)
    leg.answer = answer
    return await _judge(context, incoming, leg, answer)


async def _judge(
    context: RelayContext,
    incoming: IncomingRequest,
    leg: Leg,
    answer: Answer,
) -> Leg | Delivered | NotRun | Doubtful:
    target = leg.target.target
    receipt = context.codec.classify_answer(incoming, answer)
    match receipt:
        case AnswerKind.not_run | AnswerKind.other_target:
            context.record(target, ExchangeOutcome.failed)
            return NotRun(target, f'{receipt.value}: {answer.status}')
        case AnswerKind.foreign:
            context.record(target, ExchangeOutcome.garbled)
            return Doubtful(target, 'answer to another request')
    if answer.is_success:
        context.record(target, ExchangeOutcome.answered)
        return leg
    context.record(target, ExchangeOutcome.failed)
    body = await answer.body.read_all(_MOST_FAILURE_BYTES)
    if isinstance(body, bytes):
        return Delivered(target, answer.status, answer.headers, body)
    return Doubtful(target, 'failure is cut')
