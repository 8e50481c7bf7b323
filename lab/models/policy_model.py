"""Targets on a virtual clock, driven by one decider.

The model covers targets, not a cluster: engines run the steps of
``lab.standins.batching``, a decider chooses the target of each request, and a
ledger records the results.
"""

import random
from bisect import bisect_right
from collections import Counter, deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from chicoryshunt.connection.target_api import LoadReport
from lab.models.policy_workload import Arrival
from lab.standins.batching import Batch, EngineSpec, Job, Step

POLL_SECONDS = 0.02
SYNC_SECONDS = 0.4
REPORT_SECONDS = 0.25
REPORT_LAG_SECONDS = 0.5
STALL_SECONDS = 0.1
_GAP_UNITS_PER_SECOND = 10_000


class Outcome(Enum):
    """State or result of a request."""

    waiting = 'waiting'
    running = 'running'
    done = 'done'
    refused = 'refused'
    lost = 'lost'


class FaultKind(Enum):
    """Kind of fault or order that affects a target."""

    die = 'die'
    restart = 'restart'
    chill = 'chill'
    leave = 'leave'
    back = 'back'


@dataclass(frozen=True, slots=True)
class Fault:
    """Fault of a target; ``at`` is in seconds."""

    at: float
    kind: FaultKind
    target: int


@dataclass(slots=True)
class Answer:
    """Result of one request for its caller; times are in seconds."""

    arrival: Arrival
    outcome: Outcome = Outcome.waiting
    target: int = -1
    runs: int = 0
    sent_at: float = -1
    first_at: float = -1
    ended_at: float = -1
    stall: float = 0
    paused_at: float = -1
    produced: int = 0
    preemptions: int = 0

    def find_wait(self, now: float) -> float:
        """Return the wait for the first token, or the wait until now."""
        first = now if self.first_at < 0 else self.first_at
        return first - self.arrival.at


@dataclass(frozen=True, slots=True)
class Sent:
    """Decision to send a request to a target."""

    number: int
    target: int
    priority: int = 0


class Decider(Protocol):
    """Chooses the targets of requests; times are in seconds."""

    @property
    def queued(self) -> int:
        """Return the number of requests that wait at the decider."""

    def offer(self, arrival: Arrival, now: float) -> bool:
        """Queue a request and return True, or refuse it."""

    def expire(self, now: float) -> Iterable[int]:
        """Return the numbers of requests whose wait timed out."""

    def find_next(self, now: float) -> Sent | None:
        """Return the next request to send, or None."""

    def record_tokens(self, number: int, produced: int) -> None:
        """Record the number of tokens that a request has produced."""

    def record_stop(self, number: int, produced: int, *, ended: bool) -> None:
        """Record that a request ended or was lost."""

    def record_report(
        self, target: int, report: LoadReport, now: float
    ) -> None:
        """Record a load report, which lags."""

    def record_loss(self, target: int, now: float) -> None:
        """Record that a target lost its connections."""

    def set_serving(self, target: int, *, serving: bool) -> None:
        """Add a target to service or remove it."""

    def find_limit(self, target: int) -> int:
        """Return the number of requests that a target may run now."""


class Engine:
    """Target with a batch of jobs and a time of its own."""

    def __init__(self, spec: EngineSpec, seed: int) -> None:
        """Start warm."""
        self._spec = spec
        self._rng = random.Random(seed)
        self.batch = Batch(spec, self._rng)
        self.batch.warm_up()
        self.start = 1
        self.time: float = 0
        self.is_dead = False
        self.step_seconds = spec.step_seconds
        self.reports: deque[LoadReport] = deque()

    def run(self, until: float) -> Iterator[tuple[float, Step]]:
        """Run steps up to a time; yield each with the time at its end."""
        while self.time < until and not self.is_dead:
            if not self.batch.running and not self.batch.waiting:
                self.time = until
                return
            step = self.batch.run_equal_steps(until - self.time)
            self.time += step.seconds * step.count
            self.step_seconds = step.seconds
            yield self.time, step

    def die(self) -> None:
        """Stop and lose all jobs."""
        self.is_dead = True
        self.batch = Batch(self._spec, self._rng)

    def restart(self, now: float) -> None:
        """Restart cold and without jobs."""
        self.is_dead = False
        self.batch = Batch(self._spec, self._rng)
        self.start += 1
        self.time = now

    def report(self, now: float) -> LoadReport:
        """Return the current load."""
        return LoadReport(
            start=self.start,
            at=now,
            running=len(self.batch.running),
            waiting=len(self.batch.waiting),
            memory_used=self.batch.memory_used,
            memory_tokens=self.batch.spec.memory_tokens,
            step_ms=self.step_seconds * 1000,
            preemptions=self.batch.preemptions,
        )


@dataclass(slots=True)
class Ledger:
    """Results of one run; gaps are in units of 0.1 ms."""

    answers: list[Answer]
    gaps: Counter[int] = field(default_factory=Counter)
    tokens: int = 0
    preemptions: int = 0
    over_limit: int = 0
    seconds: float = 0

    def count_gap(self, seconds: float, count: int) -> None:
        """Count ``count`` gaps of a length between tokens."""
        self.gaps[round(seconds * _GAP_UNITS_PER_SECOND)] += count


class Model:
    """Runs one workload against one decider."""

    def __init__(
        self,
        arrivals: list[Arrival],
        spec: EngineSpec,
        engines: int,
        faults: Iterable[Fault] = (),
    ) -> None:
        """Start with warm targets without jobs."""
        self._arrivals = arrivals
        self._times = [arrival.at for arrival in arrivals]
        self._engines = [Engine(spec, number) for number in range(engines)]
        self._faults = sorted(faults, key=lambda fault: fault.at)
        self._jobs: list[dict[int, Job]] = [{} for _ in range(engines)]
        self._paused: list[dict[int, Job]] = [{} for _ in range(engines)]
        self._synced: float = 0
        self._reported: float = 0
        self.ledger = Ledger([Answer(arrival) for arrival in arrivals])

    def run(self, decider: Decider, seconds: float) -> Ledger:
        """Run until a time and return the results."""
        now: float = 0
        arrived = 0
        while now < seconds:
            now = self._find_next_time(now, arrived, decider)
            self._apply_faults(decider, now)
            self._advance(decider, now)
            self._notify(decider, now)
            arrived = self._offer_arrived(decider, arrived, now)
            self._poll(decider, now)
        self.ledger.seconds = now
        return self.ledger

    def _find_next_time(
        self,
        now: float,
        arrived: int,
        decider: Decider,
    ) -> float:
        next_time = self._reported + REPORT_SECONDS
        if decider.queued:
            next_time = min(next_time, now + POLL_SECONDS)
        if arrived < len(self._arrivals):
            next_time = min(next_time, self._arrivals[arrived].at)
        return max(next_time, now)

    def _offer_arrived(self, decider: Decider, first: int, now: float) -> int:
        last = bisect_right(self._times, now, lo=first)
        for number in range(first, last):
            self._offer(decider, self._arrivals[number], now)
        return last

    def _offer(self, decider: Decider, arrival: Arrival, now: float) -> None:
        if not decider.offer(arrival, now):
            self._refuse(arrival.number, now)

    def _refuse(self, number: int, now: float) -> None:
        answer = self.ledger.answers[number]
        answer.outcome = Outcome.lost if answer.runs else Outcome.refused
        answer.ended_at = now

    def _poll(self, decider: Decider, now: float) -> None:
        for expired in decider.expire(now):
            self._refuse(expired, now)
        while True:
            found = decider.find_next(now)
            if found is None:
                return
            self._send(decider, found, now)

    def _send(self, decider: Decider, sent: Sent, now: float) -> None:
        engine = self._engines[sent.target]
        answer = self.ledger.answers[sent.number]
        arrival = answer.arrival
        if engine.is_dead:
            decider.record_stop(sent.number, 0, ended=False)
            decider.record_loss(sent.target, now)
            self._offer(decider, arrival, now)
            return
        job = Job(
            name=str(sent.number),
            prompt_tokens=arrival.prompt_tokens,
            length=arrival.length,
            max_tokens=arrival.max_tokens,
            priority=sent.priority,
            prefix=arrival.prefix,
            submitted=now,
        )
        answer.outcome = Outcome.running
        answer.target = sent.target
        answer.runs += 1
        answer.sent_at = now
        engine.batch.submit(job)
        jobs = self._jobs[sent.target]
        jobs[sent.number] = job
        self._paused[sent.target][sent.number] = job
        if len(jobs) > decider.find_limit(sent.target):
            self.ledger.over_limit += 1

    def _advance(self, decider: Decider, until: float) -> None:
        for target, engine in enumerate(self._engines):
            for now, step in engine.run(until):
                self._count(target, step, now)
                for job in step.finished:
                    self._finish(decider, target, int(job.name), now)

    def _count(self, target: int, step: Step, now: float) -> None:
        ledger = self.ledger
        emitted = len(step.emitted)
        ledger.tokens += emitted * step.count
        resumed = self._resume(target, now)
        if emitted > resumed:
            ledger.count_gap(step.seconds, (emitted - resumed) * step.count)
        if step.seconds > STALL_SECONDS:
            for job in step.emitted:
                answer = ledger.answers[int(job.name)]
                answer.stall += step.seconds * step.count
        for victim in step.preempted:
            self._pause(target, victim, now - step.seconds)

    def _pause(self, target: int, victim: Job, since: float) -> None:
        number = int(victim.name)
        answer = self.ledger.answers[number]
        answer.preemptions += 1
        answer.produced = victim.produced
        if answer.paused_at < 0:
            answer.paused_at = since
        self._paused[target][number] = victim
        self.ledger.preemptions += 1

    def _resume(self, target: int, now: float) -> int:
        resumed = [
            number
            for number, job in self._paused[target].items()
            if job.produced > self.ledger.answers[number].produced
        ]
        for number in resumed:
            job = self._paused[target].pop(number)
            self._end_pause(self.ledger.answers[number], job, now)
        return len(resumed)

    def _end_pause(self, answer: Answer, job: Job, now: float) -> None:
        answer.produced = job.produced
        if answer.first_at < 0:
            answer.first_at = now
        elif answer.paused_at >= 0:
            gap = now - answer.paused_at
            answer.stall += gap if gap > STALL_SECONDS else 0
            self.ledger.count_gap(gap, 1)
        answer.paused_at = -1

    def _finish(
        self,
        decider: Decider,
        target: int,
        number: int,
        now: float,
    ) -> None:
        job = self._jobs[target].pop(number)
        answer = self.ledger.answers[number]
        answer.outcome = Outcome.done
        answer.produced = job.produced
        answer.ended_at = now
        decider.record_stop(number, job.produced, ended=True)

    def _notify(self, decider: Decider, now: float) -> None:
        if now - self._synced >= SYNC_SECONDS:
            self._synced = now
            self._sync(decider)
        if now - self._reported >= REPORT_SECONDS:
            self._reported = now
            for target, engine in enumerate(self._engines):
                self._report(decider, target, engine, now)

    def _sync(self, decider: Decider) -> None:
        for jobs in self._jobs:
            for number, job in jobs.items():
                decider.record_tokens(number, job.produced)

    def _report(
        self,
        decider: Decider,
        target: int,
        engine: Engine,
        now: float,
    ) -> None:
        if engine.is_dead:
            engine.reports.clear()
            return
        engine.reports.append(engine.report(now))
        while engine.reports[0].at <= now - REPORT_LAG_SECONDS:
            decider.record_report(target, engine.reports.popleft(), now)

    def _apply_faults(self, decider: Decider, now: float) -> None:
        while self._faults and self._faults[0].at <= now:
            fault = self._faults.pop(0)
            self._apply(fault, decider, now)

    def _apply(self, fault: Fault, decider: Decider, now: float) -> None:
        engine = self._engines[fault.target]
        match fault.kind:
            case FaultKind.die:
                self._die(decider, fault.target, now)
            case FaultKind.restart:
                engine.restart(now)
            case FaultKind.chill:
                engine.batch.make_cold()
            case FaultKind.leave:
                decider.set_serving(fault.target, serving=False)
            case FaultKind.back:
                engine.restart(now)
                decider.set_serving(fault.target, serving=True)

    def _die(self, decider: Decider, target: int, now: float) -> None:
        self._engines[target].die()
        decider.record_loss(target, now)
        self._paused[target].clear()
        jobs = self._jobs[target]
        self._jobs[target] = {}
        for number, job in jobs.items():
            decider.record_stop(number, job.produced, ended=False)
            self._handle_loss(decider, number, job, now)

    def _handle_loss(
        self,
        decider: Decider,
        number: int,
        job: Job,
        now: float,
    ) -> None:
        answer = self.ledger.answers[number]
        if not job.produced:
            answer.outcome = Outcome.waiting
            self._offer(decider, answer.arrival, now)
            return
        answer.outcome = Outcome.lost
        answer.ended_at = now
        answer.produced = job.produced
        self.ledger.tokens -= job.produced
