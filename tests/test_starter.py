"""Tests of restarted generations."""

from dataclasses import dataclass, field
from typing import Any, cast

import pytest

from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.invariants import Invariant, InvariantChecker
from chicoryshunt.request.generation import Outcome
from chicoryshunt.request.order import GenerationBody, GenerationRequest
from chicoryshunt.request.sink import Sink
from chicoryshunt.serving.starter import GenerationBuilder, Starter
from chicoryshunt.serving.state import NodeState
from chicoryshunt.settings import parse_settings
from chicoryshunt.types import (
    ModelId,
    Reason,
    RequestId,
    RunState,
    TeamId,
)
from chicoryshunt.verdict import Verdict, refuse
from tests.builders import (
    build_config,
    build_settings_text,
    build_state,
    put_in_force,
    take_out,
)
from tests.relay_fakes import FakeExchange
from tests.virtual_loop import on_virtual_loop

_UNREACHABLE = Outcome(
    0,
    '',
    refuse(Reason.target_unreachable, 'refused'),
    delivered=False,
)
_LOST = Outcome(
    3,
    '',
    Verdict(RunState.ran, Reason.engine_lost, 'incomplete'),
    delivered=False,
)
_WHOLE = Outcome(4, 'stop', None, delivered=True)
_WANTED = GenerationRequest(
    RequestId('r'),
    TeamId('team-0'),
    ModelId('kibitzer-llm'),
    GenerationBody('prompt'),
)


@dataclass
class FakeGeneration:
    """A generation that ends with a given outcome."""

    outcome: Outcome
    position: int = 0

    async def start(self, order: Any) -> Outcome:
        return self.outcome


@dataclass
class FakeBuilder:
    """Builds generations that end with the given outcomes, in order."""

    outcomes: list[Outcome]
    vm: str = 'vm-1'
    built: int = field(default=0)

    def build(self, *_: Any) -> FakeGeneration:
        self.built += 1
        return FakeGeneration(self.outcomes[self.built - 1])


def _build_node() -> NodeState:
    state = build_state(parse_settings(build_settings_text(), 'settings'))
    put_in_force(state, build_config(targets=3))
    return state


async def _start(state: NodeState, builder: FakeBuilder) -> Outcome:
    starter = Starter(
        cast(GenerationBuilder, builder),
        state.scheduler,
        state.journal,
        state.guard,
        InvariantChecker(state.metrics),
    )
    sink = Sink(cast(Exchange, FakeExchange()))
    attempt = await starter.start(_WANTED, sink, 1)
    return attempt.outcome


@pytest.mark.parametrize(
    ('outcomes', 'expected'),
    [
        ((_UNREACHABLE, _WHOLE), _WHOLE),
        ((_LOST, _WHOLE), _WHOLE),
        ((_LOST, _UNREACHABLE, _UNREACHABLE), _LOST),
    ],
)
@on_virtual_loop
async def test_restart_keeps_the_outcome_that_ran(
    outcomes: tuple[Outcome, ...],
    expected: Outcome,
) -> None:
    state = _build_node()
    assert await _start(state, FakeBuilder(list(outcomes))) == expected
    assert not InvariantChecker(state.metrics).count_broken(
        Invariant.true_refusal
    )


@on_virtual_loop
async def test_no_generation_is_sent_to_what_is_out() -> None:
    state = _build_node()
    state.guard.apply_config(take_out(build_config(targets=3), 'data_centre'))
    builder = FakeBuilder([_WHOLE])
    outcome = await _start(state, builder)
    assert outcome.verdict is not None
    assert outcome.verdict.run is RunState.not_run
    assert outcome.verdict.reason is Reason.no_target
