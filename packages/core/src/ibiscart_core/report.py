"""
ibiscart_core.report
~~~~~~~~~~~~~~~~~~~~

Formats a comparison of policies as a Markdown page, as JSON and as an SVG plot.
"""

import json
import math
from html import escape

from ibiscart_core.comparison import BASELINE

__all__ = ["format_json", "format_markdown", "format_plot"]

# heading of the column, name of the metric, number of decimals
COLUMNS = (
    ("completion mean", "completion_mean", 0),
    ("p95", "completion_p95", 0),
    ("p99", "completion_p99", 0),
    ("large gangs mean", "large_completion_mean", 0),
    ("makespan", "makespan", 0),
    ("fragmented share", "fragmented_share", 3),
    ("largest free set", "largest_free_mean", 1),
    ("peak service", "peak_service", 3),
    ("short wait p50", "short_wait_p50", 1),
    ("p99", "short_wait_p99", 1),
    ("urgent wait max", "urgent_wait_max", 2),
    ("preemption lost, accelerator-s", "preemption_lost", 0),
    ("store operations per job", "store_operations_per_job", 2),
    ("messages per job", "messages_per_job", 1),
)
EXPLANATION = """\
Written by `ibiscart measure traces --output docs/measures` from replays in virtual time; the same
traces and policies give the same bytes. Times are in seconds.

- *bound*: run time alone for completion; for the makespan also accelerator-seconds over capacity.
- *large gangs*: several members and at least 16 accelerators. *Short work*: runs at most 120 s.
- *fragmented share*: share of time in which a waiting gang would fit the free accelerators by count
  but not by adjacency. *Largest free set*: mean over time of the most free accelerators in a rack.
- *peak service*: share of the work submitted while demand exceeds the capacity that is answered and
  started within 30 s. Demand is what would run if every job started at its submission.
- *urgent wait*: from the time at which a free guarantee covers a waiting job to its release.
- *store operations*: appends and snapshots. *Messages*: commands, calls to workers and pushes of
  records to 7 peers. Polls, heartbeats and lease renewals depend on time and are not counted.
- *contended*: demand exceeds the capacity for at least 600 s in total.
- Weighted ratio: metrics over those of the baseline, weighted for each user over the traces of its
  own deployment; below 1 is better than the baseline.
"""

# plot geometry in pixels
WIDTH = 960
LABEL_WIDTH = 210
BAR_HEIGHT = 9
ROW_HEIGHT = 26
TITLE_HEIGHT = 34
COLOURS = ("#9aa5b1", "#1f6f8b", "#c8553d")
PLOTS = (
    ("Mean completion time, s (logarithmic)", "completion_mean"),
    ("Mean completion time of large gangs, s (logarithmic)", "large_completion_mean"),
    ("p99 wait of short work, s (logarithmic)", "short_wait_p99"),
)


def format_json(comparison):
    """Returns the comparison as JSON text with sorted keys and at most 6 decimals."""
    return json.dumps(_round_floats(comparison.to_dict()), indent=1, sort_keys=True) + "\n"


def format_markdown(comparison, plot=""):
    """Returns the Markdown page: metrics, targets, weighted ratios and outcomes.

    ``plot`` is the file name of the plot to embed; if it is empty, the page has no plot.
    """
    lines = ["# Measures", "", EXPLANATION]
    if plot:
        lines += [f"![Completion times and waits of each trace]({plot})", ""]
    lines.append("| trace | policy | " + " | ".join(name for name, *_ in COLUMNS) + " |")
    lines.append("|---|---|" + "---:|" * len(COLUMNS))
    for trace in comparison.traces:
        name = trace["name"] + (" (contended)" if trace["contended"] else "")
        for policy, metrics in [("bound", trace["bound"]), *trace["policies"].items()]:
            cells = [_format_cell(metrics.get(key), decimals) for _, key, decimals in COLUMNS]
            lines.append(f"| {name} | {policy} | " + " | ".join(cells) + " |")
            name = ""
    lines += ["", f"## Targets of policy {comparison.policy}", ""]
    for target in comparison.targets():
        lines.append(_target_line(target))
    lines += ["", f"## Weighted ratio to {BASELINE}", ""]
    for user, score in comparison.scores().items():
        lines.append(f"- {user}: {_format_cell(score, 3)}")
    lines += ["", "## Outcomes", ""]
    lines += _outcome_lines(comparison)
    return "\n".join(lines) + "\n"


def format_plot(comparison):
    """Returns the plot as SVG text: one bar per trace and policy on a logarithmic scale."""
    policies = list(comparison.traces[0]["policies"]) if comparison.traces else []
    height = TITLE_HEIGHT + len(PLOTS) * (TITLE_HEIGHT + ROW_HEIGHT * len(comparison.traces))
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" '
        f'font-family="sans-serif" font-size="11">',
        f'<rect width="{WIDTH}" height="{height}" fill="white"/>',
    ]
    for number, series in enumerate(["bound", *policies]):
        x = LABEL_WIDTH + 120 * number
        parts.append(f'<rect x="{x}" y="12" width="10" height="10" fill="{COLOURS[number % 3]}"/>')
        parts.append(f'<text x="{x + 15}" y="21">{escape(series)}</text>')
    top = TITLE_HEIGHT
    for title, key in PLOTS:
        parts += _plot_panel(comparison, policies, title, key, top)
        top += TITLE_HEIGHT + ROW_HEIGHT * len(comparison.traces)
    return "\n".join([*parts, "</svg>"]) + "\n"


def _plot_panel(comparison, policies, title, key, top):
    """Yields the SVG elements of one metric's panel; ``top`` is its upper edge in pixels."""
    rows = []
    for trace in comparison.traces:
        values = [trace["bound"].get(key)] + [trace["policies"][p][key] for p in policies]
        rows.append((trace["name"], values))
    largest = max([v for _, values in rows for v in values if v] or [1.0])
    scale = (WIDTH - LABEL_WIDTH - 70) / math.log10(1 + largest)
    yield f'<text x="8" y="{top + 22}" font-size="13" font-weight="bold">{escape(title)}</text>'
    for index, (name, values) in enumerate(rows):
        y = top + TITLE_HEIGHT + index * ROW_HEIGHT
        yield f'<text x="8" y="{y + 14}">{escape(name)}</text>'
        for number, value in enumerate(values):
            if value is None:
                continue
            width = scale * math.log10(1 + value)
            bar = y + number * (BAR_HEIGHT - 1)
            yield (
                f'<rect x="{LABEL_WIDTH}" y="{bar}" width="{width:.1f}" height="{BAR_HEIGHT - 2}" '
                f'fill="{COLOURS[number % 3]}"/>'
            )
            yield (
                f'<text x="{LABEL_WIDTH + width + 4:.1f}" y="{bar + 7}" font-size="8">'
                f"{value:.1f}</text>"
            )


def _target_line(target):
    """Returns the Markdown line of one target of ``Comparison.targets``."""
    values = [value for value in target["values"].values() if value is not None]
    if not values:
        return f"- no sample: {target['target']}"
    value_range = f"{min(values):.2f} to {max(values):.2f}"
    reached_count = f"{len(values) - len(target['missed_on'])} of {len(values)} traces"
    if target["reached"]:
        return f"- reached: {target['target']}; {value_range}, {reached_count}"
    missed = ", ".join(f"{name} {target['values'][name]:.4f}" for name in target["missed_on"])
    return f"- not reached: {target['target']}; {value_range}, {reached_count}; missed on {missed}"


def _outcome_lines(comparison):
    """Returns one Markdown line per outcome that differs from the trace's header."""
    lines = [
        f"- {trace['name']}, {policy}: {difference}"
        for trace in comparison.traces
        for policy, metrics in trace["policies"].items()
        for difference in metrics["outcome_differences"]
    ]
    return lines or ["All replays give the outcomes that the traces state."]


def _format_cell(value, decimals):
    """Returns the text of a table cell, which is empty if the value is None."""
    return "" if value is None else f"{value:.{decimals}f}"


def _round_floats(value):
    """Returns the JSON value with all floats rounded to 6 decimals."""
    if isinstance(value, float):
        return round(value, 6)
    if isinstance(value, dict):
        return {key: _round_floats(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_round_floats(item) for item in value]
    return value
