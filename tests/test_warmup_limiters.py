"""Tests of the limits of kept targets that are warming up."""

from msgspec.structs import replace

from chicoryshunt.clock import ManualClock
from chicoryshunt.connection.target_api import LoadReport
from chicoryshunt.journal import Journal
from chicoryshunt.limits.warmup_limiters import WarmupLimiters
from chicoryshunt.metrics import Metrics
from chicoryshunt.policy.slots import Headroom
from chicoryshunt.types import TargetId
from tests.builders import build_config, take_out

_TARGET = TargetId('target-0')
_DECLARED = Headroom(64, 60_000)
_REPORT = LoadReport(
    start=1,
    at=0,
    running=0,
    waiting=0,
    memory_used=0,
    memory_tokens=60_000,
    step_ms=20,
    preemptions=0,
)


class Bench:
    """Limits of one target that is reported on every second."""

    def __init__(self) -> None:
        self.now: float = 0
        self.report = _REPORT
        clock = ManualClock()
        self.limiters = WarmupLimiters(Journal(clock, Metrics()))
        self.limiters.apply_config(build_config())

    @property
    def slots(self) -> int:
        return self.limiters.lower_limit(_TARGET, _DECLARED).slots

    def send_report(self, **changes: object) -> None:
        """Report one second of full use at the present limit."""
        self.now += 1
        served = self.report.tokens + 50 * self.slots
        self.report = replace(
            self.report,
            tokens=served,
            running=self.slots,
        )
        self.report = replace(self.report, **changes)
        self.limiters.handle_report(_TARGET, self.report, self.now)

    def warm_up(self) -> None:
        """Report until the limit is the declared one."""
        for _ in range(60):
            self.send_report()
        assert self.slots == 64


def test_unknown_target_gets_its_first_slots() -> None:
    assert 0 < Bench().slots < 8


def test_idle_target_does_not_warm_up() -> None:
    bench = Bench()
    first = bench.slots
    for _ in range(5):
        bench.send_report(running=0)
    assert bench.slots == first
    bench.warm_up()


def test_restart_and_loss_reset_the_limit() -> None:
    bench = Bench()
    first = bench.slots
    bench.warm_up()
    bench.send_report(start=2, running=0, tokens=0)
    assert bench.slots == first
    bench.warm_up()
    bench.limiters.handle_loss(_TARGET)
    assert bench.slots == first


def test_slow_steps_reset_the_limit() -> None:
    bench = Bench()
    first = bench.slots
    bench.warm_up()
    for _ in range(3):
        bench.send_report(step_ms=200)
    assert bench.slots == first


def test_returned_data_centre_warms_up_again() -> None:
    bench = Bench()
    first = bench.slots
    bench.warm_up()
    bench.limiters.apply_config(take_out(build_config(), 'data_centre'))
    bench.limiters.apply_config(build_config())
    assert bench.slots == first


def test_new_keeper_trusts_reported_requests() -> None:
    bench = Bench()
    bench.send_report(running=30)
    assert bench.slots == 30
    slow = Bench()
    slow.send_report(running=30, step_ms=200)
    assert slow.slots < 8
