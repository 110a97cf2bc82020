"""
ibiscart_cli.commands.measure
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Measures the scheduling policy over recorded traces.
"""

import pathlib

import click
import yaml

from ibiscart_cli.commands.replay import POLICIES
from ibiscart_core.comparison import BASELINE, WEIGHED_METRICS, compare
from ibiscart_core.replay import ReplayError
from ibiscart_core.report import format_json, format_markdown, format_plot
from ibiscart_core.trace import TraceError, read_trace

__all__ = ["measure"]

EXAMPLES = """
\b
Examples:
  ibiscart measure traces
  ibiscart measure traces --output docs/measures
"""


@click.command(epilog=EXAMPLES)
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option(
    "--policy",
    type=click.Choice(list(POLICIES)),
    default=next(iter(POLICIES)),
    show_default=True,
    help="Scheduling policy to compare with the baseline.",
)
@click.option("--output", metavar="PREFIX", help="Writes PREFIX.md, PREFIX.json and PREFIX.svg.")
def measure(folder, policy, output):
    """Replay all traces of FOLDER with the policy and the baseline and print the measures.

    FOLDER/users.yaml names the users and their weights of the metrics; without it, no weighted
    ratios are printed.
    """
    paths = sorted(pathlib.Path(folder).glob("*.jsonl"))
    if not paths:
        raise click.UsageError(f"no *.jsonl file in {folder}")
    names = dict.fromkeys([BASELINE, policy])
    users = _read_users(pathlib.Path(folder) / "users.yaml")
    try:
        comparison = compare(map(_read, paths), [POLICIES[name] for name in names], users)
    except ReplayError as error:
        raise click.UsageError(str(error)) from error
    plot = f"{pathlib.Path(output).name}.svg" if output else ""
    page = format_markdown(comparison, plot)
    click.echo(page, nl=False)
    if output:
        pathlib.Path(f"{output}.md").write_text(page, encoding="utf-8")
        pathlib.Path(f"{output}.json").write_text(format_json(comparison), encoding="utf-8")
        pathlib.Path(f"{output}.svg").write_text(format_plot(comparison), encoding="utf-8")


def _read(path):
    try:
        with path.open("rb") as file:
            events = list(read_trace(file))
        if not events or not events[0].HasField("header"):
            raise ReplayError("the trace does not start with a header")
        return events
    except (ReplayError, TraceError) as error:
        raise click.UsageError(f"{path}: {error}") from error


def _read_users(path):
    if not path.exists():
        return {}
    try:
        users = yaml.safe_load(path.read_text(encoding="utf-8")) or {}
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise click.UsageError(f"{path}: {error}") from error
    wanted = "expected a mapping from each user to 'traces' and 'weights'"
    if not isinstance(users, dict):
        raise click.UsageError(f"{path}: {wanted}")
    for name, user in users.items():
        if not isinstance(user, dict) or set(user) != {"traces", "weights"}:
            raise click.UsageError(f"{path}: {name}: {wanted}")
        weights = user["weights"]
        if not isinstance(weights, dict) or not weights or not isinstance(user["traces"], str):
            raise click.UsageError(f"{path}: {name}: {wanted}")
        for metric, weight in weights.items():
            if metric not in WEIGHED_METRICS:
                known = ", ".join(sorted(WEIGHED_METRICS))
                raise click.UsageError(f"{path}: {name}: no metric {metric!r}; known: {known}")
            if not isinstance(weight, int | float) or isinstance(weight, bool) or weight <= 0:
                raise click.UsageError(f"{path}: {name}: {metric}: {weight!r} is not above 0")
    return users
