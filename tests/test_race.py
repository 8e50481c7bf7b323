"""Tests of hedged starts of one request."""

import asyncio
from typing import cast

from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.request.race import Contender, Race
from chicoryshunt.request.sink import Sink
from chicoryshunt.types import GenerationId
from tests.relay_fakes import FakeExchange
from tests.virtual_loop import on_virtual_loop


class TwoStarts:
    """Two hedged starts for one caller."""

    def __init__(self) -> None:
        self.caller = FakeExchange()
        self.race = Race(Sink(cast(Exchange, self.caller)))
        self.first = self.race.enter()
        self.second = self.race.enter()
        self.first.announce(GenerationId('g1'), 'token 1')
        self.second.announce(GenerationId('g2'), 'token 2')


async def has_lost_caller(contender: Contender) -> bool:
    """Return true if a start has lost its caller."""
    waiting = asyncio.ensure_future(contender.wait_disconnected())
    for _ in range(8):
        await asyncio.sleep(0)
    waiting.cancel()
    return waiting.done() and not waiting.cancelled()


@on_virtual_loop
async def test_first_token_wins_and_ends_other_start() -> None:
    starts = TwoStarts()
    assert not await has_lost_caller(starts.first)
    starts.second.write(b'data: b\n\n')
    starts.first.write(b'data: a\n\n')
    starts.second.write(b'data: c\n\n')
    assert starts.caller.written == b'data: b\n\ndata: c\n\n'
    assert await has_lost_caller(starts.first)
    assert not await has_lost_caller(starts.second)
    assert not starts.first.is_delivered


@on_virtual_loop
async def test_only_the_winner_is_announced() -> None:
    starts = TwoStarts()
    assert not starts.caller.headers
    starts.second.write(b'data: b\n\n')
    assert starts.caller.headers['x-generation'] == 'g2'
    assert starts.caller.headers['x-resume'] == 'token 2'
    assert starts.caller.producer is starts.second.flow_control


@on_virtual_loop
async def test_loser_cannot_abort_the_caller() -> None:
    starts = TwoStarts()
    starts.second.write(b'data: b\n\n')
    starts.first.abort()
    assert not await has_lost_caller(starts.second)


@on_virtual_loop
async def test_start_without_a_token_may_win_at_its_end() -> None:
    starts = TwoStarts()
    assert starts.first.claim()
    assert not starts.second.claim()
    assert starts.caller.headers['x-generation'] == 'g1'
