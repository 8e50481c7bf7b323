"""Writes the results of the policy bench as one page."""

from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import fields
from statistics import fmean

from lab.benchmarks.policy_cases import Result, Scenario
from lab.benchmarks.policy_figures import Figures, Spread
from lab.models.policy_targets import TargetResult

_INTRODUCTION = """# Measurements

Written by `{command}` (seeds {seeds}); do not edit. Each run of it gives the
same digits.

A model of targets, not of a cluster: six engines of 64 slots and 60,000
memory tokens step by `lab/standins/batching.py` on a virtual clock, and a
decider says where each request goes. Ten teams, the largest with 30% of the
requests; a fifth of the requests are short calls bounded to 64 tokens. Load 1
is the rate at which the memory held over time equals the memory there is. The
estimate of lengths starts with its prior and learns during the run.

`before` is the wait for the first token, `during` the time that an answer
spends in gaps of more than 0.1 s, both in seconds; `gap` is the time between
tokens in ms; goodput is tokens a second, without tokens of lost answers;
`refused` is the part of all requests and of the short ones. A request that
still waits at the end counts with the time it has waited. Figures are means
over the seeds.
"""
Row = Sequence[str]

_HEADS = (
    'policy',
    'before p50/p95/p99',
    'during p95/p99',
    'stall p99',
    'short p95',
    'preempted per 1,000',
    'gap p95/p99',
    'goodput',
    'refused',
    'lost',
)


def write_page(
    command: str,
    results: list[Result],
    judgements: Iterable[TargetResult],
) -> str:
    """Return the page in Markdown."""
    seeds = sorted({result.case.seed for result in results})
    listed = ', '.join(str(seed) for seed in seeds)
    parts = [_INTRODUCTION.format(command=command, seeds=listed)]
    parts.append('## Targets\n')
    parts.append(_draw_judgements(judgements))
    parts.append('## Runs\n')
    parts.extend(_draw_groups(results))
    return '\n'.join(parts)


def draw_judgement(judgement: TargetResult) -> str:
    """Return a target as one line of text."""
    verdict = 'met' if judgement.is_met else 'missed'
    return (
        f'{verdict}: {judgement.name}: {judgement.bound}, in '
        f'{judgement.met} of {judgement.cases}, worst {judgement.worst:.3f}'
    )


def _draw_judgements(judgements: Iterable[TargetResult]) -> str:
    rows = [
        (
            judgement.name,
            judgement.bound,
            f'{judgement.met} of {judgement.cases}',
            f'{judgement.worst:.3f}',
            'met' if judgement.is_met else 'missed',
        )
        for judgement in judgements
    ]
    return _draw_table(('target', 'bound', 'cases', 'worst', ''), rows)


def _draw_groups(results: list[Result]) -> Iterator[str]:
    groups: dict[tuple[Scenario, str, float], list[Result]] = {}
    for result in results:
        case = result.case
        key = (case.scenario, case.lengths.value, case.load)
        groups.setdefault(key, []).append(result)
    for (scenario, lengths, load), group in groups.items():
        yield f'### {scenario.value}: {lengths} lengths, load {load}\n'
        yield _draw_table(_HEADS, list(_draw_rows(group)))


def _draw_rows(group: list[Result]) -> Iterator[Row]:
    by_policy: dict[str, list[Figures]] = {}
    for result in group:
        policy = result.case.policy.value
        by_policy.setdefault(policy, []).append(result.figures)
    for policy, figures in by_policy.items():
        yield _draw_row(policy, figures)


def _draw_row(policy: str, runs: list[Figures]) -> Row:
    before = _mean_spread(runs, lambda one: one.before)
    during = _mean_spread(runs, lambda one: one.during)
    gap = _mean_spread(runs, lambda one: one.gap_ms)
    refused = fmean(one.refused for one in runs)
    short_refused = fmean(one.short_refused for one in runs)
    return [
        policy,
        f'{before.p50:.2f}/{before.p95:.2f}/{before.p99:.2f}',
        f'{during.p95:.2f}/{during.p99:.2f}',
        f'{fmean(one.stall.p99 for one in runs):.2f}',
        f'{fmean(one.short.p95 for one in runs):.2f}',
        f'{fmean(one.preempted for one in runs):.1f}',
        f'{gap.p95:.1f}/{gap.p99:.1f}',
        f'{fmean(one.goodput for one in runs):.0f}',
        f'{refused:.1%}, {short_refused:.1%}',
        f'{fmean(one.lost for one in runs):.0f}',
    ]


def _mean_spread(
    runs: list[Figures],
    choose: Callable[[Figures], Spread],
) -> Spread:
    spreads = [choose(figures) for figures in runs]
    return Spread(
        *(
            fmean(getattr(spread, field.name) for spread in spreads)
            for field in fields(Spread)
        ),
    )


def _draw_table(
    heads: Row,
    rows: Iterable[Row],
) -> str:
    lines = [heads, ['---' for _ in heads], *rows]
    table = '\n'.join(f'| {" | ".join(line)} |' for line in lines)
    return f'{table}\n'
