"""
ibiscart_cli.main
~~~~~~~~~~~~~~~~~

Command line of operators and callers.
"""

import re

import click

from ibiscart_cli.commands.contract import contract
from ibiscart_cli.commands.explain import explain
from ibiscart_cli.commands.job import job
from ibiscart_cli.commands.measure import measure
from ibiscart_cli.commands.replay import replay
from ibiscart_cli.commands.request import request
from ibiscart_cli.commands.settings import settings
from ibiscart_cli.commands.status import status
from ibiscart_cli.commands.stops import stops
from ibiscart_cli.commands.trace import trace
from ibiscart_cli.commands.window import window
from ibiscart_cli.outcome import EXIT_MEANINGS
from ibiscart_cli.session import Session

__all__ = ["main"]

ADDRESS = re.compile(r"(\[[0-9a-fA-F:.]+\]|[A-Za-z0-9.-]+):([0-9]{1,5})")
HIGHEST_PORT = 65535
LONGEST_TIMEOUT_SECONDS = 600

EXIT_CODES = "\n".join(f"{code:>5}  {text}" for code, text in EXIT_MEANINGS.items())
EPILOG = f"""\b
Examples:
  export IBISCART_ENTRY="10.0.0.1:8080 10.0.0.2:8080" IBISCART_KEY_FILE=~/.ibiscart.key
  ibiscart status
  ibiscart contract apply reports.yaml --expected 3 --dry-run
  ibiscart job submit job.yaml --wait

\b
Exit codes:
{EXIT_CODES}
"""


def _check_addresses(context, parameter, addresses):
    for address in addresses:
        match = ADDRESS.fullmatch(address)
        if match is None or not 1 <= int(match[2]) <= HIGHEST_PORT:
            raise click.BadParameter(f"{address!r} is not of the form HOST:PORT, port 1 to 65535")
    return addresses


@click.group(epilog=EPILOG, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="ibiscart-cli")
@click.option(
    "--entry",
    "addresses",
    multiple=True,
    envvar="IBISCART_ENTRY",
    metavar="ADDRESS",
    callback=_check_addresses,
    help="HOST:PORT of an entry; give several, the next is tried when one fails.",
)
@click.option(
    "--key-file",
    envvar="IBISCART_KEY_FILE",
    metavar="FILE",
    help="File that holds the caller's or operator's key.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the entry's answers as JSON.")
@click.option(
    "--timeout",
    type=click.FloatRange(0.1, LONGEST_TIMEOUT_SECONDS),
    default=30.0,
    show_default=True,
    metavar="SECONDS",
    help="Time for one call, passed on as its deadline.",
)
@click.pass_context
def main(context, addresses, key_file, as_json, timeout):
    """Submit work to ibiscart, and manage its contracts."""
    context.obj = Session(addresses, key_file, as_json=as_json, timeout=timeout)


COMMANDS = (
    contract,
    explain,
    job,
    measure,
    replay,
    request,
    settings,
    status,
    stops,
    trace,
    window,
)
for command in COMMANDS:
    main.add_command(command)


if __name__ == "__main__":
    main()
