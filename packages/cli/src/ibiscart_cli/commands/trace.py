"""
ibiscart_cli.commands.trace
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Recordings of real runs: fetch them, merge them into a trace, audit and show them.
"""

import json
import time
from pathlib import Path

import click
import trio

from ibiscart_cli.commands.replay import POLICIES
from ibiscart_core.audit import SETTLE_SECONDS, audit
from ibiscart_core.recording import RecordingError, decide_again, merge
from ibiscart_core.trace import TraceError, parse_event, write_trace
from ibiscart_entry.client import HttpClient
from ibiscart_entry.decision import describe
from ibiscart_entry.metric import Metrics
from ibiscart_entry.recorder import batch_key, index_key
from ibiscart_entry.store import ObjectStore, StoreBudget
from ibiscart_entry.table import StoreError
from ibiscart_schema.generated.settings_pb2 import StoreSettings

__all__ = ["trace"]

FETCH_TIMEOUT_SECONDS = 10.0
FETCHES_PER_SECOND = 100
FILES = click.Path(exists=True, dir_okay=False)
EXAMPLES = """\b
Examples:
  ibiscart trace fetch --store http://10.0.9.2:7000 --region alba --output alba.trace
  ibiscart trace merge alba.trace --output alba.jsonl
  ibiscart replay alba.jsonl
  ibiscart trace audit alba.trace
  ibiscart trace show alba.trace --account reports --job nightly-17
"""


@click.group(epilog=EXAMPLES)
def trace():
    """Fetch, merge, audit and show what entries recorded."""


@trace.command("merge")
@click.argument("files", type=FILES, nargs=-1, required=True)
@click.option("--output", type=click.Path(dir_okay=False, writable=True), required=True)
@click.option("--name", default="recording", show_default=True, help="Name in the trace's header.")
@click.option(
    "--policy",
    type=click.Choice(list(POLICIES)),
    default=next(iter(POLICIES)),
    show_default=True,
    help="Policy that the entries ran with.",
)
def merge_files(files, output, name, policy):
    """Merge the recordings of all entries of a run into a trace for 'ibiscart replay'.

    Every batch is decided again at its recorded time. Exits with 1 when a decision differs
    from the recorded one; the trace is written all the same.
    """
    try:
        recording = merge(_read(files), POLICIES[policy](), name)
    except RecordingError as error:
        raise click.UsageError(str(error)) from error
    with open(output, "wb") as file:
        write_trace(recording.events, file)
    differences = dict.fromkeys(recording.differences)
    differences |= dict.fromkeys(decide_again(recording.events, POLICIES[policy]()))
    click.echo(f"{recording.record_count} records, {len(differences)} decided differently")
    click.echo(f"{recording.dropped_count} commands left out, of batches that lost their append")
    _finish(differences)


@trace.command()
@click.option("--store", metavar="URL", required=True, help="Object store, as in the settings.")
@click.option("--region", required=True, help="Region whose recordings to fetch.")
@click.option("--output", type=click.Path(dir_okay=False, writable=True), required=True)
def fetch(store, region, output):
    """Fetch all recordings of a region from the object store into one file."""
    try:
        runs, batches = trio.run(_fetch, store, region, output)
    except StoreError as error:
        raise click.ClickException(f"the object store gave no answer: {error.reason}") from error
    click.echo(f"{batches} batches of {runs} recordings")


async def _fetch(url, region, output):
    settings = StoreSettings(object_url=url, timeout_seconds=FETCH_TIMEOUT_SECONDS)
    budget = StoreBudget(FETCHES_PER_SECOND, FETCHES_PER_SECOND)
    client = None

    def connect(address):
        nonlocal client
        client = HttpClient(address)
        return client

    objects = ObjectStore.from_config(settings, connect, budget, Metrics())
    try:
        data = await objects.get(index_key(region))
        prefixes = json.loads(data) if data else []
        batches = 0
        with open(output, "wb") as file:
            for prefix in prefixes:
                number = 1
                while (batch := await objects.get(batch_key(prefix, number))) is not None:
                    file.write(batch)
                    number += 1
                batches += number - 1
        return len(prefixes), batches
    finally:
        await client.aclose()


@trace.command("audit")
@click.argument("files", type=FILES, nargs=-1, required=True)
@click.option(
    "--settle-seconds",
    type=click.FloatRange(0),
    default=SETTLE_SECONDS,
    show_default=True,
    help="How long a gang may run in part; add the lease when workers were lost.",
)
def audit_files(files, settle_seconds):
    """Check P1 to P8 and the limits over recordings; exits with 1 when one is violated."""
    events = list(_read(files))
    violations = audit(events, settle_seconds)
    click.echo(f"{len(events)} events, {len(violations)} violations")
    _finish(map(str, violations))


@trace.command()
@click.argument("files", type=FILES, nargs=-1, required=True)
@click.option("--account", help="Only decisions about this client account.")
@click.option("--job", help="Only decisions about jobs with this request id.")
@click.option("--worker", help="Only decisions about this worker or jobs placed on it.")
def show(files, account, job, worker):
    """List recorded decisions with their reasons in journal order."""
    records = {}
    for event in _read(files):
        if event.WhichOneof("kind") == "record_applied":
            record = event.record_applied.record
            records[record.region, record.sequence] = record
    placed = {}
    for _, record in sorted(records.items()):
        for event in record.events:
            text, fields = describe(event)
            key = (fields.get("account"), fields.get("request_id"))
            workers = placed.get(key, ()) if key[1] else ()
            workers = {*workers, *fields.get("workers", ()), fields.get("worker")}
            if key[1] and "workers" in fields:
                placed[key] = fields["workers"]
            if account not in (None, key[0]) or job not in (None, key[1]):
                continue
            if worker is None or worker in workers:
                click.echo(_line(record, text, fields))


def _line(record, text, fields):
    seconds, micros = divmod(record.time_us, 1_000_000)
    moment = time.strftime("%H:%M:%S", time.gmtime(seconds))
    shown = {name: value for name, value in fields.items() if value not in ("", [])}
    for name, value in shown.items():
        if isinstance(value, list):
            shown[name] = ",".join(value)
    details = " ".join(f"{name}={value}" for name, value in shown.items())
    return f"{moment}.{micros // 1000:03d} {record.sequence:>5} {record.writer}  {text} {details}"


def _read(paths):
    """Yields the events of recordings; a process that was killed leaves its last line in part."""
    for path in paths:
        lines = Path(path).read_bytes().split(b"\n")
        if lines.pop():
            click.echo(f"{path}: the last line is not whole and was left out", err=True)
        for number, line in enumerate(lines, start=1):
            if not line.strip():
                continue
            try:
                yield parse_event(line, number)
            except TraceError as error:
                raise click.UsageError(f"{path}: {error}") from error


def _finish(problems):
    problems = list(problems)
    for problem in problems:
        click.echo(problem, err=True)
    if problems:
        raise click.exceptions.Exit(1)
