"""Model of an engine's continuous batching; each step returns its time."""

import random
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum


class Ending(Enum):
    """Reason that a generation ended."""

    stop = 'stop'
    length = 'length'
    cancelled = 'cancelled'


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Capacity and speed of an engine; times are in seconds."""

    slots: int = 64
    memory_tokens: int = 60_000
    cache_tokens: int = 20_000
    step_seconds: float = 0.02
    step_seconds_per_slot: float = 1e-4
    prefill_tokens_per_second: float = 20_000
    prefill_chunk_tokens: int = 512
    cold_factor: float = 8
    cold_slots: int = 8
    cold_steps: int = 250


@dataclass(slots=True, eq=False)
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
    output_tokens: int = field(init=False)

    def __post_init__(self) -> None:
        """Set the number of tokens after which the job ends."""
        self.output_tokens = min(self.length, self.max_tokens)

    @property
    def held(self) -> int:
        """Return the memory tokens that the job holds while it runs."""
        return self.prefilled

    @property
    def context_tokens(self) -> int:
        """Return the tokens that must be in memory before the next token."""
        return self.prompt_tokens + self.produced

    @property
    def prefill_left(self) -> int:
        """Return the tokens that must still be prefilled."""
        return self.context_tokens - self.prefilled


@dataclass(slots=True)
class Step:
    """Result of one step of the engine, or of ``count`` equal steps.

    ``seconds`` is the time of each step; each job in ``emitted`` produced a
    token in each step.
    """

    seconds: float
    count: int = 1
    emitted: list[Job] = field(default_factory=list)
    finished: list[Job] = field(default_factory=list)
    preempted: list[Job] = field(default_factory=list)
    cached: list[str] = field(default_factory=list)
    evicted: list[str] = field(default_factory=list)


def _rank_victim(job: Job) -> tuple[int, float]:
    return (job.priority, -job.submitted)


class Batch:
    """Running and waiting jobs of one engine."""

    def __init__(self, spec: EngineSpec, rng: random.Random) -> None:
        """Start cold and without jobs."""
        self.spec = spec
        self.running: list[Job] = []
        self.waiting: list[Job] = []
        self.preemptions = 0
        self.tokens = 0
        self._rng = rng
        self._cold_steps_left = spec.cold_steps
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._memory_used = 0
        self._prefill_left = 0

    @property
    def memory_used(self) -> int:
        """Return the memory tokens that running jobs hold."""
        return self._memory_used

    @property
    def is_cold(self) -> bool:
        """Return whether the engine still runs at its cold speed."""
        return self._cold_steps_left > 0

    def make_cold(self) -> None:
        """Make the engine cold again."""
        self._cold_steps_left = self.spec.cold_steps

    def warm_up(self) -> None:
        """Make the engine warm without further steps."""
        self._cold_steps_left = 0

    def submit(self, job: Job) -> None:
        """Queue a job behind those of the same or a higher priority."""
        index = len(self.waiting)
        while index and self.waiting[index - 1].priority < job.priority:
            index -= 1
        self.waiting.insert(index, job)

    def cancel(self, name: str) -> bool:
        """Remove a job; return whether it was running or waiting."""
        for job in self.running:
            if job.name == name:
                self._remove(job)
                return True
        for job in self.waiting:
            if job.name == name:
                self.waiting.remove(job)
                return True
        return False

    def step(self) -> Step:
        """Run one step: admit, prefill, preempt, decode, finish."""
        result = Step(seconds=0)
        self._start_waiting(result)
        prefilled = self._prefill(result)
        self._preempt(result)
        seconds = self._compute_seconds(prefilled)
        self._decode(result, 1)
        result.seconds = seconds
        if self._cold_steps_left and result.emitted:
            self._cold_steps_left -= 1
        return result

    def run_equal_steps(self, max_seconds: float) -> Step:
        """Run as many equal steps as fit into the time, or else one step.

        Steps are equal while no job starts or prefills, up to the first one
        that ends a job, fills the memory or ends the cold phase.
        """
        count = self._count_equal_steps(max_seconds)
        if count < 2:
            return self.step()
        result = Step(self._compute_seconds(0), count)
        self._decode(result, count)
        self._cold_steps_left = max(self._cold_steps_left - count, 0)
        return result

    def _count_equal_steps(self, max_seconds: float) -> int:
        running = self.running
        if not running or self._prefill_left or self._can_start():
            return 0
        count = int(max_seconds / self._compute_seconds(0))
        free = self.spec.memory_tokens - self._memory_used
        count = min(count, free // len(running))
        if self._cold_steps_left:
            count = min(count, self._cold_steps_left)
        if count < 2:
            return count
        return min(
            count, min([one.output_tokens - one.produced for one in running])
        )

    def _can_start(self) -> bool:
        if not self.waiting or len(self.running) >= self.spec.slots:
            return False
        needed = (
            self._memory_used
            + self._prefill_left
            + self.waiting[0].context_tokens
        )
        return needed <= self.spec.memory_tokens

    def _start_waiting(self, result: Step) -> None:
        while self._can_start():
            job = self.waiting.pop(0)
            job.prefilled = min(self._find_cached(job), job.prompt_tokens - 1)
            self._memory_used += job.prefilled
            self._prefill_left += job.prefill_left
            self.running.append(job)

    def _find_cached(self, job: Job) -> int:
        if job.prefix not in self._cache:
            return 0
        self._cache.move_to_end(job.prefix)
        return self._cache[job.prefix]

    def _prefill(self, result: Step) -> int:
        if not self._prefill_left:
            return 0
        budget = self.spec.prefill_chunk_tokens
        for job in self.running:
            count = min(budget, job.prefill_left)
            if count <= 0:
                continue
            job.prefilled += count
            self._memory_used += count
            self._prefill_left -= count
            budget -= count
            self._cache_prefix(job, result)
        return self.spec.prefill_chunk_tokens - budget

    def _cache_prefix(self, job: Job, result: Step) -> None:
        if not job.prefix or job.prefilled < job.prompt_tokens:
            return
        if job.prefix not in self._cache:
            result.cached.append(job.prefix)
        self._cache[job.prefix] = job.prompt_tokens
        self._cache.move_to_end(job.prefix)
        while sum(self._cache.values()) > self.spec.cache_tokens:
            prefix, _ = self._cache.popitem(last=False)
            result.evicted.append(prefix)

    def _preempt(self, result: Step) -> None:
        while self._memory_used + len(self.running) > self.spec.memory_tokens:
            if len(self.running) < 2:
                return
            victim = min(reversed(self.running), key=_rank_victim)
            self._remove(victim)
            victim.prefilled = 0
            victim.preemptions += 1
            self.preemptions += 1
            self.waiting.insert(0, victim)
            result.preempted.append(victim)

    def _decode(self, result: Step, count: int) -> None:
        emitted = self.running.copy()
        if self._prefill_left:
            emitted = [one for one in emitted if not one.prefill_left]
        for job in emitted:
            job.produced += count
            job.prefilled += count
            if job.produced >= job.output_tokens:
                result.finished.append(job)
        self._memory_used += count * len(emitted)
        self.tokens += count * len(emitted)
        result.emitted = emitted
        for done in result.finished:
            self._remove(done)

    def _remove(self, job: Job) -> None:
        self.running.remove(job)
        self._memory_used -= job.prefilled
        self._prefill_left -= job.prefill_left

    def _compute_seconds(self, prefilled: int) -> float:
        spec = self.spec
        running = len(self.running)
        seconds = (
            spec.step_seconds
            + spec.step_seconds_per_slot * running
            + prefilled / spec.prefill_tokens_per_second
        )
        if not self.is_cold:
            return seconds
        return seconds * spec.cold_factor * max(running / spec.cold_slots, 1)
