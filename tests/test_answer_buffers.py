"""Tests that answers without end take a bounded amount of memory."""

import asyncio
from typing import Any, cast

from chicoryshunt.connection.answer_buffers import AnswerBuffers
from chicoryshunt.connection.upstream import Body, BodyEnd
from tests.virtual_loop import run_virtual

MAX_BYTES = 1000
CHUNK = b'x' * 100
ENDLESS = 8
# Fewer chunks than one answer may have, and more than all may have together.
ROUNDS = 6


class FakeConnection:
    """Connection whose answers share the buffers of a pool."""

    def __init__(self, buffers: AnswerBuffers) -> None:
        """Receive into ``buffers``."""
        self.buffers = buffers


def test_endless_answers_give_way_to_others() -> None:
    """Guards against a node that runs out of memory at a faulty target."""

    async def run() -> None:
        connection = cast(Any, FakeConnection(AnswerBuffers(MAX_BYTES)))
        endless = [Body(connection) for _ in range(ENDLESS)]
        reading = [
            asyncio.ensure_future(one.read_all(MAX_BYTES)) for one in endless
        ]
        short = Body(connection)
        answer = asyncio.ensure_future(short.read_all(MAX_BYTES))
        short.dataReceived(CHUNK)
        for _ in range(ROUNDS):
            for body in endless:
                body.dataReceived(CHUNK)
            await asyncio.sleep(0.1)

        cut = [one for one in reading if one.done()]
        assert len(cut) >= ENDLESS - MAX_BYTES // len(CHUNK) // ROUNDS
        assert {one.result() for one in cut} == {BodyEnd.cut}
        short.connectionLost()
        assert await answer == CHUNK
        for one in reading:
            one.cancel()

    run_virtual(run())


def test_all_answers_together_are_bounded() -> None:
    buffers = AnswerBuffers(MAX_BYTES)
    with buffers.open() as first, buffers.open() as second:
        for _ in range(MAX_BYTES // len(CHUNK)):
            buffers.append(first, CHUNK)
        assert first.size == MAX_BYTES
        buffers.append(second, CHUNK)

        assert first.is_dropped
        assert (first.size, first.join()) == (0, b'')
        assert second.join() == CHUNK


def test_a_closed_buffer_counts_no_more() -> None:
    buffers = AnswerBuffers(MAX_BYTES)
    for _ in range(3):
        with buffers.open() as buffer:
            for _ in range(MAX_BYTES // len(CHUNK)):
                buffers.append(buffer, CHUNK)
            assert buffer.size == MAX_BYTES
