"""Tests of the limits of kept targets by their load reports."""

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
    """Warmths that are told of one target every second."""

    def __init__(self) -> None:
        self.now: float = 0
        self.report = _REPORT
        clock = ManualClock()
        self.warmths = WarmupLimiters(Journal(clock, Metrics()))
        self.warmths.apply_config(build_config())

    @property
    def slots(self) -> int:
        return self.warmths.lower_limit(_TARGET, _DECLARED).slots

    def tell(self, **changes: object) -> None:
        """Report one second of full use at the limit of the moment."""
        self.now += 1
        served = self.report.tokens + 50 * self.slots
        self.report = replace(
            self.report,
            tokens=served,
            running=self.slots,
        )
        self.report = replace(self.report, **changes)
        self.warmths.handle_report(_TARGET, self.report, self.now)

    def warm(self) -> None:
        """Report until nothing is held back."""
        for _ in range(60):
            self.tell()
        assert self.slots == 64


def test_unknown_target_gets_its_first_slots() -> None:
    assert 0 < Bench().slots < 8


def test_target_warms_by_evidence_only() -> None:
    bench = Bench()
    first = bench.slots
    for _ in range(5):
        bench.tell(running=0)
    assert bench.slots == first
    bench.warm()


def test_new_start_and_loss_drop_the_limit() -> None:
    bench = Bench()
    first = bench.slots
    bench.warm()
    bench.tell(start=2, running=0, tokens=0)
    assert bench.slots == first
    bench.warm()
    bench.warmths.handle_loss(_TARGET)
    assert bench.slots == first


def test_slow_steps_drop_the_limit() -> None:
    bench = Bench()
    first = bench.slots
    bench.warm()
    for _ in range(3):
        bench.tell(step_ms=200)
    assert bench.slots == first


def test_returned_data_centre_warms_anew() -> None:
    bench = Bench()
    first = bench.slots
    bench.warm()
    bench.warmths.apply_config(take_out(build_config(), 'data_centre'))
    bench.warmths.apply_config(build_config())
    assert bench.slots == first


def test_new_keeper_trusts_what_is_seen_to_run() -> None:
    bench = Bench()
    bench.tell(running=30)
    assert bench.slots == 30
    slow = Bench()
    slow.tell(running=30, step_ms=200)
    assert slow.slots < 8
