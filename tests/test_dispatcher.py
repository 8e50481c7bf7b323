"""Tests of the decisions about one model as a whole."""

from chicoryshunt.policy.admission import Limit
from chicoryshunt.policy.dispatcher import Dispatcher, StopReason
from chicoryshunt.policy.overload import WaitAccepted, WaitTooLong
from chicoryshunt.policy.profile import get_policy_parameters
from chicoryshunt.policy.survival import LengthEstimator
from chicoryshunt.policy.tracker import Closed, Exclusive
from chicoryshunt.types import Profile, TargetId, Tokens
from tests.builders import build_spec

ENGINE = TargetId('engine-1')
LIMIT = Limit(64, 60_000)


def build_dispatcher() -> Dispatcher:
    dispatcher = Dispatcher(
        get_policy_parameters(Profile.preemption),
        LengthEstimator(),
    )
    dispatcher.add_target(ENGINE)
    dispatcher.set_quota(ENGINE, Exclusive(LIMIT))
    return dispatcher


def test_dispatches_what_fits() -> None:
    dispatcher = build_dispatcher()
    assert isinstance(dispatcher.enqueue(build_spec('a'), 0), WaitAccepted)
    dispatch = dispatcher.find_next(0)
    assert dispatch is not None
    assert dispatch.choice.target == ENGINE
    assert dispatcher.find_next(0) is None


def test_holds_back_what_does_not_fit() -> None:
    dispatcher = build_dispatcher()
    dispatcher.set_quota(ENGINE, Exclusive(Limit(64, 1000)))
    dispatcher.enqueue(build_spec('a', prompt_tokens=990), 0)
    assert dispatcher.find_next(0) is None
    dispatcher.set_quota(ENGINE, Closed('leaving'))
    assert dispatcher.find_next(1) is None
    assert dispatcher.queued == 1


def test_sends_short_requests_before_long_ones() -> None:
    dispatcher = build_dispatcher()
    dispatcher.enqueue(build_spec('long'), 0)
    dispatcher.enqueue(build_spec('short', max_tokens=16), 0)
    dispatch = dispatcher.find_next(0)
    assert dispatch is not None
    assert dispatch.waiting.spec.request == 'short'


def test_restores_a_cancelled_dispatch() -> None:
    dispatcher = build_dispatcher()
    dispatcher.enqueue(build_spec('a'), 0)
    dispatch = dispatcher.find_next(0)
    assert dispatch is not None
    dispatcher.cancel(dispatch)
    assert dispatcher.queued == 1
    assert dispatcher.find_next(0) == dispatch


def test_refuses_past_patience() -> None:
    dispatcher = build_dispatcher()
    verdicts = []
    for number in range(2000):
        now = number / 100
        verdicts.append(dispatcher.enqueue(build_spec(f'r{number}'), now))
        dispatcher.find_next(now)
    assert any(isinstance(one, WaitTooLong) for one in verdicts)
    assert dispatcher.expire(1000)
    assert dispatcher.queued == 0


def test_frees_memory_when_a_request_stops() -> None:
    dispatcher = build_dispatcher()
    dispatcher.set_quota(ENGINE, Exclusive(Limit(1, 60_000)))
    dispatcher.enqueue(build_spec('a'), 0)
    dispatcher.enqueue(build_spec('b'), 0)
    first = dispatcher.find_next(0)
    assert first is not None
    assert dispatcher.find_next(0) is None
    dispatcher.record_stop(
        first.waiting.spec.request, Tokens(5), StopReason.ended
    )
    assert dispatcher.find_next(0) is not None
