"""Tests of how nodes measure the pace of engines and tell each other."""

import asyncio
from itertools import repeat
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import MagicMock

import pytest

from chicoryshunt.clock import ManualClock
from chicoryshunt.dispatch.departures import Departures
from chicoryshunt.dispatch.engines import Engine
from chicoryshunt.fleet.messages import PaceNews, PaceNote
from chicoryshunt.fleet.pace_exchange import PaceExchange
from chicoryshunt.relay.holding import Hold
from chicoryshunt.relay.pace_meter import PaceMeter
from chicoryshunt.relay.placing import Placer
from chicoryshunt.relay.stream import Stream
from chicoryshunt.types import TargetId
from tests.fleet_builders import FleetTrial, build_engine, build_run
from tests.pace_builders import LONG, SLOW, SLOW_GAP

_DISCOVERY_SECONDS = 8


def _start_fleet(count: int) -> FleetTrial:
    trial = FleetTrial(count)
    trial.network.run(_DISCOVERY_SECONDS)
    return trial


def _report(trial: FleetTrial, node: int, engines: int = 4) -> None:
    exchange = trial.nodes[node].exchanges.pace
    for index in range(engines):
        exchange.report(
            TargetId(f'e{index}'),
            0.007 if index else 0.02,
            0.03 if index else SLOW_GAP,
            trial.clock.now(),
        )


def _count_informed(trial: FleetTrial) -> int:
    now = trial.clock.now()
    return sum(
        node.exchanges.pace.table.slowness(SLOW, now) > 2
        and node.exchanges.pace.table.find_longest_gap(SLOW, now) == SLOW_GAP
        for node in trial.nodes
    )


def test_all_nodes_learn_from_one_stream() -> None:
    trial = _start_fleet(12)
    _report(trial, 0)
    trial.network.run(0.5)

    assert _count_informed(trial) == 12


def test_halves_of_the_fleet_learn_alone() -> None:
    """Guards against a half that needs the notes of the other."""
    trial = _start_fleet(12)
    trial.network.cut({vm.vm for vm in trial.vms[:6]})
    # A relay to another data centre may be in the other half.
    for node in range(6):
        trial.network.run(5)
        _report(trial, node)
    alone = _count_informed(trial)
    trial.network.heal()
    trial.network.run(6)
    _report(trial, 0)
    trial.network.run(0.5)

    assert alone == 6
    assert _count_informed(trial) == 12


def test_a_restarted_node_learns_from_notes() -> None:
    """Guards against notes that are never repeated."""
    trial = _start_fleet(6)
    _report(trial, 0)
    trial.network.run(1)
    trial.stop(trial.nodes[5])
    trial.nodes[5] = trial.add(trial.vms[5], incarnation=2)
    trial.network.run(6)
    _report(trial, 1)
    trial.network.run(0.5)

    assert _count_informed(trial) == 6


def test_what_is_known_is_not_sent_again() -> None:
    """Guards against one message for each stream that begins."""
    trial = _start_fleet(12)
    for node in range(12):
        _report(trial, node, engines=30)
        trial.network.run(0.4)

    sent = trial.network.payloads[PaceNews.__name__]
    # Each node sends once, and once more after 2.5 s at most.
    assert 0 < sent <= 24


def test_messages_are_bounded_in_a_large_fleet() -> None:
    """Guards against nodes that are flooded as engines change all the time."""
    trial = _start_fleet(60)
    before = trial.network.payloads[PaceNews.__name__]
    exchange = trial.nodes[0].exchanges.pace
    for step in range(100):
        target = TargetId(f'engine-with-a-long-name-{step}')
        exchange.report(target, 0.01, 0, trial.clock.now())
        trial.network.run(0.1)

    # One message to each node of the data centre, every 0.4 s.
    sent = trial.network.payloads[PaceNews.__name__] - before
    assert sent <= 10 / (0.25 * 60 / 40) * 60


def test_invalid_notes_are_ignored() -> None:
    """Guards against a division by zero after a damaged observation."""
    exchange = _start_fleet(1).nodes[0].exchanges.pace
    news = PaceNews((PaceNote(SLOW, 0, 9),))

    assert not list(exchange.receive(cast(Any, 'vm-1'), news, 100))
    assert not exchange.table.is_known(SLOW, 100)


class _Log:
    """Exchange that keeps what meters report."""

    is_delayed = False

    def __init__(self) -> None:
        self.reports: list[tuple[float, float]] = []

    def was_delayed(self, since: float, now: float) -> bool:
        return self.is_delayed

    def report(self, _: str, pace: float, gap: float, now: float) -> None:
        self.reports.append((pace, gap))


def _measure(*gaps: float | None) -> _Log:
    """Measure events with gaps before them; ``None`` is an unread answer."""
    log = _Log()
    meter = PaceMeter(cast(PaceExchange, log), SLOW, 4)
    now: float = 0
    for gap in gaps:
        if gap is None:
            meter.skip()
        else:
            now += gap
            meter.record_events(1, now)
    return log


def test_an_observation_takes_twenty_events() -> None:
    log = _measure(3, *repeat(0.04, 20))

    assert not _measure(3, *repeat(0.04, 19)).reports
    assert log.reports[0] == pytest.approx((0.01, 0.04))


def test_prompts_of_other_runs_are_no_slowness() -> None:
    """Guards against a loaded engine that counts as slow by its pace."""
    log = _measure(3, *repeat(0.12, 14), *repeat(0.04, 6))

    assert log.reports[0] == pytest.approx((0.01, 0.12))


def test_later_observations_come_once_a_second() -> None:
    assert len(_measure(*repeat(0.04, 80)).reports) == 3


def test_unread_answers_do_not_count() -> None:
    """Guards against engines that seem slow as their callers are."""
    log = _measure(1, *repeat(0.04, 3), None, 9, *repeat(0.04, 20))

    assert [gap for _, gap in log.reports] == [pytest.approx(0.04)]


def test_delays_of_the_process_do_not_count() -> None:
    """Guards against a busy node that makes all engines seem slow."""
    exchange = _start_fleet(1).nodes[0].exchanges.pace
    now = ManualClock(200).now()
    list(exchange.tick(now))
    assert exchange.was_delayed(now, now + 0.3)
    list(exchange.tick(now + 0.3))
    assert exchange.was_delayed(now + 0.2, now + 0.35)
    assert not exchange.was_delayed(now + 0.3, now + 0.35)


class _Placing:
    """A placer whose engines are listed, and a stream that waits."""

    def __init__(self, *engines: Engine) -> None:
        self.clock = ManualClock(100)
        context = MagicMock(
            clock=self.clock,
            data_centre='home',
            token_rate=100,
            planned_stop=None,
            prompt_guard=SimpleNamespace(find_refusal=lambda _: None),
            metrics=SimpleNamespace(count=lambda *_: None),
            list_candidates=lambda *_: engines,
            build_planned_engines=lambda *_: engines,
        )
        self.placer = Placer(cast(Any, context))
        self.stream = cast(
            Any,
            SimpleNamespace(
                incoming=SimpleNamespace(received_at=100),
                request='r',
                service='s',
                view=LONG,
                engine_rules=None,
                route=SimpleNamespace(target_latency=1.8),
                find_latest_start=lambda: 110,
            ),
        )
        self.stream.waits_for_short_gaps = lambda *given: (
            Stream.waits_for_short_gaps(self.stream, *given)
        )

    async def place(self) -> object:
        """Return the engine once one is chosen."""
        waiter = MagicMock(since=100, request='r')
        queue = self.placer._wait_queue
        queue.may_proceed = lambda *_: True  # type: ignore[method-assign]
        hold = Hold(
            self.placer._context, self.stream, Departures(), is_retry=True
        )
        return self.placer._try_place(self.stream, (), cast(Any, waiter), hold)


def test_a_long_run_waits_for_shorter_gaps() -> None:
    """Guards against runs that wait until they start too late."""
    full = build_engine('full', *(build_run() for _ in range(24)))
    slow = Engine(SLOW, full.data_centre, 24, 34000, (), 0, 2.8, SLOW_GAP)
    trial = _Placing(full, slow)

    assert asyncio.run(trial.place()) is None
    trial.clock.advance(0.59)
    assert asyncio.run(trial.place()) is None
    # 3000 tokens of prompt take 1.2 s there.
    trial.clock.advance(0.02)
    assert asyncio.run(trial.place()) is slow
