"""
ibiscart_entry.main
~~~~~~~~~~~~~~~~~~~

Command line of the entry process.
"""

import sys

import click

from ibiscart_entry.lifetime import ProcessLifetime
from ibiscart_entry.log import configure_log
from ibiscart_entry.process import EntryProcess
from ibiscart_entry.settings import Settings, SettingsError
from ibiscart_entry.signals import hold_signals

__all__ = ["main"]

EXIT_SETTINGS = 2
EXIT_ADDRESS = 3

EPILOG = """
Examples:

\b
    ibiscart-entry entry-1.yaml
    ibiscart-entry --check entry-1.yaml

Exit codes: 0 after a graceful shutdown (SIGTERM or SIGINT), 1 after an internal error,
2 for settings that cannot be used, 3 when an address can never be bound. While an address is in
use, the process waits for it and logs that.
"""


@click.command(epilog=EPILOG)
@click.version_option(package_name="ibiscart-entry")
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.argument("settings_file", type=click.Path(dir_okay=False))
def main(check, settings_file):
    """Run one entry process with the settings of SETTINGS_FILE (YAML)."""
    if not check:
        hold_signals()
    lifetime = ProcessLifetime(EXIT_ADDRESS)
    try:
        settings = Settings.from_config(settings_file)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_SETTINGS)
    if check:
        click.echo(f"{settings_file}: the settings are valid")
        return
    configure_log(settings.log.level, fields={"entry": settings.entry_id})
    lifetime.log_start(settings=settings_file)
    sys.exit(lifetime.run(_run, settings))


async def _run(settings):
    """Runs the process; returns the cause of its end."""
    return await EntryProcess(settings).run()


if __name__ == "__main__":
    main()
