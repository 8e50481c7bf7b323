"""Tests of what a leg reports of its engine."""

from types import SimpleNamespace
from typing import Any, cast

from chicoryshunt.dispatch.outliers import ExchangeOutcome
from chicoryshunt.relay.leg_watch import LegWatch
from chicoryshunt.relay.stream_inputs import LegId
from tests.fleet_builders import build_fact


def test_damage_counts_against_the_engine() -> None:
    outcomes: list[object] = []
    reported: list[object] = []
    context = SimpleNamespace(
        record_outcome=lambda *outcome: outcomes.append(outcome),
        prompt_guard=SimpleNamespace(
            report_break=lambda _, target: reported.append(target.target)
        ),
    )
    watch = LegWatch(
        cast(Any, context),
        cast(Any, None),
        build_fact('e1'),
        None,
        LegId(0),
        0,
    )

    watch.record_damage(ExchangeOutcome.garbled)

    assert outcomes == [('e1', ExchangeOutcome.garbled)]
    assert reported == ['e1']
