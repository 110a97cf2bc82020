"""
ibiscart_cli.commands.replay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Replays one recorded trace.
"""

import click

from ibiscart_core.audit import audit
from ibiscart_core.policies.adaptive import AdaptivePolicy
from ibiscart_core.policies.fifo import FifoPolicy
from ibiscart_core.replay import Replay, ReplayError, first_difference
from ibiscart_core.trace import TraceError, read_trace, write_trace
from ibiscart_schema.generated.trace_pb2 import TraceEvent

__all__ = ["POLICIES", "replay"]

POLICIES = {policy.name: policy for policy in (AdaptivePolicy, FifoPolicy)}

EXAMPLES = """
\b
Examples:
  ibiscart replay traces/macleish-short-peak.jsonl
  ibiscart replay traces/hooghly-stragglers.jsonl --policy fifo --audit
  ibiscart replay trace.jsonl --save-records before.jsonl
  ibiscart replay trace.jsonl --records before.jsonl
"""


@click.command(epilog=EXAMPLES)
@click.argument("trace", type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--policy",
    type=click.Choice(list(POLICIES)),
    default=next(iter(POLICIES)),
    show_default=True,
    help="Scheduling policy to replay with.",
)
@click.option(
    "--records",
    type=click.Path(exists=True, dir_okay=False),
    help="Recorded decision list to compare with; the first difference is printed.",
)
@click.option(
    "--save-records",
    type=click.Path(dir_okay=False, writable=True),
    help="Writes the decision list to this file.",
)
@click.option("--audit", "audited", is_flag=True, help="Checks P1 to P8 and the limits.")
def replay(trace, policy, records, save_records, audited):
    """Replay TRACE in virtual time and compare its outcomes with the stated ones.

    Exits with 1 when an outcome, a decision or the audit differs, with 2 for a bad file.
    """
    problems = []
    try:
        with open(trace, "rb") as file:
            run = Replay(read_trace(file), POLICIES[policy]()).run()
        if records:
            with open(records, "rb") as file:
                recorded = [
                    event.record_applied.record
                    for event in read_trace(file)
                    if event.HasField("record_applied")
                ]
            problems += filter(None, [first_difference(recorded, run.records)])
    except (ReplayError, TraceError) as error:
        raise click.UsageError(str(error)) from error
    for name, count in sorted(run.outcomes().items()):
        click.echo(f"{name}: {count}")
    click.echo(f"records: {len(run.records)}")
    if save_records:
        with open(save_records, "wb") as file:
            write_trace(_applied(run.records), file)
    problems += run.outcome_differences()
    if audited:
        problems += map(repr, audit(run.events))
    for problem in problems:
        click.echo(problem, err=True)
    if problems:
        raise click.exceptions.Exit(1)


def _applied(records):
    for record in records:
        applied = {"entry_id": record.writer, "record": record}
        yield TraceEvent(time_us=record.time_us, source=record.writer, record_applied=applied)
