"""
ibiscart_cli.commands.window
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Summarizes from the entries' logs who waited in a stretch of time, and who was refused.
"""

import itertools
import json
import re

import click

from ibiscart_cli.history import read_lines
from ibiscart_cli.table import columns
from ibiscart_cli.window import Window, WindowSummary

__all__ = ["window"]

EXAMPLES = """
\b
Examples:
  ibiscart window logs/*.log
  ibiscart window --from "2026-12-04 07:30" --to "2026-12-04 07:45:30" logs/*.log
  ibiscart --json window logs/*.log
"""
TIME = re.compile(r"\d{4}-\d{2}-\d{2}( \d{2}(:\d{2}(:\d{2}([,.]\d{1,3})?)?)?)?")
# (title, header, name of the rows) of each part of the output
TABLES = (
    (
        "Waiting",
        ("QUEUE", "ACCOUNT", "JOBS", "PLACED", "MEDIAN MS", "LONGEST MS"),
        "waits",
    ),
    ("Not accepted", ("QUEUE", "ACCOUNT", "OUTCOME", "STATUS", "REQUESTS"), "refusals"),
    ("No worker can run", ("QUEUE", "ACCOUNT", "REASON", "REQUESTS"), "rejections"),
)
STATE_TABLES = (
    ("Data centres being emptied", ("DATA CENTRE", "FROM", "TO", "VERSION"), "evacuated"),
    ("Slow workers", ("WORKER", "FROM", "TO", "SPEED"), "slow"),
    ("Accounts over their share", ("ACCOUNT", "FROM", "TO", "FACTOR"), "over_share"),
)


def _check_time(context, parameter, value):
    """Returns a time option; raises ``BadParameter`` unless it is in the form of the logs."""
    if value and not TIME.fullmatch(value):
        raise click.BadParameter(f"{value!r} is no time; write it as 2026-12-04 07:30:00")
    return value.replace(".", ",")


@click.command(epilog=EXAMPLES)
@click.option(
    "--from", "start", default="", callback=_check_time, help="First time, as in the logs."
)
@click.option("--to", "end", default="", callback=_check_time, help="Last time; may be shortened.")
@click.argument("logs", nargs=-1, required=True, type=click.File(errors="replace"))
@click.pass_obj
def window(session, start, end, logs):
    """Summarize the lines of LOGS in a stretch of time: who waited, and who was refused.

    Reads the logs of any number of entries; asks no entry.
    """
    lines = itertools.chain.from_iterable(read_lines(log) for log in logs)
    summary = WindowSummary(lines, Window(start, end))
    if session.as_json:
        click.echo(json.dumps(summary.to_document()))
        return
    for title, header, name in TABLES:
        _show(title, header, getattr(summary, name))
    for title, header, name in STATE_TABLES:
        _show(title, header, summary.states[name])


def _show(title, header, rows):
    """Prints a table, or that there is nothing to show in it."""
    click.echo(f"{title}: {len(rows) or 'none'}")
    if rows:
        for line in columns(header, [[cell if cell != "" else "-" for cell in r] for r in rows]):
            click.echo(f"  {line}")
