"""
ibiscart_cli.commands.stops
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Shows from the entries' logs which work was lost, why, and who gained.
"""

import itertools
import json

import click

from ibiscart_cli.history import read_lines
from ibiscart_cli.stops import StopSummary, summarize_stops
from ibiscart_cli.table import columns

__all__ = ["stops"]

EXAMPLES = """
\b
Examples:
  ibiscart stops logs/*.log
  ibiscart --json stops logs/*.log
"""


@click.command(epilog=EXAMPLES)
@click.argument("logs", nargs=-1, required=True, type=click.File(errors="replace"))
@click.pass_obj
def stops(session, logs):
    """Sum up the runs in LOGS that ended without success, by reason.

    Shows the unsaved work that they lost in core-seconds, for how many units runs were preempted,
    and how many of these units then started on the freed workers in time. Asks no entry.
    """
    found = summarize_stops(itertools.chain.from_iterable(read_lines(log) for log in logs))
    if session.as_json:
        rows = [dict(zip(StopSummary.header(), row.row(), strict=True)) for row in found]
        click.echo(json.dumps(rows))
        return
    for row in columns(StopSummary.header(), [summary.row() for summary in found]):
        click.echo(row)
