"""
ibiscart_entry.main
~~~~~~~~~~~~~~~~~~~

Command line of the entry process.
"""

import logging
import sys

import click
import trio

from ibiscart_entry.log import configure_log
from ibiscart_entry.process import EntryProcess
from ibiscart_entry.settings import Settings, SettingsError

__all__ = ["main"]

LOG = logging.getLogger("ibiscart.process")
EXIT_SETTINGS = 2
EXIT_ADDRESS = 3

EPILOG = """
Examples:

\b
    ibiscart-entry entry-1.yaml
    ibiscart-entry --check entry-1.yaml

Exit codes: 0 after a graceful shutdown (SIGTERM or SIGINT), 1 after an internal error,
2 for settings that cannot be used, 3 when an address cannot be bound.
"""


@click.command(epilog=EPILOG)
@click.version_option(package_name="ibiscart-entry")
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.argument("settings_file", type=click.Path(dir_okay=False))
def main(check, settings_file):
    """Run one entry process with the settings of SETTINGS_FILE (YAML)."""
    try:
        settings = Settings.from_config(settings_file)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_SETTINGS)
    if check:
        click.echo(f"{settings_file}: the settings are valid")
        return
    configure_log(settings.log.level, fields={"entry": settings.entry_id})
    try:
        trio.run(_run, settings)
    except* OSError as group:
        LOG.error("An address cannot be bound.", extra={"cause": str(group.exceptions[0])})
        sys.exit(EXIT_ADDRESS)


async def _run(settings):
    await EntryProcess(settings).run()


if __name__ == "__main__":
    main()
