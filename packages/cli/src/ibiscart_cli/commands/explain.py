"""
ibiscart_cli.commands.explain
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Explains from the entries' logs what became of a request.
"""

import itertools
import json

import click

from ibiscart_cli.history import History, read_lines
from ibiscart_cli.outcome import ExitCode

__all__ = ["explain"]

EXAMPLES = """
\b
Examples:
  ibiscart explain 19e63e8610383a37 logs/*.log
  cat logs/*.log | ibiscart explain 19e63e8610383a37 -
  ibiscart --json explain 19e63e8610383a37 logs/*.log
"""


@click.command(epilog=EXAMPLES)
@click.argument("request_id")
@click.argument("logs", nargs=-1, required=True, type=click.File(errors="replace"))
@click.pass_obj
def explain(session, request_id, logs):
    """Collect the lines of LOGS that name REQUEST_ID, and explain how it ended.

    Reads the logs of any number of entries; asks no entry. Exits with 4 when no line names
    the id.
    """
    lines = itertools.chain.from_iterable(read_lines(log) for log in logs)
    history = History(request_id, lines)
    if session.as_json:
        click.echo(json.dumps({"cause": history.cause(), "lines": history.lines}))
    else:
        for time, node, message, fields in history.rows():
            click.echo(f"{time}  {node}  {message}  {fields}")
        click.echo(history.cause())
    if not history.lines:
        raise click.exceptions.Exit(ExitCode.UNKNOWN)
