"""Continuous batching of an engine, one step at a time, on any clock."""

import random
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum


class Ending(Enum):
    """Say how a generation ended."""

    stop = 'stop'
    length = 'length'
    cancelled = 'cancelled'


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Size and speed of an engine; times are in seconds."""

    slots: int = 64
    memory_tokens: int = 60_000
    cache_tokens: int = 20_000
    step_seconds: float = 0.02
    step_seconds_per_slot: float = 1e-4
    prefill_tokens_per_second: float = 20_000
    prefill_chunk_tokens: int = 512
    cold_factor: float = 8
    cold_tokens: int = 2_000


@dataclass(slots=True)
class Job:
    """One generation inside an engine."""

    name: str
    prompt_tokens: int
    length: int
    max_tokens: int
    priority: int = 0
    prefix: str = ''
    submitted: float = 0
    produced: int = 0
    prefilled: int = 0
    preemptions: int = 0

    @property
    def held(self) -> int:
        """Return the memory tokens the job holds while it runs."""
        return self.prefilled

    @property
    def needed(self) -> int:
        """Return the tokens to prefill before the next token."""
        return self.prompt_tokens + self.produced

    @property
    def goal(self) -> int:
        """Return the number of tokens the job ends at."""
        return min(self.length, self.max_tokens)


@dataclass(slots=True)
class Step:
    """What one step of the engine did."""

    seconds: float
    emitted: list[Job] = field(default_factory=list)
    finished: list[Job] = field(default_factory=list)
    preempted: list[Job] = field(default_factory=list)
    cached: list[str] = field(default_factory=list)
    evicted: list[str] = field(default_factory=list)


def _rank_victim(job: Job) -> tuple[int, float]:
    return (job.priority, -job.submitted)


class Batch:
    """The running and waiting jobs of one engine."""

    def __init__(self, spec: EngineSpec, rng: random.Random) -> None:
        """Start cold and empty."""
        self.spec = spec
        self.running: list[Job] = []
        self.waiting: list[Job] = []
        self.preemptions = 0
        self.tokens = 0
        self._rng = rng
        self._cold_left = spec.cold_tokens
        self._cache: OrderedDict[str, int] = OrderedDict()

    @property
    def memory_used(self) -> int:
        """Return the memory tokens held by running jobs."""
        return sum(job.held for job in self.running)

    @property
    def is_cold(self) -> bool:
        """Say whether the engine still runs at its cold speed."""
        return self._cold_left > 0

    def chill(self) -> None:
        """Make the engine cold again."""
        self._cold_left = self.spec.cold_tokens

    def submit(self, job: Job) -> None:
        """Queue a job behind those of its priority."""
        index = len(self.waiting)
        while index and self.waiting[index - 1].priority < job.priority:
            index -= 1
        self.waiting.insert(index, job)

    def cancel(self, name: str) -> bool:
        """Drop a job; say whether it was there."""
        for jobs in (self.running, self.waiting):
            for job in jobs:
                if job.name == name:
                    jobs.remove(job)
                    return True
        return False

    def step(self) -> Step:
        """Run one step: admit, prefill, decode, preempt, finish."""
        result = Step(seconds=0)
        self._start_waiting(result)
        prefilled = self._prefill(result)
        self._make_room(result)
        self._decode(result)
        result.seconds = self._compute_seconds(prefilled)
        self._cold_left -= min(self._cold_left, prefilled + len(result.emitted))
        return result

    def _start_waiting(self, result: Step) -> None:
        while self.waiting and len(self.running) < self.spec.slots:
            job = self.waiting[0]
            if self.memory_used + job.needed > self.spec.memory_tokens:
                return
            self.waiting.pop(0)
            job.prefilled = min(self._find_cached(job), job.prompt_tokens - 1)
            self.running.append(job)

    def _find_cached(self, job: Job) -> int:
        if job.prefix not in self._cache:
            return 0
        self._cache.move_to_end(job.prefix)
        return self._cache[job.prefix]

    def _prefill(self, result: Step) -> int:
        left = self.spec.prefill_chunk_tokens
        for job in self.running:
            take = min(left, job.needed - job.prefilled)
            if take > 0:
                job.prefilled += take
                left -= take
                self._remember_prefix(job, result)
        return self.spec.prefill_chunk_tokens - left

    def _remember_prefix(self, job: Job, result: Step) -> None:
        if not job.prefix or job.prefilled < job.prompt_tokens:
            return
        if job.prefix not in self._cache:
            result.cached.append(job.prefix)
        self._cache[job.prefix] = job.prompt_tokens
        self._cache.move_to_end(job.prefix)
        while sum(self._cache.values()) > self.spec.cache_tokens:
            prefix, _ = self._cache.popitem(last=False)
            result.evicted.append(prefix)

    def _make_room(self, result: Step) -> None:
        while self.memory_used + len(self.running) > self.spec.memory_tokens:
            if len(self.running) < 2:
                return
            victim = min(reversed(self.running), key=_rank_victim)
            self.running.remove(victim)
            victim.prefilled = 0
            victim.preemptions += 1
            self.preemptions += 1
            self.waiting.insert(0, victim)
            result.preempted.append(victim)

    def _decode(self, result: Step) -> None:
        for job in tuple(self.running):
            if job.prefilled < job.needed:
                continue
            job.produced += 1
            job.prefilled += 1
            self.tokens += 1
            result.emitted.append(job)
            if job.produced >= job.goal:
                self.running.remove(job)
                result.finished.append(job)

    def _compute_seconds(self, prefilled: int) -> float:
        spec = self.spec
        seconds = (
            spec.step_seconds
            + spec.step_seconds_per_slot * len(self.running)
            + prefilled / spec.prefill_tokens_per_second
        )
        return seconds * spec.cold_factor if self.is_cold else seconds
