"""Tests of the sink that answers a caller."""

from typing import cast

from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.request.sink import BufferBudget, Sink, describe_end
from tests.relay_fakes import (
    ORDER,
    OWN,
    Act,
    FakeEngine,
    FakeExchange,
    Rig,
    frame_end,
    frame_tokens,
)
from tests.virtual_loop import run_virtual

_FRAME = frame_tokens(0, 4)
_WHOLE = (_FRAME, frame_end(4))


def test_buffered_answer_survives_a_lost_engine() -> None:
    async def check() -> None:
        rig = Rig(
            FakeEngine((_FRAME, Act.cut)),
            BufferBudget(1000, 1000),
        )
        lost = await rig.generation.start(ORDER)
        assert lost.may_restart(repeatable=True)
        rig.sink.discard()
        restarted = Rig(FakeEngine(_WHOLE), caller=rig.caller)
        restarted.generation._sink = rig.sink
        whole = await restarted.generation.start(ORDER)
        rig.sink.finish(describe_end(4, 'stop', whole.verdict))
        assert rig.caller.tokens == ('t0', 't1', 't2', 't3')
        assert rig.caller.written.endswith(
            b'event: end\ndata: '
            b'{"ending":"stop","tokens":4,"verdict":"ran"}\n\n',
        )

    run_virtual(check())


def test_answer_over_its_limit_is_streamed() -> None:
    async def check() -> None:
        caller = FakeExchange()
        budget = BufferBudget(len(_FRAME), 10 * len(_FRAME))
        sink = Sink(cast(Exchange, caller), budget)
        sink.announce(OWN, 'token')
        sink.write(_FRAME)
        assert not sink.is_delivered
        sink.write(frame_tokens(4, 8))
        assert sink.is_delivered
        assert len(caller.tokens) == 8
        assert budget.reserve(len(_FRAME), 0)

    run_virtual(check())


def test_buffered_answers_share_one_limit() -> None:
    async def check() -> None:
        budget = BufferBudget(1000, len(_FRAME))
        callers = [FakeExchange() for _ in range(2)]
        sinks = [Sink(cast(Exchange, one), budget) for one in callers]
        for sink in sinks:
            sink.write(_FRAME)
        assert not sinks[0].is_delivered
        assert sinks[1].is_delivered
        sinks[0].abort()
        assert budget.reserve(len(_FRAME), 0)

    run_virtual(check())
