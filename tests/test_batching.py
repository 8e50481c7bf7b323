"""Tests of the batching and memory model of engines."""

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


def run(batch: Batch, *, in_bulk: bool) -> tuple[float, list[str]]:
    seconds: float = 0
    ended: list[str] = []
    while batch.running or batch.waiting:
        step = batch.run_equal_steps(5) if in_bulk else batch.step()
        seconds += step.seconds * step.count
        ended.extend(job.name for job in step.finished)
        held = sum(job.held for job in batch.running)
        assert batch.memory_used == held
        assert held <= SPEC.memory_tokens
    return seconds, ended


@settings(derandomize=True, deadline=None, max_examples=30)
@given(JOBS)
def test_equal_steps_in_bulk_match_single_steps(
    jobs: list[tuple[int, int]],
) -> None:
    stepped = build_batch(jobs)
    bulk = build_batch(jobs)
    step_seconds, step_order = run(stepped, in_bulk=False)
    bulk_seconds, bulk_order = run(bulk, in_bulk=True)
    assert bulk_order == step_order
    assert abs(bulk_seconds - step_seconds) * 1000 < 1
    assert bulk.tokens == stepped.tokens
    assert bulk.tokens == sum(length for _, length in jobs)
    assert bulk.preemptions == stepped.preemptions


def test_full_memory_preempts_the_latest_job() -> None:
    batch = build_batch([(600, 600), (600, 600), (600, 600)])
    while not batch.preemptions:
        batch.step()
    assert [job.name for job in batch.waiting] == ['2']


def test_cold_engine_slows_down_under_load() -> None:
    light = build_batch([(10, 50)])
    full = build_batch([(10, 50) for _ in range(8)])
    cold = EngineSpec(slots=64, cold_slots=2)
    for batch in (light, full):
        batch.spec = cold
        batch.make_cold()
    slow = full.step().seconds / light.step().seconds
    assert slow > 3
