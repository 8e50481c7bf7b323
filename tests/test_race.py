"""Tests of several starts that race for one caller."""

import asyncio
from typing import cast

from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.request.race import Contender, Race
from chicoryshunt.request.sink import Sink
from chicoryshunt.types import GenerationId
from tests.relay_fakes import FakeExchange
from tests.virtual_loop import on_virtual_loop


class Lanes:
    """Two starts before one caller."""

    def __init__(self) -> None:
        self.caller = FakeExchange()
        self.race = Race(Sink(cast(Exchange, self.caller)))
        self.first = self.race.enter()
        self.second = self.race.enter()
        self.first.announce(GenerationId('g1'), 'token 1')
        self.second.announce(GenerationId('g2'), 'token 2')


async def is_gone(contender: Contender) -> bool:
    """Say whether a start has lost its caller."""
    waiting = asyncio.ensure_future(contender.wait_disconnected())
    for _ in range(8):
        await asyncio.sleep(0)
    waiting.cancel()
    return waiting.done() and not waiting.cancelled()


@on_virtual_loop
async def test_first_token_wins_and_ends_the_other() -> None:
    lanes = Lanes()
    assert not await is_gone(lanes.first)
    lanes.second.write(b'data: b\n\n')
    lanes.first.write(b'data: a\n\n')
    lanes.second.write(b'data: c\n\n')
    assert lanes.caller.written == b'data: b\n\ndata: c\n\n'
    assert await is_gone(lanes.first)
    assert not await is_gone(lanes.second)
    assert not lanes.first.is_delivered


@on_virtual_loop
async def test_caller_hears_of_the_winner_alone() -> None:
    lanes = Lanes()
    assert not lanes.caller.headers
    lanes.second.write(b'data: b\n\n')
    assert lanes.caller.headers['x-generation'] == 'g2'
    assert lanes.caller.headers['x-resume'] == 'token 2'
    assert lanes.caller.producer is lanes.second.flow_control


@on_virtual_loop
async def test_loser_cannot_cut_the_caller() -> None:
    lanes = Lanes()
    lanes.second.write(b'data: b\n\n')
    lanes.first.abort()
    assert not await is_gone(lanes.second)


@on_virtual_loop
async def test_start_without_a_token_may_win_at_its_end() -> None:
    lanes = Lanes()
    assert lanes.first.claim()
    assert not lanes.second.claim()
    assert lanes.caller.headers['x-generation'] == 'g1'
