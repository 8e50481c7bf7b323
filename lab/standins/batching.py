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
    goal: int = field(init=False)

    def __post_init__(self) -> None:
        """Set the number of tokens the job ends at."""
        self.goal = min(self.length, self.max_tokens)

    @property
    def held(self) -> int:
        """Return the memory tokens the job holds while it runs."""
        return self.prefilled

    @property
    def needed(self) -> int:
        """Return the tokens to prefill before the next token."""
        return self.prompt_tokens + self.produced

    @property
    def unfilled(self) -> int:
        """Return the tokens that are still to be prefilled."""
        return self.needed - self.prefilled


@dataclass(slots=True)
class Step:
    """What one step of the engine, or some equal ones, did.

    ``seconds`` is the time of each; each job in ``emitted`` gained a token
    in each.
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
    """The running and waiting jobs of one engine."""

    def __init__(self, spec: EngineSpec, rng: random.Random) -> None:
        """Start cold and empty."""
        self.spec = spec
        self.running: list[Job] = []
        self.waiting: list[Job] = []
        self.preemptions = 0
        self.tokens = 0
        self._rng = rng
        self._cold_left = spec.cold_steps
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._held = 0
        self._owed = 0

    @property
    def memory_used(self) -> int:
        """Return the memory tokens held by running jobs."""
        return self._held

    @property
    def is_cold(self) -> bool:
        """Say whether the engine still runs at its cold speed."""
        return self._cold_left > 0

    def make_cold(self) -> None:
        """Make the engine cold again."""
        self._cold_left = self.spec.cold_steps

    def warm_up(self) -> None:
        """Make the engine warm at once."""
        self._cold_left = 0

    def submit(self, job: Job) -> None:
        """Queue a job behind those of its priority."""
        index = len(self.waiting)
        while index and self.waiting[index - 1].priority < job.priority:
            index -= 1
        self.waiting.insert(index, job)

    def cancel(self, name: str) -> bool:
        """Drop a job; say whether it was there."""
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
        """Run one step: admit, prefill, decode, preempt, finish."""
        result = Step(seconds=0)
        self._start_waiting(result)
        prefilled = self._prefill(result)
        self._make_room(result)
        seconds = self._compute_seconds(prefilled)
        self._decode(result, 1)
        result.seconds = seconds
        if self._cold_left and result.emitted:
            self._cold_left -= 1
        return result

    def run_equal_steps(self, most_seconds: float) -> Step:
        """Run as many equal steps at once as fit, or else one step."""
        count = self._count_equal_steps(most_seconds)
        if count < 2:
            return self.step()
        result = Step(self._compute_seconds(0), count)
        self._decode(result, count)
        self._cold_left = max(self._cold_left - count, 0)
        return result

    def _count_equal_steps(self, most_seconds: float) -> int:
        running = self.running
        if not running or self._owed or self._can_start():
            return 0
        count = int(most_seconds / self._compute_seconds(0))
        free = self.spec.memory_tokens - self._held
        count = min(count, free // len(running))
        if self._cold_left:
            count = min(count, self._cold_left)
        if count < 2:
            return count
        return min(count, min([one.goal - one.produced for one in running]))

    def _can_start(self) -> bool:
        if not self.waiting or len(self.running) >= self.spec.slots:
            return False
        needed = self._held + self._owed + self.waiting[0].needed
        return needed <= self.spec.memory_tokens

    def _start_waiting(self, result: Step) -> None:
        while self._can_start():
            job = self.waiting.pop(0)
            job.prefilled = min(self._find_cached(job), job.prompt_tokens - 1)
            self._held += job.prefilled
            self._owed += job.unfilled
            self.running.append(job)

    def _find_cached(self, job: Job) -> int:
        if job.prefix not in self._cache:
            return 0
        self._cache.move_to_end(job.prefix)
        return self._cache[job.prefix]

    def _prefill(self, result: Step) -> int:
        if not self._owed:
            return 0
        left = self.spec.prefill_chunk_tokens
        for job in self.running:
            take = min(left, job.unfilled)
            if take <= 0:
                continue
            job.prefilled += take
            self._held += take
            self._owed -= take
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
        while self._held + len(self.running) > self.spec.memory_tokens:
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
        if self._owed:
            emitted = [one for one in emitted if not one.unfilled]
        for job in emitted:
            job.produced += count
            job.prefilled += count
            if job.produced >= job.goal:
                result.finished.append(job)
        self._held += count * len(emitted)
        self.tokens += count * len(emitted)
        result.emitted = emitted
        for done in result.finished:
            self._remove(done)

    def _remove(self, job: Job) -> None:
        self.running.remove(job)
        self._held -= job.prefilled
        self._owed -= job.unfilled

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
