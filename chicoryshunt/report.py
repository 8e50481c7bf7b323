"""Render the burn report as text or as a self-contained HTML page."""

from collections.abc import Callable, Iterable, Sequence
from html import escape
from io import StringIO
from typing import TYPE_CHECKING

from chicoryshunt.burn import WINDOWS, Burn, BurnReport, MinuteCounts, Tail
from chicoryshunt.serving.service_levels import SeriesKey

if TYPE_CHECKING:
    from matplotlib.figure import Figure

_PAGING_RATE = 14.4
_MAX_TEAM_ROWS = 40

_STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; margin: 2em auto;
  max-width: 62em; padding: 0 1em; color: #1c2230; background: #fff; }
h1 { font-size: 1.5em; } h2 { font-size: 1.15em; margin-top: 2em; }
table { border-collapse: collapse; width: 100%; }
th, td { padding: .25em .6em; text-align: right;
  border-bottom: 1px solid #dde2ea; font-variant-numeric: tabular-nums; }
th:first-child, td:first-child { text-align: left; }
tr.fast td { background: #fde8e4; }
svg { max-width: 100%; height: auto; }
"""


def render_text(report: BurnReport) -> str:
    """Return the report as plain text tables."""
    sections = [
        f'service levels of {len(report.vms)} nodes: {", ".join(report.vms)}',
        _render_table(_burn_rows(report.burns)),
        _render_table(_tail_rows(report.tails)),
        _render_table(_preemption_rows(report)),
    ]
    return '\n\n'.join(sections)


def render_page(report: BurnReport) -> str:
    """Return the report as one HTML page without external resources."""
    nodes = escape(', '.join(report.vms))
    return '\n'.join(
        (
            '<!doctype html><html lang="en"><head><meta charset="utf-8">',
            '<title>Service levels</title>',
            f'<style>{_STYLE}</style></head><body>',
            f'<h1>Service levels</h1><p>Nodes: {nodes}</p>',
            '<h2>Error budget burn</h2>',
            '<p>A rate of 1 spends the budget exactly over the window; rows '
            + f'above {_PAGING_RATE} in the shortest window are marked.</p>',
            _render_html_table(_burn_rows(report.burns), _is_above_paging_rate),
            '<h2>Tails, in milliseconds</h2>',
            _render_html_table(_tail_rows(report.tails)),
            '<h2>Preemptions</h2>',
            _render_html_table(_preemption_rows(report)),
            '<h2>Each data centre, by the minute</h2>',
            _plot_minutes(report.minutes),
            '</body></html>',
        ),
    )


def _format_key(key: SeriesKey) -> str:
    where = key.data_centre or key.team or '(no team)'
    return f'{key.served} / {where}'


def _get_sort_key(tail: Tail) -> tuple[str, str]:
    return _format_key(tail.key), tail.measure


def _burn_rows(burns: Sequence[Burn]) -> list[list[str]]:
    header = ['service / data centre or team', 'objective', 'events']
    header.extend(f'burn {window.name}' for window in WINDOWS)
    header.append('budget left')
    rows = [header]
    by_data_centre = [burn for burn in burns if burn.key.data_centre]
    by_team = sorted(
        (burn for burn in burns if not burn.key.data_centre),
        key=lambda burn: -max(burn.rates),
    )
    for burn in by_data_centre + by_team[:_MAX_TEAM_ROWS]:
        rows.append(
            [
                _format_key(burn.key),
                burn.objective.value,
                str(burn.events),
                *(f'{rate:.2f}' for rate in burn.rates),
                f'{burn.budget_left:.0%}',
            ],
        )
    return rows


def _tail_rows(tails: Sequence[Tail]) -> list[list[str]]:
    rows = [['service / data centre', 'measure', 'p50', 'p95', 'p99', 'count']]
    for tail in sorted(tails, key=_get_sort_key):
        rows.append(
            [
                _format_key(tail.key),
                f'{tail.measure} ms',
                *(f'{percentile:.0f}' for percentile in tail.percentiles),
                str(tail.count),
            ],
        )
    return rows


def _preemption_rows(report: BurnReport) -> list[list[str]]:
    rows = [['target', 'preemptions']]
    for target, count in sorted(report.preemptions.items()):
        rows.append([target, str(count)])
    return rows


def _render_table(rows: Sequence[Sequence[str]]) -> str:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) if index == 0 else cell.rjust(width)
            for index, (cell, width) in enumerate(
                zip(row, widths, strict=True),
            )
        ).rstrip()
        for row in rows
    )


def _is_above_paging_rate(row: Sequence[str]) -> bool:
    return float(row[3]) > _PAGING_RATE


def _render_html_table(
    rows: Sequence[Sequence[str]],
    is_marked: Callable[[Sequence[str]], bool] | None = None,
) -> str:
    header = ''.join(f'<th>{escape(cell)}</th>' for cell in rows[0])
    lines = [f'<table><tr>{header}</tr>']
    for row in rows[1:]:
        mark = ' class="fast"' if is_marked and is_marked(row) else ''
        cells = ''.join(f'<td>{escape(cell)}</td>' for cell in row)
        lines.append(f'<tr{mark}>{cells}</tr>')
    lines.append('</table>')
    return '\n'.join(lines)


def _plot_minutes(minutes: Iterable[MinuteCounts]) -> str:
    # Imported here so that nodes don't load the plotting library.
    from matplotlib.figure import Figure

    by_key = _group_minutes(minutes)
    figure = Figure(figsize=(10, 7), layout='constrained')
    served, stalled = figure.subplots(2, 1, sharex=True)
    for key, points in by_key.items():
        ages = [-point.age_minutes for point in points]
        served.plot(ages, [point.requests for point in points], label=key)
        stalled.plot(ages, [_mean_stall(point) for point in points])
    served.set_ylabel('requests a minute')
    stalled.set_ylabel('stall a request, ms')
    stalled.set_xlabel('minutes')
    if by_key:
        served.legend(fontsize='small')
    return _render_svg(figure)


def _render_svg(figure: 'Figure') -> str:
    text = StringIO()
    figure.savefig(text, format='svg')
    svg = text.getvalue()
    return svg[svg.index('<svg') :]


def _group_minutes(
    minutes: Iterable[MinuteCounts],
) -> dict[str, list[MinuteCounts]]:
    by_name: dict[str, list[MinuteCounts]] = {}
    for minute in minutes:
        by_name.setdefault(_format_key(minute.key), []).append(minute)
    return dict(sorted(by_name.items()))


def _mean_stall(minute: MinuteCounts) -> float:
    return minute.stall_ms / max(1, minute.requests)
