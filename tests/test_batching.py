"""Tests of the engines' batching and memory model."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from lab.standins.batching import Batch, EngineSpec, Job

SPEC = EngineSpec(slots=8, memory_tokens=3000)
JOBS = st.lists(
    st.tuples(st.integers(1, 900), st.integers(1, 700)),
    min_size=1,
    max_size=14,
)


def build_batch(jobs: list[tuple[int, int]]) -> Batch:
    batch = Batch(SPEC, random.Random(1))
    batch.warm_up()
    for number, (prompt, length) in enumerate(jobs):
        batch.submit(Job(str(number), prompt, length, 1000, submitted=number))
    return batch


def run(batch: Batch, *, leaps: bool) -> tuple[float, list[str]]:
    seconds: float = 0
    ended: list[str] = []
    while batch.running or batch.waiting:
        step = batch.run_equal_steps(5) if leaps else batch.step()
        seconds += step.seconds * step.count
        ended.extend(job.name for job in step.finished)
        held = sum(job.held for job in batch.running)
        assert batch.memory_used == held
        assert held <= SPEC.memory_tokens
    return seconds, ended


@settings(derandomize=True, deadline=None, max_examples=30)
@given(JOBS)
def test_leaps_do_what_steps_do(jobs: list[tuple[int, int]]) -> None:
    stepped = build_batch(jobs)
    leapt = build_batch(jobs)
    step_seconds, step_order = run(stepped, leaps=False)
    leap_seconds, leap_order = run(leapt, leaps=True)
    assert leap_order == step_order
    assert abs(leap_seconds - step_seconds) * 1000 < 1
    assert leapt.tokens == stepped.tokens
    assert leapt.tokens == sum(length for _, length in jobs)
    assert leapt.preemptions == stepped.preemptions


def test_memory_that_fills_preempts_the_latest() -> None:
    batch = build_batch([(600, 600), (600, 600), (600, 600)])
    while not batch.preemptions:
        batch.step()
    assert [job.name for job in batch.waiting] == ['2']


def test_a_cold_engine_collapses_under_load() -> None:
    light = build_batch([(10, 50)])
    full = build_batch([(10, 50) for _ in range(8)])
    cold = EngineSpec(slots=64, cold_slots=2)
    for batch in (light, full):
        batch.spec = cold
        batch.make_cold()
    slow = full.step().seconds / light.step().seconds
    assert slow > 3
