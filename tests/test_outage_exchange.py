"""Tests of how nodes tell each other which targets are down."""

from typing import Any, cast

import pytest

from chicoryshunt.connection.upstream import NotListeningError, NotSentError
from chicoryshunt.dispatch.retry_budget import RetryBound
from chicoryshunt.fleet.messages import OutageNews
from chicoryshunt.relay.results import Delivered
from chicoryshunt.types import TargetId
from tests.call_builders import UNREACHABLE, CallTrial, Reply
from tests.fleet_builders import FleetTrial
from tests.virtual_loop import run_virtual

DOWN = tuple(TargetId(f'e{index}') for index in range(6))


def _start_fleet(count: int) -> FleetTrial:
    trial = FleetTrial(count)
    trial.network.run(8)
    return trial


def _report(trial: FleetTrial, node: int = 0) -> None:
    exchange = trial.nodes[node].exchanges.outages
    for target in DOWN:
        sends = exchange.report(target, trial.clock.now())
        trial.network.send(trial.nodes[node].vm, sends)


def _count_informed(trial: FleetTrial) -> int:
    now = trial.clock.now()
    return sum(
        all(node.exchanges.outages.is_down(one, now) for one in DOWN)
        for node in trial.nodes
    )


def test_all_nodes_avoid_what_one_found_down() -> None:
    """Guards against 80 nodes that each try six dead engines by themselves."""
    trial = _start_fleet(12)
    _report(trial)
    trial.network.run(0.5)
    informed = _count_informed(trial)
    trial.network.run(2.1)

    assert informed == 12
    assert _count_informed(trial) == 0


def test_a_lost_report_is_made_by_another_node() -> None:
    """Guards against one lost message that keeps all others uninformed."""
    trial = _start_fleet(12)
    trial.network.cut([trial.nodes[0].vm])
    _report(trial)
    trial.network.run(0.3)
    assert _count_informed(trial) == 1

    _report(trial, 1)
    trial.network.run(0.5)
    assert _count_informed(trial) == 12


def test_a_target_that_answers_is_not_down() -> None:
    """Guards against a node with a cut link that stops all others."""
    exchange = _start_fleet(1).nodes[0].exchanges.outages
    exchange.record_answer(DOWN[0], 100)
    list(exchange.receive(cast(Any, 'vm-1'), OutageNews(DOWN), 100.9))

    assert not exchange.is_down(DOWN[0], 100.9)
    assert exchange.is_down(DOWN[1], 100.9)
    exchange.record_answer(DOWN[1], 101)
    assert not exchange.is_down(DOWN[1], 101)


def test_a_target_that_returned_is_not_reported() -> None:
    """Guards against late reports of targets that are up again."""
    node = _start_fleet(2).nodes[0]
    exchange = node.exchanges.outages
    assert list(exchange.report(DOWN[0], 200))
    # The next report has to wait for its turn.
    assert not list(exchange.report(DOWN[1], 200.1))
    exchange.record_answer(DOWN[1], 200.2)
    assert not list(exchange.tick(200.4))

    assert not list(exchange.report(DOWN[2], 200.1))
    assert not list(exchange.tick(202.2))


def test_messages_are_bounded() -> None:
    """Guards against a flood as engines go up and down by turns."""
    trial = _start_fleet(60)
    before = trial.network.payloads[OutageNews.__name__]
    exchange = trial.nodes[0].exchanges.outages
    for step in range(100):
        sends = exchange.report(TargetId(f'e{step}'), trial.clock.now())
        trial.network.send(trial.nodes[0].vm, sends)
        trial.network.run(0.1)

    sent = trial.network.payloads[OutageNews.__name__] - before
    assert 0 < sent <= (10 / (0.25 * 60 / 40) + 1) * 60


@pytest.mark.parametrize(
    ('error', 'connected', 'ticked', 'is_down'),
    [
        (NotListeningError('refused'), 0, 0, True),
        (NotSentError('no answer'), 99.9, 99.9, True),
        (NotSentError('no answer'), 0, 99.9, False),
        (NotSentError('no answer'), 99.9, 99.5, False),
    ],
)
def test_silence_counts_only_on_a_sound_link(
    error: NotSentError, connected: float, ticked: float, is_down: bool
) -> None:
    """Guards against a node that declares all engines down.

    It has no network, or its process was delayed while it connected.
    """
    context = CallTrial([]).context
    context.clock = _Clock()
    context.last_connected = connected
    for step in range(10):
        list(context.exchanges.pace.tick(ticked - 0.9 + step / 10))
    context.record_unreachable(DOWN[0], error)

    assert context.exchanges.outages.is_down(DOWN[0], 100) is is_down


class _Clock:
    def now(self) -> float:
        return 100


def test_a_call_that_was_not_sent_costs_no_retry() -> None:
    """Replays targets that fail together, with an exhausted retry budget.

    Guards against requests that are refused for lack of retries although no
    target received them: 178 of 1,267 generations of one day.
    """
    replies = [Reply(0, UNREACHABLE), Reply(0, UNREACHABLE), Reply(0.03)]
    trial = CallTrial(replies, bound=RetryBound(0, 0, 10))
    result = run_virtual(trial.relay())

    assert isinstance(result, Delivered)
    assert trial.list_sent() == ['t2']
    assert trial.budget.spent == 0
