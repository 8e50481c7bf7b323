"""Observes one leg of a stream: how far its engine got, and how it ended."""

from dataclasses import dataclass
from enum import Enum

from chicoryshunt.dispatch.outliers import ExchangeOutcome
from chicoryshunt.events import log_event, log_routine
from chicoryshunt.fleet.facts import TargetFact
from chicoryshunt.relay.context import RelayContext
from chicoryshunt.relay.incoming import IncomingRequest
from chicoryshunt.relay.pace_meter import PaceMeter
from chicoryshunt.relay.stream_inputs import LegEnd, LegId
from chicoryshunt.types import TeamId

# An engine that writes for so long has survived the prompt.
_SURVIVAL_SECONDS = 1.0


class RunStage(Enum):
    """How far an engine got with a run.

    ``waiting``: no head of an answer arrived; ``opened``: a head and no event;
    ``writing``: events.
    """

    waiting = 'waiting'
    opened = 'opened'
    writing = 'writing'


@dataclass(slots=True)
class LegWatch:
    """Progress of a leg; times are in monotonic seconds, 0 if not reached."""

    context: RelayContext
    incoming: IncomingRequest
    target: TargetFact
    team: TeamId | None
    leg: LegId
    sent_at: float
    opened_at: float = 0
    first_event_at: float = 0
    events: int = 0
    has_survived: bool = False
    pace_meter: PaceMeter | None = None

    @property
    def stage(self) -> RunStage:
        """Return how far the engine got."""
        if self.first_event_at:
            return RunStage.writing
        return RunStage.opened if self.opened_at else RunStage.waiting

    def measure_pace(self) -> None:
        """Measure the pace of an engine that generates for a route."""
        rules = self.context.find_engine_rules(self.target.service)
        if rules is not None:
            self.pace_meter = PaceMeter(
                self.context.exchanges.pace,
                self.target.target,
                rules.tokens_per_event,
            )

    def record_unread(self) -> None:
        """Record that the leg was not read, as its caller did not read."""
        if self.pace_meter is not None:
            self.pace_meter.skip()

    def record_opened(self) -> None:
        """Record that the head of the answer arrived."""
        self.opened_at = self.context.clock.now()

    def record_events(self, count: int) -> None:
        """Record that events arrived."""
        now = self.context.clock.now()
        self.events += count
        if self.pace_meter is not None:
            if self.context.is_copying(self.target.target):
                # Copies of memory may delay its events.
                self.pace_meter.skip()
            self.pace_meter.record_events(count, now)
        if not self.first_event_at:
            self.first_event_at = now
        elif (
            not self.has_survived
            and now - self.first_event_at >= _SURVIVAL_SECONDS
        ):
            self.has_survived = True
            self.context.prompt_guard.clear(self.incoming)

    def record_end(self, end: LegEnd) -> None:
        """Record how the answer ended."""
        log_routine(
            'leg_ended',
            request=self.incoming.request,
            target=self.target.target,
            leg=self.leg,
            end=end.value,
            events=self.events,
        )
        if end is LegEnd.cut:
            self.record_cut()
            return
        if end is LegEnd.closed:
            # A crash may look the same.
            self._report_break()
        if not self.has_survived:
            self.context.prompt_guard.clear_later(self.incoming, self.target)

    def record_silence(self) -> None:
        """Record that the engine is silent, although the leg goes on."""
        log_event('leg_silent', target=self.target.target, leg=self.leg)
        self.context.record_outcome(self.target.target, ExchangeOutcome.silent)

    def record_damage(self, outcome: ExchangeOutcome) -> None:
        """Record that the leg is given up because of its engine."""
        log_event(
            'leg_broken_off',
            target=self.target.target,
            leg=self.leg,
            outcome=outcome.value,
        )
        self.context.record_outcome(self.target.target, outcome)
        self._report_break()

    def record_cut(self) -> None:
        """Report a run that its engine broke off."""
        now = self.context.clock.now()
        target = self.target.target
        writing_since = self.first_event_at or now
        params = self.incoming.params
        self.context.metrics.count(
            'runs_broken_off',
            'Runs that engines broke off, by how far they were',
            stage=self.stage.value,
        )
        log_event(
            'run_broken_off',
            request=self.incoming.request,
            target=target,
            service=self.target.service,
            team=self.team,
            leg=self.leg,
            stage=self.stage.value,
            events=self.events,
            seconds=now - self.sent_at,
            writing_seconds=now - writing_since,
            parts=params and ','.join(params.prefix),
            engine_runs=self.context.count_runs(target),
            cold=self.context.cold.limits(target),
        )
        self._report_break()

    def _report_break(self) -> None:
        if not self.has_survived:
            self.context.prompt_guard.report_break(self.incoming, self.target)
